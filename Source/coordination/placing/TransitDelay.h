#pragma once

#include "protocol/Time.h"

namespace Knapweedquay {

/// Tells how long a message lay on its way beyond the usual, from the sender's clock in the message.
///
/// The clocks of two processes cannot be compared, but the difference between sending and receipt has a smallest value,
/// and what a message has above it is delay: a full buffer, or a receiver that was frozen. Deadlines are handed on as
/// time left, so without this a request that was read late would run after its deadline.
class TransitDelay {
public:
    /// sentAt is a moment on the sender's clock.
    Duration excess(TimePoint sentAt, TimePoint receivedAt);

private:
    /// The smallest difference is forgotten after one to two windows, because clocks drift apart.
    static constexpr Duration window { 60000000 };

    Duration m_smallest = Duration::max();
    Duration m_previousSmallest = Duration::max();
    TimePoint m_windowStart;
};

} // namespace Knapweedquay
