#include "coordination/quotas/QuotaLedger.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace Knapweedquay {

namespace {

/// Demand of nodes is measured, and shared out, over intervals of this length.
constexpr Duration demandInterval { 200000 };
/// Limits of the time after which a node asks again for credit that it did not get.
constexpr Duration shortestWait { 20000 };
constexpr Duration longestWait { 1000000 };
/// Largest share of a node that asks rarely, in credits.
constexpr double largestSavedShare = 2;
/// Capacity of a bucket from which on a credit is left in it for nodes that ask rarely.
constexpr double smallestDividedCapacity = 3;

double inSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

QuotaLedger::Counts& QuotaLedger::Counts::operator+=(const Counts& other)
{
    requests += other.requests;
    wanted += other.wanted;
    granted += other.granted;
    deniedByBucket += other.deniedByBucket;
    deniedByAllowance += other.deniedByAllowance;
    deniedByShare += other.deniedByShare;
    return *this;
}

QuotaLedger::QuotaLedger(QuotaBound bound, QuotaSlice slice, std::uint64_t tenure, TimePoint now)
    : m_bound(bound)
    , m_lifetime(creditLifetime(bound))
    , m_slice(slice)
    , m_tenure(tenure)
    , m_heldSince(now)
{
}

void QuotaLedger::setQuotas(const std::vector<Workspace>& workspaces, TimePoint now)
{
    for (auto& [name, account] : m_accounts) {
        advance(account, now);
        if (std::exchange(account.isLimited, false))
            account.endedAt = now;
    }
    for (const Workspace& workspace : workspaces) {
        if (!workspace.quota.isLimited())
            continue;
        const auto [entry, isNew] = m_accounts.try_emplace(workspace.name.value());
        Account& account = entry->second;
        account.plan = planOf(workspace.quota, m_bound);
        account.isLimited = true;
        if (isNew) {
            // What a former holder granted in this window is not known; of a quota that begins now there is nothing to know.
            account.level = m_hasQuotas ? account.plan.capacity : 0;
            account.isFirstFill = !m_hasQuotas;
            account.filledAt = now;
            account.intervalStart = now;
            account.refundsFrom = m_heldSince + m_bound.window;
        }
        account.level = std::min(account.level, account.plan.capacity);
        account.refundsLeft = std::min(account.refundsLeft, account.plan.refunds);
    }
    // A quota that ends and begins again within a window must not begin with a full bucket.
    for (auto entry = m_accounts.begin(); entry != m_accounts.end();) {
        const bool isOld = !entry->second.isLimited && now - entry->second.endedAt > m_bound.window + m_lifetime;
        entry = isOld ? m_accounts.erase(entry) : std::next(entry);
    }
    m_hasQuotas = true;
}

QuotaLedger::NodeNumber QuotaLedger::numberOf(const QuotaRequestMessage& message)
{
    return m_nodes.try_emplace({ message.node, message.incarnation }, static_cast<NodeNumber>(m_nodes.size())).first->second;
}

void QuotaLedger::divide(Account& account, double intervals)
{
    const double room = account.plan.rate * inSeconds(demandInterval);
    std::vector<double> needs;
    double sum = 0;
    for (const auto& entry : account.demands) {
        needs.push_back(entry.second.current);
        sum += entry.second.current;
    }
    account.excess = std::max(sum - room * intervals, 0.0);
    std::sort(needs.begin(), needs.end());
    double left = room;
    double level = room;
    for (std::size_t i = 0; i < needs.size(); ++i) {
        level = left / static_cast<double>(needs.size() - i);
        if (needs[i] > level)
            break;
        left -= needs[i];
    }
    account.fairDemand = level * intervals;
    for (auto entry = account.demands.begin(); entry != account.demands.end();) {
        Demand& demand = entry->second;
        demand.share = std::min(demand.share + level * intervals, std::max(level, largestSavedShare));
        const bool isIdle = demand.current == 0 && demand.previous == 0;
        demand.previous = std::exchange(demand.current, 0);
        entry = isIdle ? account.demands.erase(entry) : std::next(entry);
    }
}

void QuotaLedger::advance(Account& account, TimePoint now) const
{
    const double rate = account.plan.rate + (account.isFirstFill ? account.plan.firstFillRate : 0);
    account.level = std::min(account.plan.capacity, account.level + rate * inSeconds(now - account.filledAt));
    account.isFirstFill = account.isFirstFill && account.level < account.plan.capacity;
    account.filledAt = now;
    while (!account.expiries.empty() && account.expiries.front().first <= now) {
        const auto grant = account.grants.find(account.expiries.front().second);
        if (grant != account.grants.end()) {
            account.outstanding -= grant->second;
            account.grants.erase(grant);
        }
        account.expiries.pop_front();
    }
    if (account.refundsFrom <= now) {
        account.refundsFrom = now + m_bound.window;
        account.refundsLeft = account.plan.refunds;
    }
    if (now - account.intervalStart >= demandInterval) {
        divide(account, inSeconds(now - account.intervalStart) / inSeconds(demandInterval));
        account.intervalStart = now;
    }
}

void QuotaLedger::takeReports(Account& account, NodeNumber node, const QuotaNeed& need) const
{
    for (const QuotaNeed::Report& report : need.reports) {
        const auto grant = account.grants.find({ node, report.grant });
        if (grant == account.grants.end())
            continue;
        const std::uint64_t used = std::min(report.used, grant->second);
        const std::uint64_t returned = std::min(report.returned, grant->second - used);
        account.level = std::min(account.plan.capacity, account.level + static_cast<double>(returned));
        account.outstanding -= used + returned;
        grant->second -= used + returned;
        if (grant->second == 0)
            account.grants.erase(grant);
    }
    const double refunded = std::min(static_cast<double>(need.refunded), account.refundsLeft);
    account.refundsLeft -= refunded;
    account.level = std::min(account.plan.capacity, account.level + refunded);
}

QuotaGrantMessage::Grant QuotaLedger::grant(Account& account, const GrantKey& key, const QuotaNeed& need, TimePoint now)
{
    QuotaGrantMessage::Grant answer;
    answer.workspace = need.workspace;
    Demand& demand = account.demands[key.first];
    demand.current += static_cast<double>(need.demand);
    const double allowed = std::max(account.plan.allowance - static_cast<double>(account.outstanding), 0.0);
    // Shares bind only while the bucket holds less than an interval brings.
    const bool isScarce = account.level < account.plan.rate * inSeconds(demandInterval);
    const double shared = isScarce && account.demands.size() > 1 ? demand.share : account.level;
    // A node that asks for more than its part leaves a credit for those that seldom ask.
    const bool leavesOne = isScarce && account.plan.capacity >= smallestDividedCapacity && std::max(demand.current, demand.previous) > account.fairDemand;
    const double available = account.level - (leavesOne ? 1 : 0);
    const double possible = std::floor(std::max(std::min({ static_cast<double>(need.wanted), available, allowed, shared }), 0.0));
    answer.credit = static_cast<std::uint64_t>(possible);
    if (answer.credit > 0 && account.grants.emplace(key, answer.credit).second) {
        account.expiries.emplace_back(now + m_lifetime, key);
        account.outstanding += answer.credit;
        account.level -= possible;
        demand.share -= isScarce ? possible : 0;
    } else
        answer.credit = 0;
    m_counts.wanted += need.wanted;
    m_counts.granted += answer.credit;
    if (answer.credit < need.wanted) {
        std::uint64_t& denied = available <= std::min(allowed, shared) ? m_counts.deniedByBucket : allowed <= shared ? m_counts.deniedByAllowance
                                                                                                                     : m_counts.deniedByShare;
        denied += need.wanted - answer.credit;
        // Under a demand that the quota does not cover, what was refused already waits for the same credit.
        const double missing = std::max(1 - available, 0.0) + (isScarce ? account.excess : 0);
        const double seconds = account.plan.rate > 0 ? missing / account.plan.rate : inSeconds(longestWait);
        answer.wait = std::clamp(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds)), shortestWait, longestWait);
    }
    return answer;
}

QuotaGrantMessage QuotaLedger::answer(const QuotaRequestMessage& message, TimePoint now)
{
    ++m_counts.requests;
    const NodeNumber node = numberOf(message);
    QuotaGrantMessage answer;
    answer.node = message.node;
    answer.incarnation = message.incarnation;
    answer.clock = message.clock;
    answer.tenure = m_tenure;
    answer.slice = m_slice;
    for (const QuotaNeed& need : message.needs) {
        const auto entry = m_accounts.find(need.workspace.value());
        if (entry == m_accounts.end() || !entry->second.isLimited) {
            if (m_hasQuotas && need.wanted > 0)
                answer.grants.push_back({ need.workspace, need.wanted, Duration::zero() });
            continue;
        }
        advance(entry->second, now);
        if (message.tenure == m_tenure)
            takeReports(entry->second, node, need);
        if (need.wanted > 0)
            answer.grants.push_back(grant(entry->second, { node, message.clock }, need, now));
        else if (need.demand > 0)
            entry->second.demands[node].current += static_cast<double>(need.demand);
    }
    return answer;
}

QuotaLedger::Counts QuotaLedger::takeCounts()
{
    return std::exchange(m_counts, {});
}

std::uint64_t QuotaLedger::outstanding(const WorkspaceName& workspace, TimePoint now)
{
    const auto entry = m_accounts.find(workspace.value());
    if (entry == m_accounts.end())
        return 0;
    advance(entry->second, now);
    return entry->second.outstanding;
}

} // namespace Knapweedquay
