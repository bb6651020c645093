#include "coordination/placing/QuantileEstimate.h"

#include <algorithm>

namespace Knapweedquay {

namespace {

/// Number of samples before an estimate is given.
constexpr std::uint64_t minimumCount = 50;
/// Weight of a new sample in the moving average that scales the steps.
constexpr double meanWeight = 0.05;
/// Step of the estimate as a share of the mean: small enough for a stable estimate, large enough to track changes of
/// load.
constexpr double stepShare = 0.1;

} // namespace

QuantileEstimate::QuantileEstimate(double quantile)
    : m_quantile(quantile)
{
}

void QuantileEstimate::add(Duration duration)
{
    const double value = static_cast<double>(duration.count());
    if (m_count++ == 0) {
        m_meanMicroseconds = value;
        m_microseconds = value;
        return;
    }
    m_meanMicroseconds += meanWeight * (value - m_meanMicroseconds);
    const double step = stepShare * m_meanMicroseconds;
    m_microseconds += value > m_microseconds ? step * m_quantile : -step * (1 - m_quantile);
    m_microseconds = std::max(m_microseconds, 0.0);
}

std::optional<Duration> QuantileEstimate::value() const
{
    if (m_count < minimumCount)
        return std::nullopt;
    return Duration(static_cast<std::int64_t>(m_microseconds));
}

} // namespace Knapweedquay
