#pragma once

#include "protocol/StrongType.h"

#include <cstdint>

namespace Knapweedquay {

/// Identifies one attempt of a call within one process; never reused while the process runs.
using CallTicket = StrongType<struct CallTicketTag, std::uint64_t>;

} // namespace Knapweedquay
