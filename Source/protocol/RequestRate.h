#pragma once

#include "protocol/StrongType.h"

#include <optional>
#include <string_view>

namespace Knapweedquay {

/// Requests per second.
using RequestRate = StrongType<struct RequestRateTag, double>;

/// Rates from this one on are no limit to anything.
constexpr double unlimitedRequestsPerSecond = 1e6;

/// Parses digits with an optional decimal fraction, which may have whitespace around them. Returns nothing for any other
/// text, such as an empty one, a negative number or one with an exponent.
std::optional<RequestRate> parseRequestRate(std::string_view);

} // namespace Knapweedquay
