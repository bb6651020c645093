#pragma once

#include "protocol/StrongType.h"

#include <cstdint>

namespace Knapweedquay {

/// Microseconds since the Unix epoch, for people to read and for expiries that outlive a process.
/// Never used to decide who leads or what is fresh.
using WallTime = StrongType<struct WallTimeTag, std::uint64_t>;

} // namespace Knapweedquay
