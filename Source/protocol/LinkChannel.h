#pragma once

#include <string>
#include <string_view>

namespace Knapweedquay {

/// First byte of each message on a link of a control replica: nodes and replicas use the same port.
namespace LinkChannel {
constexpr char node = 'N';
constexpr char replica = 'R';

inline std::string wrap(char channel, const std::string& bytes)
{
    return channel + bytes;
}

/// The message without its channel byte.
inline std::string_view unwrap(std::string_view message)
{
    return message.substr(1);
}
} // namespace LinkChannel

} // namespace Knapweedquay
