#pragma once

#include "protocol/Time.h"
#include "state/ServiceDocument.h"

#include <cstddef>
#include <cstdint>
#include <deque>

namespace Knapweedquay {

/// What was spent on measuring so far, for metrics.
struct MeasurementSpend {
    std::uint64_t calls = 0;
    std::uint64_t probes = 0;
    std::uint64_t bytes = 0;
    /// Probes that were wanted and not allowed.
    std::uint64_t refusedProbes = 0;
};

/// Holds the probes of one service at one node to the limits in its document.
///
/// While the limits stay the same, and in any order of calls and probes:
/// - since the start, probes <= probesPerCall * calls;
/// - between any two events with n calls between them, probes <= probesPerCall * n + max(1, probesPerCall);
/// - within any second, bytes <= bytesPerSecond, each probe counting as at least minimumProbeBytes.
/// Whole numbers are kept (millionths of a probe), so that this holds exactly, without rounding errors that add up.
class MeasurementBudget {
public:
    /// A probe and its answer are never counted as less than this.
    static constexpr std::size_t minimumProbeBytes = 64;

    explicit MeasurementBudget(const MeasurementLimits&);

    /// Puts new limits in force; bytes of the last second keep counting.
    void setLimits(const MeasurementLimits&);

    /// A call was sent: it earns its part of a probe.
    void callSent();
    /// True when the calls have earned a whole probe. Cheap, so that planning a probe can wait until then.
    bool hasEarnedProbe() const;
    /// Asks for one probe. bytes is the probe with the largest answer that it may have; true when it may be sent now,
    /// and it is counted then.
    bool tryProbe(std::size_t bytes, TimePoint now);

    const MeasurementSpend& spend() const { return m_spend; }

private:
    struct Spent {
        TimePoint at;
        std::uint64_t bytes = 0;
    };

    std::uint64_t m_earnedPerCall = 0;
    std::uint64_t m_largestEarned = 0;
    std::uint64_t m_bytesPerSecond = 0;
    /// Millionths of a probe.
    std::uint64_t m_earned = 0;
    std::deque<Spent> m_lastSecond;
    std::uint64_t m_lastSecondBytes = 0;
    MeasurementSpend m_spend;
};

} // namespace Knapweedquay
