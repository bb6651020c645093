#include "coordination/admission/ConcurrencyLimit.h"

#include <algorithm>

namespace Knapweedquay {

namespace {

/// Mean latency, as a multiple of the baseline, above which the limit is reduced.
constexpr double inflationTolerance = 2;
/// Smallest factor by which the limit is multiplied at the end of one window.
constexpr double minimumDecreaseFactor = 0.5;
/// Factor by which the limit is multiplied when the backend server sheds calls.
constexpr double shedDecreaseFactor = 0.8;
/// Share of the slots in use from which on a rejection by the backend server is attributed to its load.
constexpr double shedLoadShare = 0.5;
/// Samples in one window per unit of the limit, so that a lower limit has a shorter window.
constexpr std::uint32_t samplesPerSlot = 6;
/// Minimum number of samples in one window.
constexpr std::uint32_t minimumSamples = 16;
/// Number of samples averaged for the initial baseline, and for each update of it above low load.
constexpr std::uint32_t baselineSamples = 128;
/// Share of the slots in use up to which latencies count as free of contention.
constexpr double lowLoadShare = 0.25;
/// Weight of one sample at low load in the baseline.
constexpr double lowLoadWeight = 1.0 / 64;
/// Weight of a mean above low load that is below the baseline.
constexpr double fallingWeight = 1.0 / 8;
/// Weight of a mean above low load that is above the baseline. Small, so that the baseline does not follow the latency
/// inflation that it serves to detect.
constexpr double risingWeight = 1.0 / 256;

} // namespace

ConcurrencyLimit::ConcurrencyLimit(std::uint32_t slots)
    : m_slots(std::max(slots, 1U))
    , m_limit(m_slots)
{
}

std::uint32_t ConcurrencyLimit::value(TimePoint now) const
{
    return m_reportsLoad ? m_knee.limit(m_slots, now) : adaptedValue();
}

std::uint32_t ConcurrencyLimit::adaptedValue() const
{
    return static_cast<std::uint32_t>(m_limit);
}

void ConcurrencyLimit::setSlots(std::uint32_t slots)
{
    const bool wasAtTop = adaptedValue() == m_slots;
    m_slots = std::max(slots, 1U);
    setLimit(wasAtTop ? m_slots : m_limit);
}

void ConcurrencyLimit::observe(PriorityIndex priority, Duration latency, std::uint32_t runningAtStart, TimePoint now)
{
    if (priority.value() >= m_baselines.size())
        m_baselines.resize(priority.value() + 1);
    auto& baseline = m_baselines[priority.value()];
    const auto sample = static_cast<double>(std::max<Duration::rep>(latency.count(), 1));
    const bool isLowLoad = runningAtStart <= std::max(1.0, lowLoadShare * m_slots);
    updateBaseline(baseline, sample, isLowLoad);

    m_knee.observe(sample / baseline.microseconds, runningAtStart, m_slots, now);
    m_inflationSum += sample / baseline.microseconds;
    m_peakRunning = std::max(m_peakRunning, runningAtStart);
    if (++m_samples >= std::max(minimumSamples, samplesPerSlot * adaptedValue()))
        closeWindow();
}

void ConcurrencyLimit::observeShed(std::uint32_t running)
{
    // A rejection while many slots are free indicates a fault, not load.
    if (running < shedLoadShare * m_slots)
        return;
    // One decrease per window: calls shed together have one cause.
    if (m_shedInWindow)
        return;
    setLimit(m_limit * shedDecreaseFactor);
    m_shedInWindow = true;
}

void ConcurrencyLimit::updateBaseline(Baseline& baseline, double latency, bool isLowLoad)
{
    // The first samples have equal weights, so that a single outlier does not determine the baseline.
    if (baseline.samples < baselineSamples) {
        baseline.microseconds += (latency - baseline.microseconds) / ++baseline.samples;
        return;
    }
    if (isLowLoad) {
        baseline.microseconds += lowLoadWeight * (latency - baseline.microseconds);
        return;
    }
    baseline.windowSum += latency;
    if (++baseline.windowCount < baselineSamples)
        return;
    const double mean = baseline.windowSum / baseline.windowCount;
    const double weight = mean < baseline.microseconds ? fallingWeight : risingWeight;
    baseline.microseconds += weight * (mean - baseline.microseconds);
    baseline.windowSum = 0;
    baseline.windowCount = 0;
}

void ConcurrencyLimit::closeWindow()
{
    const double inflation = m_inflationSum / m_samples;
    // If the limit was not reached, the samples give no evidence about a higher one.
    const bool isUsed = m_peakRunning >= adaptedValue();
    if (inflation > inflationTolerance)
        setLimit(m_limit * std::max(minimumDecreaseFactor, inflationTolerance / inflation));
    else if (isUsed && !m_shedInWindow)
        setLimit(m_limit + 1);
    m_inflationSum = 0;
    m_samples = 0;
    m_peakRunning = 0;
    m_shedInWindow = false;
}

void ConcurrencyLimit::setLimit(double limit)
{
    m_limit = std::clamp(limit, 1.0, static_cast<double>(m_slots));
}

} // namespace Knapweedquay
