#pragma once

#include "protocol/RequestRate.h"
#include "protocol/Time.h"

#include <optional>

namespace Knapweedquay {

/// Spaces requests so that they do not exceed a rate (the generic cell rate algorithm, ITU-T I.371).
///
/// A request is due when the interval since the one before has passed, and may be sent up to 300 ms early. In any time t
/// at a constant rate, there are at most rate x (t + 300 ms) + 1 requests. One that is counted before it is allowed delays
/// the following ones. Rates below one request in ten seconds are raised to that, so that some request finds out when the
/// limit ends.
class RequestRateLimit {
public:
    /// Rates below this one, in requests per second, are raised to it.
    static constexpr double minimumRate = 0.1;

    /// Most requests that a constant rate allows in any time of this length.
    static double mostRequests(RequestRate, Duration);

    /// Sets the rate; while it is unset, any number of requests is allowed. A change scales the time until the next request.
    void setRate(std::optional<RequestRate>, TimePoint now);
    /// The rate as it was set.
    const std::optional<RequestRate>& rate() const { return m_rate; }
    /// Rate that is enforced, in requests per second; only valid while a rate is set.
    double requestsPerSecond() const;

    /// True if a request may be sent, if necessary early.
    bool allows(TimePoint now) const { return !m_rate || allowedAt() <= now; }
    /// True if a request is due.
    bool isDue(TimePoint now) const { return !m_rate || m_nextDue <= now; }
    /// Time from which the next request is allowed; only valid while a rate is set.
    TimePoint allowedAt() const;
    /// Time from which the next request is due; only valid while a rate is set.
    TimePoint dueAt() const { return m_nextDue; }
    /// Sets when the next request is due, to count requests that were sent before the rate was set, or to take back some.
    void setDueAt(TimePoint due) { m_nextDue = due; }
    /// Counts a request that is sent now.
    void count(TimePoint now);

private:
    /// Time between two requests.
    Duration interval() const;

    std::optional<RequestRate> m_rate;
    /// Time at which the next request is due if requests are evenly spaced.
    TimePoint m_nextDue;
};

} // namespace Knapweedquay
