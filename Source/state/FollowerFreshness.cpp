#include "state/FollowerFreshness.h"

namespace Knapweedquay {

namespace {

// Maximum number of received rounds, and of pending proofs, that are kept.
constexpr std::size_t maximumStoredRounds = 64;

// An echo older than this, or later than the current time, was not sent by this process.
constexpr Duration maximumEchoAge = std::chrono::hours(1);

} // namespace

std::uint64_t FollowerFreshness::clock(TimePoint now) const
{
    return m_clockBase + static_cast<std::uint64_t>(now.time_since_epoch().count());
}

std::optional<TimePoint> FollowerFreshness::timeOfEcho(std::uint64_t echo, TimePoint now) const
{
    const TimePoint time(Duration(static_cast<std::int64_t>(echo - m_clockBase)));
    if (time > now || time < now - maximumEchoAge)
        return std::nullopt;
    return time;
}

void FollowerFreshness::startTerm(Term term)
{
    if (term == m_term)
        return;
    m_term = term;
    m_receivedRounds.clear();
    m_pendingProofs.clear();
}

void FollowerFreshness::recordRequest(const AppendRequest& request, TimePoint now)
{
    startTerm(request.term);
    const std::optional<TimePoint> notBefore = timeOfEcho(request.echo, now);
    const bool isNewRound = m_receivedRounds.empty() || m_receivedRounds.back().round < request.round;
    if (notBefore && isNewRound)
        m_receivedRounds.push_back({ request.round, *notBefore });
    if (m_receivedRounds.size() > maximumStoredRounds)
        m_receivedRounds.pop_front();
    std::optional<ReceivedRound> confirmed;
    while (!m_receivedRounds.empty() && m_receivedRounds.front().round <= request.confirmedRound) {
        confirmed = m_receivedRounds.front();
        m_receivedRounds.pop_front();
    }
    if (!confirmed)
        return;
    m_pendingProofs.push_back({ m_term, confirmed->round, confirmed->notBefore, request.commitIndex });
    if (m_pendingProofs.size() > maximumStoredRounds)
        m_pendingProofs.pop_back();
    applyProofs();
}

void FollowerFreshness::setAppliedIndex(LogIndex index)
{
    m_applied = index;
    applyProofs();
}

void FollowerFreshness::applyProofs()
{
    while (!m_pendingProofs.empty() && m_pendingProofs.front().commitIndex <= m_applied) {
        if (!m_latestProof || m_latestProof->notBefore < m_pendingProofs.front().notBefore)
            m_latestProof = m_pendingProofs.front();
        m_pendingProofs.pop_front();
    }
}

std::optional<Freshness> FollowerFreshness::freshnessAt(TimePoint now) const
{
    if (!m_latestProof)
        return std::nullopt;
    return Freshness { m_latestProof->term, m_latestProof->round, now - m_latestProof->notBefore };
}

} // namespace Knapweedquay
