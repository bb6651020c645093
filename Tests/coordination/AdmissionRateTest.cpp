#include "coordination/admission/AdmissionQueue.h"

#include <gtest/gtest.h>

#include <array>
#include <map>
#include <random>

using namespace Knapweedquay;
using namespace std::chrono_literals;

namespace {

/// Simulates an endpoint of twelve slots whose backend server limits its requests per second, with calls of 100 ms.
class AdmissionRateTest : public testing::Test {
protected:
    static constexpr Duration serviceTime = 100ms;
    static constexpr std::array<Duration, 2> targets { 250ms, 1200ms };

    /// Calls of one priority.
    struct Counts {
        int offered = 0;
        int withinTarget = 0;
        int started = 0;
    };

    static ServiceDocument makeDocument(double leastUrgentShare)
    {
        ServiceDocument document;
        for (const Duration target : targets) {
            Priority priority;
            priority.target = target;
            priority.maximumQueueTime = 2 * target;
            document.priorities.push_back(priority);
        }
        document.priorities.back().minimumShare = leastUrgentShare;
        return document;
    }

    void SetUp() override
    {
        // Lets the queue learn the service time.
        for (std::uint32_t priority : { 0u, 1u }) {
            for (int call = 0; call < 50; ++call) {
                offer(priority);
                advanceTo(m_now + serviceTime);
            }
        }
        m_counts = {};
        m_starts.clear();
    }

    AdmissionDecision offer(std::uint32_t priority)
    {
        const CallTicket ticket(++m_lastTicket);
        const AdmissionDecision decision = m_queue.offer(ticket, PriorityIndex(priority), m_now + 2s, m_now, m_now + targets[priority]);
        m_calls[ticket] = { priority, m_now };
        ++m_counts[priority].offered;
        if (decision.kind == AdmissionKind::Started)
            start(ticket);
        startQueued();
        return decision;
    }

    void start(CallTicket ticket)
    {
        const auto& [priority, offeredAt] = m_calls[ticket];
        ++m_counts[priority].started;
        m_counts[priority].withinTarget += m_now + serviceTime <= offeredAt + targets[priority];
        m_starts.push_back(m_now);
        m_ends.emplace(m_now + serviceTime, ticket);
    }

    void startQueued()
    {
        for (const CallTicket ticket : m_queue.takeStartable(m_now).started)
            start(ticket);
    }

    void advanceTo(TimePoint next)
    {
        for (;;) {
            const auto timer = m_queue.nextTimer();
            const bool endsFirst = !m_ends.empty() && (!timer || m_ends.begin()->first <= *timer);
            const TimePoint at = endsFirst ? m_ends.begin()->first : timer.value_or(TimePoint::max());
            if (at > next)
                break;
            ASSERT_GE(at, m_now);
            m_now = at;
            if (endsFirst) {
                m_queue.finished(m_ends.begin()->second, BackendOutcome::Succeeded, m_now);
                m_ends.erase(m_ends.begin());
            }
            startQueued();
        }
        m_now = next;
    }

    /// Offers calls of both priorities at random times, this many per second.
    void offerFor(Duration time, double urgentPerSecond, double othersPerSecond)
    {
        std::exponential_distribution<double> gap(urgentPerSecond + othersPerSecond);
        std::bernoulli_distribution isUrgent(urgentPerSecond / (urgentPerSecond + othersPerSecond));
        for (const TimePoint end = m_now + time; m_now < end;) {
            advanceTo(m_now + Duration(static_cast<Duration::rep>(gap(m_random) * 1e6) + 1));
            offer(isUrgent(m_random) ? 0 : 1);
        }
    }

    std::size_t mostStartsIn(Duration time) const
    {
        std::size_t most = 0;
        auto first = m_starts.begin();
        for (auto last = first; last != m_starts.end(); ++last) {
            while (*last - *first > time)
                ++first;
            most = std::max<std::size_t>(most, static_cast<std::size_t>(last - first) + 1);
        }
        return most;
    }

    TimePoint m_now { 1s };
    AdmissionQueue m_queue { makeDocument(0.1), 12 };
    std::mt19937_64 m_random { 21 };
    std::uint64_t m_lastTicket = 0;
    std::map<CallTicket, std::pair<std::uint32_t, TimePoint>> m_calls;
    std::multimap<TimePoint, CallTicket> m_ends;
    std::vector<TimePoint> m_starts;
    std::array<Counts, 2> m_counts;
};

} // namespace

TEST_F(AdmissionRateTest, LoadAboveTheLimit_AnyFourSeconds_HaveNoMoreStartsThanTheLimit)
{
    m_queue.setRequestRate(RequestRate(8), m_now);
    offerFor(40s, 20, 20);
    EXPECT_LE(mostStartsIn(4s), 36u);
    EXPECT_LE(mostStartsIn(100ms), 4u);
    EXPECT_GE(m_starts.size(), 40 * 8 * 0.95);
}

TEST_F(AdmissionRateTest, LoadAboveTheLimit_UrgentCallsBelowIt_AreServedInTime)
{
    m_queue.setRequestRate(RequestRate(8), m_now);
    offerFor(60s, 4, 12);
    EXPECT_GE(m_counts[0].withinTarget, m_counts[0].offered * 0.9);
    EXPECT_GE(m_counts[1].withinTarget, 60 * 4 * 0.7);
}

TEST_F(AdmissionRateTest, FloodOfUrgentCalls_OtherPriority_KeepsItsMinimumShare)
{
    m_queue.setRequestRate(RequestRate(20), m_now);
    offerFor(60s, 80, 20);
    EXPECT_GE(m_counts[1].started, 60 * 20 * 0.1 * 0.8);
    EXPECT_GE(m_counts[0].withinTarget, 60 * 20 * 0.7);
}

TEST_F(AdmissionRateTest, CallThatCannotStartInTime_IsRefusedImmediatelyWithTheTimeOfTheRate)
{
    m_queue.setRequestRate(RequestRate(2), m_now);
    EXPECT_EQ(AdmissionKind::Started, offer(0).kind);
    const AdmissionDecision decision = offer(0);
    // The late call may wait for a start that no call in time needs; the next one may not.
    EXPECT_EQ(AdmissionKind::Queued, decision.kind);
    const AdmissionDecision refused = offer(0);
    ASSERT_EQ(AdmissionKind::Refused, refused.kind);
    EXPECT_GE(refused.retryAfter, 500ms);
    EXPECT_LE(refused.retryAfter, 1500ms);
}

TEST_F(AdmissionRateTest, HealthChecksAndRepeats_Counted_TakeFromTheLimit)
{
    m_queue.setRequestRate(RequestRate(10), m_now);
    for (int request = 0; request < 3; ++request)
        m_queue.countRequest(m_now);
    EXPECT_FALSE(m_queue.allowsRequest(m_now));
    EXPECT_EQ(AdmissionKind::Queued, offer(0).kind);
    advanceTo(m_now + 99ms);
    EXPECT_TRUE(m_starts.empty());
    advanceTo(m_now + 1ms);
    EXPECT_EQ(1u, m_starts.size());
}

TEST_F(AdmissionRateTest, LimitEnds_CallsQueued_StartAtOnce)
{
    m_queue.setRequestRate(RequestRate(2), m_now);
    offer(1);
    offer(1);
    offer(1);
    EXPECT_EQ(1u, m_starts.size());
    m_queue.setRequestRate(std::nullopt, m_now);
    startQueued();
    EXPECT_EQ(3u, m_starts.size());
}

// A node whose backend server was just announced doesn't know whether it leaves or limits its requests.
TEST_F(AdmissionRateTest, Paused_CallsOffered_WaitUntilItEnds)
{
    m_queue.setPaused(true);
    EXPECT_EQ(AdmissionKind::Queued, offer(0).kind);
    advanceTo(m_now + 5ms);
    EXPECT_TRUE(m_starts.empty());
    m_queue.setPaused(false);
    startQueued();
    EXPECT_EQ(1u, m_starts.size());
}
