#pragma once

#include "protocol/Time.h"

namespace Knapweedquay {

/// Time to wait for a connection to a control replica to open before it is given up for another attempt (compare the
/// Connection Attempt Delay of RFC 8305).
///
/// A machine without power answers nothing, so that an attempt would wait for the system's next SYN, a second later, even if
/// the machine has started in the meantime. Many such machines start at once after a power cut, when no call can be served
/// until a replica is reached. Each failure doubles the time, since the replicas may just be slow to accept.
class OpeningTimeout {
public:
    Duration value() const { return m_value; }
    /// Registers that a connection was not open in time.
    void expired();
    /// Registers that a connection has opened.
    void opened();

private:
    static constexpr Duration shortest { 150000 };
    static constexpr Duration longest { 1000000 };

    Duration m_value = shortest;
};

} // namespace Knapweedquay
