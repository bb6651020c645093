#pragma once

#include "protocol/Time.h"

#include <cstddef>

namespace Knapweedquay {

/// Token bucket over the bytes that membership sends.
///
/// Pings and acknowledgements are always sent and may overdraw it, since their rate is fixed; news and repairs
/// wait until there is room.
class GossipBudget {
public:
    /// Rate in bytes per second; burst in bytes.
    GossipBudget(double rate, double burst);

    bool isAvailable(std::size_t bytes, TimePoint now);
    void spend(std::size_t bytes, TimePoint now);

private:
    void refill(TimePoint now);

    const double m_rate;
    const double m_burst;
    double m_available;
    TimePoint m_refilledAt;
};

} // namespace Knapweedquay
