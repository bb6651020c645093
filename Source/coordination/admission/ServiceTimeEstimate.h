#pragma once

#include "protocol/Time.h"

#include <cstdint>

namespace Knapweedquay {

/// Smoothed service time of one call at a backend server.
///
/// The mean is used to estimate the queued work. The lower quartile is used to decide whether a deadline can be met: it
/// favours admission, so that a few slow calls do not cause the refusal of all fast ones.
class ServiceTimeEstimate {
public:
    /// Adds the service time of a call that succeeded.
    void observe(Duration);
    /// Adds the service time of a call that failed. It can only increase the estimate, because calls that fail fast are
    /// no evidence of a fast backend server.
    void observeFailure(Duration);

    bool hasSamples() const { return m_samples > 0; }
    /// Zero while there are no samples.
    Duration mean() const;
    /// Zero while there are no samples.
    Duration lowerQuartile() const;

private:
    /// Number of samples, counted up to the window of the mean.
    std::uint32_t m_samples = 0;
    double m_meanMicroseconds = 0;
    double m_lowerQuartileMicroseconds = 0;
};

} // namespace Knapweedquay
