#pragma once

#include "protocol/Ids.h"
#include "protocol/QuotaMessages.h"
#include "protocol/ResultCode.h"
#include "protocol/Time.h"

#include <array>
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
    QuotaSlice slice;
    /// Tenure of the holder that granted the credit, and the clock of the request for it.
    std::uint64_t tenure = 0;
    std::uint64_t grant = 0;
};

/// Credit of this node for calls of workspaces with a quota.
///
/// Answers a workspace whose requests arrive at all nodes: a call takes a credit that the holder of a slice granted. Credit for the
/// demand of the next moments is asked for in advance, so that a call seldom waits for an answer. A slice that is used up, or
/// whose holder is silent, is passed over for the next one. It has no clock and sends nothing itself.
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

    /// Sets the slices that have a holder, in the order in which this node asks for credit of them.
    void setSlices(const std::vector<QuotaSlice>&);
    /// Takes a credit for a call. A call without a decision is decided by receive() or expire() by `decideBy`, unless it is
    /// cancelled before.
    Decision take(const WorkspaceName&, std::uint64_t call, TimePoint decideBy, TimePoint now);
    /// Forgets a waiting call; returns false if it does not wait.
    bool cancel(std::uint64_t call);
    /// Gives back the credit of a call that certainly has not run and will not.
    void giveBack(const WorkspaceName&, const QuotaTicket&, TimePoint now);
    /// The messages that are due to the holders.
    std::vector<QuotaRequestMessage> nextRequests(TimePoint now);
    std::vector<Decision> receive(const QuotaGrantMessage&, TimePoint now);
    /// Decides calls that have waited too long.
    std::vector<Decision> expire(TimePoint now);
    /// When nextRequests() and expire() are to be called again; not set while there is nothing to do.
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

    /// What was last asked of a slice for a workspace.
    struct Request {
        std::uint64_t clock = 0;
        /// Credit that was asked for; 0 once it was answered.
        std::uint64_t wanted = 0;
        TimePoint askedAt;
        /// The holder granted less than was asked for at deniedAt, and expects to have more at deniedUntil.
        TimePoint deniedAt;
        TimePoint deniedUntil;
        /// Credit of calls that did not run, whose use was reported before.
        std::uint64_t refunded = 0;
    };

    struct Pool {
        /// Oldest first.
        std::deque<Lot> lots;
        std::deque<WaitingCall> waiting;
        std::size_t group = 0;
        /// By the position of the slice in its group.
        std::array<Request, slicesPerQuota> requests;
        std::uint64_t demand = 0;
        /// Calls per second, with exponential decay.
        double rate = 0;
        TimePoint ratedAt;
    };

    struct Holder {
        std::uint64_t tenure = 0;
        TimePoint sentAt;
        /// When it was last asked for credit.
        TimePoint askedAt;
        /// When it was last checked whether a report is due.
        TimePoint checkedAt;
        /// When the first request was sent that was not answered since.
        std::optional<TimePoint> unansweredSince;
        /// Usual time from a request to its answer.
        Duration answerTime { 10000 };
    };

    /// The workspaces of a group.
    struct Group {
        /// Slices that have a holder, in the order in which they are asked.
        std::vector<QuotaSlice> order;
        std::map<WorkspaceName, Pool> pools;
        /// Workspaces with waiting calls, and perhaps some whose last one was cancelled.
        std::set<WorkspaceName> waitingPools;
    };

    Group& groupOf(const WorkspaceName& workspace) { return m_groups.at(quotaGroupOf(workspace)); }
    Pool& poolOf(const WorkspaceName&);
    const std::vector<QuotaSlice>& order(const Pool& pool) const { return m_groups.at(pool.group).order; }
    static Request& request(Pool& pool, QuotaSlice slice) { return pool.requests.at(slice.value() % slicesPerQuota); }
    static const Request& request(const Pool& pool, QuotaSlice slice) { return pool.requests.at(slice.value() % slicesPerQuota); }
    static void decay(Pool&, TimePoint now);
    static std::uint64_t inHand(const Pool&, TimePoint now);
    static std::optional<QuotaTicket> tryTake(Pool&, TimePoint now);
    /// Credit to hold for the calls of the next moments.
    static std::uint64_t target(const Pool&);
    std::uint64_t wanted(const Pool&, TimePoint now) const;
    /// Time after which a request to the holder of a slice counts as unanswered.
    Duration answerTimeout(QuotaSlice) const;
    Holder& holder(QuotaSlice slice) { return m_holders.at(slice.value()); }
    const Holder& holder(QuotaSlice slice) const { return m_holders.at(slice.value()); }
    /// Time for which the holder of a slice has left a request unanswered.
    Duration silence(QuotaSlice, TimePoint now) const;
    bool isSilent(QuotaSlice, TimePoint now) const;
    /// The slice to ask for credit now; not set if none is expected to grant any.
    std::optional<QuotaSlice> chooseSlice(const Pool&, TimePoint now) const;
    /// Time until which every slice is known to grant nothing.
    TimePoint deniedUntil(const Pool&) const;
    /// Reports on the lots of a slice, and gives back what is too much or expires soon.
    void report(Pool&, QuotaSlice, QuotaNeed&, TimePoint now) const;
    /// Adds what the pool asks and reports to the message, if it does.
    void addNeed(const WorkspaceName&, Pool&, QuotaRequestMessage&, TimePoint now);
    std::optional<QuotaRequestMessage> nextRequest(Group&, QuotaSlice, TimePoint now);
    void forgetIdle(Group&, TimePoint now);
    void decideWaiting(Pool&, TimePoint now, std::vector<Decision>&);
    Decision refusal(const Pool&, const WaitingCall&, TimePoint now) const;
    /// When something is to be done for the waiting calls of the pool.
    TimePoint nextTime(const Pool&, TimePoint now) const;

    NodeId m_node;
    Incarnation m_incarnation;
    Duration m_lifetime;
    std::array<Group, quotaGroups> m_groups;
    std::array<Holder, quotaSlices> m_holders;
    std::uint64_t m_lastClock = 0;
    /// Workspaces of the calls that wait.
    std::unordered_map<std::uint64_t, WorkspaceName> m_waitingCalls;
};

} // namespace Knapweedquay
