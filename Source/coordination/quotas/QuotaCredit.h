#pragma once

#include "protocol/ControlMessages.h"
#include "protocol/Ids.h"
#include "protocol/ResultCode.h"
#include "protocol/Time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace Knapweedquay {

/// Proof that a call took a credit; used to give it back.
struct QuotaTicket {
    /// Owner that granted the credit, and the clock of the request for it.
    std::uint64_t owner = 0;
    std::uint64_t grant = 0;
};

/// Credit of this node for calls of workspaces with a quota.
///
/// Answers a workspace whose requests arrive at all nodes: a call takes a credit that the owner granted. Credit for the demand
/// of the next moments is asked for in advance, so that a call seldom waits for an answer. It has no clock and sends nothing
/// itself.
class QuotaCredit {
public:
    /// What becomes of a call that needs a credit.
    struct Decision {
        std::uint64_t call = 0;
        /// Ok, QuotaExceeded or QuotaUnproved; not set while the call has to wait.
        std::optional<ResultCode> code;
        /// Set when the code is Ok.
        QuotaTicket ticket;
        /// Time until there will be credit; set for refusals.
        Duration retryAfter { 0 };
    };

    /// lifetime: see creditLifetime().
    QuotaCredit(NodeId, Incarnation, Duration lifetime);

    /// Takes a credit for a call. A call without a decision is decided by receive() or expire() by `decideBy`, unless it is
    /// cancelled before.
    Decision take(const WorkspaceName&, std::uint64_t call, TimePoint decideBy, TimePoint now);
    /// Forgets a waiting call; returns false if it does not wait.
    bool cancel(std::uint64_t call);
    /// Gives back the credit of a call that certainly has not run and will not.
    void giveBack(const WorkspaceName&, const QuotaTicket&, TimePoint now);
    /// The message that is due to the owner; not set if none is due.
    std::optional<QuotaRequestMessage> nextRequest(TimePoint now);
    std::vector<Decision> receive(const QuotaGrantMessage&, TimePoint now);
    /// Decides calls that have waited too long.
    std::vector<Decision> expire(TimePoint now);
    /// When nextRequest() and expire() are to be called again; not set while there is nothing to do.
    std::optional<TimePoint> nextTime(TimePoint now) const;

    /// Credit in hand, of all workspaces.
    std::uint64_t inHand(TimePoint now) const;

private:
    /// Credit of one grant.
    struct Lot {
        QuotaTicket ticket;
        TimePoint expiry;
        std::uint64_t left = 0;
        /// Used since the last report.
        std::uint64_t used = 0;
    };

    struct WaitingCall {
        std::uint64_t call = 0;
        TimePoint since;
        TimePoint decideBy;
    };

    struct Pool {
        /// Oldest first.
        std::deque<Lot> lots;
        std::deque<WaitingCall> waiting;
        /// Credit asked for by the request with this clock, which was not answered yet; 0 if there is none.
        std::uint64_t askedClock = 0;
        std::uint64_t asked = 0;
        TimePoint askedAt;
        /// There is no credit until then, as the owner said; only set by its answers.
        TimePoint spentUntil;
        TimePoint answeredAt;
        std::uint64_t demand = 0;
        std::uint64_t refunded = 0;
        /// Calls per second, with exponential decay.
        double rate = 0;
        TimePoint ratedAt;
    };

    static void decay(Pool&, TimePoint now);
    static std::uint64_t inHand(const Pool&, TimePoint now);
    static std::optional<QuotaTicket> tryTake(Pool&, TimePoint now);
    /// Credit to hold for the calls of the next moments.
    static std::uint64_t target(const Pool&);
    static std::uint64_t wanted(const Pool&, TimePoint now);
    /// Reports on the lots, gives back what is too much or expires soon, and removes lots that are used up.
    void report(Pool&, QuotaNeed&, TimePoint now) const;
    /// Adds what the pool asks and reports to the message, if it does.
    void addNeed(const WorkspaceName&, Pool&, QuotaRequestMessage&, TimePoint now) const;
    static bool isUrgent(const Pool&, TimePoint now);
    void decideWaiting(Pool&, TimePoint now, std::vector<Decision>&);
    static Decision refusal(const Pool&, const WaitingCall&, TimePoint now);

    NodeId m_node;
    Incarnation m_incarnation;
    Duration m_lifetime;
    std::uint64_t m_owner = 0;
    std::uint64_t m_lastClock = 0;
    TimePoint m_sentAt;
    /// When it was last checked whether a report is due.
    TimePoint m_checkedAt;
    std::map<WorkspaceName, Pool> m_pools;
    /// Workspaces of the calls that wait.
    std::unordered_map<std::uint64_t, WorkspaceName> m_waitingCalls;
    /// Workspaces with waiting calls, and perhaps some whose last one was cancelled.
    std::set<WorkspaceName> m_waitingPools;
};

} // namespace Knapweedquay
