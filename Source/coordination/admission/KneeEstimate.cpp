#include "coordination/admission/KneeEstimate.h"

#include <algorithm>

namespace Knapweedquay {

namespace {

/// Shares of the slots in use: load is moderate from moderateLow to moderateHigh, and high from highLoad.
constexpr double moderateLow = 0.4;
constexpr double moderateHigh = 0.75;
constexpr double highLoad = 0.85;
/// Number of samples after which the means become moving averages.
constexpr std::uint32_t meanSamples = 100;
/// Number of samples of each load that are needed for an estimate.
constexpr std::uint32_t minimumSamples = 25;
/// Share of the slots that is used once a knee has been detected.
constexpr double kneeShare = 0.77;
/// If full use slows calls down by more than this factor, it costs more throughput than the additional slots provide.
constexpr double costlySlowdown = 1.25;
/// Time since the last sample at high load after which all slots are tried again.
constexpr Duration trialInterval { 20000000 };
/// Duration of such a trial.
constexpr Duration trialDuration { 500000 };

} // namespace

void KneeEstimate::Mean::add(double sample)
{
    samples = std::min(samples + 1, meanSamples);
    value += (sample - value) / samples;
}

bool KneeEstimate::isKneeKnown() const
{
    return m_moderate.samples >= minimumSamples && m_high.samples >= minimumSamples && m_high.value > costlySlowdown * m_moderate.value;
}

std::uint32_t KneeEstimate::limit(std::uint32_t slots, TimePoint now) const
{
    const bool isTrial = now - m_highAt > trialInterval && now - m_highAt < trialInterval + trialDuration;
    if (!isKneeKnown() || isTrial)
        return slots;
    return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(kneeShare * slots));
}

void KneeEstimate::observe(double relativeTime, std::uint32_t runningAtStart, std::uint32_t slots, TimePoint now)
{
    const double load = static_cast<double>(runningAtStart) / std::max(1U, slots);
    if (load >= highLoad) {
        m_high.add(relativeTime);
        m_highAt = now;
    } else if (load >= moderateLow && load <= moderateHigh) {
        m_moderate.add(relativeTime);
    }
}

} // namespace Knapweedquay
