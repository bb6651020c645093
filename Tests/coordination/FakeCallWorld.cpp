#include "FakeCallWorld.h"

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
constexpr Duration disturbanceInterval { 100000 };
constexpr Duration startWindow { 1000000 };

} // namespace

FakeCallWorld::FakeCallWorld(std::uint64_t seed, const FaultChances& chances, double budgetShare)
    : m_random(seed)
    , m_chances(chances)
    , m_endpoints(endpointCount)
    , m_retries(budgetShare)
    , m_hedges(budgetShare)
{
    for (std::size_t index = 0; index < endpointCount; ++index) {
        m_endpoints[index].node = NodeId(std::to_string(index));
        m_endpoints[index].table = std::make_unique<FateTable>(Incarnation(1));
    }
}

void FakeCallWorld::run(std::size_t callCount)
{
    m_calls.reserve(callCount);
    for (std::size_t count = 0; count < callCount; ++count)
        schedule(upTo(startWindow), [this] { startCall(); });
    for (Endpoint& each : m_endpoints) {
        for (Duration at = disturbanceInterval; at < startWindow + longestDeadline; at += disturbanceInterval)
            schedule(at, [this, &each] { disturb(each); });
    }
    while (!m_agenda.empty()) {
        auto next = m_agenda.extract(m_agenda.begin());
        m_now = next.key();
        next.mapped()();
    }
}

std::size_t FakeCallWorld::extraAttempts() const
{
    std::size_t extra = 0;
    for (const Call& call : m_calls) {
        const std::size_t unrefused = call.attempts - call.refused.size();
        extra += unrefused > 0 ? unrefused - 1 : 0;
    }
    return extra;
}

void FakeCallWorld::schedule(Duration delay, std::function<void()> step)
{
    m_agenda.emplace(m_now + delay, std::move(step));
}

void FakeCallWorld::transmit(const Endpoint& each, std::function<void()> deliver)
{
    if (each.isLinkSilent || chance(m_chances.messageLost))
        return;
    if (chance(m_chances.messageDuplicated))
        schedule(upTo(longestMessageDelay), deliver);
    schedule(upTo(longestMessageDelay), std::move(deliver));
}

void FakeCallWorld::startCall()
{
    const std::size_t index = m_calls.size();
    Call& call = m_calls.emplace_back();
    call.parameters.isIdempotent = chance(0.5);
    call.parameters.isRepeat = chance(0.2);
    call.parameters.deadline = m_now + upTo(longestDeadline);
    call.parameters.acceptanceTimeout = 2 * longestMessageDelay;
    if (chance(0.5))
        call.parameters.hedgeDelay = upTo(longestServiceTime);
    m_ordinaryCalls += !call.parameters.isRepeat;
    call.machine = std::make_unique<OutgoingCall>(call.parameters, CallBudgets { m_retries, m_hedges }, [this, index] {
        AttemptId id { NodeId("origin"), Incarnation(1), ++m_sequence };
        m_callOf[id] = index;
        return id;
    });
    if (chance(m_chances.callerGone))
        schedule(upTo(longestDeadline), [this, index] { feed(index, CallerDisconnected {}); });
    feed(index, CallStarted {});
}

void FakeCallWorld::disturb(Endpoint& each)
{
    if (chance(m_chances.nodeRestarted))
        restart(each);
    if (chance(m_chances.linkLost))
        loseLink(each);
    if (chance(m_chances.linkSilent))
        each.isLinkSilent = true;
}

void FakeCallWorld::loseLink(Endpoint& each)
{
    if (!std::exchange(each.isLinkUp, false))
        return;
    feedAll(LinkLost { each.node });
    schedule(upTo(longestReconnectTime), [this, &each] { restoreLink(each); });
}

void FakeCallWorld::restoreLink(Endpoint& each)
{
    each.isLinkUp = true;
    each.isLinkSilent = false;
    each.connection = ConnectionId(each.connection.value() + 1);
    feedAll(LinkRestored { each.node, each.incarnation });
}

void FakeCallWorld::restart(Endpoint& each)
{
    each.incarnation = Incarnation(each.incarnation.value() + 1);
    each.table = std::make_unique<FateTable>(each.incarnation);
    each.queued.clear();
    loseLink(each);
}

void FakeCallWorld::feedAll(const CallEvent& event)
{
    for (std::size_t index = 0; index < m_calls.size(); ++index)
        feed(index, event);
}

void FakeCallWorld::feed(std::size_t call, const CallEvent& event)
{
    if (const auto* refused = std::get_if<AttemptRefused>(&event))
        m_calls[call].refused.insert(refused->attempt);
    for (const CallAction& action : m_calls[call].machine->handle(event, m_now))
        std::visit([&](const auto& typedAction) { perform(call, typedAction); }, action);
}

void FakeCallWorld::perform(std::size_t call, const ChooseEndpoint& choose)
{
    std::vector<const Endpoint*> candidates;
    for (const Endpoint& each : m_endpoints) {
        if (std::find(choose.excluded.begin(), choose.excluded.end(), each.node) == choose.excluded.end())
            candidates.push_back(&each);
    }
    if (candidates.empty())
        return schedule(Duration(0), [this, call] { feed(call, NoEndpointAvailable {}); });
    const Endpoint& chosen = *candidates[m_random() % candidates.size()];
    schedule(Duration(0), [this, call, &chosen] { feed(call, EndpointChosen { chosen.node, chosen.incarnation }); });
}

void FakeCallWorld::perform(std::size_t call, const SendAttempt& send)
{
    Endpoint& target = endpoint(send.node);
    m_calls[call].attempts += !send.isResend;
    if (!target.isLinkUp && !send.isResend) {
        return schedule(Duration(0), [this, call, send] { feed(call, AttemptRefused { send.attempt, { ResultCode::PeerUnreachable } }); });
    }
    const AttemptRequest request { send.attempt, send.target, send.isResend, target.connection };
    transmit(target, [this, &target, request, send] { performFate(target, target.table->receive(request, m_now), send.remaining); });
}

void FakeCallWorld::perform(std::size_t, const CancelAttempt& cancel)
{
    Endpoint& target = endpoint(cancel.node);
    const ConnectionId connection = target.connection;
    transmit(target, [this, &target, cancel, connection] {
        performFate(target, target.table->cancel(cancel.attempt, cancel.target, connection, m_now), Duration(0));
    });
}

void FakeCallWorld::perform(std::size_t, const ReplaceLink& replace)
{
    Endpoint& target = endpoint(replace.node);
    schedule(upTo(longestReconnectTime), [this, &target] { restoreLink(target); });
}

void FakeCallWorld::perform(std::size_t call, const SetTimer& timer)
{
    const std::size_t generation = ++m_calls[call].timerGeneration;
    schedule(std::max(timer.at - m_now, Duration(0)), [this, call, generation] {
        if (m_calls[call].timerGeneration == generation)
            feed(call, TimerFired {});
    });
}

void FakeCallWorld::perform(std::size_t call, const ClearTimer&)
{
    ++m_calls[call].timerGeneration;
}

void FakeCallWorld::perform(std::size_t call, const FinishCall& finish)
{
    m_calls[call].outcome = finish.outcome;
    m_calls[call].finishedAt = m_now;
}

void FakeCallWorld::performFate(Endpoint& each, const FateActions& actions, Duration remaining)
{
    for (const FateAction& action : actions) {
        if (const auto* admitted = std::get_if<AdmitAttempt>(&action))
            admit(each, admitted->attempt, remaining);
        else if (const auto* removed = std::get_if<RemoveFromQueue>(&action))
            each.queued.erase(removed->attempt);
        else if (const auto* progress = std::get_if<SendInProgress>(&action))
            reply(each, progress->attempt, AttemptAccepted { progress->attempt });
        else if (const auto* answer = std::get_if<SendAnswer>(&action))
            reply(each, answer->attempt, AttemptAnswered { answer->attempt, answer->answer });
        else if (const auto* refusal = std::get_if<SendRefusal>(&action))
            reply(each, refusal->attempt, AttemptRefused { refusal->attempt, refusal->refusal });
        else if (const auto* unknown = std::get_if<SendUnknown>(&action))
            reply(each, unknown->attempt, AttemptUnknown { unknown->attempt, unknown->code });
        else if (const auto* cancel = std::get_if<SendCancelResult>(&action))
            reply(each, cancel->attempt, CancelAcknowledged { cancel->attempt, cancel->result });
    }
}

void FakeCallWorld::reply(Endpoint& each, const AttemptId& id, const CallEvent& event)
{
    transmit(each, [this, id, event] { feed(m_callOf.at(id), event); });
}

void FakeCallWorld::admit(Endpoint& each, const AttemptId& id, Duration remaining)
{
    if (chance(m_chances.refused))
        return performFate(each, each.table->refuse(id, { ResultCode::Overloaded, Duration(1), chance(0.2) }, m_now), Duration(0));
    reply(each, id, AttemptAccepted { id });
    each.queued.insert(id);
    const TimePoint deadline = m_now + remaining;
    schedule(upTo(longestQueueTime), [this, &each, id, deadline, incarnation = each.incarnation] {
        if (each.incarnation == incarnation && each.queued.erase(id))
            startAttempt(each, id, deadline);
    });
}

void FakeCallWorld::startAttempt(Endpoint& each, const AttemptId& id, TimePoint deadline)
{
    if (deadline <= m_now)
        return performFate(each, each.table->refuse(id, { ResultCode::DeadlineExpired }, m_now), Duration(0));
    if (!each.table->tryStart(id))
        return;
    ++m_calls[m_callOf.at(id)].runs;
    schedule(upTo(longestServiceTime), [this, &each, id, incarnation = each.incarnation] {
        if (each.incarnation != incarnation)
            return;
        const auto answer = std::make_shared<const std::string>(std::to_string(m_callOf.at(id)));
        performFate(each, each.table->answer(id, answer, m_now), Duration(0));
    });
}

} // namespace Knapweedquay
