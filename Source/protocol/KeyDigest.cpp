#include "protocol/KeyDigest.h"

namespace Knapweedquay {

KeyDigest digestOfKey(std::string_view key)
{
    DigestBuilder builder;
    builder.addField("key");
    builder.addField(key);
    return { builder.finish() };
}

} // namespace Knapweedquay
