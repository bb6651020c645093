#pragma once

#include "protocol/Time.h"

#include <cstddef>

namespace Knapweedquay {

/// Token bucket that limits the bytes sent by the membership protocol.
///
/// Pings and acknowledgements are always sent and may overdraw the bucket, since their rate is fixed; rumors and
/// repairs are sent only when enough bytes are available.
class GossipBudget {
public:
    /// rate is in bytes per second, burst in bytes.
    GossipBudget(double rate, double burst);

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
