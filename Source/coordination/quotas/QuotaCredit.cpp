#include "coordination/quotas/QuotaCredit.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace Knapweedquay {

namespace {

/// Interval between messages to the owner, and the shortest one when a call waits.
constexpr Duration reportInterval { 50000 };
constexpr Duration urgentInterval { 5000 };
constexpr Duration shortestPause { 1000 };
/// A request that was not answered in this time is made again.
constexpr Duration answerTimeout { 40000 };
/// Demand of this time is held as credit.
constexpr double prefetchSeconds = 0.25;
/// Time constant of the measured demand.
constexpr double demandSeconds = 1;
/// Demand below which a workspace is forgotten, in calls per second.
constexpr double negligibleDemand = 0.01;
/// Credit that expires within this time is given back.
constexpr Duration giveBackBefore { 150000 };
/// Retry-After where the owner can't be reached.
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
    for (const auto& entry : m_pools)
        sum += inHand(entry.second, now);
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

std::uint64_t QuotaCredit::wanted(const Pool& pool, TimePoint now)
{
    const bool isAsking = pool.asked > 0 && now - pool.askedAt < answerTimeout;
    if (isAsking)
        return 0;
    const std::uint64_t need = pool.waiting.size() + target(pool);
    const std::uint64_t held = inHand(pool, now);
    return need > held ? need - held : 0;
}

QuotaCredit::Decision QuotaCredit::refusal(const Pool& pool, const WaitingCall& call, TimePoint now)
{
    Decision decision;
    decision.call = call.call;
    const bool isSpent = pool.spentUntil > now || pool.answeredAt > call.since;
    decision.code = isSpent ? ResultCode::QuotaExceeded : ResultCode::QuotaUnproved;
    decision.retryAfter = isSpent ? std::max(pool.spentUntil - now, Duration::zero()) : unprovedRetryAfter;
    return decision;
}

QuotaCredit::Decision QuotaCredit::take(const WorkspaceName& workspace, std::uint64_t call, TimePoint decideBy, TimePoint now)
{
    Pool& pool = m_pools[workspace];
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
    if (pool.spentUntil >= decideBy)
        return refusal(pool, { call, now, decideBy }, now);
    pool.waiting.push_back({ call, now, decideBy });
    m_waitingCalls.emplace(call, workspace);
    m_waitingPools.insert(workspace);
    return decision;
}

bool QuotaCredit::cancel(std::uint64_t call)
{
    const auto entry = m_waitingCalls.find(call);
    if (entry == m_waitingCalls.end())
        return false;
    auto& waiting = m_pools[entry->second].waiting;
    waiting.erase(std::find_if(waiting.begin(), waiting.end(), [call](const WaitingCall& other) { return other.call == call; }));
    m_waitingCalls.erase(entry);
    return true;
}

void QuotaCredit::giveBack(const WorkspaceName& workspace, const QuotaTicket& ticket, TimePoint now)
{
    Pool& pool = m_pools[workspace];
    for (Lot& lot : pool.lots) {
        if (lot.ticket.owner != ticket.owner || lot.ticket.grant != ticket.grant || lot.used == 0 || lot.expiry <= now)
            continue;
        --lot.used;
        ++lot.left;
        return;
    }
    if (ticket.owner == m_owner)
        ++pool.refunded;
}

bool QuotaCredit::isUrgent(const Pool& pool, TimePoint now)
{
    return !pool.waiting.empty() && pool.spentUntil <= now && wanted(pool, now) > 0;
}

void QuotaCredit::report(Pool& pool, QuotaNeed& need, TimePoint now) const
{
    const std::uint64_t held = inHand(pool, now);
    const std::uint64_t kept = target(pool);
    std::uint64_t excess = held > 2 * kept ? held - kept : 0;
    for (Lot& lot : pool.lots) {
        if (lot.ticket.owner != m_owner || lot.expiry <= now)
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

void QuotaCredit::addNeed(const WorkspaceName& workspace, Pool& pool, QuotaRequestMessage& message, TimePoint now) const
{
    decay(pool, now);
    QuotaNeed need;
    need.workspace = workspace;
    need.wanted = wanted(pool, now);
    report(pool, need, now);
    need.refunded = std::exchange(pool.refunded, 0);
    if (need.wanted > 0) {
        pool.askedClock = message.clock;
        pool.asked = need.wanted;
        pool.askedAt = now;
    }
    if (need.wanted + need.refunded > 0 || !need.reports.empty()) {
        need.demand = std::exchange(pool.demand, 0);
        message.needs.push_back(std::move(need));
    }
}

std::optional<QuotaRequestMessage> QuotaCredit::nextRequest(TimePoint now)
{
    const bool isDue = now - m_checkedAt >= reportInterval;
    if (now - m_sentAt < urgentInterval || (!isDue && m_waitingPools.empty()))
        return std::nullopt;
    QuotaRequestMessage message;
    message.node = m_node;
    message.incarnation = m_incarnation;
    message.clock = std::max(m_lastClock + 1, static_cast<std::uint64_t>(now.time_since_epoch().count()));
    message.owner = m_owner;
    if (isDue) {
        m_checkedAt = now;
        for (auto entry = m_pools.begin(); entry != m_pools.end();) {
            Pool& pool = entry->second;
            addNeed(entry->first, pool, message, now);
            const bool isIdle = pool.lots.empty() && pool.waiting.empty() && pool.rate < negligibleDemand && pool.spentUntil <= now;
            entry = isIdle ? m_pools.erase(entry) : std::next(entry);
        }
    } else {
        for (const WorkspaceName& workspace : m_waitingPools) {
            Pool& pool = m_pools[workspace];
            if (isUrgent(pool, now))
                addNeed(workspace, pool, message, now);
        }
    }
    if (message.needs.empty())
        return std::nullopt;
    m_lastClock = message.clock;
    m_sentAt = now;
    return message;
}

void QuotaCredit::decideWaiting(Pool& pool, TimePoint now, std::vector<Decision>& decisions)
{
    std::deque<WaitingCall> undecided;
    for (const WaitingCall& call : pool.waiting) {
        const auto ticket = call.decideBy > now ? tryTake(pool, now) : std::nullopt;
        if (!ticket && call.decideBy > now && pool.spentUntil < call.decideBy) {
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
    // A former owner's grants are worth nothing once its successor may have given the credit to others.
    if (message.node != m_node || message.incarnation != m_incarnation || message.owner < m_owner || message.clock > m_lastClock)
        return decisions;
    m_owner = message.owner;
    const TimePoint expiry = TimePoint(Duration(static_cast<std::int64_t>(message.clock))) + m_lifetime;
    for (const QuotaGrantMessage::Grant& grant : message.grants) {
        const auto entry = m_pools.find(grant.workspace);
        if (entry == m_pools.end())
            continue;
        Pool& pool = entry->second;
        if (pool.askedClock == message.clock)
            pool.asked = 0;
        pool.answeredAt = now;
        if (grant.credit > 0 && expiry > now)
            pool.lots.push_back({ { message.owner, message.clock }, expiry, grant.credit, 0 });
        pool.spentUntil = grant.wait > Duration::zero() ? now + grant.wait : TimePoint();
        decideWaiting(pool, now, decisions);
    }
    return decisions;
}

std::vector<QuotaCredit::Decision> QuotaCredit::expire(TimePoint now)
{
    std::vector<Decision> decisions;
    for (auto workspace = m_waitingPools.begin(); workspace != m_waitingPools.end();) {
        Pool& pool = m_pools[*workspace];
        decideWaiting(pool, now, decisions);
        workspace = pool.waiting.empty() ? m_waitingPools.erase(workspace) : std::next(workspace);
    }
    return decisions;
}

std::optional<TimePoint> QuotaCredit::nextTime(TimePoint now) const
{
    if (m_pools.empty())
        return std::nullopt;
    TimePoint next = m_checkedAt + reportInterval;
    for (const WorkspaceName& workspace : m_waitingPools) {
        const Pool& pool = m_pools.at(workspace);
        for (const WaitingCall& call : pool.waiting)
            next = std::min(next, call.decideBy);
        if (!pool.waiting.empty())
            next = std::min(next, std::max({ m_sentAt + urgentInterval, pool.spentUntil, pool.asked > 0 ? pool.askedAt + answerTimeout : now }));
    }
    return std::max(next, now + shortestPause);
}

} // namespace Knapweedquay
