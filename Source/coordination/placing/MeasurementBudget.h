#pragma once

#include "protocol/Time.h"
#include "state/ServiceDocument.h"

#include <cstddef>
#include <cstdint>
#include <deque>

namespace Knapweedquay {

/// Cumulative cost of probing, for metrics.
struct MeasurementSpend {
    /// Calls that earned credit for probes.
    std::uint64_t calls = 0;
    /// Probes that were allowed.
    std::uint64_t probes = 0;
    /// Bytes charged for the allowed probes.
    std::uint64_t bytes = 0;
    /// Requested probes that were not allowed.
    std::uint64_t refusedProbes = 0;
};

/// Limits the probes of one service at one node as set in the service document.
///
/// While the limits are unchanged, for any order of calls and probes:
/// - since the start, probes <= probesPerCall * calls;
/// - between any two events with n calls between them, probes <= probesPerCall * n + max(1, probesPerCall);
/// - within any second, bytes <= bytesPerSecond, each probe counting as at least minimumProbeBytes.
///
/// The credit is kept in integers (millionths of a probe), so that these bounds hold exactly, without accumulated
/// rounding errors.
class MeasurementBudget {
public:
    /// Minimum number of bytes charged for a probe and its response.
    static constexpr std::size_t minimumProbeBytes = 64;

    explicit MeasurementBudget(const MeasurementLimits&);

    /// Replaces the limits. Bytes charged within the last second still count.
    void setLimits(const MeasurementLimits&);

    /// Adds the credit for one call that was sent.
    void callSent();
    /// True when the credit suffices for one probe. Inexpensive, so that callers can check it before planning a probe.
    bool hasEarnedProbe() const;
    /// Requests one probe, and charges for it if it is allowed. Returns true when it may be sent now.
    /// bytes: size of the probe plus the maximum size of its response
    bool tryProbe(std::size_t bytes, TimePoint now);

    const MeasurementSpend& spend() const { return m_spend; }

private:
    /// A probe that was charged to the bytes of the last second.
    struct AllowedProbe {
        TimePoint at;
        std::uint64_t bytes = 0;
    };

    /// In millionths of a probe, as is the maximum credit.
    std::uint64_t m_creditPerCall = 0;
    std::uint64_t m_maximumCredit = 0;
    std::uint64_t m_bytesPerSecond = 0;
    /// Credit in millionths of a probe.
    std::uint64_t m_credit = 0;
    /// Probes allowed within the last second, oldest first.
    std::deque<AllowedProbe> m_lastSecond;
    std::uint64_t m_lastSecondBytes = 0;
    MeasurementSpend m_spend;
};

} // namespace Knapweedquay
