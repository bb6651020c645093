#include "coordination/quotas/QuotaPlan.h"

#include <algorithm>
#include <chrono>

namespace Knapweedquay {

namespace {

constexpr Duration longestLifetime { 1000000 };
constexpr int lifetimesPerWindow = 4;
/// Smallest share of a limit that is kept for outstanding credit; where the bound allows less overage, the bucket is smaller.
constexpr double smallestReserve = 0.1;
// Shares of the reserve. Owners start at least one election timeout apart, so at most three started within one lifetime.
constexpr double allowanceShare = 0.45;
constexpr double youngAllowanceShare = 0.08;
constexpr double capacityShare = 0.05;
constexpr double firstFillShare = 0.2;
// Twice, since a sliding window overlaps two of the windows by which refunds are counted.
constexpr double refundShare = 0.03;
constexpr double maximumYoungOwners = 3;
static_assert(allowanceShare + maximumYoungOwners * youngAllowanceShare + capacityShare + firstFillShare + 2 * refundShare <= 1.0001);

} // namespace

QuotaPlan planOf(const WorkspaceQuota& quota, const QuotaBound& bound)
{
    const double window = std::chrono::duration<double>(bound.window).count();
    const double limit = quota.requestsPerSecond * window + quota.burst;
    const double allowed = limit * (1 + bound.overage) + bound.slack;
    const double reserve = std::max(allowed - limit, smallestReserve * allowed);
    const double scale = limit > 0 ? (allowed - reserve) / limit : 0;
    QuotaPlan plan;
    plan.rate = quota.requestsPerSecond * scale;
    plan.capacity = quota.burst * scale + reserve * capacityShare;
    plan.firstFillRate = window > 0 ? reserve * firstFillShare / window : 0;
    plan.allowance = reserve * allowanceShare;
    plan.youngAllowance = reserve * youngAllowanceShare;
    plan.refunds = reserve * refundShare;
    return plan;
}

Duration creditLifetime(const QuotaBound& bound)
{
    return std::min(longestLifetime, bound.window / lifetimesPerWindow);
}

} // namespace Knapweedquay
