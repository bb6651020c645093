#include "coordination/ServiceTimeEstimate.h"

#include <algorithm>

namespace Knapweedquay {

namespace {

constexpr double sampleWeight = 1.0 / 16;
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
    if (!m_hasSamples) {
        m_hasSamples = true;
        m_meanMicroseconds = sample;
        m_lowerQuartileMicroseconds = sample;
        return;
    }
    m_meanMicroseconds += sampleWeight * (sample - m_meanMicroseconds);
    // Stochastic approximation of a quantile: steps up and down balance where a quarter of the samples is smaller.
    const double direction = sample > m_lowerQuartileMicroseconds ? quartile : quartile - 1;
    m_lowerQuartileMicroseconds = std::max(1.0, m_lowerQuartileMicroseconds * (1 + quartileStep * direction));
}

void ServiceTimeEstimate::observeFailure(Duration time)
{
    if (m_hasSamples && time > mean())
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
