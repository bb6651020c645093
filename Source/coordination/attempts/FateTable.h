#pragma once

#include "coordination/attempts/AnswerCache.h"
#include "protocol/Ids.h"
#include "protocol/Time.h"

#include <boost/intrusive/list.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <unordered_map>
#include <variant>
#include <vector>

namespace Knapweedquay {

/// Identifies one connection of this node to an origin node; numbers rise with each new connection.
using ConnectionId = StrongType<struct ConnectionIdTag, std::uint64_t>;

/// The fields of an attempt as the origin node sends or resends it.
struct AttemptRequest {
    /// Sequence numbers start at 1 in each incarnation of the origin and rise with each new attempt to any endpoint.
    AttemptId attempt;
    /// The incarnation of this node that the attempt is addressed to.
    Incarnation target;
    /// True for every transmission after the first.
    bool isResend = false;
    /// The connection that delivered the attempt; replies use the newest one.
    ConnectionId connection;
    /// The call may run more than once without harm, so it may also be aborted while it runs.
    bool isIdempotent = false;
};

/// Pass the attempt to the admission queue; the only action that allows an attempt to run.
///
/// The node must acknowledge receipt to the origin well within the origin's acceptance timeout, unless it sends the
/// outcome by then. It may delay the acknowledgement briefly, which saves this message for short calls.
struct AdmitAttempt {
    AttemptId attempt;
};
/// Remove the attempt from the admission queue.
struct RemoveFromQueue {
    AttemptId attempt;
};
/// Ask the backend server to abort the attempt; its outcome must still be reported. Only for idempotent attempts:
/// other attempts run to completion, because a partial run is of no use and the answer serves a resent idempotency key.
struct AbortRunning {
    AttemptId attempt;
};
/// Report that the attempt was received and has no outcome yet; its outcome follows.
struct SendInProgress {
    ConnectionId connection;
    AttemptId attempt;
};
/// Send the complete answer of the attempt.
struct SendAnswer {
    ConnectionId connection;
    AttemptId attempt;
    AnswerPointer answer;
};
/// Report that the attempt certainly did not run.
struct SendRefusal {
    ConnectionId connection;
    AttemptId attempt;
    Refusal refusal;
};
/// Report that the attempt may have run; code is AlreadyRan when it ran and only its answer is no longer stored.
struct SendUnknown {
    ConnectionId connection;
    AttemptId attempt;
    ResultCode code = ResultCode::OutcomeUnknown;
};
/// Reply to a request to cancel the attempt.
struct SendCancelResult {
    ConnectionId connection;
    AttemptId attempt;
    CancelResult result = CancelResult::Unknown;
};

/// An action that a function of FateTable requests.
using FateAction = std::variant<AdmitAttempt, RemoveFromQueue, AbortRunning, SendInProgress, SendAnswer, SendRefusal, SendUnknown, SendCancelResult>;
using FateActions = std::vector<FateAction>;

/// Memory and retention limits of a fate table.
struct FateTableLimits {
    /// Time for which a fate is kept after its outcome; must exceed the longest deadline plus its grace period.
    Duration retentionTime { 60000000 };
    /// Attempts in the table at once, including those without an outcome.
    std::size_t maximumAttempts = 16384;
    /// Bytes of answers stored for resends; the oldest answers are evicted first.
    std::size_t maximumAnswerBytes = defaultCachedAnswerBytes;
    /// Origin nodes with a stored watermark.
    std::size_t maximumOrigins = 4096;
    /// Time without a message after which an origin node that has no attempts in the table is removed.
    Duration originRetentionTime { 3600000000 };
};

/// Keeps the fate of every attempt that reached this node, so that none runs twice.
///
/// Used by the node of the endpoint's backend server. An attempt moves from queued to running to one final fate; a
/// resend never changes its fate and receives its outcome, over the newest connection. Memory is bounded: when a fate
/// is removed, a watermark on the sequence numbers of its origin replaces it, and attempts at or below the watermark
/// never run. An outcome that the table cannot prove is reported as unknown.
class FateTable {
public:
    /// self: the incarnation of this node. Attempts addressed to another incarnation never run here.
    explicit FateTable(Incarnation self, FateTableLimits = {});
    FateTable(const FateTable&) = delete;
    FateTable& operator=(const FateTable&) = delete;
    ~FateTable();

    /// Handles an attempt that was received for the first time or resent.
    FateActions receive(const AttemptRequest&, TimePoint now);
    /// Handles a cancel request. Adds a tombstone for an attempt not received yet, so that it never runs.
    FateActions cancel(const AttemptId&, Incarnation target, ConnectionId, TimePoint now);

    /// Called by the admission queue just before it runs the attempt, which must not run when this returns false.
    [[nodiscard]] bool tryStart(const AttemptId&);
    /// Records that the attempt certainly did not run: refused by the queue, or no byte reached the backend server.
    FateActions refuse(const AttemptId&, const Refusal&, TimePoint now);
    /// Records the complete answer of the backend server.
    FateActions answer(const AttemptId&, AnswerPointer, TimePoint now);
    /// Records that the attempt was sent to the backend server and no complete answer was received.
    FateActions recordUnknownOutcome(const AttemptId&, ResultCode, TimePoint now);

    /// Removes fates and origins older than the limits. Call about once a second, and after the process was suspended.
    void expire(TimePoint now);

    /// True if the attempt was received before and its fate is kept.
    bool knows(const AttemptId& attempt) const { return m_attempts.count(attempt) > 0; }
    std::size_t size() const { return m_attempts.size(); }
    std::size_t answerBytes() const { return m_answers.bytes(); }
    std::size_t originCount() const { return m_origins.size(); }

private:
    /// What became of an attempt; Answered, NotRun and Unknown are final.
    enum class Fate : std::uint8_t { Queued,
        Running,
        Answered,
        NotRun,
        Unknown };

    /// An attempt in the table, or the tombstone of one that was cancelled before it was received.
    struct Attempt {
        AttemptId id;
        /// The newest connection that delivered the attempt or a request to cancel it.
        ConnectionId connection;
        bool isIdempotent = false;
        Fate fate = Fate::Queued;
        /// Reason why the attempt did not run; set when its fate is NotRun.
        Refusal refusal;
        /// Reason reported when its fate is Unknown.
        ResultCode unknownCode = ResultCode::OutcomeUnknown;
        /// Answer for resends; may be evicted while the fate is kept.
        CachedAnswer answer;
        /// Time of the final fate.
        TimePoint finishedAt;
        boost::intrusive::list_member_hook<> finishedHook;
    };

    /// Watermarks of one incarnation of an origin node.
    struct Origin {
        Incarnation incarnation;
        /// Attempts up to this sequence number that are not in the table never run.
        std::uint64_t closedUpTo = 0;
        /// Of these, attempts up to this sequence number may have run.
        std::uint64_t possiblyRunUpTo = 0;
        /// Attempts of this origin in the table; the origin is kept while there are any.
        std::size_t attemptCount = 0;
        TimePoint lastSeen;
    };

    using FinishedList = boost::intrusive::list<Attempt, boost::intrusive::member_hook<Attempt, boost::intrusive::list_member_hook<>, &Attempt::finishedHook>>;

    /// Whether an attempt that is not in the table may run; if not, whether it may have run before.
    enum class Admissibility : std::uint8_t { New,
        CertainlyNotRun,
        PossiblyRun };

    FateActions cancelKnown(Attempt&, TimePoint now);
    Admissibility classify(const AttemptId&, bool isFirstSend, TimePoint now);
    Origin* findOrAddOrigin(const AttemptId&, bool isFirstSend);
    bool makeRoomForAttempt();
    Attempt* find(const AttemptId&);
    Attempt& add(const AttemptId&, ConnectionId);
    void finish(Attempt&, Fate, TimePoint now);
    /// Removes an attempt with a final fate and raises the watermarks in its place.
    void forget(Attempt&);
    /// Raises the watermarks of the origin, so that the attempt never runs once it is not in the table.
    void close(const AttemptId&, bool mayHaveRun);
    static bool isFinal(Fate);
    static FateAction report(const Attempt&);

    Incarnation m_self;
    FateTableLimits m_limits;
    std::unordered_map<AttemptId, Attempt> m_attempts;
    std::map<NodeId, Origin> m_origins;
    /// Attempts with a final fate, oldest outcome first.
    FinishedList m_finished;
    AnswerCache m_answers;
    /// Set once the watermarks of any origin were removed: an unknown origin may then be one of these.
    bool m_hasForgottenOrigin = false;
};

} // namespace Knapweedquay
