#pragma once

#include "protocol/StrongType.h"

#include <cstdint>

namespace Knapweedquay {

/// Handle of one attempt of a call inside one process. Never reused while the process runs.
using CallTicket = StrongType<struct CallTicketTag, std::uint64_t>;

} // namespace Knapweedquay
