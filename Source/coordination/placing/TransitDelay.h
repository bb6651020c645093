#pragma once

#include "protocol/Time.h"

namespace Knapweedquay {

/// Measures the transit delay of messages above the minimum delay, from the sender's timestamps.
///
/// The clocks of two processes are not synchronised, but the difference between the times of receipt and sending has a
/// minimum, and any excess over it is a delay, such as that of a full buffer or a suspended receiver. Deadlines are
/// sent as remaining time, so without this correction a request that was read late would run after its deadline.
class TransitDelay {
public:
    /// Returns by how much the delay of a message exceeds the minimum observed.
    /// sentAt: time of sending on the sender's clock
    /// receivedAt: time of receipt on the local clock
    Duration excess(TimePoint sentAt, TimePoint receivedAt);

private:
    /// Time for which a minimum is collected. It is used until the end of the next window and then discarded, because
    /// clocks drift.
    static constexpr Duration window { 60000000 };

    /// Smallest difference between the times of receipt and sending in the current window.
    Duration m_minimum = Duration::max();
    /// The same of the window before it.
    Duration m_previousMinimum = Duration::max();
    TimePoint m_windowStart;
};

} // namespace Knapweedquay
