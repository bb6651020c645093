#include "coordination/admission/KneeEstimate.h"

#include <algorithm>

namespace Knapweedquay {

namespace {

/// Shares of the slots in use that count as moderate and as high load.
constexpr double moderateLow = 0.4;
constexpr double moderateHigh = 0.75;
constexpr double highLoad = 0.85;
constexpr std::uint32_t meanSamples = 100;
constexpr std::uint32_t neededSamples = 25;
/// Slots that are used below the knee, as a share.
constexpr double kneeShare = 0.77;
/// Full use that makes calls slower by more than this loses more than its slots bring.
constexpr double costlySlowdown = 1.25;
/// Time after which the last slots are tried again.
constexpr Duration retryTime { 20000000 };
constexpr Duration trialTime { 500000 };

} // namespace

void KneeEstimate::Mean::add(double sample)
{
    samples = std::min(samples + 1, meanSamples);
    value += (sample - value) / samples;
}

bool KneeEstimate::isKneeKnown() const
{
    return m_moderate.samples >= neededSamples && m_high.samples >= neededSamples && m_high.value > costlySlowdown * m_moderate.value;
}

std::uint32_t KneeEstimate::limit(std::uint32_t slots, TimePoint now) const
{
    const bool isTrial = now - m_highAt > retryTime && now - m_highAt < retryTime + trialTime;
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
