#pragma once

#include "coordination/attempts/CallEvents.h"
#include "coordination/attempts/RetryBudget.h"
#include "state/ServiceDocument.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace Knapweedquay {

/// Time after the deadline in which a non-idempotent call still waits for its cancels to be acknowledged.
constexpr Duration cancelGrace { 100000 };
/// Subtracted from the remaining time at each hop, so that an endpoint's refusal arrives before the deadline.
constexpr Duration hopMargin { 1000 };
/// Maximum number of endpoints that one call is sent to, including those that refuse it.
constexpr std::size_t maximumEndpointsPerCall = 6;
/// Backend servers that may crash under one call. The first crash may be due to another request that it was running, a second
/// one hardly.
constexpr std::size_t maximumCrashesPerCall = 2;
/// Retry-After time for refusals that specify none.
constexpr Duration defaultRetryAfter { 1000000 };

/// The parameters of a call; they do not change after its start.
struct CallParameters {
    /// The call may run more than once without harm (RFC 9110, 9.2.2).
    bool isIdempotent = false;
    /// The incoming call is itself a retry or a hedge of this level or an upstream one.
    bool isRepeat = false;
    TimePoint deadline;
    /// A link over which an attempt is not accepted within this time is treated as unresponsive.
    Duration acceptanceTimeout { 200000 };
    /// Target latency of the call; a later answer is of little value to the caller.
    Duration target { 100000 };
    /// Time without an answer after which a hedge is sent; empty for no timed hedge.
    std::optional<Duration> hedgeDelay;
    RetryLimits limits;
};

/// The budgets of one service at one node, shared by its calls and outliving each of them.
struct CallBudgets {
    /// For all extra attempts: retries, hedges, requests sent once more and calls made by repeated runs.
    RetryBudget& extra;
    /// Limits the part of them that are hedges.
    RetryBudget& hedges;
};

/// State machine of one call at the node that received it: decides which attempts are sent and which outcome
/// is reported to the caller.
///
/// "Not run" is reported only when a refusal or an acknowledged cancel was received for every attempt sent; a timeout
/// proves nothing, because a buffered message may still arrive. A non-idempotent call has at most one attempt at a time
/// that may run. Extra attempts stay within the budgets, and a call that is itself a repeat starts none that could add
/// load downstream, so that the retries of nested calls do not multiply.
///
/// Load pattern of a stop: calls that wait at busy endpoints while their own node stops. They must not start so late that their
/// answers find it gone, so each accepted attempt is limited to the time in which its answer can still be passed on.
class OutgoingCall {
public:
    /// nextAttemptId returns a new id each time; its sequence numbers start at 1.
    OutgoingCall(const CallParameters&, CallBudgets, std::function<AttemptId()> nextAttemptId);

    /// Handles one event and returns the actions to perform, in order. Timeouts are checked first, so that a process
    /// that was suspended never continues an expired call.
    CallActions handle(const CallEvent&, TimePoint now);

    bool isFinished() const { return m_phase == Phase::Finished; }

private:
    /// Progress of the call; it is Idle until CallStarted.
    enum class Phase : std::uint8_t { Idle,
        Active,
        /// The deadline passed or the caller disconnected. No attempts are sent, and the call waits for a limited time
        /// until the outcome of each attempt is known.
        Cancelling,
        Finished };

    /// What this node knows about an attempt; Sent, Accepted and Detached ones are outstanding.
    enum class AttemptState : std::uint8_t { Sent,
        /// Received by the endpoint's node, which keeps its fate.
        Accepted,
        /// Sent over a link that was lost or is being replaced.
        Detached,
        Answered,
        /// Certainly did not run.
        NotRun,
        /// May have run; the call does not wait for its outcome.
        Unknown };

    /// What an attempt took from the budgets.
    struct TakenBudgets {
        bool extra = false;
        bool hedge = false;
    };

    /// An attempt of the call and the latest that this node knows about it.
    struct Attempt {
        AttemptId id;
        NodeId node;
        /// The incarnation of the node that the attempt is addressed to.
        Incarnation incarnation;
        AttemptState state = AttemptState::Sent;
        /// When the link is treated as unresponsive unless the attempt was accepted.
        TimePoint acceptanceDeadline;
        /// The backend server itself refused the attempt, which therefore counts against the limit on attempts.
        bool reachedBackend = false;
        TakenBudgets taken;
    };

    void on(const CallStarted&);
    void on(const EndpointChosen&);
    void on(const NoEndpointAvailable&);
    void on(const AttemptAccepted&);
    void on(const AttemptAnswered&);
    void on(const AttemptFailed&);
    void on(const EndpointSlowed&);
    void on(const AttemptRefused&);
    void on(const AttemptUnknown&);
    void on(const CancelAcknowledged&);
    void on(const LinkLost&);
    void on(const LinkRestored&);
    void on(const TimerFired&);
    void on(const CallerDisconnected&);
    /// Limits the accepted attempts, and those that are accepted later.
    void on(const NodeStops&);
    /// Ends the call, now or later, once no endpoint's node is known to have an attempt in hand: nobody else can bring its answer
    /// in time.
    void on(const NodeEnds&);
    void on(const CallGivenUp&);

    void endUnlessInHand();
    void limit(const Attempt&);
    /// Reason of a call for which there is no time left.
    Refusal timeIsUp() const { return { m_answersBy ? ResultCode::Draining : ResultCode::DeadlineExpired }; }

    void checkDueTimes();
    void checkAcceptance();
    void checkHedge();
    void giveUp(const Refusal& reason, TimePoint giveUpAt);
    void requestEndpoint(bool isHedge);
    void send(Attempt&, bool isResend);
    void cancel(const Attempt&);
    /// Chooses another endpoint after a refusal, when one may accept the call.
    void tryRetryAfterRefusal(const Refusal&);
    /// Chooses another endpoint for an idempotent call without a live attempt, within the retry budget.
    void tryRetryAfterLoss();
    bool canHedge() const;
    void hedge();
    /// Takes an extra attempt from the budget and requests an endpoint for it, if there is one left.
    void tryExtraAttempt();
    /// Returns to the budgets what an attempt has taken.
    void giveBack(const TakenBudgets&);
    bool canStartAttempt() const;
    bool hasTimeLeft() const;
    void finishIfNoneOutstanding();
    void finishUnanswered(const Refusal& reason);
    void finish(CallOutcome);
    void updateTimer();

    /// Attempts that may have reached a backend server, which count against the limit on attempts.
    std::size_t attemptsAgainstLimit() const;
    Attempt* find(const AttemptId&);
    static bool isOutstanding(const Attempt&);
    bool hasOutstanding() const;
    std::optional<TimePoint> hedgeTime() const;

    CallParameters m_parameters;
    CallBudgets m_budgets;
    std::function<AttemptId()> m_nextAttemptId;
    Phase m_phase = Phase::Idle;
    std::vector<Attempt> m_attempts;
    /// Reason reported when no attempt ran.
    Refusal m_refusal { ResultCode::NoEndpoint };
    /// Attempts under which their backend servers crashed.
    std::size_t m_crashes = 0;
    /// Reason reported when an attempt may have run.
    ResultCode m_unknownCode = ResultCode::OutcomeUnknown;
    /// Answer of a backend server that failed; reported when no other attempt is answered.
    AnswerPointer m_failureAnswer;
    /// ChooseEndpoint was requested and not answered yet.
    bool m_isAwaitingEndpoint = false;
    bool m_hasHedged = false;
    /// What the endpoint being chosen is for has taken from the budgets.
    TakenBudgets m_taken;
    bool m_isCallerDisconnected = false;
    /// Time until which this node can pass an answer on; set once it stops, if that is before the deadline.
    std::optional<TimePoint> m_answersBy;
    /// True after NodeEnds.
    bool m_isNodeEnding = false;
    TimePoint m_firstSentAt;
    /// End of the wait in phase Cancelling.
    TimePoint m_giveUpAt;
    /// The time that the timer is set to; empty when it is not set.
    std::optional<TimePoint> m_timer;
    /// Time of the latest event.
    TimePoint m_now;
    /// Actions requested while an event is handled.
    CallActions m_actions;
};

} // namespace Knapweedquay
