#include "coordination/attempts/RetryBudget.h"

#include <algorithm>

namespace Knapweedquay {

namespace {

/// The least that a node may start within a window: fewer would allow no retry at all.
constexpr double minimumAllowance = 1;

std::int64_t secondOf(TimePoint time)
{
    return std::chrono::duration_cast<std::chrono::seconds>(time.time_since_epoch()).count();
}

} // namespace

RetryBudget::RetryBudget(double share, double burst)
    : m_share(share)
    , m_burst(burst)
{
}

double RetryBudget::burstOfNode(double burstOfFleet, std::size_t nodes)
{
    return std::min(burstOfFleet / static_cast<double>(std::max<std::size_t>(nodes, 1)), maximumBurstOfNode);
}

void RetryBudget::addCall(TimePoint now)
{
    ++current(now).calls;
}

bool RetryBudget::canTake(TimePoint now) const
{
    return m_share > 0 && available(now) >= 1;
}

bool RetryBudget::tryTake(TimePoint now)
{
    if (!canTake(now))
        return false;
    ++current(now).extra;
    return true;
}

void RetryBudget::giveBack(TimePoint now)
{
    const Second second = secondOf(now);
    // The latest counts, so that no earlier window is credited with what was taken after it.
    Counts* latest = nullptr;
    for (Counts& counts : m_counts) {
        const bool isInWindow = counts.second >= 0 && second - counts.second <= static_cast<Second>(windowSeconds);
        if (isInWindow && counts.extra > 0 && (!latest || counts.second > latest->second))
            latest = &counts;
    }
    if (latest)
        --latest->extra;
}

bool RetryBudget::tryTakeForRepeatedRun(TimePoint now)
{
    const Counts counts = sum(now);
    if (counts.extra + 1 > m_share * counts.calls + 2 * m_burst)
        return false;
    ++current(now).extra;
    return true;
}

double RetryBudget::available(TimePoint now) const
{
    const Counts counts = sum(now);
    return m_share * counts.calls + std::max(m_burst, minimumAllowance) - counts.extra;
}

RetryBudget::Counts& RetryBudget::current(TimePoint now)
{
    const Second second = secondOf(now);
    Counts& counts = m_counts[static_cast<std::size_t>(second) % m_counts.size()];
    if (counts.second != second)
        counts = { second, 0, 0 };
    return counts;
}

RetryBudget::Counts RetryBudget::sum(TimePoint now) const
{
    const Second second = secondOf(now);
    Counts sum;
    for (const Counts& counts : m_counts) {
        const Second age = second - counts.second;
        if (counts.second < 0 || age > static_cast<Second>(windowSeconds))
            continue;
        sum.extra += counts.extra;
        if (age < static_cast<Second>(windowSeconds))
            sum.calls += counts.calls;
    }
    return sum;
}

} // namespace Knapweedquay
