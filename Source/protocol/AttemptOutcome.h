#pragma once

#include "protocol/HttpMessage.h"
#include "protocol/ResultCode.h"
#include "protocol/Time.h"

#include <cstdint>
#include <memory>

namespace Knapweedquay {

/// Complete response of a backend server. Shared, because the fate table keeps it for resends while a link sends it.
using AnswerPointer = std::shared_ptr<const HttpResponse>;

/// Rejection of an attempt by the endpoint's node, which guarantees that the attempt has not run and never will.
struct Refusal {
    /// Reason of the rejection.
    ResultCode code = ResultCode::Overloaded;
    /// Time after which the caller may try again (RFC 9110, 10.2.3).
    Duration retryAfter { 0 };
    /// True when all endpoints of the service are overloaded, so that another one is expected to reject as well.
    bool isFleetWide = false;
};

/// Reply of the endpoint's node to a request to cancel an attempt.
enum class CancelResult : std::uint8_t {
    /// The attempt has not run and never will.
    NotRun,
    /// The attempt is running; its answer follows unless the backend server aborts it.
    Running,
    /// The attempt may have run.
    Unknown,
};

} // namespace Knapweedquay
