#pragma once

#include "protocol/Time.h"
#include "state/RoutingDocument.h"

#include <map>
#include <optional>
#include <string>

namespace Knapweedquay {

/// Estimates from the deadline of a request how long its caller has already been retrying.
///
/// The callers of a route start with the same deadline, and a caller that was refused retries with the remaining time.
/// So the longest deadline received recently is the initial one. The answer to a late retry has as little value as any
/// late answer, and a new request must not wait for it.
class CallerDeadlines {
public:
    /// Returns the time since the caller's first attempt; zero for a request without a deadline.
    Duration elapsed(const RoutingRule&, std::optional<Duration> deadline, TimePoint now);

private:
    /// The longest deadline of a route, and when it was last received.
    struct LongestDeadline {
        Duration deadline { 0 };
        TimePoint seenAt;
    };

    /// Keyed by the host and path prefix of the route.
    std::map<std::string, LongestDeadline> m_longestDeadlines;
};

} // namespace Knapweedquay
