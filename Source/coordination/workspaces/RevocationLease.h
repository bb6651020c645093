#pragma once

#include "protocol/Time.h"

#include <optional>

namespace Knapweedquay {

/// Whether this node may let requests with keys go on, where withdrawn keys must stop within a stated time at all nodes.
///
/// Answers nodes that are cut off or frozen while a key is withdrawn: such a node can't learn of it, so it stops by itself. The
/// age of a proof counts from the time at which the node asked for it, on a clock that runs through a suspension.
class RevocationLease {
public:
    /// Share of the revocation time for which a proof lets requests go on. The rest is for the time from the last check to
    /// the start at the backend server, and for clocks of different rates.
    static constexpr double share = 0.8;

    /// revocationTime: time after the acknowledgement of a withdrawal from which no request with the key may start; not set
    /// where nodes need no proof.
    explicit RevocationLease(std::optional<Duration> revocationTime);

    /// Registers that the configuration in force here was the newest one at that time.
    void proved(TimePoint);
    bool isHeld(TimePoint now) const;

private:
    std::optional<Duration> m_length;
    std::optional<TimePoint> m_provedAt;
};

} // namespace Knapweedquay
