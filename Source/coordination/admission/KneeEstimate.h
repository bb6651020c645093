#pragma once

#include "protocol/Time.h"

#include <cstdint>

namespace Knapweedquay {

/// Finds out whether the last slots of a backend server are worth using.
///
/// Some backend servers slow all their calls down when they are nearly full, by more than the added calls are worth.
/// Compares the service times of calls that began at a moderate and at a high load; both must be given at the usual speed
/// of the machine, and as a multiple of what is usual for their kind.
class KneeEstimate {
public:
    /// Calls to run at once, of so many slots.
    std::uint32_t limit(std::uint32_t slots, TimePoint now) const;
    void observe(double relativeTime, std::uint32_t runningAtStart, std::uint32_t slots, TimePoint now);

private:
    struct Mean {
        double value = 0;
        std::uint32_t samples = 0;
        void add(double sample);
    };

    bool isKneeKnown() const;

    Mean m_moderate;
    Mean m_high;
    /// When a call last began at high load.
    TimePoint m_highAt;
};

} // namespace Knapweedquay
