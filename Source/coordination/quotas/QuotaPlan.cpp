#include "coordination/quotas/QuotaPlan.h"

#include "protocol/QuotaMessages.h"

#include <algorithm>
#include <chrono>

namespace Knapweedquay {

namespace {

constexpr Duration longestLifetime { 1000000 };
constexpr int lifetimesPerWindow = 4;
/// Difference that the clocks of two processes may have after a vacancy.
constexpr Duration clockMargin { 250000 };
/// Smallest share of a limit that is kept for outstanding credit; where the bound allows less overage, the bucket is smaller.
constexpr double smallestReserve = 0.1;
/// Smallest reserve of a slice in credits, so that at least one can be outstanding.
constexpr double smallestSliceReserve = 2;
/// Smallest capacity of a slice's bucket: it holds whole credits.
constexpr double smallestSliceCapacity = 1;
/// Largest share of the bound that these two may take from the rate.
constexpr double largestShare = 0.5;
// Shares of the reserve.
constexpr double allowanceShare = 0.54;
constexpr double capacityShare = 0.2;
constexpr double firstFillShare = 0.2;
// Twice, since a sliding window overlaps two of the windows by which refunds are counted.
constexpr double refundShare = 0.03;
static_assert(allowanceShare + capacityShare + firstFillShare + 2 * refundShare <= 1.0001);

} // namespace

QuotaPlan planOf(const WorkspaceQuota& quota, const QuotaBound& bound)
{
    const double window = std::chrono::duration<double>(bound.window).count();
    constexpr double slices = slicesPerQuota;
    const double limit = (quota.requestsPerSecond * window + quota.burst) / slices;
    const double allowed = ((quota.requestsPerSecond * window + quota.burst) * (1 + bound.overage) + bound.slack) / slices;
    const double reserve = std::max({ allowed - limit, smallestReserve * allowed, std::min(largestShare * allowed, smallestSliceReserve) });
    const double scale = limit > 0 ? (allowed - reserve) / limit : 0;
    QuotaPlan plan;
    plan.rate = quota.requestsPerSecond / slices * scale;
    plan.capacity = quota.burst / slices * scale + reserve * capacityShare;
    const double missing = std::min(smallestSliceCapacity - plan.capacity, plan.rate * window * largestShare);
    if (missing > 0) {
        plan.capacity += missing;
        plan.rate -= missing / window;
    }
    plan.firstFillRate = window > 0 ? reserve * firstFillShare / window : 0;
    plan.allowance = reserve * allowanceShare;
    plan.refunds = reserve * refundShare;
    return plan;
}

Duration creditLifetime(const QuotaBound& bound)
{
    return std::min(longestLifetime, bound.window / lifetimesPerWindow);
}

Duration sliceVacancy(const QuotaBound& bound)
{
    return holderLease + creditLifetime(bound) + clockMargin;
}

} // namespace Knapweedquay
