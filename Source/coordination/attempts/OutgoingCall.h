#pragma once

#include "coordination/attempts/CallEvents.h"
#include "coordination/attempts/RetryBudget.h"
#include "state/ServiceDocument.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace Knapweedquay {

/// Waited after the deadline for the acknowledged cancel of a call that must not be repeated.
constexpr Duration cancelGrace { 100000 };
/// Taken off the remaining time at each hop, so that an endpoint's refusal is back before the deadline.
constexpr Duration hopMargin { 1000 };
/// Nodes that one call is offered to, whether they take it or not.
constexpr std::size_t maximumOffers = 6;
/// Retry-After of a refusal that names none.
constexpr Duration defaultRetryAfter { 1000000 };

/// What is fixed about a call when it starts.
struct CallParameters {
    /// The call may run more than once without harm (RFC 9110, 9.2.2).
    bool isIdempotent = false;
    /// The call that came in was itself a retry or hedge, here or at an upper level.
    bool isRepeat = false;
    TimePoint deadline;
    /// A link that brings no acceptance for this long is taken for silent.
    Duration acceptanceTimeout { 200000 };
    /// An answer that comes later than this is worth little.
    Duration target { 100000 };
    /// A second attempt is started when the first has lasted this long; none when empty.
    std::optional<Duration> hedgeDelay;
    RetryLimits limits;
};

/// The budgets of one service at one node, shared by its calls; they outlive each call.
struct CallBudgets {
    RetryBudget& retries;
    RetryBudget& hedges;
};

/// Decides one call at the node that took it: which attempts are sent, and what the caller is told.
///
/// "Not run" is told only with the endpoint's refusal or acknowledged cancel in hand for every attempt
/// sent; a timeout proves nothing, because a message in a buffer may still arrive. A call that must not
/// be repeated has one attempt at a time that may run. Extra attempts stay inside the budgets, and a
/// call that is itself a repeat starts none that could cost anything downstream, so that levels of
/// calls do not multiply each other's retries.
class OutgoingCall {
public:
    /// nextAttemptId gives a fresh id at each use; its sequence numbers begin at 1.
    OutgoingCall(const CallParameters&, CallBudgets, std::function<AttemptId()> nextAttemptId);

    /// Takes one event and returns what is to be done, in this order. Due times are checked first, so a
    /// process that was frozen never acts on an expired call.
    CallActions handle(const CallEvent&, TimePoint now);

    bool isFinished() const { return m_phase == Phase::Finished; }

private:
    enum class Phase : std::uint8_t { Idle,
        Active,
        /// Deadline passed or caller gone: no new attempts, waiting for cancels for a bounded time.
        Cancelling,
        Finished };

    enum class AttemptState : std::uint8_t { Sent,
        Accepted,
        /// Sent over a link that is lost or being replaced.
        Detached,
        Answered,
        NotRun,
        Unknown };

    struct Attempt {
        AttemptId id;
        NodeId node;
        Incarnation incarnation;
        AttemptState state = AttemptState::Sent;
        TimePoint acceptBy;
        /// The backend server itself refused it, so that it counts as sent.
        bool reachedBackend = false;
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

    void checkDueTimes();
    void checkAcceptance();
    void checkHedge();
    void giveUp(const Refusal& reason, TimePoint giveUpAt);
    void requestEndpoint(bool isHedge);
    void send(Attempt&, bool isResend);
    void cancel(const Attempt&);
    void tryRetryRefused(const Refusal&);
    void tryRetryLost();
    bool canHedge() const;
    void hedge();
    bool canStartAttempt() const;
    bool hasTimeLeft() const;
    void concludeIfSettled();
    void finishUnanswered(const Refusal& reason);
    void finish(CallOutcome);
    void updateTimer();

    std::size_t spentAttempts() const;
    Attempt* find(const AttemptId&);
    static bool isOutstanding(const Attempt&);
    bool hasOutstanding() const;
    std::optional<TimePoint> hedgeTime() const;

    CallParameters m_parameters;
    CallBudgets m_budgets;
    std::function<AttemptId()> m_nextAttemptId;
    Phase m_phase = Phase::Idle;
    std::vector<Attempt> m_attempts;
    /// Reason told when every attempt turns out not run.
    Refusal m_refusal { ResultCode::NoEndpoint };
    ResultCode m_unknownCode = ResultCode::OutcomeUnknown;
    /// Answer of a backend server that failed, told when no other attempt does better.
    AnswerBytes m_failureAnswer;
    bool m_isChoosing = false;
    bool m_hasHedged = false;
    bool m_isCallerGone = false;
    TimePoint m_firstSentAt;
    /// End of the wait in phase Cancelling.
    TimePoint m_giveUpAt;
    std::optional<TimePoint> m_timer;
    TimePoint m_now;
    CallActions m_actions;
};

} // namespace Knapweedquay
