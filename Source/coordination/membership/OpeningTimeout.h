#pragma once

#include "protocol/Time.h"

namespace Knapweedquay {

/// Time to wait for a connection to a control replica to open before it is given up for another attempt (compare the
/// Connection Attempt Delay of RFC 8305).
///
/// A machine without power answers nothing, so that an attempt would wait for the system's next SYN, a second later, even if
/// the machine has started in the meantime. Many such machines start at once after a power cut, when no call can be served
/// until a replica is reached. The first attempts follow each other closely, because the machines of a deployment start within
/// some tenths of a second; then each failure doubles the time. A replica whose system has accepted the connection is up and
/// just slow, so that the time doubles with the first failure: further attempts would add to its work.
class OpeningTimeout {
public:
    /// isReached: the system of the replica has accepted the connection.
    Duration value(bool isReached = false) const;
    /// Registers that a connection was not open in time.
    void expired();
    /// Registers that a connection has opened.
    void opened();

private:
    static constexpr Duration shortest { 150000 };
    static constexpr Duration longest { 1500000 };
    static constexpr Duration shortestReached { 150000 };
    /// Attempts before the time is doubled.
    static constexpr int closeAttempts = 5;

    Duration m_value = shortest;
    Duration m_reachedValue = shortestReached;
    int m_failures = 0;
};

} // namespace Knapweedquay
