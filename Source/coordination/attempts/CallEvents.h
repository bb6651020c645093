#pragma once

#include "protocol/AttemptOutcome.h"
#include "protocol/Ids.h"
#include "protocol/Time.h"

#include <variant>
#include <vector>

namespace Knapweedquay {

/// Starts the call; sent once per call.
struct CallStarted { };
/// Reply to ChooseEndpoint: the attempt can be sent to this node.
struct EndpointChosen {
    NodeId node;
    /// The incarnation of that node to which the link was established.
    Incarnation incarnation;
};
/// Reply to ChooseEndpoint when no endpoint may be used; holds the refusal for the caller.
struct NoEndpointAvailable {
    Refusal refusal { ResultCode::NoEndpoint };
};
/// The endpoint's node received the attempt and keeps its fate from now on.
struct AttemptAccepted {
    AttemptId attempt;
};
/// The complete answer was received.
struct AttemptAnswered {
    AttemptId attempt;
    AnswerPointer answer;
};
/// The complete answer was received and reports that the backend server failed.
struct AttemptFailed {
    AttemptId attempt;
    AnswerPointer answer;
};
/// The endpoint's service times have risen sharply, so answers of attempts that run there are likely to be late.
struct EndpointSlowed {
    NodeId node;
};
/// The attempt certainly did not run: the endpoint's node refused it, or no byte of it was ever sent.
struct AttemptRefused {
    AttemptId attempt;
    Refusal refusal;
};
/// The endpoint's node cannot determine whether the attempt ran, or no longer has its answer.
struct AttemptUnknown {
    AttemptId attempt;
    ResultCode code = ResultCode::OutcomeUnknown;
};
/// The endpoint's node replied to CancelAttempt.
struct CancelAcknowledged {
    AttemptId attempt;
    CancelResult result = CancelResult::Unknown;
};
/// The connection to an endpoint's node was lost; messages already sent may or may not have arrived.
struct LinkLost {
    NodeId node;
};
/// A new connection to an endpoint's node was established, after a loss or a ReplaceLink.
struct LinkRestored {
    NodeId node;
    /// The incarnation of the node at the other end of the new connection.
    Incarnation incarnation;
};
/// The time of the latest SetTimer has been reached.
struct TimerFired { };
/// The caller closed its connection; may precede CallStarted while the claim of an idempotency key is pending.
struct CallerDisconnected { };
/// The node of the call stops, and can pass answers on until this time; may precede CallStarted.
struct NodeStops {
    TimePoint answersBy;
};
/// The node of the call ends soon; may precede CallStarted.
struct NodeEnds { };
/// The call ends now, although an endpoint may be at work on it.
struct CallGivenUp { };

/// An event that OutgoingCall::handle() accepts.
using CallEvent = std::variant<CallStarted, EndpointChosen, NoEndpointAvailable, AttemptAccepted, AttemptAnswered, AttemptFailed, EndpointSlowed, AttemptRefused,
    AttemptUnknown, CancelAcknowledged, LinkLost, LinkRestored, TimerFired, CallerDisconnected, NodeStops, NodeEnds, CallGivenUp>;

/// Choose an endpoint by policy, except the excluded ones, and reply with EndpointChosen or NoEndpointAvailable.
struct ChooseEndpoint {
    /// Nodes to which this call has already been sent.
    std::vector<NodeId> excluded;
    /// True when the endpoint is for a hedge, false for a first attempt or a retry.
    bool isHedge = false;
};
/// Send the attempt to the endpoint's node.
struct SendAttempt {
    AttemptId attempt;
    NodeId node;
    /// The incarnation of the endpoint's node that the attempt is addressed to.
    Incarnation target;
    /// Time that the endpoint's node has for the attempt, counted from its receipt.
    Duration remaining { 0 };
    /// True for every transmission of this attempt after the first.
    bool isResend = false;
    /// Propagated with the call: the attempt repeats work that was already sent at this level or an upstream one.
    bool isRepeat = false;
};
/// Ask the endpoint's node to cancel the attempt.
struct CancelAttempt {
    AttemptId attempt;
    NodeId node;
    Incarnation target;
};
/// Tell the endpoint's node when the answer of the attempt is of no use any more. An attempt that can't be expected to end by then
/// must not start; it is refused instead. One that runs goes on.
struct LimitAttempt {
    AttemptId attempt;
    NodeId node;
    Incarnation target;
    /// Time left until then.
    Duration answerWithin { 0 };
};
/// The link to this node is unresponsive: open a new connection and report LinkRestored.
struct ReplaceLink {
    NodeId node;
};
/// Set the timer of the call; each call has one, and a new time replaces the previous one.
struct SetTimer {
    TimePoint at;
};
/// Discard the time of the latest SetTimer.
struct ClearTimer { };

/// The result of the call as reported to the caller.
struct CallOutcome {
    /// Whether the call was answered and, if not, whether it may have run.
    enum class Kind : std::uint8_t {
        Answered,
        /// No attempt that was sent ran; this is proved for each of them.
        NotRun,
        /// At least one attempt may have run.
        Unknown,
    };

    Kind kind = Kind::Unknown;
    /// The answer of one attempt; set when kind is Answered.
    AnswerPointer answer = nullptr;
    /// The reason why there is no answer; Ok when kind is Answered.
    ResultCode code = ResultCode::Ok;
    /// Time after which the caller may retry; set when kind is NotRun.
    Duration retryAfter { 0 };
};
/// Finish the call with this outcome; later events are ignored.
struct FinishCall {
    CallOutcome outcome;
};

/// An action that OutgoingCall::handle() requests.
using CallAction = std::variant<ChooseEndpoint, SendAttempt, CancelAttempt, LimitAttempt, ReplaceLink, SetTimer, ClearTimer, FinishCall>;
using CallActions = std::vector<CallAction>;

} // namespace Knapweedquay
