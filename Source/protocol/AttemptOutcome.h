#pragma once

#include "protocol/ResultCode.h"
#include "protocol/Time.h"

#include <cstdint>
#include <memory>
#include <string>

namespace Knapweedquay {

/// A whole encoded answer. Shared, because the fate table keeps it for resends while a link sends it.
using AnswerBytes = std::shared_ptr<const std::string>;

/// A certain "not run": the endpoint's node promises that the attempt has not run and never will.
struct Refusal {
    ResultCode code = ResultCode::Overloaded;
    /// Time after which the caller may try again (RFC 9110, 10.2.3).
    Duration retryAfter { 0 };
    /// True when all endpoints of the service are overloaded, so that another one would refuse as well.
    bool isFleetWide = false;
};

/// What the endpoint's node says about an attempt that it was asked to cancel.
enum class CancelResult : std::uint8_t {
    /// Certain: it has not run and never will.
    NotRun,
    /// It runs, and its answer follows unless the backend server gives it up.
    Running,
    /// It may have run.
    Unknown,
};

} // namespace Knapweedquay
