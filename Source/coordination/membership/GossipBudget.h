#pragma once

#include "protocol/Time.h"

#include <cstddef>

namespace Knapweedquay {

/// Token bucket that limits the bytes sent by the membership protocol.
///
/// Pings, acknowledgements and digests are always sent and may overdraw the bucket, since their rate is bounded by the
/// periods of the settings. Rumors, lists of document versions and the summary that starts a repair are sent only when
/// enough bytes are available; the request and records that follow a summary are always sent.
class GossipBudget {
public:
    /// rate is in bytes per second, burst in bytes.
    GossipBudget(double rate, double burst);

    /// Returns whether the bucket holds this number of bytes; does not take them.
    bool isAvailable(std::size_t bytes, TimePoint now);
    /// Takes the bytes from the bucket, which may become negative by up to the burst.
    void spend(std::size_t bytes, TimePoint now);

private:
    void refill(TimePoint now);

    const double m_rate;
    const double m_burst;
    /// Bytes that may be sent now; negative while overdrawn.
    double m_available;
    TimePoint m_refilledAt;
};

} // namespace Knapweedquay
