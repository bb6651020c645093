#pragma once

#include "protocol/Time.h"

#include <cstdint>

namespace Knapweedquay {

/// Smoothed time that a backend server takes for one call.
///
/// The mean sizes the work that waits. The lower quartile says whether a deadline can be met at all: it errs towards
/// letting a call run, so that a few slow calls do not refuse all those that are quick.
class ServiceTimeEstimate {
public:
    /// Takes in the time of a call that succeeded.
    void observe(Duration);
    /// Takes in the time of a call that failed. It can only raise the estimate: failing fast is not being fast.
    void observeFailure(Duration);

    bool hasSamples() const { return m_samples > 0; }
    /// Zero while there are no samples.
    Duration mean() const;
    /// Zero while there are no samples.
    Duration lowerQuartile() const;

private:
    std::uint32_t m_samples = 0;
    double m_meanMicroseconds = 0;
    double m_lowerQuartileMicroseconds = 0;
};

} // namespace Knapweedquay
