#include "state/QuorumRounds.h"

#include <algorithm>

namespace Knapweedquay {

namespace {

// With one round every 50 ms, this covers more than the time after which a leader without responses steps down.
constexpr std::size_t maximumStoredRounds = 64;

} // namespace

void QuorumRounds::reset(TimePoint votesRequestedAt)
{
    m_current = QuorumRound();
    m_confirmed = QuorumRound();
    m_confirmedSentAt = votesRequestedAt;
    m_sentRounds.clear();
    m_acknowledged.clear();
}

QuorumRound QuorumRounds::start(TimePoint now)
{
    m_current = QuorumRound(m_current.value() + 1);
    m_sentRounds.push_back({ m_current, now });
    if (m_sentRounds.size() > maximumStoredRounds)
        m_sentRounds.pop_front();
    return m_current;
}

void QuorumRounds::acknowledge(ReplicaId replica, QuorumRound round)
{
    const auto sent = std::find_if(m_sentRounds.begin(), m_sentRounds.end(), [round](const SentRound& candidate) { return candidate.round == round; });
    if (sent == m_sentRounds.end())
        return;
    Acknowledgement& latest = m_acknowledged[replica];
    if (round > latest.round)
        latest = { round, sent->sentAt };
}

void QuorumRounds::updateConfirmed(ReplicaId self, const MemberList& members)
{
    std::vector<Acknowledgement> rounds;
    for (const Member& member : members) {
        if (!member.voter)
            continue;
        const auto acknowledged = m_acknowledged.find(member.id);
        if (member.id == self && !m_sentRounds.empty())
            rounds.push_back({ m_sentRounds.back().round, m_sentRounds.back().sentAt });
        else
            rounds.push_back(acknowledged == m_acknowledged.end() ? Acknowledgement {} : acknowledged->second);
    }
    if (rounds.empty())
        return;
    std::sort(rounds.begin(), rounds.end(), [](const auto& a, const auto& b) { return a.round > b.round; });
    const Acknowledgement& confirmed = rounds[rounds.size() / 2];
    if (confirmed.round <= m_confirmed)
        return;
    m_confirmed = confirmed.round;
    m_confirmedSentAt = confirmed.sentAt;
}

TimePoint QuorumRounds::acknowledgedSentAt(ReplicaId replica) const
{
    const auto acknowledged = m_acknowledged.find(replica);
    return acknowledged == m_acknowledged.end() ? TimePoint::min() : acknowledged->second.sentAt;
}

std::size_t voterCount(const MemberList& members)
{
    return static_cast<std::size_t>(std::count_if(members.begin(), members.end(), [](const Member& member) { return member.voter; }));
}

std::size_t majorityOf(const MemberList& members)
{
    return voterCount(members) / 2 + 1;
}

const Member* findMember(const MemberList& members, ReplicaId id)
{
    const auto member = std::find_if(members.begin(), members.end(), [id](const Member& candidate) { return candidate.id == id; });
    return member == members.end() ? nullptr : &*member;
}

bool isVoter(const MemberList& members, ReplicaId id)
{
    const Member* member = findMember(members, id);
    return member && member->voter;
}

} // namespace Knapweedquay
