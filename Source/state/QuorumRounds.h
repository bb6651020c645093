#pragma once

#include "protocol/LogEntry.h"
#include "protocol/Time.h"

#include <deque>
#include <map>
#include <vector>

namespace Knapweedquay {

/// Numbers the heartbeat rounds of a leader and tracks the latest round that a majority of voters has acknowledged.
///
/// A round counts from the time at which it was sent. A response that was buffered while this process was frozen
/// therefore confirms nothing newer than the round that it acknowledges (read index, Raft dissertation 6.4).
class QuorumRounds {
public:
    /// Starts a term as leader. The confirmed time is initially that of the vote requests that elected the leader.
    void reset(TimePoint votesRequestedAt);

    /// Starts the next round, which is sent at the given time.
    QuorumRound start(TimePoint);
    QuorumRound current() const { return m_current; }
    /// Records that a replica has acknowledged a round.
    void acknowledge(ReplicaId, QuorumRound);
    /// Updates the confirmed round from the acknowledgements of the voters. This replica counts as having acknowledged
    /// every round.
    void updateConfirmed(ReplicaId self, const MemberList&);

    /// Latest round that a majority of voters has acknowledged, and the time at which it was sent.
    QuorumRound confirmed() const { return m_confirmed; }
    TimePoint confirmedSentAt() const { return m_confirmedSentAt; }
    /// Time at which the latest round that the replica has acknowledged was sent; TimePoint::min() when there is none.
    TimePoint acknowledgedSentAt(ReplicaId) const;

private:
    /// A round and the time at which it was sent.
    struct SentRound {
        QuorumRound round;
        TimePoint sentAt;
    };
    /// Latest round that a replica has acknowledged; round 0 when there is none.
    struct Acknowledgement {
        QuorumRound round;
        TimePoint sentAt;
    };

    QuorumRound m_current;
    QuorumRound m_confirmed;
    TimePoint m_confirmedSentAt;
    /// The latest rounds, oldest first.
    std::deque<SentRound> m_sentRounds;
    std::map<ReplicaId, Acknowledgement> m_acknowledged;
};

/// Number of voters that makes a majority.
std::size_t majorityOf(const MemberList&);
std::size_t voterCount(const MemberList&);
/// Returns the member with this id; null when there is none.
const Member* findMember(const MemberList&, ReplicaId);
bool isVoter(const MemberList&, ReplicaId);

} // namespace Knapweedquay
