#include "coordination/routing/CallerDeadlines.h"

#include <algorithm>

namespace Knapweedquay {

namespace {

/// A longest deadline not received for this long is discarded: the callers may have changed their deadline.
constexpr Duration deadlineRetention { 10000000 };
/// Smaller differences are due to clocks and network delay, not to an earlier attempt.
constexpr Duration deadlineTolerance { 20000 };
/// Routes with a stored deadline; beyond this number all are discarded.
constexpr std::size_t maximumRoutes = 50000;

} // namespace

Duration CallerDeadlines::elapsed(const RoutingRule& rule, std::optional<Duration> deadline, TimePoint now)
{
    if (!deadline)
        return Duration::zero();
    if (m_longestDeadlines.size() > maximumRoutes)
        m_longestDeadlines.clear();
    LongestDeadline& longest = m_longestDeadlines[rule.host + rule.pathPrefix];
    if (*deadline >= longest.deadline - deadlineTolerance || now - longest.seenAt > deadlineRetention) {
        longest = { std::max(*deadline, now - longest.seenAt > deadlineRetention ? Duration::zero() : longest.deadline), now };
        return Duration::zero();
    }
    return longest.deadline - *deadline;
}

} // namespace Knapweedquay
