#pragma once

#include "protocol/Time.h"

#include <optional>

namespace Knapweedquay {

/// Tracks whether this node's backend server currently accepts connections.
///
/// A backend server that crashed refuses connections long before its announcements time out, and a restarted one
/// accepts them before it announces itself. Therefore a refused connection stops calls to it, and the next connection
/// that opens resumes them; when no other request probes the backend server, a call is admitted at intervals to do so.
class BackendReachability {
public:
    /// Records that the backend server refused a connection.
    void connectionRefused(TimePoint now);
    /// Records that a connection to the backend server was established.
    void connectionOpened() { m_refusedAt.reset(); }
    bool isReachable() const { return !m_refusedAt; }
    /// Returns whether a call may be sent: the backend server is reachable, or its last refusal is long enough ago.
    bool mayTry(TimePoint now) const;

private:
    /// When the backend server last refused a connection; empty while it accepts connections.
    std::optional<TimePoint> m_refusedAt;
};

} // namespace Knapweedquay
