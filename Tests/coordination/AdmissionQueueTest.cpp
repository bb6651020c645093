#include "coordination/admission/AdmissionQueue.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <numeric>
#include <set>

using namespace Knapweedquay;

namespace {

constexpr Duration millisecond { 1000 };
constexpr Duration second { 1000000 };
constexpr Duration minute { 60000000 };

/// Minimum shares are given in sixteenths, so that their sums are exact in floating point.
ServiceDocument makeDocument(const std::vector<int>& sixteenths, Duration maximumQueueTime = minute)
{
    ServiceDocument document;
    for (const int share : sixteenths) {
        Priority priority;
        priority.minimumShare = share / 16.0;
        priority.maximumQueueTime = maximumQueueTime;
        priority.target = maximumQueueTime;
        document.priorities.push_back(priority);
    }
    return document;
}

class AdmissionQueueTest : public testing::Test {
protected:
    AdmissionDecision offer(std::uint64_t ticket, std::uint32_t priority, Duration remaining = minute)
    {
        return m_queue.offer(CallTicket(ticket), PriorityIndex(priority), m_now + remaining, m_now);
    }

    std::vector<std::uint64_t> started()
    {
        std::vector<std::uint64_t> tickets;
        for (const auto ticket : m_queue.takeStartable(m_now).started)
            tickets.push_back(ticket.value());
        return tickets;
    }

    void finish(std::uint64_t ticket, BackendOutcome outcome = BackendOutcome::Succeeded)
    {
        m_queue.finished(CallTicket(ticket), outcome, m_now);
    }

    /// Runs calls one after another, so that the queue has an estimate of the service time.
    void learnServiceTime(Duration time, std::uint32_t priority = 0)
    {
        for (std::uint64_t ticket = 1000000; ticket < 1000050; ++ticket) {
            ASSERT_EQ(AdmissionKind::Started, offer(ticket, priority).kind);
            m_now += time;
            finish(ticket);
        }
    }

    /// Fills both slots with calls 1 and 2.
    void fillSlots()
    {
        ASSERT_EQ(AdmissionKind::Started, offer(1, 0).kind);
        ASSERT_EQ(AdmissionKind::Started, offer(2, 0).kind);
    }

    TimePoint m_now { minute };
    AdmissionQueue m_queue { makeDocument({ 0, 4, 2 }), 2 };
};

TEST_F(AdmissionQueueTest, FullSlots_MoreUrgentCallArrivesLater_StartsFirst)
{
    fillSlots();
    EXPECT_EQ(AdmissionKind::Queued, offer(3, 2).kind);
    EXPECT_EQ(AdmissionKind::Queued, offer(4, 0).kind);
    EXPECT_TRUE(started().empty());
    m_now += 10 * millisecond;
    finish(1);
    EXPECT_EQ(std::vector<std::uint64_t>({ 4 }), started());
    EXPECT_EQ(2u, m_queue.report().running);
    EXPECT_EQ(std::vector<std::uint32_t>({ 0, 0, 1 }), m_queue.report().queued);
}

TEST_F(AdmissionQueueTest, Backlog_CallCannotMeetDeadline_IsRefusedWithRetryAfterOfBacklog)
{
    learnServiceTime(10 * millisecond);
    fillSlots();
    for (std::uint64_t ticket = 10; ticket < 50; ++ticket)
        ASSERT_EQ(AdmissionKind::Queued, offer(ticket, 0).kind);
    // Forty calls of 10 ms on two slots take 200 ms. The other priorities use their shares of 6/16 only when they have
    // queued calls.
    const auto refused = offer(100, 0, 150 * millisecond);
    EXPECT_EQ(ResultCode::DeadlineCannotBeMet, refused.code);
    EXPECT_GE(refused.retryAfter, 150 * millisecond);
    EXPECT_LE(refused.retryAfter, 300 * millisecond);
    EXPECT_EQ(AdmissionKind::Queued, offer(101, 0, 300 * millisecond).kind);
    EXPECT_EQ(ResultCode::DeadlineExpired, offer(102, 0, Duration(0)).code);
}

TEST_F(AdmissionQueueTest, FastAndSlowCalls_DeadlineBelowMean_IsAdmitted)
{
    for (std::uint64_t ticket = 10; ticket < 100; ++ticket) {
        ASSERT_EQ(AdmissionKind::Started, offer(ticket, 0).kind);
        m_now += ticket % 2 ? 2 * millisecond : 200 * millisecond;
        finish(ticket);
    }
    ASSERT_EQ(AdmissionKind::Started, offer(1, 0).kind);
    EXPECT_EQ(AdmissionKind::Started, offer(2, 0, 20 * millisecond).kind);
}

TEST_F(AdmissionQueueTest, ServiceTimeOverestimated_IdleBackend_AnyDeadlineIsAdmitted)
{
    learnServiceTime(second);
    EXPECT_EQ(AdmissionKind::Started, offer(1, 0, 10 * millisecond).kind);
    EXPECT_EQ(ResultCode::DeadlineCannotBeMet, offer(2, 0, 10 * millisecond).code);
}

TEST_F(AdmissionQueueTest, ProcessSuspended_DeadlinesPass_ExpiredCallsDoNotStart)
{
    fillSlots();
    ASSERT_EQ(AdmissionKind::Queued, offer(3, 0, 500 * millisecond).kind);
    ASSERT_EQ(AdmissionKind::Queued, offer(4, 0, 5 * second).kind);
    EXPECT_EQ(m_now + 500 * millisecond, m_queue.nextTimer());
    m_now += 2 * second;
    finish(1, BackendOutcome::Failed);
    finish(2, BackendOutcome::Failed);
    const auto calls = m_queue.takeStartable(m_now);
    ASSERT_EQ(1u, calls.givenUp.size());
    EXPECT_EQ(CallTicket(3), calls.givenUp[0].ticket);
    EXPECT_EQ(ResultCode::DeadlineExpired, calls.givenUp[0].code);
    EXPECT_EQ(std::vector<CallTicket>({ CallTicket(4) }), calls.started);
}

TEST_F(AdmissionQueueTest, LongBacklog_MaximumQueueTimeReached_CallsEndAsOverloaded)
{
    m_queue.setDocument(makeDocument({ 0, 4, 2 }, 100 * millisecond));
    learnServiceTime(40 * millisecond);
    fillSlots();
    ASSERT_EQ(AdmissionKind::Queued, offer(3, 0).kind);
    ASSERT_EQ(AdmissionKind::Queued, offer(4, 0).kind);
    ASSERT_EQ(AdmissionKind::Queued, offer(5, 0).kind);
    ASSERT_EQ(AdmissionKind::Queued, offer(6, 0).kind);
    ASSERT_EQ(AdmissionKind::Queued, offer(7, 0).kind);
    EXPECT_EQ(ResultCode::Overloaded, offer(8, 0).code);
    m_now += 100 * millisecond;
    const auto calls = m_queue.takeStartable(m_now);
    ASSERT_EQ(5u, calls.givenUp.size());
    EXPECT_EQ(ResultCode::Overloaded, calls.givenUp[0].code);
    EXPECT_GT(calls.givenUp[0].retryAfter, Duration(0));
}

TEST_F(AdmissionQueueTest, QueueBeyondTarget_BurstAndStandingQueue_OnlyStandingQueueIsLimited)
{
    auto document = makeDocument({ 0 }, second);
    document.priorities[0].target = 100 * millisecond;
    m_queue.setDocument(document);
    learnServiceTime(10 * millisecond);
    fillSlots();
    for (std::uint64_t ticket = 10; ticket < 60; ++ticket)
        ASSERT_EQ(AdmissionKind::Queued, offer(ticket, 0).kind);
    m_now += 150 * millisecond;
    EXPECT_EQ(ResultCode::Overloaded, offer(100, 0).code);
    for (std::uint64_t ticket = 10; ticket < 60; ++ticket)
        m_queue.cancel(CallTicket(ticket));
    EXPECT_EQ(AdmissionKind::Queued, offer(101, 0).kind);
}

TEST_F(AdmissionQueueTest, ServiceTimeAboveTarget_BurstOfSlowCalls_IsNotLimited)
{
    auto document = makeDocument({ 0 }, 2 * second);
    document.priorities[0].target = 200 * millisecond;
    m_queue.setDocument(document);
    learnServiceTime(300 * millisecond);
    fillSlots();
    for (std::uint64_t ticket = 10; ticket < 20; ++ticket)
        ASSERT_EQ(AdmissionKind::Queued, offer(ticket, 0).kind);
    m_now += 250 * millisecond;
    EXPECT_EQ(AdmissionKind::Queued, offer(20, 0).kind);
    m_now += 1300 * millisecond;
    EXPECT_EQ(ResultCode::Overloaded, offer(21, 0).code);
    for (std::uint64_t ticket = 10; ticket < 14; ++ticket)
        m_queue.cancel(CallTicket(ticket));
    // Eight calls of 300 ms on two slots take 1.2 s, which is four service times.
    EXPECT_EQ(AdmissionKind::Queued, offer(22, 0).kind);
    EXPECT_EQ(ResultCode::Overloaded, offer(23, 0).code);
}

TEST_F(AdmissionQueueTest, FloodOfOnePriority_CallsOfOtherPriorities_AreNotRefused)
{
    fillSlots();
    ASSERT_EQ(AdmissionKind::Queued, offer(3, 1).kind);
    std::uint64_t refused = 0;
    for (std::uint64_t ticket = 100; ticket < 10100; ++ticket)
        refused += offer(ticket, 2, 3 * minute).kind == AdmissionKind::Refused;
    EXPECT_GT(refused, 5000u);
    EXPECT_EQ(AdmissionKind::Queued, offer(4, 0).kind);
    EXPECT_EQ(AdmissionKind::Queued, offer(5, 1).kind);
    EXPECT_EQ(1u, m_queue.report().queued[0]);
    EXPECT_EQ(2u, m_queue.report().queued[1]);
    m_now += 10 * millisecond;
    finish(1);
    EXPECT_EQ(std::vector<std::uint64_t>({ 4 }), started());
}

TEST_F(AdmissionQueueTest, Cancel_QueuedAndRunningCall_ResultsDiffer)
{
    fillSlots();
    offer(3, 0);
    EXPECT_EQ(CancelResult::NotRun, m_queue.cancel(CallTicket(3)));
    EXPECT_EQ(CancelResult::Unknown, m_queue.cancel(CallTicket(3)));
    EXPECT_EQ(CancelResult::Running, m_queue.cancel(CallTicket(1)));
    EXPECT_EQ(ResultCode::AlreadyRunning, offer(1, 0).code);
    finish(1);
    EXPECT_TRUE(started().empty());
}

// A call whose origin stops must not start when its answer would find nobody.
TEST_F(AdmissionQueueTest, LimitedAnswer_QueuedAndRunningCalls_OnlyQueuedOnesAreGivenUpInTime)
{
    learnServiceTime(10 * millisecond);
    fillSlots();
    ASSERT_EQ(AdmissionKind::Queued, offer(3, 0).kind);
    ASSERT_EQ(AdmissionKind::Queued, offer(4, 0).kind);
    for (const std::uint64_t ticket : { 1, 3 })
        m_queue.limitAnswer(CallTicket(ticket), m_now + 100 * millisecond);
    EXPECT_TRUE(m_queue.takeStartable(m_now).givenUp.empty());
    ASSERT_TRUE(m_queue.nextTimer());
    EXPECT_EQ(m_now + 90 * millisecond, *m_queue.nextTimer()) << "the time that a call takes is kept for it";
    m_now += 90 * millisecond;
    const auto calls = m_queue.takeStartable(m_now);
    ASSERT_EQ(1u, calls.givenUp.size());
    EXPECT_EQ(CallTicket(3), calls.givenUp.front().ticket);
    EXPECT_EQ(ResultCode::DeadlineCannotBeMet, calls.givenUp.front().code);
    finish(1);
    EXPECT_EQ(std::vector<std::uint64_t>({ 4 }), started());
}

TEST_F(AdmissionQueueTest, Drain_CallsQueuedAndRunning_NewCallsAreRefusedAndQueuedCallsEndSoon)
{
    fillSlots();
    offer(3, 1);
    offer(4, 1);
    m_queue.drain(m_now);
    EXPECT_EQ(ResultCode::Draining, offer(5, 0).code);
    EXPECT_TRUE(m_queue.report().draining);
    finish(1);
    EXPECT_EQ(std::vector<std::uint64_t>({ 3 }), started());
    ASSERT_TRUE(m_queue.nextTimer());
    EXPECT_LE(*m_queue.nextTimer(), m_now + 3 * second);
    m_now = *m_queue.nextTimer();
    const auto calls = m_queue.takeStartable(m_now);
    ASSERT_EQ(1u, calls.givenUp.size());
    EXPECT_EQ(ResultCode::Draining, calls.givenUp[0].code);
    finish(2);
    EXPECT_FALSE(m_queue.isEmpty());
    finish(3);
    EXPECT_TRUE(m_queue.isEmpty());
}

TEST_F(AdmissionQueueTest, NewDocument_FewerPriorities_QueuedCallsRemain)
{
    fillSlots();
    offer(3, 1);
    offer(4, 2);
    m_queue.setDocument(makeDocument({ 1, 1 }));
    EXPECT_EQ(std::vector<std::uint32_t>({ 0, 2 }), m_queue.report().queued);
    finish(1);
    finish(2);
    EXPECT_EQ(std::vector<std::uint64_t>({ 3, 4 }), started());
    finish(3);
    finish(4);
    EXPECT_TRUE(m_queue.isEmpty());
}

TEST_F(AdmissionQueueTest, FastFailures_ManyCalls_ServiceTimeDoesNotDecrease)
{
    learnServiceTime(10 * millisecond);
    const auto before = m_queue.report().serviceTime;
    for (std::uint64_t ticket = 10; ticket < 100; ++ticket) {
        offer(ticket, 0);
        m_now += Duration(100);
        finish(ticket, BackendOutcome::Failed);
    }
    EXPECT_GE(m_queue.report().serviceTime, before);
    EXPECT_GT(m_queue.report().failuresPerThousand, 900u);
    const auto failures = m_queue.report().failuresPerThousand;
    offer(1, 0);
    finish(1, BackendOutcome::Abandoned);
    EXPECT_EQ(failures, m_queue.report().failuresPerThousand);
    m_queue.setBackend(2);
    offer(2, 0);
    finish(2, BackendOutcome::Abandoned);
    EXPECT_EQ(0u, m_queue.report().failuresPerThousand);
}

/// Reference implementation of the admission rules for calls of unknown service time, with one vector that is sorted
/// for each start.
class ReferenceQueue {
public:
    ReferenceQueue(const ServiceDocument& document, std::uint32_t limit)
        : m_document(document)
        , m_limit(limit)
        , m_credits(document.priorities.size())
    {
    }

    void add(std::uint64_t ticket, std::size_t priority, TimePoint deadline, TimePoint now)
    {
        const auto expiry = std::min(deadline, now + m_document.priorities[priority].maximumQueueTime);
        m_waiting.push_back({ ticket, priority, expiry, m_arrivals++ });
    }

    bool canStartNow() const { return m_waiting.empty() && m_running.size() < m_limit; }

    std::set<std::uint64_t> removeExpired(TimePoint now)
    {
        std::set<std::uint64_t> expired;
        for (const auto& call : m_waiting) {
            if (call.expiry <= now)
                expired.insert(call.ticket);
        }
        m_waiting.erase(std::remove_if(m_waiting.begin(), m_waiting.end(), [now](const auto& call) { return call.expiry <= now; }), m_waiting.end());
        return expired;
    }

    std::vector<std::uint64_t> start()
    {
        std::vector<std::uint64_t> tickets;
        while (m_running.size() < m_limit && !m_waiting.empty()) {
            const auto order = [this](const auto& call) { return std::make_tuple(m_credits[call.priority] < 1, call.priority, call.arrival); };
            std::sort(m_waiting.begin(), m_waiting.end(), [&](const auto& a, const auto& b) { return order(a) < order(b); });
            const auto call = m_waiting.front();
            m_waiting.erase(m_waiting.begin());
            m_running.insert(call.ticket);
            m_credits[call.priority] -= 1;
            for (std::size_t priority = 0; priority < m_credits.size(); ++priority) {
                m_credits[priority] += m_document.priorities[priority].minimumShare;
                if (queued(priority) == 0 && priority != call.priority)
                    m_credits[priority] = std::min(m_credits[priority], 1.0);
            }
            m_credits[call.priority] = std::max(0.0, m_credits[call.priority]);
            tickets.push_back(call.ticket);
        }
        return tickets;
    }

    bool erase(std::uint64_t ticket)
    {
        const auto found = std::find_if(m_waiting.begin(), m_waiting.end(), [ticket](const auto& call) { return call.ticket == ticket; });
        if (found == m_waiting.end())
            return false;
        m_waiting.erase(found);
        return true;
    }

    std::size_t queued(std::size_t priority) const
    {
        return static_cast<std::size_t>(std::count_if(m_waiting.begin(), m_waiting.end(), [priority](const auto& call) { return call.priority == priority; }));
    }

    std::optional<TimePoint> nextTimer() const
    {
        std::optional<TimePoint> earliest;
        for (const auto& call : m_waiting)
            earliest = std::min(earliest.value_or(call.expiry), call.expiry);
        return earliest;
    }

    std::set<std::uint64_t> m_running;

private:
    struct WaitingCall {
        std::uint64_t ticket;
        std::size_t priority;
        TimePoint expiry;
        std::uint64_t arrival;
    };

    ServiceDocument m_document;
    std::size_t m_limit;
    std::vector<double> m_credits;
    std::vector<WaitingCall> m_waiting;
    std::uint64_t m_arrivals = 0;
};

std::vector<int> randomShares()
{
    std::vector<int> shares;
    int left = 16;
    const int count = *rc::gen::inRange(1, 5);
    for (int index = 0; index < count; ++index) {
        shares.push_back(*rc::gen::inRange(0, left + 1));
        left -= shares.back();
    }
    return shares;
}

RC_GTEST_PROP(AdmissionQueueProperty, RandomEvents_AnyOrder_MatchesReferenceQueue, ())
{
    const auto document = makeDocument(randomShares(), *rc::gen::inRange(1, 20) * 10 * millisecond);
    const auto slots = *rc::gen::inRange<std::uint32_t>(1, 4);
    AdmissionQueue queue(document, slots);
    ReferenceQueue reference(document, slots);
    TimePoint now { second };
    std::map<std::uint64_t, int> fates;
    std::uint64_t nextTicket = 1;

    const int events = *rc::gen::inRange(1, 150);
    for (int event = 0; event < events; ++event) {
        const auto anyTicket = *rc::gen::inRange<std::uint64_t>(1, nextTicket + 1);
        switch (*rc::gen::inRange(0, 8)) {
        case 0:
        case 1:
        case 2:
        case 3: {
            const auto ticket = nextTicket++;
            const auto priority = *rc::gen::inRange<std::size_t>(0, document.priorities.size());
            const auto deadline = now + *rc::gen::inRange(0, 300) * millisecond;
            const auto decision = queue.offer(CallTicket(ticket), PriorityIndex(static_cast<std::uint32_t>(priority)), deadline, now);
            RC_ASSERT((decision.code == ResultCode::DeadlineExpired) == (deadline <= now));
            if (decision.kind == AdmissionKind::Refused) {
                // A call with time left may be refused only because of a backlog.
                RC_ASSERT(deadline <= now || !reference.canStartNow());
                ++fates[ticket];
                break;
            }
            RC_ASSERT((decision.kind == AdmissionKind::Started) == reference.canStartNow());
            reference.add(ticket, priority, deadline, now);
            if (decision.kind == AdmissionKind::Started) {
                RC_ASSERT(reference.start() == std::vector<std::uint64_t>({ ticket }));
                ++fates[ticket];
            }
            break;
        }
        case 4:
        case 5:
            if (!reference.m_running.empty()) {
                const auto ticket = *reference.m_running.begin();
                reference.m_running.erase(ticket);
                queue.finished(CallTicket(ticket), BackendOutcome::Failed, now);
            }
            break;
        case 6: {
            const auto result = queue.cancel(CallTicket(anyTicket));
            RC_ASSERT((result == CancelResult::NotRun) == reference.erase(anyTicket));
            RC_ASSERT((result == CancelResult::Running) == (reference.m_running.count(anyTicket) == 1));
            fates[anyTicket] += result == CancelResult::NotRun;
            break;
        }
        default:
            now += *rc::gen::inRange(0, 60) * millisecond;
        }

        RC_ASSERT(queue.nextTimer() == reference.nextTimer());
        const auto calls = queue.takeStartable(now);
        std::set<std::uint64_t> givenUp;
        for (const auto& call : calls.givenUp) {
            givenUp.insert(call.ticket.value());
            ++fates[call.ticket.value()];
        }
        RC_ASSERT(givenUp == reference.removeExpired(now));
        std::vector<std::uint64_t> started;
        for (const auto ticket : calls.started) {
            started.push_back(ticket.value());
            ++fates[ticket.value()];
        }
        RC_ASSERT(started == reference.start());

        const auto report = queue.report();
        RC_ASSERT(report.running == reference.m_running.size());
        RC_ASSERT(report.running <= report.concurrencyLimit);
        for (std::size_t priority = 0; priority < document.priorities.size(); ++priority)
            RC_ASSERT(report.queued[priority] == reference.queued(priority));
    }
    for (const auto& [ticket, count] : fates)
        RC_ASSERT(count <= 1);
}

/// Simulates an endpoint with a fixed service time per priority and a constant number of queued calls per priority.
class FloodedEndpoint {
public:
    FloodedEndpoint(const ServiceDocument& document, std::uint32_t slots, std::vector<Duration> serviceTimes)
        : m_queue(document, slots)
        , m_serviceTimes(std::move(serviceTimes))
        , m_startedWork(m_serviceTimes.size())
        , m_startedCalls(m_serviceTimes.size())
        , m_waiting(m_serviceTimes.size())
    {
    }

    void offer(std::size_t priority)
    {
        const CallTicket ticket(m_nextTicket++);
        m_priorities[ticket] = priority;
        const auto decision = m_queue.offer(ticket, PriorityIndex(static_cast<std::uint32_t>(priority)), m_now + 1000 * minute, m_now);
        if (decision.kind == AdmissionKind::Started)
            run(ticket);
        m_waiting[priority] += decision.kind == AdmissionKind::Queued;
    }

    /// Keeps backlog[p] calls of each priority p queued until the given number of calls has started.
    void flood(const std::vector<int>& backlog, int calls)
    {
        const auto target = std::accumulate(m_startedCalls.begin(), m_startedCalls.end(), 0) + calls;
        while (std::accumulate(m_startedCalls.begin(), m_startedCalls.end(), 0) < target) {
            for (std::size_t priority = 0; priority < backlog.size(); ++priority) {
                while (m_waiting[priority] < backlog[priority])
                    offer(priority);
            }
            step();
        }
    }

    void step()
    {
        if (!m_ends.empty()) {
            const auto end = m_ends.begin();
            m_now = end->first;
            m_queue.finished(end->second, BackendOutcome::Succeeded, m_now);
            m_ends.erase(end);
        }
        for (const auto ticket : m_queue.takeStartable(m_now).started) {
            --m_waiting[m_priorities[ticket]];
            run(ticket);
        }
    }

    double share(std::size_t priority) const { return m_startedWork[priority] / std::accumulate(m_startedWork.begin(), m_startedWork.end(), 0.0); }
    double totalWork() const { return std::accumulate(m_startedWork.begin(), m_startedWork.end(), 0.0); }
    double work(std::size_t priority) const { return m_startedWork[priority]; }
    void resetCounts() { std::fill(m_startedWork.begin(), m_startedWork.end(), 0); }

private:
    void run(CallTicket ticket)
    {
        const auto priority = m_priorities[ticket];
        m_ends.emplace(m_now + m_serviceTimes[priority], ticket);
        m_startedWork[priority] += static_cast<double>(m_serviceTimes[priority].count());
        ++m_startedCalls[priority];
    }

    AdmissionQueue m_queue;
    TimePoint m_now { second };
    std::vector<Duration> m_serviceTimes;
    std::vector<double> m_startedWork;
    std::vector<int> m_startedCalls;
    std::vector<int> m_waiting;
    std::map<CallTicket, std::size_t> m_priorities;
    std::multimap<TimePoint, CallTicket> m_ends;
    std::uint64_t m_nextTicket = 1;
};

RC_GTEST_PROP(AdmissionQueueProperty, FloodOfAnyPriorities_BackloggedPriority_KeepsMinimumShareOfSlotTime, ())
{
    const auto shares = randomShares();
    const auto document = makeDocument(shares, 100 * minute);
    std::vector<Duration> serviceTimes;
    std::vector<int> backlog;
    for (std::size_t priority = 0; priority < shares.size(); ++priority) {
        serviceTimes.push_back(*rc::gen::inRange(1, 10) * millisecond);
        backlog.push_back(*rc::gen::element(0, 1, 40));
    }
    const auto victim = *rc::gen::inRange<std::size_t>(0, shares.size());
    backlog[victim] = std::max(backlog[victim], 1);

    FloodedEndpoint endpoint(document, *rc::gen::inRange<std::uint32_t>(1, 13), serviceTimes);
    // Runs one call of each priority first, so that the queue has estimates of the service times.
    for (std::size_t priority = 0; priority < shares.size(); ++priority) {
        endpoint.offer(priority);
        endpoint.step();
    }
    endpoint.flood(backlog, 50);
    endpoint.resetCounts();
    endpoint.flood(backlog, 400);

    // Slot time is given out in whole calls, so a priority may be behind by the longest call once for each priority.
    const double longest = static_cast<double>(std::max_element(serviceTimes.begin(), serviceTimes.end())->count());
    const double allowance = longest * static_cast<double>(shares.size() + 1);
    RC_ASSERT(endpoint.work(victim) >= shares[victim] / 16.0 * endpoint.totalWork() - allowance);
}

RC_GTEST_PROP(AdmissionQueueProperty, FloodOfLeastUrgent_MostUrgentBacklogged_FloodIsLimitedToMinimumShare, ())
{
    const auto reserved = *rc::gen::inRange(0, 9);
    FloodedEndpoint endpoint(makeDocument({ 0, reserved }, 100 * minute), 12, { 5 * millisecond, 5 * millisecond });
    endpoint.flood({ 20, 40 }, 100);
    endpoint.resetCounts();
    endpoint.flood({ 20, 40 }, 400);
    RC_ASSERT(endpoint.share(1) <= reserved / 16.0 + 0.01);
}

TEST_F(AdmissionQueueTest, SlowMachine_CallsTakeLonger_ServiceTimeIsNormalised)
{
    m_queue.setSlowdown(100, m_now);
    learnServiceTime(10 * millisecond);
    m_queue.setSlowdown(700, m_now);
    learnServiceTime(70 * millisecond);
    EXPECT_EQ(700u, m_queue.report().slowdownPercent);
    EXPECT_NEAR(10000, static_cast<double>(m_queue.report().serviceTime.count()), 500);
}

TEST_F(AdmissionQueueTest, MachineSlowsDownDuringCall_CallEnds_ServiceTimeIsNormalised)
{
    m_queue.setSlowdown(100, m_now);
    for (std::uint64_t ticket = 1; ticket <= 100; ++ticket) {
        ASSERT_EQ(AdmissionKind::Started, offer(ticket, 0).kind);
        m_now += 5 * millisecond;
        m_queue.setSlowdown(500, m_now);
        m_now += 25 * millisecond;
        m_queue.setSlowdown(100, m_now);
        finish(ticket);
    }
    EXPECT_NEAR(10000, static_cast<double>(m_queue.report().serviceTime.count()), 500);
}

TEST_F(AdmissionQueueTest, SlowMachine_DeadlineMetOnlyAtNominalSpeed_IsRefused)
{
    m_queue.setSlowdown(100, m_now);
    learnServiceTime(50 * millisecond);
    ASSERT_EQ(AdmissionKind::Started, offer(1, 0).kind);
    m_queue.setSlowdown(700, m_now);
    EXPECT_EQ(ResultCode::DeadlineCannotBeMet, offer(2, 0, 200 * millisecond).code);
    m_queue.setSlowdown(100, m_now);
    EXPECT_EQ(AdmissionKind::Started, offer(3, 0, 200 * millisecond).kind);
}

TEST_F(AdmissionQueueTest, DrainedQueue_ResumedWithCallsRunning_AcceptsNewCalls)
{
    ASSERT_EQ(AdmissionKind::Started, offer(1, 0).kind);
    m_queue.drain(m_now);
    EXPECT_EQ(ResultCode::Draining, offer(2, 0).code);
    m_queue.resume();
    EXPECT_EQ(AdmissionKind::Started, offer(3, 0).kind);
}

/// A queue whose priorities have a target of three times the measured service time.
class AdmissionTargetTest : public AdmissionQueueTest {
protected:
    static constexpr Duration serviceTime = 100 * millisecond;
    static constexpr Duration target = 300 * millisecond;

    AdmissionTargetTest()
    {
        auto document = makeDocument({ 0, 1 });
        for (Priority& priority : document.priorities)
            priority.target = target;
        m_queue.setDocument(document);
        learnServiceTime(serviceTime);
        learnServiceTime(serviceTime, 1);
    }

    AdmissionDecision offerWithTarget(std::uint64_t ticket, std::uint32_t priority = 0, Duration targetLeft = target)
    {
        return m_queue.offer(CallTicket(ticket), PriorityIndex(priority), m_now + 10 * second, m_now, m_now + targetLeft);
    }
};

TEST_F(AdmissionTargetTest, Overload_CallsBeyondTarget_AreRefusedImmediately)
{
    int admitted = 0;
    int refused = 0;
    for (std::uint64_t ticket = 1; ticket <= 40; ++ticket) {
        const auto decision = offerWithTarget(ticket);
        admitted += decision.kind != AdmissionKind::Refused;
        refused += decision.kind == AdmissionKind::Refused && decision.code == ResultCode::Overloaded;
    }
    EXPECT_EQ(40, admitted + refused);
    // Two slots times three service times within the target, plus one queued late call.
    EXPECT_LE(admitted, 8);
    EXPECT_GE(admitted, 4);
}

// Sustained overload of twice the capacity. With a queue limited only by the waiting time, every answer exceeded its
// target.
TEST_F(AdmissionTargetTest, SustainedOverload_AdmittedCalls_AreAnsweredWithinTarget)
{
    std::map<std::uint64_t, TimePoint> arrivedAt;
    std::multimap<TimePoint, std::uint64_t> ends;
    int inTime = 0;
    int late = 0;
    const auto startCall = [&](std::uint64_t ticket) { ends.emplace(m_now + serviceTime, ticket); };
    for (std::uint64_t ticket = 1; ticket <= 400; ++ticket) {
        const TimePoint next = m_now + 25 * millisecond;
        while (!ends.empty() && ends.begin()->first <= next) {
            m_now = ends.begin()->first;
            const std::uint64_t ended = ends.begin()->second;
            ends.erase(ends.begin());
            (m_now - arrivedAt[ended] <= target ? inTime : late) += 1;
            finish(ended);
            for (const std::uint64_t startedTicket : started())
                startCall(startedTicket);
        }
        m_now = next;
        arrivedAt[ticket] = m_now;
        if (offerWithTarget(ticket).kind == AdmissionKind::Started)
            startCall(ticket);
        for (const std::uint64_t startedTicket : started())
            startCall(startedTicket);
    }
    EXPECT_GT(inTime, 180);
    EXPECT_LT(late, 10);
}

TEST_F(AdmissionTargetTest, LateCall_FreeAndFullSlots_StartsOrQueuesBehindOthers)
{
    EXPECT_EQ(AdmissionKind::Started, offerWithTarget(1, 0, Duration(0)).kind);
    EXPECT_EQ(AdmissionKind::Started, offerWithTarget(2).kind);
    EXPECT_EQ(AdmissionKind::Queued, offerWithTarget(3, 0, Duration(0)).kind);
    EXPECT_EQ(AdmissionKind::Queued, offerWithTarget(4, 1).kind);
    EXPECT_EQ(ResultCode::Overloaded, offerWithTarget(5, 0, Duration(0)).code);
    m_now += serviceTime;
    finish(1);
    EXPECT_EQ((std::vector<std::uint64_t> { 4 }), started());
}

TEST_F(AdmissionTargetTest, TargetBelowServiceTime_CallsOffered_QueueIsNotLimitedByTarget)
{
    auto document = makeDocument({ 0 });
    document.priorities[0].target = 50 * millisecond;
    m_queue.setDocument(document);
    ASSERT_EQ(AdmissionKind::Started, offerWithTarget(1, 0, 50 * millisecond).kind);
    ASSERT_EQ(AdmissionKind::Started, offerWithTarget(2, 0, 50 * millisecond).kind);
    for (std::uint64_t ticket = 3; ticket <= 8; ++ticket)
        EXPECT_EQ(AdmissionKind::Queued, offerWithTarget(ticket, 0, 50 * millisecond).kind);
}

TEST_F(AdmissionTargetTest, NewDocument_LateCallsQueued_RemainInLastLane)
{
    // Lets the recent work decay, so that no slots are reserved for the urgent calls that ran before.
    m_now += 5 * second;
    fillSlots();
    ASSERT_EQ(AdmissionKind::Queued, offerWithTarget(3, 0, Duration(0)).kind);
    m_queue.setDocument(makeDocument({ 0, 1, 1 }));
    ASSERT_EQ(AdmissionKind::Queued, offer(4, 2).kind);
    m_now += serviceTime;
    finish(1);
    EXPECT_EQ((std::vector<std::uint64_t> { 4 }), started());
}

} // namespace
