#include "CallSimulation.h"

#include <algorithm>
#include <utility>

namespace Knapweedquay {

namespace {

constexpr std::size_t endpointCount = 4;
constexpr Duration longestMessageDelay { 40000 };
constexpr Duration longestQueueTime { 60000 };
constexpr Duration longestServiceTime { 200000 };
constexpr Duration longestDeadline { 600000 };
constexpr Duration longestReconnectTime { 150000 };
constexpr Duration faultInterval { 100000 };
constexpr Duration startWindow { 1000000 };

} // namespace

CallSimulation::CallSimulation(std::uint64_t seed, const FaultProbabilities& faultProbabilities, double budgetShare)
    : m_random(seed)
    , m_faultProbabilities(faultProbabilities)
    , m_endpoints(endpointCount)
    , m_retries(budgetShare)
    , m_hedges(budgetShare)
{
    for (std::size_t index = 0; index < endpointCount; ++index) {
        m_endpoints[index].node = NodeId(std::to_string(index));
        m_endpoints[index].table = std::make_unique<FateTable>(Incarnation(1));
    }
}

void CallSimulation::run(std::size_t callCount)
{
    m_calls.reserve(callCount);
    for (std::size_t count = 0; count < callCount; ++count)
        schedule(randomUpTo(startWindow), [this] { startCall(); });
    for (Endpoint& endpoint : m_endpoints) {
        for (Duration at = faultInterval; at < startWindow + longestDeadline; at += faultInterval)
            schedule(at, [this, &endpoint] { injectFaults(endpoint); });
    }
    if (chance(m_faultProbabilities.originStops))
        schedule(randomUpTo(startWindow), [this] { stopOrigin(); });
    while (!m_eventQueue.empty()) {
        auto next = m_eventQueue.extract(m_eventQueue.begin());
        m_now = next.key();
        next.mapped()();
    }
}

std::size_t CallSimulation::extraAttempts() const
{
    std::size_t extra = 0;
    for (const Call& call : m_calls) {
        const std::size_t unrefused = call.attempts - call.refused.size();
        extra += unrefused > 0 ? unrefused - 1 : 0;
    }
    return extra;
}

void CallSimulation::schedule(Duration delay, std::function<void()> step)
{
    m_eventQueue.emplace(m_now + delay, std::move(step));
}

void CallSimulation::transmit(const Endpoint& endpoint, std::function<void()> deliver)
{
    if (endpoint.isLinkUnresponsive || chance(m_faultProbabilities.messageLost))
        return;
    if (chance(m_faultProbabilities.messageDuplicated))
        schedule(randomUpTo(longestMessageDelay), deliver);
    schedule(randomUpTo(longestMessageDelay), std::move(deliver));
}

void CallSimulation::startCall()
{
    const std::size_t index = m_calls.size();
    Call& call = m_calls.emplace_back();
    call.parameters.isIdempotent = chance(0.5);
    call.parameters.isRepeat = chance(0.2);
    call.parameters.deadline = m_now + randomUpTo(longestDeadline);
    call.parameters.acceptanceTimeout = 2 * longestMessageDelay;
    if (chance(0.5))
        call.parameters.hedgeDelay = randomUpTo(longestServiceTime);
    m_nonRepeatCalls += !call.parameters.isRepeat;
    call.stateMachine = std::make_unique<OutgoingCall>(call.parameters, CallBudgets { m_retries, m_hedges }, [this, index] {
        AttemptId id { NodeId("origin"), Incarnation(1), ++m_sequence };
        m_callOf[id] = index;
        return id;
    });
    if (chance(m_faultProbabilities.callerDisconnected))
        schedule(randomUpTo(longestDeadline), [this, index] { dispatch(index, CallerDisconnected {}); });
    if (m_answersBy)
        dispatch(index, NodeStops { *m_answersBy });
    dispatch(index, CallStarted {});
}

void CallSimulation::stopOrigin()
{
    const Duration notice = randomUpTo(longestDeadline);
    m_answersBy = m_now + notice;
    dispatchToAll(NodeStops { *m_answersBy });
    schedule(notice, [this] { dispatchToAll(NodeEnds {}); });
}

void CallSimulation::injectFaults(Endpoint& endpoint)
{
    if (chance(m_faultProbabilities.nodeRestarted))
        restart(endpoint);
    if (chance(m_faultProbabilities.linkLost))
        loseLink(endpoint);
    if (chance(m_faultProbabilities.linkUnresponsive))
        endpoint.isLinkUnresponsive = true;
}

void CallSimulation::loseLink(Endpoint& endpoint)
{
    if (!std::exchange(endpoint.isLinkUp, false))
        return;
    returnCopies(endpoint);
    dispatchToAll(LinkLost { endpoint.node });
    schedule(randomUpTo(longestReconnectTime), [this, &endpoint] { restoreLink(endpoint); });
}

void CallSimulation::restoreLink(Endpoint& endpoint)
{
    endpoint.isLinkUp = true;
    endpoint.isLinkUnresponsive = false;
    endpoint.connection = ConnectionId(endpoint.connection.value() + 1);
    const std::vector<SendAttempt> waitingCopies = std::exchange(endpoint.waitingCopies, {});
    dispatchToAll(LinkRestored { endpoint.node, endpoint.incarnation });
    for (const SendAttempt& send : waitingCopies)
        sendCopy(endpoint, send);
}

void CallSimulation::sendCopy(Endpoint& target, const SendAttempt& send)
{
    m_transmissions[send.attempt].copySent();
    const AttemptRequest request { send.attempt, send.target, send.isResend, target.connection };
    transmit(target, [this, &target, request, send] { performFate(target, target.table->receive(request, m_now), send.remaining); });
}

void CallSimulation::returnCopies(Endpoint& endpoint)
{
    for (const SendAttempt& send : std::exchange(endpoint.waitingCopies, {})) {
        if (m_transmissions[send.attempt].copyReturned())
            dispatch(m_callOf.at(send.attempt), AttemptRefused { send.attempt, { ResultCode::PeerUnreachable } });
    }
}

void CallSimulation::restart(Endpoint& endpoint)
{
    endpoint.incarnation = Incarnation(endpoint.incarnation.value() + 1);
    endpoint.table = std::make_unique<FateTable>(endpoint.incarnation);
    endpoint.queued.clear();
    loseLink(endpoint);
}

void CallSimulation::dispatchToAll(const CallEvent& event)
{
    for (std::size_t index = 0; index < m_calls.size(); ++index)
        dispatch(index, event);
}

void CallSimulation::dispatch(std::size_t call, const CallEvent& event)
{
    if (const auto* refused = std::get_if<AttemptRefused>(&event))
        m_calls[call].refused.insert(refused->attempt);
    for (const CallAction& action : m_calls[call].stateMachine->handle(event, m_now))
        std::visit([&](const auto& typedAction) { perform(call, typedAction); }, action);
}

void CallSimulation::perform(std::size_t call, const ChooseEndpoint& choose)
{
    std::vector<const Endpoint*> candidates;
    for (const Endpoint& endpoint : m_endpoints) {
        if (std::find(choose.excluded.begin(), choose.excluded.end(), endpoint.node) == choose.excluded.end())
            candidates.push_back(&endpoint);
    }
    if (candidates.empty())
        return schedule(Duration(0), [this, call] { dispatch(call, NoEndpointAvailable {}); });
    const Endpoint& chosen = *candidates[m_random() % candidates.size()];
    schedule(Duration(0), [this, call, &chosen] { dispatch(call, EndpointChosen { chosen.node, chosen.incarnation }); });
}

void CallSimulation::perform(std::size_t call, const SendAttempt& send)
{
    Endpoint& target = endpointOf(send.node);
    AttemptTransmission& transmission = m_transmissions[send.attempt];
    if (send.isResend && transmission.hasWaitingCopy())
        return;
    m_calls[call].attempts += !send.isResend;
    transmission.copyHandedOver();
    if (target.isLinkUp && !chance(m_faultProbabilities.copyWaits))
        return sendCopy(target, send);
    target.waitingCopies.push_back(send);
    schedule(randomUpTo(longestReconnectTime), [this, &target] { returnCopies(target); });
}

void CallSimulation::perform(std::size_t, const CancelAttempt& cancel)
{
    Endpoint& target = endpointOf(cancel.node);
    const ConnectionId connection = target.connection;
    transmit(target, [this, &target, cancel, connection] {
        performFate(target, target.table->cancel(cancel.attempt, cancel.target, connection, m_now), Duration(0));
    });
}

void CallSimulation::perform(std::size_t, const LimitAttempt& limit)
{
    Endpoint& target = endpointOf(limit.node);
    transmit(target, [this, &target, limit] {
        schedule(limit.answerWithin, [this, &target, limit] {
            if (target.incarnation == limit.target && target.queued.erase(limit.attempt))
                performFate(target, target.table->refuse(limit.attempt, { ResultCode::DeadlineCannotBeMet, Duration(1) }, m_now), Duration(0));
        });
    });
}

void CallSimulation::perform(std::size_t, const ReplaceLink& replace)
{
    Endpoint& target = endpointOf(replace.node);
    schedule(randomUpTo(longestReconnectTime), [this, &target] { restoreLink(target); });
}

void CallSimulation::perform(std::size_t call, const SetTimer& timer)
{
    const std::size_t generation = ++m_calls[call].timerGeneration;
    schedule(std::max(timer.at - m_now, Duration(0)), [this, call, generation] {
        if (m_calls[call].timerGeneration == generation)
            dispatch(call, TimerFired {});
    });
}

void CallSimulation::perform(std::size_t call, const ClearTimer&)
{
    ++m_calls[call].timerGeneration;
}

void CallSimulation::perform(std::size_t call, const FinishCall& finish)
{
    m_calls[call].outcome = finish.outcome;
    m_calls[call].finishedAt = m_now;
}

void CallSimulation::performFate(Endpoint& endpoint, const FateActions& actions, Duration remaining)
{
    for (const FateAction& action : actions) {
        if (const auto* admitted = std::get_if<AdmitAttempt>(&action))
            admit(endpoint, admitted->attempt, remaining);
        else if (const auto* removed = std::get_if<RemoveFromQueue>(&action))
            endpoint.queued.erase(removed->attempt);
        else if (const auto* progress = std::get_if<SendInProgress>(&action))
            reply(endpoint, progress->attempt, AttemptAccepted { progress->attempt });
        else if (const auto* answer = std::get_if<SendAnswer>(&action))
            reply(endpoint, answer->attempt, AttemptAnswered { answer->attempt, answer->answer });
        else if (const auto* refusal = std::get_if<SendRefusal>(&action))
            reply(endpoint, refusal->attempt, AttemptRefused { refusal->attempt, refusal->refusal });
        else if (const auto* unknown = std::get_if<SendUnknown>(&action))
            reply(endpoint, unknown->attempt, AttemptUnknown { unknown->attempt, unknown->code });
        else if (const auto* cancel = std::get_if<SendCancelResult>(&action))
            reply(endpoint, cancel->attempt, CancelAcknowledged { cancel->attempt, cancel->result });
    }
}

void CallSimulation::reply(Endpoint& endpoint, const AttemptId& id, const CallEvent& event)
{
    transmit(endpoint, [this, id, event] { dispatch(m_callOf.at(id), event); });
}

void CallSimulation::admit(Endpoint& endpoint, const AttemptId& id, Duration remaining)
{
    if (chance(m_faultProbabilities.refused))
        return performFate(endpoint, endpoint.table->refuse(id, { ResultCode::Overloaded, Duration(1), chance(0.2) }, m_now), Duration(0));
    reply(endpoint, id, AttemptAccepted { id });
    endpoint.queued.insert(id);
    const TimePoint deadline = m_now + remaining;
    schedule(randomUpTo(longestQueueTime), [this, &endpoint, id, deadline, incarnation = endpoint.incarnation] {
        if (endpoint.incarnation == incarnation && endpoint.queued.erase(id))
            startAttempt(endpoint, id, deadline);
    });
}

void CallSimulation::startAttempt(Endpoint& endpoint, const AttemptId& id, TimePoint deadline)
{
    if (deadline <= m_now)
        return performFate(endpoint, endpoint.table->refuse(id, { ResultCode::DeadlineExpired }, m_now), Duration(0));
    if (!endpoint.table->tryStart(id))
        return;
    ++m_calls[m_callOf.at(id)].runs;
    schedule(randomUpTo(longestServiceTime), [this, &endpoint, id, incarnation = endpoint.incarnation] {
        if (endpoint.incarnation != incarnation)
            return;
        const auto answer = std::make_shared<const HttpResponse>(HttpResponse { 200, {}, std::to_string(m_callOf.at(id)) });
        performFate(endpoint, endpoint.table->answer(id, answer, m_now), Duration(0));
    });
}

} // namespace Knapweedquay
