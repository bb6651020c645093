#include "coordination/admission/AdmissionQueue.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace Knapweedquay {

namespace {

constexpr std::size_t maximumQueuedPerPriority = 1024;
constexpr Duration minimumRetryAfter { 20000 };
constexpr Duration maximumRetryAfter { 10000000 };
/// Time that waiting calls have to start once the endpoint drains.
constexpr Duration drainQueueTime { 1000000 };
/// A queue that has not been empty for this long, and for the tail of a service time, is a standing one, not a burst.
constexpr Duration standingQueueTime { 100000 };
/// Multiple of the mean service time that few calls exceed.
constexpr int serviceTailFactor = 4;
/// Part of the target that the service may take for the target to bound the wait.
constexpr double targetShare = 0.9;
/// Late calls that may wait for what the others leave, as a share of the slots, and how long.
constexpr double lateQueueShare = 0.5;
constexpr Duration lateQueueTime { 300000 };
constexpr double failureWeight = 1.0 / 16;
constexpr double perThousand = 1000;
/// Cost of a call while nothing is known about it.
constexpr double unknownCostMicroseconds = 5000;
/// Time constant of the work that is counted as recent.
constexpr double recentMicroseconds = 500000;
/// Least part of the capacity that a wait is worked out with.
constexpr double smallestShare = 0.001;
/// Part of the slots that a priority may lose to calls that have not come yet.
constexpr double largestReserve = 0.5;

} // namespace

AdmissionQueue::AdmissionQueue(const ServiceDocument& document, std::optional<std::uint32_t> slots)
    : m_limit(slots.value_or(document.defaultSlots))
    , m_defaultSlots(document.defaultSlots)
    , m_announcedSlots(slots)
{
    setDocument(document);
}

AdmissionQueue::~AdmissionQueue()
{
    for (auto& lane : m_lanes)
        lane.queue.clear();
    m_expiryOrder.clear();
}

AdmissionDecision AdmissionQueue::offer(CallTicket ticket, PriorityIndex priority, TimePoint deadline, TimePoint now, TimePoint targetAt)
{
    m_now = now;
    if (m_calls.count(ticket))
        return refusal(ResultCode::AlreadyRunning, Duration(0));
    if (m_draining)
        return refusal(ResultCode::Draining, Duration(0));
    if (deadline <= now)
        return refusal(ResultCode::DeadlineExpired, Duration(0));

    Call call;
    call.ticket = ticket;
    call.priority = laneIndex(priority);
    call.lane = call.priority;
    call.deadline = deadline;
    const auto& lane = m_lanes[call.lane];
    const auto wait = waitInLane(call.lane, now);
    // An idle backend server takes any call, so that an estimate that went wrong is put right.
    if (m_running && now + wait + atPresentSpeed(lane.serviceTime.lowerQuartile()) > deadline)
        return refusal(ResultCode::DeadlineCannotBeMet, wait);
    const auto latestStart = deadline - atPresentSpeed(lane.serviceTime.lowerQuartile());
    const bool hasTarget = hasUsefulTarget(lane, targetAt);
    if (hasTarget && now + wait + atPresentSpeed(lane.serviceTime.mean()) > targetAt)
        return offerLate(call, now);
    const bool startsNow = canStart(call.priority, false, now) && !hasQueuedUpTo(call.lane);
    const auto allowed = hasTarget ? lane.maximumQueueTime : allowedWait(lane, now);
    if (!startsNow && (wait > allowed || lane.queue.size() >= maximumQueuedPerPriority))
        return refusal(ResultCode::Overloaded, wait);
    // Given up while there is still time to tell the caller, and to try elsewhere.
    const auto targetStart = hasTarget ? targetAt - atPresentSpeed(lane.serviceTime.lowerQuartile()) : TimePoint::max();
    const auto queueEnd = std::min(now + lane.maximumQueueTime, targetStart);
    call.expiry = std::min(latestStart, queueEnd);
    call.expiryCode = latestStart < queueEnd ? ResultCode::DeadlineCannotBeMet : ResultCode::Overloaded;
    return admit(call, startsNow, now);
}

// An overloaded endpoint that ran late calls in their turn would make all others late as well.
AdmissionDecision AdmissionQueue::offerLate(Call call, TimePoint now)
{
    call.lane = lateLane();
    const bool startsNow = canStart(call.priority, true, now) && !hasQueuedUpTo(call.lane);
    const auto& lane = m_lanes[call.lane];
    const bool isTakenByOthers = reservedFrom(call.priority, true, now) >= m_limit.value(now);
    if (!startsNow && (isTakenByOthers || static_cast<double>(lane.queue.size()) >= lateQueueShare * m_limit.value(now)))
        return refusal(ResultCode::Overloaded, waitInLane(call.lane, now));
    call.expiry = std::min(call.deadline - atPresentSpeed(m_lanes[call.priority].serviceTime.lowerQuartile()), now + lateQueueTime);
    call.expiryCode = ResultCode::Overloaded;
    return admit(call, startsNow, now);
}

AdmissionDecision AdmissionQueue::admit(const Call& offered, bool startsNow, TimePoint now)
{
    auto& call = m_calls[offered.ticket];
    call.ticket = offered.ticket;
    call.priority = offered.priority;
    call.lane = offered.lane;
    call.deadline = offered.deadline;
    if (startsNow) {
        start(call, now);
        return { AdmissionKind::Started, ResultCode::Ok, Duration(0) };
    }
    call.expiry = offered.expiry;
    call.expiryCode = offered.expiryCode;
    enqueue(call, now);
    return { AdmissionKind::Queued, ResultCode::Ok, Duration(0) };
}

// A target that the service time nearly fills, or exceeds, is no measure of the wait.
bool AdmissionQueue::hasUsefulTarget(const Lane& lane, TimePoint targetAt) const
{
    return targetAt != TimePoint::max() && lane.serviceTime.hasSamples() && lane.serviceTime.mean() < targetShare * lane.target;
}

void AdmissionQueue::finished(CallTicket ticket, BackendOutcome outcome, TimePoint now)
{
    const auto found = m_calls.find(ticket);
    if (found == m_calls.end() || found->second.expiryHook.is_linked())
        return;
    const auto& call = found->second;
    auto& lane = m_lanes[call.priority];
    // Compared at the usual speed, so that a slow machine is not taken for slow work.
    const Duration latency(static_cast<Duration::rep>(workDone(now) - call.workAtStart));
    switch (outcome) {
    case BackendOutcome::Succeeded:
        lane.serviceTime.observe(latency);
        m_serviceTime.observe(latency);
        m_limit.observe(PriorityIndex(static_cast<std::uint32_t>(call.priority)), latency, call.runningAtStart, now);
        ++m_completedCalls;
        countOutcome(false);
        break;
    case BackendOutcome::Failed:
        countOutcome(true);
        [[fallthrough]];
    case BackendOutcome::Abandoned:
        lane.serviceTime.observeFailure(latency);
        m_serviceTime.observeFailure(latency);
        break;
    case BackendOutcome::Shed:
        m_limit.observeShed(m_running);
        break;
    }
    --m_running;
    --m_lanes[call.lane].running;
    m_calls.erase(found);
}

CancelResult AdmissionQueue::cancel(CallTicket ticket)
{
    const auto found = m_calls.find(ticket);
    if (found == m_calls.end())
        return CancelResult::Unknown;
    if (!found->second.expiryHook.is_linked())
        return CancelResult::Running;
    dequeue(found->second);
    m_calls.erase(found);
    return CancelResult::NotRun;
}

StartableCalls AdmissionQueue::takeStartable(TimePoint now)
{
    m_now = now;
    StartableCalls calls;
    // First: after a freeze of the process many calls may be past their deadline.
    giveUpExpired(now, calls.givenUp);
    while (const auto lane = nextLane(now)) {
        auto& call = m_lanes[*lane].queue.front();
        dequeue(call);
        start(call, now);
        calls.started.push_back(call.ticket);
    }
    return calls;
}

std::optional<TimePoint> AdmissionQueue::nextTimer() const
{
    if (!hasQueued())
        return std::nullopt;
    return m_expiryOrder.begin()->expiry;
}

void AdmissionQueue::setDocument(const ServiceDocument& document)
{
    // The last lane is for late calls of any priority.
    std::vector<Lane> lanes(std::max<std::size_t>(document.priorities.size(), 1) + 1);
    const std::size_t lastPriority = lanes.size() - 2;
    const auto newPlace = [&](std::size_t lane) {
        return lane + 1 == m_lanes.size() ? lanes.size() - 1 : std::min(lane, lastPriority);
    };
    for (std::size_t index = 0; index < document.priorities.size(); ++index) {
        lanes[index].minimumShare = document.priorities[index].minimumShare;
        lanes[index].maximumQueueTime = document.priorities[index].maximumQueueTime;
        lanes[index].target = document.priorities[index].target;
    }
    for (std::size_t index = 0; index < m_lanes.size(); ++index) {
        auto& target = lanes[newPlace(index)];
        target.queue.splice(target.queue.end(), m_lanes[index].queue);
        if (index > lastPriority && newPlace(index) <= lastPriority)
            continue;
        target.serviceTime = m_lanes[index].serviceTime;
        target.credit = m_lanes[index].credit;
        target.recentWork = m_lanes[index].recentWork;
        target.recentWorkAt = m_lanes[index].recentWorkAt;
        target.backlogSince = m_lanes[index].backlogSince;
    }
    for (auto& entry : m_calls) {
        entry.second.priority = std::min(entry.second.priority, lastPriority);
        entry.second.lane = newPlace(entry.second.lane);
        lanes[entry.second.lane].running += entry.second.expiryHook.is_linked() ? 0 : 1;
    }
    m_lanes = std::move(lanes);

    m_defaultSlots = document.defaultSlots;
    m_limit.setSlots(m_announcedSlots.value_or(m_defaultSlots));
}

void AdmissionQueue::setSlowdown(std::uint32_t percent, TimePoint now)
{
    m_now = now;
    m_limit.setTellsLoad(true);
    m_workDone = workDone(now);
    m_workDoneAt = now;
    m_slowdownPercent = std::max(percent, 1U);
}

Duration AdmissionQueue::atPresentSpeed(Duration usual) const
{
    return usual * static_cast<Duration::rep>(m_slowdownPercent) / static_cast<Duration::rep>(usualPercent);
}

double AdmissionQueue::workDone(TimePoint now) const
{
    return m_workDone + static_cast<double>((now - m_workDoneAt).count()) * usualPercent / m_slowdownPercent;
}

void AdmissionQueue::setBackend(std::optional<std::uint32_t> slots)
{
    m_announcedSlots = slots;
    m_limit = ConcurrencyLimit(slots.value_or(m_defaultSlots));
    m_completedCalls = 0;
    m_failureRate = 0;
    m_slowdownPercent = usualPercent;
}

void AdmissionQueue::drain(TimePoint now)
{
    m_draining = true;
    const auto latestStart = now + drainQueueTime;
    while (hasQueued() && m_expiryOrder.rbegin()->expiry > latestStart) {
        auto& call = *m_expiryOrder.rbegin();
        m_expiryOrder.erase(m_expiryOrder.iterator_to(call));
        call.expiry = latestStart;
        call.expiryCode = ResultCode::Draining;
        m_expiryOrder.insert(call);
    }
}

LoadReport AdmissionQueue::report() const
{
    LoadReport report;
    report.running = m_running;
    report.concurrencyLimit = m_limit.value(m_now);
    report.queued.reserve(lateLane());
    // Late calls hold nobody up.
    for (std::size_t lane = 0; lane < lateLane(); ++lane) {
        report.queued.push_back(static_cast<std::uint32_t>(m_lanes[lane].queue.size()));
        report.serviceTimes.push_back(m_lanes[lane].serviceTime.mean());
    }
    report.serviceTime = m_serviceTime.mean();
    report.completedCalls = m_completedCalls;
    report.failuresPerThousand = static_cast<std::uint32_t>(perThousand * m_failureRate);
    report.slowdownPercent = m_slowdownPercent;
    report.draining = m_draining;
    return report;
}

Duration AdmissionQueue::estimatedWait(PriorityIndex priority, TimePoint now) const
{
    return waitInLane(laneIndex(priority), now);
}

Duration AdmissionQueue::waitInLane(std::size_t index, TimePoint now) const
{
    const bool isLate = index == lateLane();
    if (canStart(isLate ? index - 1 : index, isLate, now) && !hasQueuedUpTo(index))
        return Duration(0);
    const auto& lane = m_lanes[index];
    double urgentWork = 0;
    double freeShare = 1;
    for (std::size_t other = 0; other < m_lanes.size(); ++other) {
        const auto& otherLane = m_lanes[other];
        if (other < index) {
            urgentWork += cost(otherLane) * static_cast<double>(otherLane.queue.size());
            freeShare -= recentShare(otherLane, now);
        } else if (other > index && !otherLane.queue.empty())
            freeShare -= otherLane.minimumShare;
    }
    const double ownWork = cost(lane) * static_cast<double>(lane.queue.size() + 1);
    const double limit = m_limit.value(m_now);
    const double waitByUrgency = (urgentWork + ownWork) / (limit * std::max(freeShare, smallestShare));
    const double waitByShare = ownWork / (limit * std::max(lane.minimumShare, smallestShare));
    return atPresentSpeed(Duration(static_cast<Duration::rep>(std::min(waitByUrgency, waitByShare))));
}

std::size_t AdmissionQueue::laneIndex(PriorityIndex priority) const
{
    return std::min<std::size_t>(priority.value(), m_lanes.size() - 2);
}

double AdmissionQueue::cost(const Lane& lane) const
{
    if (lane.serviceTime.hasSamples())
        return static_cast<double>(std::max<Duration::rep>(lane.serviceTime.mean().count(), 1));
    if (m_serviceTime.hasSamples())
        return static_cast<double>(std::max<Duration::rep>(m_serviceTime.mean().count(), 1));
    return unknownCostMicroseconds;
}

Duration AdmissionQueue::allowedWait(const Lane& lane, TimePoint now) const
{
    const auto serviceTail = atPresentSpeed(lane.serviceTime.mean()) * serviceTailFactor;
    const auto burstTime = std::max(standingQueueTime, serviceTail);
    if (lane.queue.empty() || now - lane.backlogSince <= burstTime)
        return lane.maximumQueueTime;
    // A target that the service time nearly fills, or exceeds, is no measure of the wait.
    return std::min(lane.maximumQueueTime, std::max(lane.target - serviceTail, serviceTail));
}

double AdmissionQueue::recentShare(const Lane& lane, TimePoint now) const
{
    const auto age = static_cast<double>((now - lane.recentWorkAt).count());
    return lane.recentWork * std::exp(-age / recentMicroseconds) / (recentMicroseconds * m_limit.value(m_now));
}

bool AdmissionQueue::hasQueuedUpTo(std::size_t lane) const
{
    return std::any_of(m_lanes.begin(), m_lanes.begin() + static_cast<std::ptrdiff_t>(lane) + 1, [](const Lane& other) { return !other.queue.empty(); });
}

// What usually runs of the lane, and its square root, as for arrivals that are independent of each other; what runs of it
// already needs no free slot.
double AdmissionQueue::expectedSoon(const Lane& lane, TimePoint now) const
{
    const double usual = recentShare(lane, now) * m_limit.value(now) * m_slowdownPercent / usualPercent;
    return std::max(0.0, usual + std::sqrt(usual) - lane.running);
}

double AdmissionQueue::reservedFrom(std::size_t priority, bool isLate, TimePoint now) const
{
    double forMoreUrgent = 0;
    double forLate = 0;
    for (std::size_t other = 0; other < lateLane(); ++other) {
        const auto& lane = m_lanes[other];
        if (other < priority)
            forMoreUrgent += expectedSoon(lane, now);
        // On a slowed machine all calls are late, and those that begin there hold their slots until long after it.
        if (isLate && atPresentSpeed(lane.serviceTime.mean()) >= lane.target)
            forLate += expectedSoon(lane, now);
    }
    return std::max(forLate, std::min(forMoreUrgent, largestReserve * m_limit.value(now)));
}

bool AdmissionQueue::canStart(std::size_t priority, bool isLate, TimePoint now) const
{
    // A backend server without calls keeps nothing free: no later event would start those that wait.
    return m_running == 0 || m_running + reservedFrom(priority, isLate, now) < m_limit.value(now);
}

std::optional<std::size_t> AdmissionQueue::nextLane(TimePoint now) const
{
    if (!hasFreeSlot())
        return std::nullopt;
    std::optional<std::size_t> mostUrgent;
    for (std::size_t index = 0; index < m_lanes.size(); ++index) {
        const auto& lane = m_lanes[index];
        if (lane.queue.empty())
            continue;
        if (lane.credit >= cost(lane))
            return index;
        if (!mostUrgent && canStart(lane.queue.front().priority, index == lateLane(), now))
            mostUrgent = index;
    }
    return mostUrgent;
}

void AdmissionQueue::enqueue(Call& call, TimePoint now)
{
    auto& lane = m_lanes[call.lane];
    if (lane.queue.empty())
        lane.backlogSince = now;
    lane.queue.push_back(call);
    m_expiryOrder.insert(call);
}

void AdmissionQueue::dequeue(Call& call)
{
    auto& queue = m_lanes[call.lane].queue;
    queue.erase(queue.iterator_to(call));
    m_expiryOrder.erase(m_expiryOrder.iterator_to(call));
}

void AdmissionQueue::start(Call& call, TimePoint now)
{
    ++m_running;
    ++m_lanes[call.lane].running;
    call.startedAt = now;
    call.workAtStart = workDone(now);
    call.runningAtStart = m_running;
    chargeStart(call.lane, now);
}

void AdmissionQueue::giveUpExpired(TimePoint now, std::vector<GivenUpCall>& givenUp)
{
    while (hasQueued() && m_expiryOrder.begin()->expiry <= now) {
        auto& call = *m_expiryOrder.begin();
        dequeue(call);
        const auto code = call.deadline <= now ? ResultCode::DeadlineExpired : call.expiryCode;
        const PriorityIndex priority(static_cast<std::uint32_t>(call.priority));
        const auto refused = refusal(code, estimatedWait(priority, now));
        givenUp.push_back({ call.ticket, refused.code, refused.retryAfter });
        m_calls.erase(call.ticket);
    }
}

void AdmissionQueue::countOutcome(bool failed)
{
    m_failureRate += failureWeight * ((failed ? 1 : 0) - m_failureRate);
}

void AdmissionQueue::chargeStart(std::size_t started, TimePoint now)
{
    auto& lane = m_lanes[started];
    const double startedCost = cost(lane);
    lane.credit -= startedCost;
    for (auto& other : m_lanes) {
        other.credit += other.minimumShare * startedCost;
        // A priority without waiting calls keeps credit for one call only: it must not save up for a burst. The one
        // that just started its last waiting call may have the next one at hand.
        if (other.queue.empty() && &other != &lane)
            other.credit = std::min(other.credit, cost(other));
    }
    // Not below zero: what was started on free capacity is not held against the priority later.
    lane.credit = std::max(0.0, lane.credit);
    const auto age = static_cast<double>((now - lane.recentWorkAt).count());
    lane.recentWork = lane.recentWork * std::exp(-age / recentMicroseconds) + startedCost;
    lane.recentWorkAt = now;
}

AdmissionDecision AdmissionQueue::refusal(ResultCode code, Duration wait) const
{
    return { AdmissionKind::Refused, code, std::clamp(wait, minimumRetryAfter, maximumRetryAfter) };
}

} // namespace Knapweedquay
