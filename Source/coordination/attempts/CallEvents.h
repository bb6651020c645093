#pragma once

#include "protocol/AttemptOutcome.h"
#include "protocol/Ids.h"
#include "protocol/Time.h"

#include <variant>
#include <vector>

namespace Knapweedquay {

/// Begins the call; comes once.
struct CallStarted { };
/// Reply to ChooseEndpoint.
struct EndpointChosen {
    NodeId node;
    /// The run of that node that the link to it was made with.
    Incarnation incarnation;
};
/// Reply to ChooseEndpoint when no endpoint may be used.
struct NoEndpointAvailable {
    Refusal refusal { ResultCode::NoEndpoint };
};
/// The endpoint's node has the attempt and keeps its fate from now on.
struct AttemptAccepted {
    AttemptId attempt;
};
/// The whole answer came in.
struct AttemptAnswered {
    AttemptId attempt;
    AnswerBytes answer;
};
/// The whole answer came in, and says that the backend server failed.
struct AttemptFailed {
    AttemptId attempt;
    AnswerBytes answer;
};
/// Work takes much longer from now on where an attempt runs, so that its answer is likely to be late.
struct EndpointSlowed {
    NodeId node;
};
/// Certainly not run: the endpoint's node refused it, or no byte of it ever left this node.
struct AttemptRefused {
    AttemptId attempt;
    Refusal refusal;
};
/// The endpoint's node cannot tell whether the attempt ran, or its answer is lost.
struct AttemptUnknown {
    AttemptId attempt;
    ResultCode code = ResultCode::OutcomeUnknown;
};
struct CancelAcknowledged {
    AttemptId attempt;
    CancelResult result = CancelResult::Unknown;
};
/// The connection to an endpoint's node is gone; what was sent may or may not have arrived.
struct LinkLost {
    NodeId node;
};
/// A new connection to an endpoint's node stands, after a loss or a ReplaceLink.
struct LinkRestored {
    NodeId node;
    Incarnation incarnation;
};
/// The time of the last SetTimer has come.
struct TimerFired { };
/// The caller closed its connection; may come before CallStarted, while the claim of a key is awaited.
struct CallerDisconnected { };

using CallEvent = std::variant<CallStarted, EndpointChosen, NoEndpointAvailable, AttemptAccepted, AttemptAnswered, AttemptFailed, EndpointSlowed, AttemptRefused,
    AttemptUnknown, CancelAcknowledged, LinkLost, LinkRestored, TimerFired, CallerDisconnected>;

/// Choose an endpoint by policy, none of the excluded ones, and reply by EndpointChosen or NoEndpointAvailable.
struct ChooseEndpoint {
    std::vector<NodeId> excluded;
    bool isHedge = false;
};
struct SendAttempt {
    AttemptId attempt;
    NodeId node;
    Incarnation target;
    /// Time left for the endpoint's node, counted from its receipt.
    Duration remaining { 0 };
    /// True for every send of this attempt after its first.
    bool isResend = false;
    /// To be handed on with the call: it repeats work at this level or an upper one.
    bool isRepeat = false;
};
struct CancelAttempt {
    AttemptId attempt;
    NodeId node;
    Incarnation target;
};
/// Nothing comes back over the link to this node: open a new connection and report LinkRestored.
struct ReplaceLink {
    NodeId node;
};
/// One timer per call; replaces the time set before.
struct SetTimer {
    TimePoint at;
};
struct ClearTimer { };

/// What the caller is told.
struct CallOutcome {
    enum class Kind : std::uint8_t {
        Answered,
        /// Certain for every attempt that was sent.
        NotRun,
        /// It may have run.
        Unknown,
    };

    Kind kind = Kind::Unknown;
    /// The answer of one attempt, when answered.
    AnswerBytes answer = nullptr;
    /// The reason, when not answered.
    ResultCode code = ResultCode::Ok;
    Duration retryAfter { 0 };
};
/// Ends the call. Later events are ignored.
struct FinishCall {
    CallOutcome outcome;
};

using CallAction = std::variant<ChooseEndpoint, SendAttempt, CancelAttempt, ReplaceLink, SetTimer, ClearTimer, FinishCall>;
using CallActions = std::vector<CallAction>;

} // namespace Knapweedquay
