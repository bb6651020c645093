#pragma once

#include "protocol/Time.h"

#include <cstdint>

namespace Knapweedquay {

/// Detects whether using the last slots of a backend server reduces its throughput (the knee of its load curve).
///
/// Near full use, some backend servers slow down all their calls by more than the additional calls bring. The estimate
/// compares the service times of calls that started at moderate and at high load. Both must be normalised to the
/// nominal speed of the machine and given as a multiple of the baseline for their priority.
class KneeEstimate {
public:
    /// Number of calls to run concurrently, given the number of slots.
    std::uint32_t limit(std::uint32_t slots, TimePoint now) const;
    /// Adds a sample.
    /// relativeTime: service time as a multiple of the baseline for its priority
    /// runningAtStart: number of calls that were running when it started, itself included
    void observe(double relativeTime, std::uint32_t runningAtStart, std::uint32_t slots, TimePoint now);

private:
    /// Mean of the first samples, then an exponential moving average.
    struct Mean {
        double value = 0;
        std::uint32_t samples = 0;
        void add(double sample);
    };

    bool isKneeKnown() const;

    /// Relative service times at moderate and at high load.
    Mean m_moderate;
    Mean m_high;
    /// Time of the last sample at high load.
    TimePoint m_highAt;
};

} // namespace Knapweedquay
