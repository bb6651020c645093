#include "coordination/attempts/OutgoingCall.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace Knapweedquay {

namespace {

// Returns whether the refusal is caused by the state of one endpoint only.
bool isEndpointSpecific(ResultCode code)
{
    return code == ResultCode::Draining || code == ResultCode::DataCentreEvacuated || code == ResultCode::PeerUnreachable || code == ResultCode::KeyUnproved;
}

bool canAnotherEndpointAccept(const Refusal& refusal)
{
    if (refusal.isFleetWide)
        return false;
    return isEndpointSpecific(refusal.code) || refusal.code == ResultCode::BackendRefused || refusal.code == ResultCode::Overloaded || refusal.code == ResultCode::DeadlineCannotBeMet
        || refusal.code == ResultCode::StaleConfiguration;
}

} // namespace

OutgoingCall::OutgoingCall(const CallParameters& parameters, CallBudgets budgets, std::function<AttemptId()> nextAttemptId)
    : m_parameters(parameters)
    , m_budgets(budgets)
    , m_nextAttemptId(std::move(nextAttemptId))
{
}

CallActions OutgoingCall::handle(const CallEvent& event, TimePoint now)
{
    m_actions.clear();
    if (m_phase == Phase::Finished)
        return {};
    m_now = std::max(m_now, now);
    // A complete answer takes precedence over a timeout that is detected at the same moment.
    if (!std::holds_alternative<AttemptAnswered>(event) && !std::holds_alternative<AttemptFailed>(event))
        checkDueTimes();
    if (m_phase != Phase::Finished)
        std::visit([this](const auto& typedEvent) { on(typedEvent); }, event);
    if (m_isNodeEnding)
        endUnlessInHand();
    if (m_phase != Phase::Finished)
        updateTimer();
    return std::move(m_actions);
}

void OutgoingCall::on(const CallStarted&)
{
    if (m_phase != Phase::Idle)
        return;
    m_phase = Phase::Active;
    if (m_parameters.isRepeat && !m_budgets.extra.tryTakeForRepeatedRun(m_now))
        return finishUnanswered({ ResultCode::RepeatBudgetSpent });
    if (!m_parameters.isRepeat) {
        m_budgets.extra.addCall(m_now);
        m_budgets.hedges.addCall(m_now);
    }
    if (m_isCallerDisconnected)
        finishUnanswered({ ResultCode::CancelledBeforeStart });
    else if (hasTimeLeft())
        requestEndpoint(false);
    else
        finishUnanswered(timeIsUp());
}

void OutgoingCall::on(const EndpointChosen& chosen)
{
    if (!std::exchange(m_isAwaitingEndpoint, false))
        return;
    if (!hasTimeLeft()) {
        if (m_attempts.empty())
            m_refusal = timeIsUp();
        return finishIfNoneOutstanding();
    }
    if (m_attempts.empty())
        m_firstSentAt = m_now;
    m_attempts.push_back({ m_nextAttemptId(), chosen.node, chosen.incarnation, AttemptState::Sent, m_now, false, std::exchange(m_taken, {}) });
    send(m_attempts.back(), false);
}

void OutgoingCall::on(const NoEndpointAvailable& event)
{
    if (!std::exchange(m_isAwaitingEndpoint, false))
        return;
    giveBack(std::exchange(m_taken, {}));
    // After an attempt, the refusal of that attempt is more informative to the caller.
    if (m_attempts.empty())
        m_refusal = event.refusal;
    finishIfNoneOutstanding();
}

void OutgoingCall::on(const AttemptAccepted& event)
{
    Attempt* attempt = find(event.attempt);
    if (!attempt || !isOutstanding(*attempt))
        return;
    attempt->state = AttemptState::Accepted;
    limit(*attempt);
}

void OutgoingCall::on(const AttemptAnswered& event)
{
    Attempt* attempt = find(event.attempt);
    if (!attempt || attempt->state == AttemptState::NotRun)
        return;
    attempt->state = AttemptState::Answered;
    finish({ CallOutcome::Kind::Answered, event.answer });
}

void OutgoingCall::on(const AttemptFailed& event)
{
    Attempt* attempt = find(event.attempt);
    if (!attempt || attempt->state == AttemptState::NotRun)
        return;
    attempt->state = AttemptState::Unknown;
    m_failureAnswer = event.answer;
    if (m_phase == Phase::Active)
        tryRetryAfterLoss();
    finishIfNoneOutstanding();
}

// The endpoint will probably exceed the target latency; a hedge sent now to another endpoint may still meet it.
void OutgoingCall::on(const EndpointSlowed& event)
{
    const bool isAffected = std::any_of(m_attempts.begin(), m_attempts.end(), [&event](const Attempt& attempt) {
        return attempt.node == event.node && (attempt.state == AttemptState::Sent || attempt.state == AttemptState::Accepted);
    });
    if (isAffected && canHedge() && m_now - m_firstSentAt < m_parameters.target)
        hedge();
}

void OutgoingCall::on(const AttemptRefused& event)
{
    Attempt* attempt = find(event.attempt);
    if (!attempt || attempt->state == AttemptState::NotRun)
        return;
    attempt->state = AttemptState::NotRun;
    attempt->reachedBackend = event.refusal.code == ResultCode::BackendRefused;
    if (!attempt->reachedBackend)
        giveBack(std::exchange(attempt->taken, {}));
    m_refusal = event.refusal;
    // The endpoint's node refuses a limited attempt as one whose deadline is near.
    if (m_answersBy && (event.refusal.code == ResultCode::DeadlineCannotBeMet || event.refusal.code == ResultCode::DeadlineExpired))
        m_refusal.code = ResultCode::Draining;
    if (!hasOutstanding())
        tryRetryAfterRefusal(event.refusal);
    finishIfNoneOutstanding();
}

void OutgoingCall::on(const AttemptUnknown& event)
{
    Attempt* attempt = find(event.attempt);
    if (!attempt || !isOutstanding(*attempt))
        return;
    attempt->state = AttemptState::Unknown;
    m_unknownCode = event.code;
    if (event.code == ResultCode::BackendCrashed)
        ++m_crashes;
    tryRetryAfterLoss();
    finishIfNoneOutstanding();
}

void OutgoingCall::on(const CancelAcknowledged& event)
{
    Attempt* attempt = find(event.attempt);
    if (!attempt || !isOutstanding(*attempt))
        return;
    switch (event.result) {
    case CancelResult::NotRun:
        attempt->state = AttemptState::NotRun;
        break;
    case CancelResult::Unknown:
        attempt->state = AttemptState::Unknown;
        break;
    case CancelResult::Running:
        // After a disconnect no caller waits for the result, so the call can wait for the answer, which is sent to a
        // later request with the same idempotency key.
        attempt->state = m_isCallerDisconnected ? AttemptState::Accepted : AttemptState::Unknown;
        break;
    }
    finishIfNoneOutstanding();
}

void OutgoingCall::on(const NodeStops& event)
{
    if (event.answersBy >= m_parameters.deadline)
        return;
    m_answersBy = event.answersBy;
    for (const Attempt& attempt : m_attempts) {
        if (attempt.state == AttemptState::Accepted)
            limit(attempt);
    }
}

void OutgoingCall::on(const NodeEnds&)
{
    m_isNodeEnding = true;
}

void OutgoingCall::on(const CallGivenUp&)
{
    giveBack(std::exchange(m_taken, {}));
    finishUnanswered({ ResultCode::Draining });
}

void OutgoingCall::endUnlessInHand()
{
    const bool isInHand = std::any_of(m_attempts.begin(), m_attempts.end(), [](const Attempt& attempt) {
        return attempt.state == AttemptState::Sent || attempt.state == AttemptState::Accepted;
    });
    if (m_phase == Phase::Finished || isInHand)
        return;
    giveBack(std::exchange(m_taken, {}));
    finishUnanswered({ ResultCode::Draining });
}

void OutgoingCall::on(const LinkLost& event)
{
    bool hasLostAttempt = false;
    for (Attempt& attempt : m_attempts) {
        if (attempt.node != event.node || !isOutstanding(attempt))
            continue;
        attempt.state = AttemptState::Detached;
        hasLostAttempt = true;
    }
    if (hasLostAttempt)
        tryRetryAfterLoss();
}

void OutgoingCall::on(const LinkRestored& event)
{
    for (Attempt& attempt : m_attempts) {
        if (attempt.node != event.node || !isOutstanding(attempt))
            continue;
        if (attempt.incarnation != event.incarnation)
            attempt.state = AttemptState::Unknown;
        else if (m_phase == Phase::Cancelling)
            cancel(attempt);
        else
            send(attempt, true);
    }
    tryRetryAfterLoss();
    finishIfNoneOutstanding();
}

void OutgoingCall::on(const TimerFired&)
{
    // handle() has already checked the timeouts.
    m_timer.reset();
}

void OutgoingCall::on(const CallerDisconnected&)
{
    m_isCallerDisconnected = true;
    if (m_phase == Phase::Active)
        giveUp({ ResultCode::CancelledBeforeStart }, m_parameters.deadline);
}

void OutgoingCall::checkDueTimes()
{
    if (m_phase == Phase::Cancelling && m_giveUpAt <= m_now)
        return finishUnanswered(m_refusal);
    if (m_phase != Phase::Active)
        return;
    if (m_parameters.deadline <= m_now)
        return giveUp({ ResultCode::DeadlineExpired }, m_now + cancelGrace);
    checkAcceptance();
    checkHedge();
}

void OutgoingCall::checkAcceptance()
{
    bool hasSilentLink = false;
    for (Attempt& attempt : m_attempts) {
        if (attempt.state != AttemptState::Sent || attempt.acceptanceDeadline > m_now)
            continue;
        attempt.state = AttemptState::Detached;
        m_actions.push_back(ReplaceLink { attempt.node });
        hasSilentLink = true;
    }
    if (hasSilentLink)
        tryRetryAfterLoss();
}

void OutgoingCall::checkHedge()
{
    const auto at = hedgeTime();
    if (at && *at <= m_now)
        hedge();
}

void OutgoingCall::hedge()
{
    m_hasHedged = true;
    if (!hasTimeLeft() || !m_budgets.extra.canTake(m_now) || !m_budgets.hedges.tryTake(m_now))
        return;
    m_taken = { m_budgets.extra.tryTake(m_now), true };
    requestEndpoint(true);
}

// An idempotent call finishes at once; for a non-idempotent one an acknowledged cancel may still prove "not run".
void OutgoingCall::giveUp(const Refusal& reason, TimePoint giveUpAt)
{
    m_refusal = reason;
    m_isAwaitingEndpoint = false;
    if (m_parameters.isIdempotent)
        return finishUnanswered(reason);
    m_phase = Phase::Cancelling;
    m_giveUpAt = giveUpAt;
    for (const Attempt& attempt : m_attempts) {
        if (isOutstanding(attempt))
            cancel(attempt);
    }
    finishIfNoneOutstanding();
}

void OutgoingCall::requestEndpoint(bool isHedge)
{
    m_isAwaitingEndpoint = true;
    ChooseEndpoint choose;
    choose.isHedge = isHedge;
    for (const Attempt& attempt : m_attempts)
        choose.excluded.push_back(attempt.node);
    m_actions.push_back(std::move(choose));
}

void OutgoingCall::send(Attempt& attempt, bool isResend)
{
    attempt.state = AttemptState::Sent;
    attempt.acceptanceDeadline = m_now + m_parameters.acceptanceTimeout;
    SendAttempt action { attempt.id, attempt.node, attempt.incarnation };
    action.remaining = std::max(m_parameters.deadline - m_now - hopMargin, Duration(0));
    action.isResend = isResend;
    action.isRepeat = m_parameters.isRepeat || std::any_of(m_attempts.begin(), m_attempts.end(), [&](const Attempt& other) {
        return other.id != attempt.id && other.state != AttemptState::NotRun;
    });
    m_actions.push_back(std::move(action));
}

void OutgoingCall::cancel(const Attempt& attempt)
{
    m_actions.push_back(CancelAttempt { attempt.id, attempt.node, attempt.incarnation });
}

void OutgoingCall::limit(const Attempt& attempt)
{
    if (m_answersBy)
        m_actions.push_back(LimitAttempt { attempt.id, attempt.node, attempt.incarnation, std::max(*m_answersBy - m_now, Duration(0)) });
}

void OutgoingCall::tryRetryAfterRefusal(const Refusal& refusal)
{
    if (!canStartAttempt() || !canAnotherEndpointAccept(refusal))
        return;
    // Attempts that endpoints' nodes refused added no load to a backend server, so the next one is the call's first there.
    if (attemptsAgainstLimit() == 0)
        requestEndpoint(false);
    else
        tryExtraAttempt();
}

void OutgoingCall::tryRetryAfterLoss()
{
    const bool hasLiveAttempt = std::any_of(m_attempts.begin(), m_attempts.end(), [](const Attempt& attempt) {
        return attempt.state == AttemptState::Sent || attempt.state == AttemptState::Accepted;
    });
    if (!m_parameters.isIdempotent || m_parameters.isRepeat || hasLiveAttempt || !canStartAttempt() || m_crashes >= maximumCrashesPerCall)
        return;
    tryExtraAttempt();
}

void OutgoingCall::tryExtraAttempt()
{
    m_taken.extra = m_budgets.extra.tryTake(m_now);
    if (m_taken.extra)
        requestEndpoint(false);
}

void OutgoingCall::giveBack(const TakenBudgets& taken)
{
    if (taken.extra)
        m_budgets.extra.giveBack(m_now);
    if (taken.hedge)
        m_budgets.hedges.giveBack(m_now);
}

bool OutgoingCall::canStartAttempt() const
{
    return m_phase == Phase::Active && !m_isAwaitingEndpoint && hasTimeLeft() && m_attempts.size() < maximumEndpointsPerCall
        && attemptsAgainstLimit() < m_parameters.limits.maximumAttempts;
}

std::size_t OutgoingCall::attemptsAgainstLimit() const
{
    return static_cast<std::size_t>(std::count_if(m_attempts.begin(), m_attempts.end(), [](const Attempt& attempt) {
        return attempt.state != AttemptState::NotRun || attempt.reachedBackend;
    }));
}

bool OutgoingCall::hasTimeLeft() const
{
    return std::min(m_parameters.deadline, m_answersBy.value_or(TimePoint::max())) - m_now > hopMargin;
}

void OutgoingCall::finishIfNoneOutstanding()
{
    if (m_phase != Phase::Finished && !m_isAwaitingEndpoint && !hasOutstanding())
        finishUnanswered(m_refusal);
}

void OutgoingCall::finishUnanswered(const Refusal& reason)
{
    if (m_failureAnswer)
        return finish({ CallOutcome::Kind::Answered, m_failureAnswer });
    const bool mayHaveRun = std::any_of(m_attempts.begin(), m_attempts.end(), [](const Attempt& attempt) {
        return attempt.state != AttemptState::NotRun;
    });
    if (mayHaveRun)
        return finish({ CallOutcome::Kind::Unknown, nullptr, m_unknownCode });
    const Duration retryAfter = reason.retryAfter > Duration(0) ? reason.retryAfter : defaultRetryAfter;
    finish({ CallOutcome::Kind::NotRun, nullptr, reason.code, retryAfter });
}

void OutgoingCall::finish(CallOutcome outcome)
{
    for (const Attempt& attempt : m_attempts) {
        if (isOutstanding(attempt) && m_phase != Phase::Cancelling)
            cancel(attempt);
    }
    m_phase = Phase::Finished;
    if (m_timer)
        m_actions.push_back(ClearTimer {});
    m_actions.push_back(FinishCall { std::move(outcome) });
}

void OutgoingCall::updateTimer()
{
    if (m_phase == Phase::Idle)
        return;
    TimePoint next = m_phase == Phase::Cancelling ? m_giveUpAt : m_parameters.deadline;
    if (m_phase == Phase::Active) {
        for (const Attempt& attempt : m_attempts) {
            if (attempt.state == AttemptState::Sent)
                next = std::min(next, attempt.acceptanceDeadline);
        }
        if (const auto at = hedgeTime())
            next = std::min(next, *at);
    }
    if (m_timer == next)
        return;
    m_timer = next;
    // First, since a choice of an endpoint is answered while it is performed, and then sets the next timer.
    CallActions actions { SetTimer { next } };
    std::move(m_actions.begin(), m_actions.end(), std::back_inserter(actions));
    m_actions = std::move(actions);
}

OutgoingCall::Attempt* OutgoingCall::find(const AttemptId& id)
{
    const auto found = std::find_if(m_attempts.begin(), m_attempts.end(), [&](const Attempt& attempt) { return attempt.id == id; });
    return found == m_attempts.end() ? nullptr : &*found;
}

bool OutgoingCall::isOutstanding(const Attempt& attempt)
{
    return attempt.state == AttemptState::Sent || attempt.state == AttemptState::Accepted || attempt.state == AttemptState::Detached;
}

bool OutgoingCall::hasOutstanding() const
{
    return std::any_of(m_attempts.begin(), m_attempts.end(), isOutstanding);
}

std::optional<TimePoint> OutgoingCall::hedgeTime() const
{
    if (!m_parameters.hedgeDelay || !canHedge())
        return std::nullopt;
    return m_firstSentAt + *m_parameters.hedgeDelay;
}

bool OutgoingCall::canHedge() const
{
    const bool mayHedge = m_phase == Phase::Active && m_parameters.isIdempotent && !m_parameters.isRepeat;
    return mayHedge && !m_hasHedged && !m_isAwaitingEndpoint && attemptsAgainstLimit() == 1 && m_parameters.limits.maximumAttempts >= 2;
}

} // namespace Knapweedquay
