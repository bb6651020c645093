#include "coordination/placing/MeasurementBudget.h"

#include <algorithm>

namespace Knapweedquay {

namespace {

constexpr std::uint64_t oneProbe = 1000000;
constexpr double largestLimit = 1e9;
constexpr Duration second { 1000000 };

std::uint64_t roundedDown(double value)
{
    return static_cast<std::uint64_t>(std::clamp(value, 0.0, largestLimit));
}

} // namespace

MeasurementBudget::MeasurementBudget(const MeasurementLimits& limits)
{
    setLimits(limits);
}

void MeasurementBudget::setLimits(const MeasurementLimits& limits)
{
    m_earnedPerCall = roundedDown(limits.probesPerCall * static_cast<double>(oneProbe));
    m_largestEarned = std::max(oneProbe, m_earnedPerCall);
    m_bytesPerSecond = roundedDown(limits.bytesPerSecond);
    m_earned = m_earnedPerCall == 0 ? 0 : std::min(m_earned, m_largestEarned);
}

void MeasurementBudget::callSent()
{
    ++m_spend.calls;
    m_earned = std::min(m_earned + m_earnedPerCall, m_largestEarned);
}

bool MeasurementBudget::hasEarnedProbe() const
{
    return m_earned >= oneProbe;
}

bool MeasurementBudget::tryProbe(std::size_t bytes, TimePoint now)
{
    while (!m_lastSecond.empty() && m_lastSecond.front().at + second <= now) {
        m_lastSecondBytes -= m_lastSecond.front().bytes;
        m_lastSecond.pop_front();
    }
    const std::uint64_t cost = std::max(bytes, minimumProbeBytes);
    if (!hasEarnedProbe() || m_lastSecondBytes + cost > m_bytesPerSecond) {
        ++m_spend.refusedProbes;
        return false;
    }
    m_earned -= oneProbe;
    m_lastSecond.push_back({ now, cost });
    m_lastSecondBytes += cost;
    ++m_spend.probes;
    m_spend.bytes += cost;
    return true;
}

} // namespace Knapweedquay
