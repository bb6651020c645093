#pragma once

#include "protocol/ReplicaMessages.h"
#include "protocol/Time.h"

#include <deque>
#include <optional>

namespace Knapweedquay {

/// Works out, on the follower's own clock, how recent its applied state is.
///
/// A heartbeat says nothing about how long it was under way. But the leader sent a round after it had
/// seen the follower's clock in an earlier answer (the echo), so the round is no older than that echo.
/// When the round is confirmed and the follower has applied what the leader had committed by then, its
/// state is as recent as the echo.
class FollowerFreshness {
public:
    /// The base keeps this process's clock values apart from those of the process before a restart.
    explicit FollowerFreshness(std::uint64_t clockBase)
        : m_clockBase(clockBase)
    {
    }

    /// This process's clock as it is sent to the leader.
    std::uint64_t clock(TimePoint) const;
    /// A new leader's rounds are counted from 1 again; what was proved before stays true.
    void startTerm(Term);
    void heard(const AppendRequest&, TimePoint);
    void applied(LogIndex);
    /// Empty when nothing was proved yet.
    std::optional<Freshness> at(TimePoint) const;

private:
    struct ReceivedRound {
        QuorumRound round;
        TimePoint notBefore;
    };
    struct Proof {
        Term term;
        QuorumRound round;
        TimePoint notBefore;
        LogIndex commitIndex;
    };

    void prove();
    std::optional<TimePoint> timeOf(std::uint64_t echo, TimePoint now) const;

    std::uint64_t m_clockBase = 0;
    Term m_term;
    LogIndex m_applied;
    std::deque<ReceivedRound> m_received;
    /// Proofs that wait until the entries that they need are applied, oldest first.
    std::deque<Proof> m_waiting;
    std::optional<Proof> m_latest;
};

} // namespace Knapweedquay
