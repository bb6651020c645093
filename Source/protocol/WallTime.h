#pragma once

#include "protocol/StrongType.h"

#include <cstdint>

namespace Knapweedquay {

/// Microseconds since the Unix epoch, for display and for expiry times that outlive a process.
/// Never used to decide leadership or freshness.
using WallTime = StrongType<struct WallTimeTag, std::uint64_t>;

} // namespace Knapweedquay
