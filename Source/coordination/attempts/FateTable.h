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

/// One connection of this node to an origin node; a new connection gets a new number.
using ConnectionId = StrongType<struct ConnectionIdTag, std::uint64_t>;

/// What an origin node says about an attempt when it sends or resends it.
struct AttemptRequest {
    /// Sequence numbers of an origin's run begin at 1 and rise with each new attempt, whatever its endpoint.
    AttemptId attempt;
    /// The run of this node that the attempt is meant for.
    Incarnation target;
    /// True for every send after the first.
    bool isResend = false;
    /// Replies go to the newest connection that the attempt came over.
    ConnectionId connection;
    /// The call may run more than once without harm, so it may also be given up halfway.
    bool isIdempotent = false;
};

/// Hand the attempt to the admission queue; the only action that lets an attempt run.
///
/// Unless its outcome goes out at once, the origin is to be told that the attempt arrived, well within its
/// acceptance timeout. The node may wait a little for the outcome, which saves this message for short calls.
struct AdmitAttempt {
    AttemptId attempt;
};
/// Take the attempt out of the admission queue.
struct RemoveFromQueue {
    AttemptId attempt;
};
/// Ask the backend server to give the attempt up; its outcome is still to be reported. Idempotent attempts only:
/// another one is let finish, because half of it helps nobody and its answer serves a resent idempotency key.
struct AbortRunning {
    AttemptId attempt;
};
/// The attempt is known and has no outcome yet; its answer or refusal follows.
struct SendInProgress {
    ConnectionId connection;
    AttemptId attempt;
};
struct SendAnswer {
    ConnectionId connection;
    AttemptId attempt;
    AnswerBytes answer;
};
struct SendRefusal {
    ConnectionId connection;
    AttemptId attempt;
    Refusal refusal;
};
/// The attempt may have run; code is AlreadyRan when it did run and only its answer is gone.
struct SendUnknown {
    ConnectionId connection;
    AttemptId attempt;
    ResultCode code = ResultCode::OutcomeUnknown;
};
struct SendCancelResult {
    ConnectionId connection;
    AttemptId attempt;
    CancelResult result = CancelResult::Unknown;
};

using FateAction = std::variant<AdmitAttempt, RemoveFromQueue, AbortRunning, SendInProgress, SendAnswer, SendRefusal, SendUnknown, SendCancelResult>;
using FateActions = std::vector<FateAction>;

/// Bounds of a fate table.
struct FateTableLimits {
    /// Time for which a fate is kept after its outcome; longer than the longest deadline plus its grace.
    Duration keepTime { 60000000 };
    /// Attempts known at once, those without an outcome included.
    std::size_t maximumAttempts = 16384;
    /// Bytes of answers kept for resends; the oldest answers go first.
    std::size_t maximumAnswerBytes = 8388608;
    /// Origin nodes remembered.
    std::size_t maximumOrigins = 4096;
    /// Time without a message after which an origin node with no attempts here may be forgotten.
    Duration originKeepTime { 3600000000 };
};

/// Keeps the fate of every attempt that reached this node, so that none runs twice.
///
/// Stands beside the backend server. An attempt goes from queued to running to one final fate; a
/// resend never changes it and gets its outcome, over the newest connection. Memory is bounded: when
/// a fate is forgotten, a watermark on its origin's sequence numbers takes its place, and attempts at
/// or below it never run. Whatever the table cannot prove it calls unknown.
class FateTable {
public:
    /// self: this run of the node. Attempts meant for another run never run here.
    explicit FateTable(Incarnation self, FateTableLimits = {});
    FateTable(const FateTable&) = delete;
    FateTable& operator=(const FateTable&) = delete;
    ~FateTable();

    /// An attempt came in, for the first time or again.
    FateActions receive(const AttemptRequest&, TimePoint now);
    /// An origin asks to cancel. Leaves a tombstone for an attempt not seen yet, so that it never runs.
    FateActions cancel(const AttemptId&, Incarnation target, ConnectionId, TimePoint now);

    /// The admission queue is about to run the attempt; it must not when this returns false.
    [[nodiscard]] bool tryStart(const AttemptId&);
    /// The attempt certainly did not run: refused by the queue, or nothing of it reached the backend server.
    FateActions refuse(const AttemptId&, const Refusal&, TimePoint now);
    /// The backend server gave its whole answer.
    FateActions answer(const AttemptId&, AnswerBytes, TimePoint now);
    /// The backend server got the attempt and gave no whole answer.
    FateActions recordUnknownOutcome(const AttemptId&, ResultCode, TimePoint now);

    /// Forgets what is older than the limits say. To be called about once a second, and after a freeze.
    void expire(TimePoint now);

    std::size_t size() const { return m_attempts.size(); }
    std::size_t answerBytes() const { return m_answers.bytes(); }
    std::size_t originCount() const { return m_origins.size(); }

private:
    enum class Fate : std::uint8_t { Queued,
        Running,
        Answered,
        NotRun,
        Unknown };

    struct Attempt {
        AttemptId id;
        ConnectionId connection;
        bool isIdempotent = false;
        Fate fate = Fate::Queued;
        Refusal refusal;
        ResultCode unknownCode = ResultCode::OutcomeUnknown;
        CachedAnswer answer;
        TimePoint finishedAt;
        boost::intrusive::list_member_hook<> finishedHook;
    };

    /// Watermarks of one run of an origin node.
    struct Origin {
        Incarnation incarnation;
        /// Attempts up to this sequence that are not in the table never run.
        std::uint64_t closedUpTo = 0;
        /// Of those, attempts up to this sequence may have run.
        std::uint64_t possiblyRunUpTo = 0;
        std::size_t attemptCount = 0;
        TimePoint lastSeen;
    };

    using FinishedList = boost::intrusive::list<Attempt, boost::intrusive::member_hook<Attempt, boost::intrusive::list_member_hook<>, &Attempt::finishedHook>>;

    enum class Admissibility : std::uint8_t { New,
        CertainlyNotRun,
        PossiblyRun };

    FateActions cancelKnown(Attempt&, TimePoint now);
    Admissibility classify(const AttemptId&, bool isFirstSend, TimePoint now);
    Origin* originOf(const AttemptId&, bool isFirstSend);
    bool makeRoomForAttempt();
    Attempt* find(const AttemptId&);
    Attempt& add(const AttemptId&, ConnectionId);
    void finish(Attempt&, Fate, TimePoint now);
    void forget(Attempt&);
    void close(const AttemptId&, bool mayHaveRun);
    static bool isFinal(Fate);
    static FateAction report(const Attempt&);

    Incarnation m_self;
    FateTableLimits m_limits;
    std::unordered_map<AttemptId, Attempt> m_attempts;
    std::map<NodeId, Origin> m_origins;
    /// Oldest outcome first.
    FinishedList m_finished;
    AnswerCache m_answers;
    bool m_hasForgottenOrigin = false;
};

} // namespace Knapweedquay
