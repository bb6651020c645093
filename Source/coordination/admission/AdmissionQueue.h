#pragma once

#include "protocol/AttemptOutcome.h"
#include "coordination/CallTicket.h"
#include "coordination/admission/ConcurrencyLimit.h"
#include "coordination/admission/RequestRateLimit.h"
#include "protocol/LoadReport.h"
#include "coordination/admission/ServiceTimeEstimate.h"
#include "protocol/ResultCode.h"
#include "protocol/Time.h"
#include "state/ServiceDocument.h"

#include <boost/intrusive/list.hpp>
#include <boost/intrusive/set.hpp>

#include <algorithm>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace Knapweedquay {

/// Result of offering a call to an AdmissionQueue.
enum class AdmissionKind {
    /// The call starts immediately.
    Started,
    /// The call is queued; takeStartable() returns it once, as started or as given up, unless it is cancelled.
    Queued,
    /// The call was rejected; it did not run and will not run.
    Refused,
};

/// Decision about an offered call.
struct AdmissionDecision {
    AdmissionKind kind = AdmissionKind::Refused;
    /// Reason of a refusal; Ok otherwise.
    ResultCode code = ResultCode::Ok;
    /// For a refusal, the time after which a new attempt is expected to be admitted; 0 otherwise.
    Duration retryAfter { 0 };
};

/// How a call ended at the backend server.
enum class BackendOutcome {
    Succeeded,
    Failed,
    /// Abandoned by the node after its start; no evidence about the backend server's health.
    Abandoned,
    /// Rejected by the backend server because of its own load (503).
    Shed,
};

/// A queued call that was given up before its start; it did not run.
struct GivenUpCall {
    CallTicket ticket;
    /// Reason for which the call was given up.
    ResultCode code = ResultCode::Ok;
    /// Time after which a new attempt is expected to be admitted.
    Duration retryAfter { 0 };
};

/// Calls that left the queue.
struct StartableCalls {
    /// Calls that start now, in this order.
    std::vector<CallTicket> started;
    /// Calls whose time in the queue expired.
    std::vector<GivenUpCall> givenUp;
};

/// Admission control for the calls to one endpoint, at the endpoint's node: starts, queues or refuses them.
///
/// Calls are scheduled by priority, the most urgent first. Each priority earns credit in proportion to its minimum
/// share of all slot time started; a priority whose credit covers a call is served first, so that a flood of other
/// priorities does not take its share (the accounting of deficit round robin, SIGCOMM '95). Each priority has its own
/// bounded queue, so that a flood of one priority does not fill the queues of others. A call whose deadline cannot be
/// met is refused on arrival (Breakwater, OSDI '20; DAGOR, SoCC '18). The wait in a standing queue is limited by the
/// latency target, because a standing queue only adds delay (controlled delay, ACM Queue 2012 and 2015). Running calls
/// are not preempted, so less urgent and late calls leave some slots free for more urgent calls that are likely to
/// arrive meanwhile (trunk reservation: Key, "Optimal control and trunk reservation in loss networks", 1990).
///
/// A backend server may limit the requests per second that it takes. A call then starts when both a slot is free and the
/// rate allows it, in the same order, and the estimated wait is the longer one of the two. Requests that may be sent before
/// they are due are left to the most urgent calls that lately came, so that a small burst of them is served in time.
/// Minimum shares remain shares of the slot time started.
///
/// Call takeStartable() after each offer(), finished(), cancel() and set...(), and at nextTimer(). A priority index
/// that is not in the service document counts as its least urgent priority.
class AdmissionQueue {
public:
    /// slots: number of calls that the backend server announced to run concurrently; nothing for the default of
    /// the service document
    AdmissionQueue(const ServiceDocument&, std::optional<std::uint32_t> slots);
    AdmissionQueue(const AdmissionQueue&) = delete;
    AdmissionQueue& operator=(const AdmissionQueue&) = delete;
    ~AdmissionQueue();

    /// Decides about a call that has arrived. A call that cannot be answered by targetAt is late: it is served only
    /// with capacity that other calls leave, and queued only briefly. Codes of a refusal: DeadlineExpired,
    /// DeadlineCannotBeMet, Overloaded, Draining, and AlreadyRunning when the ticket is already queued or running.
    AdmissionDecision offer(CallTicket, PriorityIndex, TimePoint deadline, TimePoint now, TimePoint targetAt = TimePoint::max());
    /// Registers that a started call ended. Unknown tickets are ignored.
    void finished(CallTicket, BackendOutcome, TimePoint now);
    /// Gives a queued call up in time if it can't be expected to be answered by then, with the code DeadlineCannotBeMet.
    void limitAnswer(CallTicket, TimePoint answerBy);
    /// Removes a call that is still queued. A running call is not stopped.
    CancelResult cancel(CallTicket);
    /// Starts queued calls on the free slots and gives up those whose time in the queue has expired.
    StartableCalls takeStartable(TimePoint now);
    /// Time at which takeStartable() must be called if no other event occurs; nothing when no call is queued.
    std::optional<TimePoint> nextTimer() const;

    /// Applies a new service document. Queued calls remain queued.
    void setDocument(const ServiceDocument&);
    /// Registers that a backend server announced itself: resets the concurrency limit, the slowdown, the
    /// number of completed calls and the failure rate.
    void setBackend(std::optional<std::uint32_t> slots);
    /// Sets the time that work currently takes at the backend server, in percent of the time at nominal speed. Service
    /// times are normalised to 100 percent.
    void setSlowdown(std::uint32_t percent, TimePoint now);
    std::uint32_t slowdownPercent() const { return m_slowdownPercent; }
    /// Limits the calls started per second, together with the requests counted by countRequest(). An unset rate ends the
    /// limit.
    void setRequestRate(std::optional<RequestRate>, TimePoint now);
    /// Delays the next request until this time because of requests that were sent before the limit was set.
    void delayRequests(TimePoint until) { m_rate.setDueAt(std::max(m_rate.dueAt(), until)); }
    /// Takes back the requests that were counted: they did not arrive.
    void forgetRequests(TimePoint now) { m_rate.setDueAt(now); }
    /// True if a request that is no call, such as a health check, may be sent now without delaying a call.
    bool allowsRequest(TimePoint now) const { return m_rate.isDue(now) && !hasQueued(); }
    /// Counts a request to the backend server that is not the start of a call.
    void countRequest(TimePoint now) { m_rate.count(now); }
    /// Starts no calls while set; calls are still offered and queued.
    void setPaused(bool isPaused) { m_isPaused = isPaused; }
    bool isPaused() const { return m_isPaused; }
    /// Refuses new calls from now on. Queued calls may still start for queueTime, then they are given up with the code; running
    /// calls continue.
    void drain(TimePoint now, Duration queueTime = defaultDrainQueueTime, ResultCode code = ResultCode::Draining);
    /// Accepts new calls again after drain().
    void resume() { m_draining = false; }
    bool isDraining() const { return m_draining; }
    bool isEmpty() const { return m_calls.empty(); }

    LoadReport report() const;
    /// Estimated queueing time of a call of this priority that arrives now.
    Duration estimatedWait(PriorityIndex, TimePoint now) const;

private:
    static constexpr Duration defaultDrainQueueTime { 1000000 };
    static constexpr std::uint32_t nominalPercent = 100;

    /// A queued or running call.
    struct Call {
        CallTicket ticket;
        std::size_t priority = 0;
        /// Index of its lane: its priority, or the lane of late calls.
        std::size_t lane = 0;
        TimePoint deadline;
        /// Time at which the call is given up if it is still queued.
        TimePoint expiry;
        /// Result code of the call if it is given up at its expiry.
        ResultCode expiryCode = ResultCode::Ok;
        TimePoint startedAt;
        /// Number of running calls when the call started, itself included.
        std::uint32_t runningAtStart = 0;
        /// Value of workDone() when the call started.
        double workAtStart = 0;
        boost::intrusive::list_member_hook<> queueHook;
        boost::intrusive::set_member_hook<> expiryHook;
    };
    /// Orders queued calls by the time at which they are given up.
    struct ExpiresEarlier {
        bool operator()(const Call& a, const Call& b) const { return a.expiry < b.expiry; }
    };
    using Queue = boost::intrusive::list<Call, boost::intrusive::member_hook<Call, boost::intrusive::list_member_hook<>, &Call::queueHook>>;
    using ExpiryOrder = boost::intrusive::multiset<Call, boost::intrusive::compare<ExpiresEarlier>,
        boost::intrusive::member_hook<Call, boost::intrusive::set_member_hook<>, &Call::expiryHook>>;

    /// Queue and statistics of one priority, or of the late calls of all priorities.
    struct Lane {
        Queue queue;
        /// The values of the priority in the service document; zero in the lane of late calls.
        double minimumShare = 0;
        Duration maximumQueueTime { 0 };
        Duration target { 0 };
        bool reservesSlots = false;
        ServiceTimeEstimate serviceTime;
        /// Time since which the queue has not been empty.
        TimePoint backlogSince;
        /// Slot time in microseconds that this priority may use before more urgent ones.
        double credit = 0;
        /// Recently started slot time in microseconds, with exponential decay.
        double recentWork = 0;
        /// Recently started calls, with the same decay.
        double recentStarts = 0;
        /// Time of the last update of recentWork and recentStarts.
        TimePoint recentWorkAt;
        /// Running calls that were admitted to this lane.
        std::uint32_t running = 0;
    };

    std::size_t laneIndex(PriorityIndex) const;
    std::size_t lateLane() const { return m_lanes.size() - 1; }
    /// True when the target can be used to limit the wait: the service time must leave time for queueing.
    bool hasUsefulTarget(const Lane&, TimePoint targetAt) const;
    /// Decides about a call that cannot meet its target. An overloaded endpoint that served late calls in their order
    /// of arrival would make all other calls late as well.
    AdmissionDecision offerLate(Call, TimePoint now);
    AdmissionDecision admit(const Call&, bool startsNow, TimePoint now);
    /// Estimated queueing time of a call that arrives now in this lane.
    Duration estimatedWaitInLane(std::size_t lane, TimePoint now) const;
    /// Part of the estimated wait that the slots cause.
    Duration estimatedWaitForSlot(std::size_t lane, TimePoint now) const;
    /// Part of the estimated wait that the limit of requests per second causes; zero without a limit.
    Duration estimatedWaitForRate(std::size_t lane, TimePoint now) const;
    /// Maximum number of queued late calls.
    double maximumLateCalls(TimePoint now) const;
    /// Expected slot time of one call in microseconds, at nominal speed.
    double cost(const Lane&) const;
    /// Longest wait with which a call is queued; shorter when the lane has a standing queue.
    Duration allowedWait(const Lane&, TimePoint now) const;
    /// Factor by which recentWork and recentStarts of the lane have decayed.
    double recentDecay(const Lane&, TimePoint now) const;
    /// Share of the capacity that the recently started calls of the lane use.
    double recentShare(const Lane&, TimePoint now) const;
    bool hasQueued() const { return !m_expiryOrder.empty(); }
    /// Converts a duration at nominal speed to one at the current speed of the backend server.
    Duration atCurrentSpeed(Duration nominal) const;
    /// Work in microseconds at nominal speed that a call running since the queue was created would have received.
    double workDone(TimePoint now) const;
    /// True when a slot is free and the limit of requests per second allows a call.
    bool canStartAny(TimePoint now) const { return !m_isPaused && m_running < m_limit.value(m_now) && m_rate.allows(now); }
    /// True when calls are queued in this lane or in one before it.
    bool hasQueuedUpTo(std::size_t lane) const;
    /// Expected number of further slots that calls of the lane will need soon: the number of its calls that usually
    /// run, plus its square root as for independent arrivals, minus its calls that already run.
    double expectedSlotDemand(const Lane&, TimePoint now) const;
    /// Number of free slots that a call must leave to more urgent calls. A late call must also leave slots to each
    /// priority whose service time at the current speed of the machine reaches its target.
    double reservedSlots(std::size_t priority, bool isLate, TimePoint now) const;
    /// True when calls may be sent before a request is due: no more urgent calls are expected that need this.
    bool mayBeEarly(std::size_t priority, bool isLate, TimePoint now) const;
    /// True when the limit of requests per second allows a call to start.
    bool allowsRate(std::size_t priority, bool isLate, TimePoint now) const;
    /// True when enough slots are free for a call to start, apart from the reserved ones, and the limit of requests per
    /// second allows it.
    bool canStart(std::size_t priority, bool isLate, TimePoint now) const;
    /// Lane whose first call starts next; nothing when none can start.
    std::optional<std::size_t> nextLane(TimePoint now) const;
    void enqueue(Call&, TimePoint now);
    void dequeue(Call&);
    /// Makes a queued call expire at another time, with this code.
    void setExpiry(Call&, TimePoint, ResultCode);
    void start(Call&, TimePoint now);
    void giveUpExpired(TimePoint now, std::vector<GivenUpCall>&);
    void countOutcome(bool failed);
    /// Updates the credits and the recent work for a call that starts.
    void accountStart(std::size_t lane, TimePoint now);
    AdmissionDecision refusal(ResultCode, Duration wait) const;

    /// One lane for each priority, then the lane of late calls.
    std::vector<Lane> m_lanes;
    std::unordered_map<CallTicket, Call> m_calls;
    /// All queued calls; the first one is given up first.
    ExpiryOrder m_expiryOrder;
    ConcurrencyLimit m_limit;
    RequestRateLimit m_rate;
    /// Estimate over the calls of all priorities.
    ServiceTimeEstimate m_serviceTime;
    /// Number of slots when the backend server announced none; from the service document.
    std::uint32_t m_defaultSlots;
    std::optional<std::uint32_t> m_announcedSlots;
    std::uint32_t m_running = 0;
    std::uint64_t m_completedCalls = 0;
    /// Moving average of the share of calls that failed, 0..1.
    double m_failureRate = 0;
    /// Time of the last offer(), takeStartable() or setSlowdown().
    TimePoint m_now;
    std::uint32_t m_slowdownPercent = nominalPercent;
    /// Value of workDone() at m_workDoneAt, the time of the last change of speed.
    double m_workDone = 0;
    TimePoint m_workDoneAt;
    bool m_draining = false;
    bool m_isPaused = false;
};

} // namespace Knapweedquay
