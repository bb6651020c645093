#pragma once

#include "protocol/LogEntry.h"
#include "protocol/Time.h"

#include <deque>
#include <map>
#include <vector>

namespace Knapweedquay {

/// Numbers a leader's heartbeat rounds and knows the latest one that a majority of voters confirmed.
///
/// Time counts from the sending of a round: an answer that sat in a buffer while this process was frozen
/// confirms nothing newer than the round that it answers (read index, Raft dissertation 6.4).
class QuorumRounds {
public:
    /// A leader starts with the moment at which it asked for the votes that elected it.
    void reset(TimePoint votesRequestedAt);

    QuorumRound start(TimePoint);
    QuorumRound current() const { return m_current; }
    void acknowledge(ReplicaId, QuorumRound);
    /// Counts the voters again; self counts as having acknowledged every round.
    void update(ReplicaId self, const MemberList&);

    QuorumRound confirmed() const { return m_confirmed; }
    TimePoint confirmedSentAt() const { return m_confirmedSentAt; }
    /// When the latest round that this replica acknowledged was sent.
    TimePoint acknowledgedSentAt(ReplicaId) const;

private:
    struct SentRound {
        QuorumRound round;
        TimePoint sentAt;
    };
    struct Acknowledgement {
        QuorumRound round;
        TimePoint sentAt;
    };

    QuorumRound m_current;
    QuorumRound m_confirmed;
    TimePoint m_confirmedSentAt;
    std::deque<SentRound> m_sent;
    std::map<ReplicaId, Acknowledgement> m_acknowledged;
};

/// Number of voters that makes a majority.
std::size_t majorityOf(const MemberList&);
std::size_t voterCount(const MemberList&);
const Member* findMember(const MemberList&, ReplicaId);
bool isVoter(const MemberList&, ReplicaId);

} // namespace Knapweedquay
