#pragma once

#include "protocol/ReplicaMessages.h"
#include "protocol/Time.h"

#include <deque>
#include <optional>

namespace Knapweedquay {

/// Determines the age of a follower's applied state by the follower's own clock.
///
/// The network delay of a heartbeat is unknown. The leader therefore echoes the follower's clock from an earlier
/// response; the round was started after that response, so it is not older than the echo. Once the round is confirmed
/// and the follower has applied the entries that the leader had committed by then, the follower's state is at least as
/// recent as the echo.
class FollowerFreshness {
public:
    /// The base offsets the clock values, to distinguish them from those of an earlier process of this replica.
    explicit FollowerFreshness(std::uint64_t clockBase)
        : m_clockBase(clockBase)
    {
    }

    /// Clock value of this process that is sent to the leader.
    std::uint64_t clock(TimePoint) const;
    /// Discards the pending rounds of earlier terms, because each leader numbers its rounds from 1. Proofs from earlier
    /// terms remain valid.
    void startTerm(Term);
    /// Records the round, the echo and the confirmed round of a request that the log has accepted.
    void recordRequest(const AppendRequest&, TimePoint);
    /// Sets the index of the last applied entry.
    void setAppliedIndex(LogIndex);
    /// Latest proof and its age; empty when there is none yet.
    std::optional<Freshness> freshnessAt(TimePoint) const;

private:
    /// Heartbeat round of the leader that is not known to be confirmed yet.
    struct ReceivedRound {
        QuorumRound round;
        /// Time of the echo; the round was started later.
        TimePoint notBefore;
    };
    /// Confirmed round that proves the age of the state once `commitIndex` is applied.
    struct Proof {
        Term term;
        QuorumRound round;
        /// The state is at least as recent as this time.
        TimePoint notBefore;
        /// Commit index of the leader in the request that confirmed the round.
        LogIndex commitIndex;
    };

    /// Makes the newest pending proof whose commit index is applied the latest proof.
    void applyProofs();
    /// Time at which this process sent the echoed clock value; empty when it did not send it.
    std::optional<TimePoint> timeOfEcho(std::uint64_t echo, TimePoint now) const;

    std::uint64_t m_clockBase = 0;
    Term m_term;
    LogIndex m_applied;
    std::deque<ReceivedRound> m_receivedRounds;
    /// Proofs whose entries are not applied yet, oldest first.
    std::deque<Proof> m_pendingProofs;
    std::optional<Proof> m_latestProof;
};

} // namespace Knapweedquay
