#include "coordination/placing/MeasurementBudget.h"

#include <algorithm>

namespace Knapweedquay {

namespace {

/// Credit that one probe costs.
constexpr std::uint64_t creditPerProbe = 1000000;
/// Upper bound on the credit per call and on the bytes per second.
constexpr double maximumLimit = 1e9;
constexpr Duration second { 1000000 };

std::uint64_t roundedDown(double value)
{
    return static_cast<std::uint64_t>(std::clamp(value, 0.0, maximumLimit));
}

} // namespace

MeasurementBudget::MeasurementBudget(const MeasurementLimits& limits)
{
    setLimits(limits);
}

void MeasurementBudget::setLimits(const MeasurementLimits& limits)
{
    m_creditPerCall = roundedDown(limits.probesPerCall * static_cast<double>(creditPerProbe));
    m_maximumCredit = std::max(creditPerProbe, m_creditPerCall);
    m_bytesPerSecond = roundedDown(limits.bytesPerSecond);
    m_credit = m_creditPerCall == 0 ? 0 : std::min(m_credit, m_maximumCredit);
}

void MeasurementBudget::callSent()
{
    ++m_spend.calls;
    m_credit = std::min(m_credit + m_creditPerCall, m_maximumCredit);
}

bool MeasurementBudget::hasEarnedProbe() const
{
    return m_credit >= creditPerProbe;
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
    m_credit -= creditPerProbe;
    m_lastSecond.push_back({ now, cost });
    m_lastSecondBytes += cost;
    ++m_spend.probes;
    m_spend.bytes += cost;
    return true;
}

} // namespace Knapweedquay
