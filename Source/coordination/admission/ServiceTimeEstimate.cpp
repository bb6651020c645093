#include "coordination/admission/ServiceTimeEstimate.h"

#include <algorithm>

namespace Knapweedquay {

namespace {

/// Samples that the mean goes back over. Fewer follow a change faster, but the wait of a full queue is worked out
/// from the mean and would be wrong by its noise.
constexpr std::uint32_t meanSamples = 64;
constexpr double quartile = 0.25;
/// Size of one step of the quartile, relative to its value.
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
    // Stochastic approximation of a quantile: steps up and down balance where a quarter of the samples is smaller.
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
