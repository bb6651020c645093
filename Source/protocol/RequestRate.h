#pragma once

#include "protocol/StrongType.h"

#include <optional>
#include <string_view>

namespace Knapweedquay {

/// Requests per second.
using RequestRate = StrongType<struct RequestRateTag, double>;

/// Rates from this one on are no limit to anything.
constexpr double unlimitedRequestsPerSecond = 1e6;

/// Parses a number as parseDecimal() does.
std::optional<RequestRate> parseRequestRate(std::string_view);

} // namespace Knapweedquay
