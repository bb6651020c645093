#pragma once

#include "protocol/AttemptOutcome.h"
#include "coordination/CallTicket.h"
#include "coordination/admission/ConcurrencyLimit.h"
#include "protocol/LoadReport.h"
#include "coordination/admission/ServiceTimeEstimate.h"
#include "protocol/ResultCode.h"
#include "protocol/Time.h"
#include "state/ServiceDocument.h"

#include <boost/intrusive/list.hpp>
#include <boost/intrusive/set.hpp>

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace Knapweedquay {

enum class AdmissionKind {
    /// The call runs now.
    Started,
    /// The call waits; takeStartable() will name it once.
    Queued,
    /// The call certainly did not run and never will.
    Refused,
};

/// What becomes of a call that is offered.
struct AdmissionDecision {
    AdmissionKind kind = AdmissionKind::Refused;
    /// Of a refusal.
    ResultCode code = ResultCode::Ok;
    /// Of a refusal: time after which a new attempt is expected to be admitted.
    Duration retryAfter { 0 };
};

/// How a call ended at the backend server.
enum class BackendOutcome {
    Succeeded,
    Failed,
    /// Given up after its start by the node; says nothing about the backend server.
    Abandoned,
    /// Refused by the backend server because of its own load (503).
    Shed,
};

/// A waiting call that was given up; it certainly did not run.
struct GivenUpCall {
    CallTicket ticket;
    ResultCode code = ResultCode::Ok;
    Duration retryAfter { 0 };
};

struct StartableCalls {
    std::vector<CallTicket> started;
    std::vector<GivenUpCall> givenUp;
};

/// Admits the calls of one endpoint at the node beside it: runs, queues or refuses them.
///
/// Most urgent first. Each priority earns credit, its minimum share of all slot time that is started; a priority with
/// credit for a whole call goes first, so that no flood takes its share (the accounting of deficit round robin,
/// SIGCOMM '95). Each priority has its own bounded queue, so that a flood is charged to itself. A call whose deadline
/// cannot be met is refused when it comes (Breakwater, OSDI '20; DAGOR, SoCC '18). A queue that does not empty is held to
/// what the target allows, as a standing queue only adds delay (controlled delay, ACM Queue 2012 and 2015).
/// Running calls are never stopped, so less urgent and late ones leave some slots free for the more urgent ones that are
/// likely to come meanwhile (trunk reservation: Key, "Optimal control and trunk reservation in loss networks", 1990).
///
/// After each offer(), finished(), cancel(), set...() and at nextTimer(), call takeStartable().
/// A priority index that the document lacks counts as its least urgent one.
class AdmissionQueue {
public:
    /// slots: calls that the backend server announced to run at once; nothing for the document's default.
    AdmissionQueue(const ServiceDocument&, std::optional<std::uint32_t> slots);
    AdmissionQueue(const AdmissionQueue&) = delete;
    AdmissionQueue& operator=(const AdmissionQueue&) = delete;
    ~AdmissionQueue();

    /// An answer after targetAt is worth little: a call that can't make it runs on what the others leave, and waits for
    /// that only a little. Codes of a refusal: DeadlineExpired, DeadlineCannotBeMet, Overloaded, Draining; AlreadyRunning when the ticket
    /// is here already.
    AdmissionDecision offer(CallTicket, PriorityIndex, TimePoint deadline, TimePoint now, TimePoint targetAt = TimePoint::max());
    /// A started call ended. Unknown tickets are ignored.
    void finished(CallTicket, BackendOutcome, TimePoint now);
    CancelResult cancel(CallTicket);
    /// The calls that start now, in this order, and the waiting ones that are given up.
    StartableCalls takeStartable(TimePoint now);
    /// When takeStartable() is due without another event.
    std::optional<TimePoint> nextTimer() const;

    /// Puts a newer document in force; waiting calls stay.
    void setDocument(const ServiceDocument&);
    /// A backend server announced itself: its completed calls count from zero.
    void setBackend(std::optional<std::uint32_t> slots);
    /// How long work takes at the backend server now, in percent of the usual. Times are kept as they would be at 100.
    void setSlowdown(std::uint32_t percent, TimePoint now);
    std::uint32_t slowdownPercent() const { return m_slowdownPercent; }
    /// Refuses new calls. Those that wait keep a short time to start, those that run go on.
    void drain(TimePoint now);
    /// Takes new calls again.
    void resume() { m_draining = false; }
    bool isDraining() const { return m_draining; }
    bool isEmpty() const { return m_calls.empty(); }

    LoadReport report() const;
    /// Time that a call of this priority would wait if it came now.
    Duration estimatedWait(PriorityIndex, TimePoint now) const;

private:
    static constexpr std::uint32_t usualPercent = 100;

    struct Call {
        CallTicket ticket;
        std::size_t priority = 0;
        /// Where it queues: its priority, or the lane of late calls.
        std::size_t lane = 0;
        TimePoint deadline;
        /// When the call is given up if it still waits.
        TimePoint expiry;
        ResultCode expiryCode = ResultCode::Ok;
        TimePoint startedAt;
        std::uint32_t runningAtStart = 0;
        /// Work that the backend server had done by then; see workDone().
        double workAtStart = 0;
        boost::intrusive::list_member_hook<> queueHook;
        boost::intrusive::set_member_hook<> expiryHook;
    };
    struct ExpiresEarlier {
        bool operator()(const Call& a, const Call& b) const { return a.expiry < b.expiry; }
    };
    using Queue = boost::intrusive::list<Call, boost::intrusive::member_hook<Call, boost::intrusive::list_member_hook<>, &Call::queueHook>>;
    using ExpiryOrder = boost::intrusive::multiset<Call, boost::intrusive::compare<ExpiresEarlier>,
        boost::intrusive::member_hook<Call, boost::intrusive::set_member_hook<>, &Call::expiryHook>>;

    /// State of one priority.
    struct Lane {
        Queue queue;
        double minimumShare = 0;
        Duration maximumQueueTime { 0 };
        Duration target { 0 };
        ServiceTimeEstimate serviceTime;
        /// When the first call came to the empty queue.
        TimePoint backlogSince;
        /// Slot time in microseconds that this priority may start ahead of its turn.
        double credit = 0;
        /// Slot time in microseconds started lately, decaying.
        double recentWork = 0;
        TimePoint recentWorkAt;
        std::uint32_t running = 0;
    };

    std::size_t laneIndex(PriorityIndex) const;
    std::size_t lateLane() const { return m_lanes.size() - 1; }
    bool hasUsefulTarget(const Lane&, TimePoint targetAt) const;
    AdmissionDecision offerLate(Call, TimePoint now);
    AdmissionDecision admit(const Call&, bool startsNow, TimePoint now);
    Duration waitInLane(std::size_t lane, TimePoint now) const;
    double cost(const Lane&) const;
    Duration allowedWait(const Lane&, TimePoint now) const;
    double recentShare(const Lane&, TimePoint now) const;
    bool hasQueued() const { return !m_expiryOrder.empty(); }
    /// A time at the usual speed, as it is now.
    Duration atPresentSpeed(Duration usual) const;
    /// Microseconds of work that one call would have got since the queue was made, at the speeds that there were.
    double workDone(TimePoint now) const;
    bool hasFreeSlot() const { return m_running < m_limit.value(m_now); }
    bool hasQueuedUpTo(std::size_t lane) const;
    /// Slots that the calls of a lane which are likely to come soon will want.
    double expectedSoon(const Lane&, TimePoint now) const;
    /// Free slots that a call leaves to more urgent ones, and a late one on a slowed machine to all.
    double reservedFrom(std::size_t priority, bool isLate, TimePoint now) const;
    bool canStart(std::size_t priority, bool isLate, TimePoint now) const;
    std::optional<std::size_t> nextLane(TimePoint now) const;
    void enqueue(Call&, TimePoint now);
    void dequeue(Call&);
    void start(Call&, TimePoint now);
    void giveUpExpired(TimePoint now, std::vector<GivenUpCall>&);
    void countOutcome(bool failed);
    void chargeStart(std::size_t lane, TimePoint now);
    AdmissionDecision refusal(ResultCode, Duration wait) const;

    std::vector<Lane> m_lanes;
    std::unordered_map<CallTicket, Call> m_calls;
    ExpiryOrder m_expiryOrder;
    ConcurrencyLimit m_limit;
    ServiceTimeEstimate m_serviceTime;
    std::uint32_t m_defaultSlots;
    std::optional<std::uint32_t> m_announcedSlots;
    std::uint32_t m_running = 0;
    std::uint64_t m_completedCalls = 0;
    double m_failureRate = 0;
    /// Time of the latest call that named one.
    TimePoint m_now;
    std::uint32_t m_slowdownPercent = usualPercent;
    double m_workDone = 0;
    TimePoint m_workDoneAt;
    bool m_draining = false;
};

} // namespace Knapweedquay
