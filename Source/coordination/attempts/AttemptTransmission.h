#pragma once

#include <cstddef>

namespace Knapweedquay {

/// What is certain about the copies of one attempt that its node handed to links, over any number of links and resends.
///
/// A copy waits until it is sent or returned. A sent copy may arrive at any time, whatever becomes of its link, so that an attempt
/// has certainly not run only if none of its copies was sent and none waits.
///
/// Load pattern: so much waits for a link that it is lost before all is sent, while calls resend their attempts beside
/// copies that wait.
class AttemptTransmission {
public:
    /// A copy was handed to a link.
    void copyHandedOver() { ++m_waitingCopies; }
    /// A link began to send a copy.
    void copySent();
    /// A link gave a copy back unsent. Returns true if the attempt has certainly not run.
    bool copyReturned();
    /// True while a copy may still be sent; another one would only repeat it.
    bool hasWaitingCopy() const { return m_waitingCopies > 0; }

private:
    std::size_t m_waitingCopies = 0;
    bool m_wasSent = false;
};

} // namespace Knapweedquay
