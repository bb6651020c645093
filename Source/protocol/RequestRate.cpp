#include "protocol/RequestRate.h"

#include "protocol/HttpMessage.h"

namespace Knapweedquay {

std::optional<RequestRate> parseRequestRate(std::string_view text)
{
    const auto value = parseDecimal(text);
    return value ? std::optional(RequestRate(*value)) : std::nullopt;
}

} // namespace Knapweedquay
