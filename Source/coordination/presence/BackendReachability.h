#pragma once

#include "protocol/Time.h"

#include <optional>

namespace Knapweedquay {

/// Whether the backend server beside this node takes connections at this moment.
///
/// A backend server that crashed refuses connections long before its announcements are missed, and one that starts again
/// takes them before it announces itself. So a refused connection keeps calls away, and the next one that opens lets
/// them come; without a question that tells, a call is let through now and then to find out.
class BackendReachability {
public:
    void connectionRefused(TimePoint now);
    void connectionOpened() { m_refusedAt.reset(); }
    bool isReachable() const { return !m_refusedAt; }
    /// True when a call may go there: it is reachable, or was not asked for a while.
    bool mayTry(TimePoint now) const;

private:
    /// When it last refused; empty while it takes connections.
    std::optional<TimePoint> m_refusedAt;
};

} // namespace Knapweedquay
