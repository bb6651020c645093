#include "coordination/admission/AdmissionQueue.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace Knapweedquay {

namespace {

constexpr std::size_t maximumQueuedPerPriority = 1024;
constexpr Duration minimumRetryAfter { 20000 };
constexpr Duration maximumRetryAfter { 10000000 };
/// A queue that has not been empty for this long, and for the tail of the service time, is a standing queue, not a
/// burst.
constexpr Duration standingQueueTime { 100000 };
/// Multiple of the mean service time that few calls exceed.
constexpr int serviceTailFactor = 4;
/// The target limits the wait only if the mean service time is below this share of it.
constexpr double maximumServiceShareOfTarget = 0.9;
/// Maximum number of queued late calls, as a share of the concurrency limit.
constexpr double lateQueueShare = 0.5;
/// Maximum time in the queue for late calls.
constexpr Duration lateQueueTime { 300000 };
/// Weight of a new sample in the moving average of the failure rate.
constexpr double failureWeight = 1.0 / 16;
constexpr double perThousand = 1000;
/// Cost of a call while no service time has been measured.
constexpr double unknownCostMicroseconds = 5000;
/// Time constant of the decay of the recent work.
constexpr double recentWorkDecayMicroseconds = 500000;
constexpr double microsecondsPerSecond = 1e6;
/// A priority with fewer recently started calls than this is not expected to have another one soon.
constexpr double minimumRecentStarts = 0.1;
/// Minimum share of the capacity used in the estimate of a wait.
constexpr double minimumCapacityShare = 0.001;
/// Maximum share of the slots reserved for more urgent calls that have not arrived yet.
constexpr double maximumReserveShare = 0.5;

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
    const auto wait = estimatedWaitInLane(call.lane, now);
    // An idle backend server accepts any call, so that a wrong estimate is corrected. A wait for the limit of requests per
    // second is no estimate.
    if ((m_running || !m_rate.allows(now)) && now + wait + atCurrentSpeed(lane.serviceTime.lowerQuartile()) > deadline)
        return refusal(ResultCode::DeadlineCannotBeMet, wait);
    const auto latestStart = deadline - atCurrentSpeed(lane.serviceTime.lowerQuartile());
    const bool hasTarget = hasUsefulTarget(lane, targetAt);
    if (hasTarget && now + wait + atCurrentSpeed(lane.serviceTime.mean()) > targetAt)
        return offerLate(call, now);
    const bool startsNow = canStart(call.priority, false, now) && !hasQueuedUpTo(call.lane);
    const auto allowed = hasTarget ? lane.maximumQueueTime : allowedWait(lane, now);
    if (!startsNow && (wait > allowed || lane.queue.size() >= maximumQueuedPerPriority))
        return refusal(ResultCode::Overloaded, wait);
    // The call expires early enough for the caller to be informed and to retry at another endpoint.
    const auto targetStart = hasTarget ? targetAt - atCurrentSpeed(lane.serviceTime.lowerQuartile()) : TimePoint::max();
    const auto queueEnd = std::min(now + lane.maximumQueueTime, targetStart);
    call.expiry = std::min(latestStart, queueEnd);
    call.expiryCode = latestStart < queueEnd ? ResultCode::DeadlineCannotBeMet : ResultCode::Overloaded;
    return admit(call, startsNow, now);
}

AdmissionDecision AdmissionQueue::offerLate(Call call, TimePoint now)
{
    call.lane = lateLane();
    const bool startsNow = canStart(call.priority, true, now) && !hasQueuedUpTo(call.lane);
    const auto& lane = m_lanes[call.lane];
    const bool isReservedForOthers = reservedSlots(call.priority, true, now) >= m_limit.value(now);
    if (!startsNow && (isReservedForOthers || static_cast<double>(lane.queue.size()) >= maximumLateCalls(now)))
        return refusal(ResultCode::Overloaded, estimatedWaitInLane(m_rate.rate() ? call.priority : call.lane, now));
    call.expiry = std::min(call.deadline - atCurrentSpeed(m_lanes[call.priority].serviceTime.lowerQuartile()), now + lateQueueTime);
    call.expiryCode = ResultCode::Overloaded;
    return admit(call, startsNow, now);
}

double AdmissionQueue::maximumLateCalls(TimePoint now) const
{
    const double bySlots = lateQueueShare * m_limit.value(now);
    if (!m_rate.rate())
        return bySlots;
    return std::min(bySlots, m_rate.requestsPerSecond() * static_cast<double>(lateQueueTime.count()) / microsecondsPerSecond);
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

// A target below or only slightly above the service time cannot limit the wait.
bool AdmissionQueue::hasUsefulTarget(const Lane& lane, TimePoint targetAt) const
{
    return targetAt != TimePoint::max() && lane.serviceTime.hasSamples() && lane.serviceTime.mean() < maximumServiceShareOfTarget * lane.target;
}

void AdmissionQueue::finished(CallTicket ticket, BackendOutcome outcome, TimePoint now)
{
    const auto found = m_calls.find(ticket);
    if (found == m_calls.end() || found->second.expiryHook.is_linked())
        return;
    const auto& call = found->second;
    auto& lane = m_lanes[call.priority];
    // Normalised to the nominal speed, so that a slow machine does not make calls look more expensive.
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

void AdmissionQueue::limitAnswer(CallTicket ticket, TimePoint answerBy)
{
    const auto found = m_calls.find(ticket);
    if (found == m_calls.end() || !found->second.expiryHook.is_linked())
        return;
    auto& call = found->second;
    const auto latestStart = answerBy - atCurrentSpeed(m_lanes[call.priority].serviceTime.mean());
    if (latestStart < call.expiry)
        setExpiry(call, latestStart, ResultCode::DeadlineCannotBeMet);
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
    // Expired calls are removed first: after a suspension of the process, many calls may be past their deadline.
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
    const TimePoint expiry = m_expiryOrder.begin()->expiry;
    // Once a request is due, only another event can start a call.
    if (m_rate.isDue(m_now))
        return expiry;
    return std::min(expiry, m_rate.allows(m_now) ? m_rate.dueAt() : m_rate.allowedAt());
}

void AdmissionQueue::setDocument(const ServiceDocument& document)
{
    // The last lane holds the late calls of all priorities.
    std::vector<Lane> lanes(std::max<std::size_t>(document.priorities.size(), 1) + 1);
    const std::size_t lastPriority = lanes.size() - 2;
    const auto newIndex = [&](std::size_t lane) {
        return lane + 1 == m_lanes.size() ? lanes.size() - 1 : std::min(lane, lastPriority);
    };
    for (std::size_t index = 0; index < document.priorities.size(); ++index) {
        lanes[index].minimumShare = document.priorities[index].minimumShare;
        lanes[index].maximumQueueTime = document.priorities[index].maximumQueueTime;
        lanes[index].target = document.priorities[index].target;
        lanes[index].reservesSlots = document.priorities[index].reservesSlots;
    }
    for (std::size_t index = 0; index < m_lanes.size(); ++index) {
        auto& target = lanes[newIndex(index)];
        target.queue.splice(target.queue.end(), m_lanes[index].queue);
        if (index > lastPriority && newIndex(index) <= lastPriority)
            continue;
        target.serviceTime = m_lanes[index].serviceTime;
        target.credit = m_lanes[index].credit;
        target.recentWork = m_lanes[index].recentWork;
        target.recentStarts = m_lanes[index].recentStarts;
        target.recentWorkAt = m_lanes[index].recentWorkAt;
        target.backlogSince = m_lanes[index].backlogSince;
    }
    for (auto& entry : m_calls) {
        entry.second.priority = std::min(entry.second.priority, lastPriority);
        entry.second.lane = newIndex(entry.second.lane);
        lanes[entry.second.lane].running += entry.second.expiryHook.is_linked() ? 0 : 1;
    }
    m_lanes = std::move(lanes);

    m_defaultSlots = document.defaultSlots;
    m_limit.setSlots(m_announcedSlots.value_or(m_defaultSlots));
}

void AdmissionQueue::setRequestRate(std::optional<RequestRate> rate, TimePoint now)
{
    m_now = now;
    m_rate.setRate(rate, now);
    if (!rate)
        return;
    // More calls may have started than the new rate allows, which says nothing about their share of it.
    double started = 0;
    for (const Lane& lane : m_lanes)
        started += lane.recentStarts * recentDecay(lane, now);
    const double allowed = m_rate.requestsPerSecond() * recentWorkDecayMicroseconds / microsecondsPerSecond;
    for (Lane& lane : m_lanes)
        lane.recentStarts *= std::min(1.0, allowed / std::max(started, allowed));
}

void AdmissionQueue::setSlowdown(std::uint32_t percent, TimePoint now)
{
    m_now = now;
    m_limit.setReportsLoad(true);
    m_workDone = workDone(now);
    m_workDoneAt = now;
    m_slowdownPercent = std::max(percent, 1U);
}

Duration AdmissionQueue::atCurrentSpeed(Duration nominal) const
{
    return nominal * static_cast<Duration::rep>(m_slowdownPercent) / static_cast<Duration::rep>(nominalPercent);
}

double AdmissionQueue::workDone(TimePoint now) const
{
    return m_workDone + static_cast<double>((now - m_workDoneAt).count()) * nominalPercent / m_slowdownPercent;
}

void AdmissionQueue::setBackend(std::optional<std::uint32_t> slots)
{
    m_announcedSlots = slots;
    m_limit = ConcurrencyLimit(slots.value_or(m_defaultSlots));
    m_completedCalls = 0;
    m_failureRate = 0;
    m_slowdownPercent = nominalPercent;
}

void AdmissionQueue::drain(TimePoint now, Duration queueTime, ResultCode code)
{
    m_draining = true;
    const auto latestStart = now + queueTime;
    while (hasQueued() && m_expiryOrder.rbegin()->expiry > latestStart)
        setExpiry(*m_expiryOrder.rbegin(), latestStart, code);
}

LoadReport AdmissionQueue::report() const
{
    LoadReport report;
    report.running = m_running;
    report.concurrencyLimit = m_limit.value(m_now);
    report.queued.reserve(lateLane());
    // Late calls do not delay others and are not reported.
    for (std::size_t lane = 0; lane < lateLane(); ++lane) {
        report.queued.push_back(static_cast<std::uint32_t>(m_lanes[lane].queue.size()));
        report.serviceTimes.push_back(m_lanes[lane].serviceTime.mean());
    }
    report.serviceTime = m_serviceTime.mean();
    report.completedCalls = m_completedCalls;
    report.failuresPerThousand = static_cast<std::uint32_t>(perThousand * m_failureRate);
    report.slowdownPercent = m_slowdownPercent;
    report.draining = m_draining;
    report.requestRate = m_rate.rate();
    return report;
}

Duration AdmissionQueue::estimatedWait(PriorityIndex priority, TimePoint now) const
{
    return estimatedWaitInLane(laneIndex(priority), now);
}

Duration AdmissionQueue::estimatedWaitInLane(std::size_t index, TimePoint now) const
{
    const bool isLate = index == lateLane();
    if (canStart(isLate ? index - 1 : index, isLate, now) && !hasQueuedUpTo(index))
        return Duration(0);
    return std::max(estimatedWaitForSlot(index, now), estimatedWaitForRate(index, now));
}

Duration AdmissionQueue::estimatedWaitForRate(std::size_t index, TimePoint now) const
{
    if (!m_rate.rate())
        return Duration(0);
    const double rate = m_rate.requestsPerSecond();
    const auto& lane = m_lanes[index];
    auto ahead = static_cast<double>(lane.queue.size());
    double freeShare = 1;
    for (std::size_t other = 0; other < m_lanes.size(); ++other) {
        const auto& otherLane = m_lanes[other];
        if (other < index) {
            ahead += static_cast<double>(otherLane.queue.size());
            freeShare -= otherLane.recentStarts * recentDecay(otherLane, now) * microsecondsPerSecond / (recentWorkDecayMicroseconds * rate);
        } else if (other > index && !otherLane.queue.empty())
            freeShare -= otherLane.minimumShare;
    }
    // Number of requests that are sent before the call, if the lane gets this share of them.
    const auto requestsBefore = [](double callsAhead, double share) {
        const double used = std::max(share, minimumCapacityShare);
        return (callsAhead + 1 - used) / used;
    };
    const double before = std::min(requestsBefore(ahead, freeShare), requestsBefore(static_cast<double>(lane.queue.size()), lane.minimumShare));
    const TimePoint next = mayBeEarly(std::min(index, lateLane() - 1), index == lateLane(), now) ? m_rate.allowedAt() : m_rate.dueAt();
    const double untilAllowed = std::max(0.0, static_cast<double>((next - now).count()));
    return Duration(static_cast<Duration::rep>(untilAllowed + before * microsecondsPerSecond / rate));
}

Duration AdmissionQueue::estimatedWaitForSlot(std::size_t index, TimePoint now) const
{
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
    const double waitByUrgency = (urgentWork + ownWork) / (limit * std::max(freeShare, minimumCapacityShare));
    const double waitByShare = ownWork / (limit * std::max(lane.minimumShare, minimumCapacityShare));
    return atCurrentSpeed(Duration(static_cast<Duration::rep>(std::min(waitByUrgency, waitByShare))));
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
    const auto serviceTail = atCurrentSpeed(lane.serviceTime.mean()) * serviceTailFactor;
    const auto burstTime = std::max(standingQueueTime, serviceTail);
    if (lane.queue.empty() || now - lane.backlogSince <= burstTime)
        return lane.maximumQueueTime;
    // At least the tail, because a target below or only slightly above the service time cannot limit the wait.
    return std::min(lane.maximumQueueTime, std::max(lane.target - serviceTail, serviceTail));
}

double AdmissionQueue::recentDecay(const Lane& lane, TimePoint now) const
{
    return std::exp(-static_cast<double>((now - lane.recentWorkAt).count()) / recentWorkDecayMicroseconds);
}

double AdmissionQueue::recentShare(const Lane& lane, TimePoint now) const
{
    return lane.recentWork * recentDecay(lane, now) / (recentWorkDecayMicroseconds * m_limit.value(m_now));
}

bool AdmissionQueue::hasQueuedUpTo(std::size_t lane) const
{
    return std::any_of(m_lanes.begin(), m_lanes.begin() + static_cast<std::ptrdiff_t>(lane) + 1, [](const Lane& other) { return !other.queue.empty(); });
}

double AdmissionQueue::expectedSlotDemand(const Lane& lane, TimePoint now) const
{
    const double usuallyRunning = recentShare(lane, now) * m_limit.value(now) * m_slowdownPercent / nominalPercent;
    return std::max(0.0, usuallyRunning + std::sqrt(usuallyRunning) - lane.running);
}

double AdmissionQueue::reservedSlots(std::size_t priority, bool isLate, TimePoint now) const
{
    double forMoreUrgent = 0;
    double forLate = 0;
    for (std::size_t other = 0; other < lateLane(); ++other) {
        const auto& lane = m_lanes[other];
        if (!lane.reservesSlots)
            continue;
        if (other < priority)
            forMoreUrgent += expectedSlotDemand(lane, now);
        // If the machine is so slow that the service time alone reaches the target, all calls of the priority are late,
        // and those that start occupy their slots until long after the machine recovers.
        if (isLate && atCurrentSpeed(lane.serviceTime.mean()) >= lane.target)
            forLate += expectedSlotDemand(lane, now);
    }
    return std::max(forLate, std::min(forMoreUrgent, maximumReserveShare * m_limit.value(now)));
}

bool AdmissionQueue::mayBeEarly(std::size_t priority, bool isLate, TimePoint now) const
{
    return !isLate && std::none_of(m_lanes.begin(), m_lanes.begin() + static_cast<std::ptrdiff_t>(priority), [&](const Lane& other) {
        return other.reservesSlots && other.recentStarts * recentDecay(other, now) > minimumRecentStarts;
    });
}

bool AdmissionQueue::allowsRate(std::size_t priority, bool isLate, TimePoint now) const
{
    return m_rate.isDue(now) || (m_rate.allows(now) && mayBeEarly(priority, isLate, now));
}

bool AdmissionQueue::canStart(std::size_t priority, bool isLate, TimePoint now) const
{
    // Without running calls no slots are reserved, because no later event would start the queued calls.
    const bool leavesReserve = m_running == 0 || m_running + reservedSlots(priority, isLate, now) < m_limit.value(now);
    return leavesReserve && !m_isPaused && allowsRate(priority, isLate, now);
}

std::optional<std::size_t> AdmissionQueue::nextLane(TimePoint now) const
{
    if (!canStartAny(now))
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

void AdmissionQueue::setExpiry(Call& call, TimePoint expiry, ResultCode code)
{
    m_expiryOrder.erase(m_expiryOrder.iterator_to(call));
    call.expiry = expiry;
    call.expiryCode = code;
    m_expiryOrder.insert(call);
}

void AdmissionQueue::start(Call& call, TimePoint now)
{
    ++m_running;
    ++m_lanes[call.lane].running;
    call.startedAt = now;
    call.workAtStart = workDone(now);
    call.runningAtStart = m_running;
    m_rate.count(now);
    accountStart(call.lane, now);
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

void AdmissionQueue::accountStart(std::size_t startedLane, TimePoint now)
{
    auto& lane = m_lanes[startedLane];
    const double startedCost = cost(lane);
    lane.credit -= startedCost;
    for (auto& other : m_lanes) {
        other.credit += other.minimumShare * startedCost;
        // The credit of a priority without queued calls is limited to one call, so that it does not accumulate for a
        // burst. The priority that just started its last queued call is exempt: its next call may arrive immediately.
        if (other.queue.empty() && &other != &lane)
            other.credit = std::min(other.credit, cost(other));
    }
    // The credit does not fall below zero: calls started on spare capacity do not reduce the priority's share later.
    lane.credit = std::max(0.0, lane.credit);
    const double decay = recentDecay(lane, now);
    lane.recentWork = lane.recentWork * decay + startedCost;
    lane.recentStarts = lane.recentStarts * decay + 1;
    lane.recentWorkAt = now;
}

AdmissionDecision AdmissionQueue::refusal(ResultCode code, Duration wait) const
{
    return { AdmissionKind::Refused, code, std::clamp(wait, minimumRetryAfter, maximumRetryAfter) };
}

} // namespace Knapweedquay
