#include "coordination/routing/CallerDeadlines.h"

#include <algorithm>

namespace Knapweedquay {

namespace {

/// A deadline that was not seen for this long is forgotten: callers changed.
constexpr Duration memory { 10000000 };
/// Shorter differences are those of clocks and ways, not of an earlier attempt.
constexpr Duration negligible { 20000 };
constexpr std::size_t maximumRoutes = 50000;

} // namespace

Duration CallerDeadlines::elapsed(const RoutingRule& rule, std::optional<Duration> deadline, TimePoint now)
{
    if (!deadline)
        return Duration::zero();
    if (m_longest.size() > maximumRoutes)
        m_longest.clear();
    Longest& longest = m_longest[rule.host + rule.pathPrefix];
    if (*deadline >= longest.deadline - negligible || now - longest.seenAt > memory) {
        longest = { std::max(*deadline, now - longest.seenAt > memory ? Duration::zero() : longest.deadline), now };
        return Duration::zero();
    }
    return longest.deadline - *deadline;
}

} // namespace Knapweedquay
