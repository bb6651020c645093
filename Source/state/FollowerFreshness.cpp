#include "state/FollowerFreshness.h"

namespace Knapweedquay {

namespace {

constexpr std::size_t maximumRoundsRemembered = 64;

// An echo that is older than this, or newer than now, is not one of this process.
constexpr Duration oldestEcho = std::chrono::hours(1);

} // namespace

std::uint64_t FollowerFreshness::clock(TimePoint now) const
{
    return m_clockBase + static_cast<std::uint64_t>(now.time_since_epoch().count());
}

std::optional<TimePoint> FollowerFreshness::timeOf(std::uint64_t echo, TimePoint now) const
{
    const TimePoint time(Duration(static_cast<std::int64_t>(echo - m_clockBase)));
    if (time > now || time < now - oldestEcho)
        return std::nullopt;
    return time;
}

void FollowerFreshness::startTerm(Term term)
{
    if (term == m_term)
        return;
    m_term = term;
    m_received.clear();
    m_waiting.clear();
}

void FollowerFreshness::heard(const AppendRequest& request, TimePoint now)
{
    startTerm(request.term);
    const std::optional<TimePoint> notBefore = timeOf(request.echo, now);
    const bool isNewRound = m_received.empty() || m_received.back().round < request.round;
    if (notBefore && isNewRound)
        m_received.push_back({ request.round, *notBefore });
    if (m_received.size() > maximumRoundsRemembered)
        m_received.pop_front();
    std::optional<ReceivedRound> confirmed;
    while (!m_received.empty() && m_received.front().round <= request.confirmedRound) {
        confirmed = m_received.front();
        m_received.pop_front();
    }
    if (!confirmed)
        return;
    m_waiting.push_back({ m_term, confirmed->round, confirmed->notBefore, request.commitIndex });
    if (m_waiting.size() > maximumRoundsRemembered)
        m_waiting.pop_back();
    prove();
}

void FollowerFreshness::applied(LogIndex index)
{
    m_applied = index;
    prove();
}

void FollowerFreshness::prove()
{
    while (!m_waiting.empty() && m_waiting.front().commitIndex <= m_applied) {
        if (!m_latest || m_latest->notBefore < m_waiting.front().notBefore)
            m_latest = m_waiting.front();
        m_waiting.pop_front();
    }
}

std::optional<Freshness> FollowerFreshness::at(TimePoint now) const
{
    if (!m_latest)
        return std::nullopt;
    return Freshness { m_latest->term, m_latest->round, now - m_latest->notBefore };
}

} // namespace Knapweedquay
