#include "coordination/admission/ServiceTimeEstimate.h"

#include <algorithm>

namespace Knapweedquay {

namespace {

/// Window of the moving average of the service time, in samples. A smaller window tracks changes faster, but increases
/// the noise of the estimated waits, which are computed from the mean.
constexpr std::uint32_t meanSamples = 64;
/// Share of the samples that are smaller than the lower quartile.
constexpr double quartile = 0.25;
/// Step size of the quartile estimate, relative to its value.
constexpr double quartileStep = 0.1;

Duration microseconds(double count)
{
    return Duration(static_cast<Duration::rep>(count));
}

} // namespace

void ServiceTimeEstimate::observe(Duration time)
{
    const auto sample = static_cast<double>(std::max<Duration::rep>(time.count(), 1));
    if (!hasSamples())
        m_lowerQuartileMicroseconds = sample;
    m_samples = std::min(m_samples + 1, meanSamples);
    m_meanMicroseconds += (sample - m_meanMicroseconds) / m_samples;
    // Stochastic approximation: upward and downward steps balance where a quarter of the samples is smaller.
    const double direction = sample > m_lowerQuartileMicroseconds ? quartile : quartile - 1;
    m_lowerQuartileMicroseconds = std::max(1.0, m_lowerQuartileMicroseconds * (1 + quartileStep * direction));
}

void ServiceTimeEstimate::observeFailure(Duration time)
{
    if (hasSamples() && time > mean())
        observe(time);
}

Duration ServiceTimeEstimate::mean() const
{
    return microseconds(m_meanMicroseconds);
}

Duration ServiceTimeEstimate::lowerQuartile() const
{
    return microseconds(m_lowerQuartileMicroseconds);
}

} // namespace Knapweedquay
