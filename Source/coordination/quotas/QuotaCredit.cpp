#include "coordination/quotas/QuotaCredit.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace Knapweedquay {

namespace {

/// Interval between messages to a holder, and the shortest one when a call waits.
constexpr Duration reportInterval { 50000 };
constexpr Duration urgentInterval { 5000 };
constexpr Duration shortestPause { 1000 };
/// A request that was not answered in this multiple of the usual time of the holder's answers, within these limits, is made again, of
/// another slice if there is one.
constexpr int answerTimeFactor = 4;
constexpr Duration shortestTimeout { 8000 };
constexpr Duration longestTimeout { 40000 };
/// Weight of a new answer in the usual time.
constexpr double answerTimeWeight = 0.125;
/// Interval between requests to a holder that does not answer.
constexpr Duration silentInterval { 200000 };
/// Demand of this time is held as credit.
constexpr double prefetchSeconds = 0.25;
/// Time constant of the measured demand.
constexpr double demandSeconds = 1;
/// Demand below which a workspace is forgotten, in calls per second.
constexpr double negligibleDemand = 0.01;
/// Credit that expires within this time is given back.
constexpr Duration giveBackBefore { 150000 };
/// Retry-After where no holder can be reached.
constexpr Duration unprovedRetryAfter { 500000 };

double inSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

QuotaCredit::QuotaCredit(NodeId node, Incarnation incarnation, Duration lifetime)
    : m_node(std::move(node))
    , m_incarnation(incarnation)
    , m_lifetime(lifetime)
{
}

void QuotaCredit::setSlices(const std::vector<QuotaSlice>& slices)
{
    for (Group& group : m_groups)
        group.order.clear();
    for (const QuotaSlice slice : slices)
        m_groups.at(quotaGroupOf(slice)).order.push_back(slice);
}

QuotaCredit::Pool& QuotaCredit::poolOf(const WorkspaceName& workspace)
{
    Pool& pool = groupOf(workspace).pools[workspace];
    pool.group = quotaGroupOf(workspace);
    return pool;
}

void QuotaCredit::decay(Pool& pool, TimePoint now)
{
    pool.rate *= std::exp(-inSeconds(now - pool.ratedAt) / demandSeconds);
    pool.ratedAt = now;
}

std::uint64_t QuotaCredit::inHand(const Pool& pool, TimePoint now)
{
    std::uint64_t sum = 0;
    for (const Lot& lot : pool.lots)
        sum += lot.expiry > now ? lot.left : 0;
    return sum;
}

std::uint64_t QuotaCredit::inHand(TimePoint now) const
{
    std::uint64_t sum = 0;
    for (const Group& group : m_groups) {
        for (const auto& entry : group.pools)
            sum += inHand(entry.second, now);
    }
    return sum;
}

std::optional<QuotaTicket> QuotaCredit::tryTake(Pool& pool, TimePoint now)
{
    for (Lot& lot : pool.lots) {
        if (lot.left == 0 || lot.expiry <= now)
            continue;
        --lot.left;
        ++lot.used;
        return lot.ticket;
    }
    return std::nullopt;
}

std::uint64_t QuotaCredit::target(const Pool& pool)
{
    return static_cast<std::uint64_t>(pool.rate * prefetchSeconds);
}

Duration QuotaCredit::answerTimeout(QuotaSlice slice) const
{
    return std::clamp(answerTimeFactor * holder(slice).answerTime, shortestTimeout, longestTimeout);
}

std::uint64_t QuotaCredit::wanted(const Pool& pool, TimePoint now) const
{
    std::uint64_t held = inHand(pool, now);
    for (const QuotaSlice slice : order(pool))
        held += now - request(pool, slice).askedAt < answerTimeout(slice) ? request(pool, slice).wanted : 0;
    const std::uint64_t need = pool.waiting.size() + target(pool);
    return need > held ? need - held : 0;
}

Duration QuotaCredit::silence(QuotaSlice slice, TimePoint now) const
{
    const std::optional<TimePoint>& since = holder(slice).unansweredSince;
    return since ? now - *since : Duration::zero();
}

bool QuotaCredit::isSilent(QuotaSlice slice, TimePoint now) const
{
    // After a while it is asked again, so that it is noticed when it answers.
    return silence(slice, now) >= answerTimeout(slice) && now - holder(slice).askedAt < silentInterval;
}

std::optional<QuotaSlice> QuotaCredit::chooseSlice(const Pool& pool, TimePoint now) const
{
    for (const QuotaSlice slice : order(pool)) {
        if (request(pool, slice).deniedUntil <= now && !isSilent(slice, now))
            return slice;
    }
    return std::nullopt;
}

TimePoint QuotaCredit::deniedUntil(const Pool& pool) const
{
    TimePoint until = TimePoint::max();
    for (const QuotaSlice slice : order(pool))
        until = std::min(until, request(pool, slice).deniedUntil);
    return until;
}

QuotaCredit::Decision QuotaCredit::refusal(const Pool& pool, const WaitingCall& call, TimePoint now) const
{
    Decision decision;
    decision.call = call.call;
    // Only all slices together tell that the quota is used up.
    const bool isSpent = order(pool).size() == slicesPerQuota && std::all_of(pool.requests.begin(), pool.requests.end(), [&call, now](const Request& asked) { return asked.deniedUntil > now || asked.deniedAt > call.since; });
    decision.code = isSpent ? ResultCode::QuotaExceeded : ResultCode::QuotaUnproved;
    // The slices that did answer tell how long their share of the quota is used up.
    const Duration denied = order(pool).empty() ? Duration::zero() : std::max(deniedUntil(pool) - now, Duration::zero());
    decision.retryAfter = isSpent ? denied : std::max(denied, unprovedRetryAfter);
    return decision;
}

QuotaCredit::Decision QuotaCredit::take(const WorkspaceName& workspace, std::uint64_t call, TimePoint decideBy, TimePoint now)
{
    Pool& pool = poolOf(workspace);
    decay(pool, now);
    pool.rate += 1 / demandSeconds;
    ++pool.demand;
    Decision decision;
    decision.call = call;
    if (pool.waiting.empty()) {
        if (const auto ticket = tryTake(pool, now)) {
            decision.code = ResultCode::Ok;
            decision.ticket = *ticket;
            return decision;
        }
    }
    if (deniedUntil(pool) >= decideBy)
        return refusal(pool, { call, now, decideBy }, now);
    pool.waiting.push_back({ call, now, decideBy });
    m_waitingCalls.emplace(call, workspace);
    groupOf(workspace).waitingPools.insert(workspace);
    return decision;
}

bool QuotaCredit::cancel(std::uint64_t call)
{
    const auto entry = m_waitingCalls.find(call);
    if (entry == m_waitingCalls.end())
        return false;
    auto& waiting = poolOf(entry->second).waiting;
    waiting.erase(std::find_if(waiting.begin(), waiting.end(), [call](const WaitingCall& other) { return other.call == call; }));
    m_waitingCalls.erase(entry);
    return true;
}

void QuotaCredit::giveBack(const WorkspaceName& workspace, const QuotaTicket& ticket, TimePoint now)
{
    Pool& pool = poolOf(workspace);
    for (Lot& lot : pool.lots) {
        if (lot.ticket.slice != ticket.slice || lot.ticket.tenure != ticket.tenure || lot.ticket.grant != ticket.grant || lot.used == 0 || lot.expiry <= now)
            continue;
        --lot.used;
        ++lot.left;
        return;
    }
    if (ticket.tenure == holder(ticket.slice).tenure)
        ++request(pool, ticket.slice).refunded;
}

void QuotaCredit::report(Pool& pool, QuotaSlice slice, QuotaNeed& need, TimePoint now) const
{
    const std::uint64_t held = inHand(pool, now);
    const std::uint64_t kept = target(pool);
    std::uint64_t excess = held > 2 * kept ? held - kept : 0;
    for (Lot& lot : pool.lots) {
        if (lot.ticket.slice != slice || lot.ticket.tenure != holder(slice).tenure || lot.expiry <= now)
            continue;
        QuotaNeed::Report report { lot.ticket.grant, std::exchange(lot.used, 0), 0 };
        report.returned = lot.expiry - now < giveBackBefore ? lot.left : std::min(lot.left, excess);
        excess -= std::min(excess, report.returned);
        lot.left -= report.returned;
        if (report.used + report.returned > 0)
            need.reports.push_back(report);
    }
    const auto isDone = [now](const Lot& lot) { return lot.expiry <= now || (lot.left == 0 && lot.used == 0); };
    pool.lots.erase(std::remove_if(pool.lots.begin(), pool.lots.end(), isDone), pool.lots.end());
}

void QuotaCredit::addNeed(const WorkspaceName& workspace, Pool& pool, QuotaRequestMessage& message, TimePoint now)
{
    decay(pool, now);
    Request& asked = request(pool, message.slice);
    QuotaNeed need;
    need.workspace = workspace;
    const bool isAsked = chooseSlice(pool, now) == message.slice;
    need.wanted = isAsked ? wanted(pool, now) : 0;
    report(pool, message.slice, need, now);
    need.refunded = std::exchange(asked.refunded, 0);
    if (need.wanted > 0) {
        asked.clock = message.clock;
        asked.wanted = need.wanted;
        asked.askedAt = now;
    }
    if (need.wanted + need.refunded == 0 && need.reports.empty())
        return;
    if (isAsked)
        need.demand = std::exchange(pool.demand, 0);
    message.needs.push_back(std::move(need));
}

void QuotaCredit::forgetIdle(Group& group, TimePoint now)
{
    for (auto entry = group.pools.begin(); entry != group.pools.end();) {
        Pool& pool = entry->second;
        decay(pool, now);
        const bool isIdle = pool.lots.empty() && pool.waiting.empty() && pool.rate < negligibleDemand && deniedUntil(pool) <= now;
        entry = isIdle ? group.pools.erase(entry) : std::next(entry);
    }
}

std::optional<QuotaRequestMessage> QuotaCredit::nextRequest(Group& group, QuotaSlice slice, TimePoint now)
{
    Holder& asked = holder(slice);
    const bool isDue = now - asked.checkedAt >= reportInterval;
    if (now - asked.sentAt < urgentInterval || (!isDue && group.waitingPools.empty()))
        return std::nullopt;
    QuotaRequestMessage message;
    message.slice = slice;
    message.node = m_node;
    message.incarnation = m_incarnation;
    message.clock = std::max(m_lastClock + 1, static_cast<std::uint64_t>(now.time_since_epoch().count()));
    message.tenure = asked.tenure;
    if (isDue) {
        asked.checkedAt = now;
        if (slice == group.order.front())
            forgetIdle(group, now);
        for (auto& [workspace, pool] : group.pools)
            addNeed(workspace, pool, message, now);
    } else {
        for (const WorkspaceName& workspace : group.waitingPools) {
            Pool& pool = group.pools[workspace];
            if (!pool.waiting.empty() && wanted(pool, now) > 0 && chooseSlice(pool, now) == slice)
                addNeed(workspace, pool, message, now);
        }
    }
    if (message.needs.empty())
        return std::nullopt;
    m_lastClock = message.clock;
    asked.sentAt = now;
    const bool isAnswered = std::any_of(message.needs.begin(), message.needs.end(), [](const QuotaNeed& need) { return need.wanted > 0; });
    if (isAnswered) {
        asked.askedAt = now;
        asked.unansweredSince = asked.unansweredSince.value_or(now);
    }
    return message;
}

std::vector<QuotaRequestMessage> QuotaCredit::nextRequests(TimePoint now)
{
    std::vector<QuotaRequestMessage> requests;
    for (Group& group : m_groups) {
        for (const QuotaSlice slice : group.pools.empty() ? std::vector<QuotaSlice>() : group.order) {
            if (auto request = nextRequest(group, slice, now))
                requests.push_back(std::move(*request));
        }
    }
    return requests;
}

void QuotaCredit::decideWaiting(Pool& pool, TimePoint now, std::vector<Decision>& decisions)
{
    std::deque<WaitingCall> undecided;
    for (const WaitingCall& call : pool.waiting) {
        const auto ticket = call.decideBy > now ? tryTake(pool, now) : std::nullopt;
        if (!ticket && call.decideBy > now && deniedUntil(pool) < call.decideBy) {
            undecided.push_back(call);
            continue;
        }
        Decision decision;
        if (ticket) {
            decision.call = call.call;
            decision.code = ResultCode::Ok;
            decision.ticket = *ticket;
        } else
            decision = refusal(pool, call, now);
        m_waitingCalls.erase(call.call);
        decisions.push_back(decision);
    }
    pool.waiting = std::move(undecided);
}

std::vector<QuotaCredit::Decision> QuotaCredit::receive(const QuotaGrantMessage& message, TimePoint now)
{
    std::vector<Decision> decisions;
    Holder& sender = holder(message.slice);
    // A former holder's grants are worth nothing once its successor may have given the credit to others.
    if (message.node != m_node || message.incarnation != m_incarnation || message.tenure < sender.tenure || message.clock > m_lastClock)
        return decisions;
    sender.tenure = message.tenure;
    sender.unansweredSince.reset();
    const Duration time = now - TimePoint(Duration(static_cast<std::int64_t>(message.clock)));
    sender.answerTime += std::chrono::duration_cast<Duration>(answerTimeWeight * (std::min(time, longestTimeout) - sender.answerTime));
    const TimePoint expiry = TimePoint(Duration(static_cast<std::int64_t>(message.clock))) + m_lifetime;
    for (const QuotaGrantMessage::Grant& grant : message.grants) {
        Group& group = groupOf(grant.workspace);
        const auto entry = group.pools.find(grant.workspace);
        if (entry == group.pools.end() || quotaGroupOf(grant.workspace) != quotaGroupOf(message.slice))
            continue;
        Pool& pool = entry->second;
        Request& asked = request(pool, message.slice);
        if (asked.clock == message.clock)
            asked.wanted = 0;
        if (grant.credit > 0 && expiry > now)
            pool.lots.push_back({ { message.slice, message.tenure, message.clock }, expiry, grant.credit, 0 });
        const bool isDenied = grant.wait > Duration::zero();
        asked.deniedAt = isDenied ? now : TimePoint();
        asked.deniedUntil = isDenied ? now + grant.wait : TimePoint();
        decideWaiting(pool, now, decisions);
    }
    return decisions;
}

std::vector<QuotaCredit::Decision> QuotaCredit::expire(TimePoint now)
{
    std::vector<Decision> decisions;
    for (Group& group : m_groups) {
        for (auto workspace = group.waitingPools.begin(); workspace != group.waitingPools.end();) {
            Pool& pool = group.pools[*workspace];
            decideWaiting(pool, now, decisions);
            workspace = pool.waiting.empty() ? group.waitingPools.erase(workspace) : std::next(workspace);
        }
    }
    return decisions;
}

TimePoint QuotaCredit::nextTime(const Pool& pool, TimePoint now) const
{
    TimePoint next = TimePoint::max();
    for (const WaitingCall& call : pool.waiting)
        next = std::min(next, call.decideBy);
    if (wanted(pool, now) == 0) {
        for (const QuotaSlice slice : order(pool)) {
            const Request& asked = request(pool, slice);
            const TimePoint timeout = asked.askedAt + answerTimeout(slice);
            next = asked.wanted > 0 && timeout > now ? std::min(next, timeout) : next;
        }
        return next;
    }
    if (const auto slice = chooseSlice(pool, now))
        return std::min(next, holder(*slice).sentAt + urgentInterval);
    for (const QuotaSlice slice : order(pool))
        next = std::min(next, std::max(request(pool, slice).deniedUntil, isSilent(slice, now) ? holder(slice).askedAt + silentInterval : now));
    return next;
}

std::optional<TimePoint> QuotaCredit::nextTime(TimePoint now) const
{
    std::optional<TimePoint> next;
    for (const Group& group : m_groups) {
        if (group.pools.empty())
            continue;
        next = std::min(next.value_or(TimePoint::max()), now + reportInterval);
        for (const QuotaSlice slice : group.order)
            next = std::min(*next, holder(slice).checkedAt + reportInterval);
        for (const WorkspaceName& workspace : group.waitingPools) {
            const Pool& pool = group.pools.at(workspace);
            if (!pool.waiting.empty())
                next = std::min(*next, nextTime(pool, now));
        }
    }
    return next ? std::optional(std::max(*next, now + shortestPause)) : std::nullopt;
}

} // namespace Knapweedquay
