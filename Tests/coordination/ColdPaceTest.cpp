#include "coordination/admission/ColdPace.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>

using namespace Knapweedquay;
using namespace std::chrono_literals;

namespace {

constexpr ColdBound bound { 1.5, 8 };

/// Simulates a node under a flood of calls beside a backend server that turns cold, crashes and starts again.
class ColdPaceTest : public ::testing::Test {
protected:
    static constexpr Duration step = 1ms;
    static constexpr Duration checkTimer = 40ms;
    static constexpr Duration checkTime = 3ms;
    static constexpr Duration coldTime = 3s;

    struct Arrival {
        TimePoint at;
        bool isCold = false;
    };

    void start(double rate, std::uint32_t slots, Duration serviceTime, bool hasHealthChecks = true)
    {
        ServiceDocument document;
        Priority priority;
        priority.target = 500ms;
        priority.maximumQueueTime = 1s;
        document.priorities.push_back(priority);
        m_queue = std::make_unique<AdmissionQueue>(document, slots);
        m_serviceTime = serviceTime;
        m_rate = rate;
        m_hasHealthChecks = hasHealthChecks;
        m_pace.setHasHealthChecks(hasHealthChecks);
        m_pace.runStarted(true, m_now);
        m_pace.setService(coldTime, RequestRate(rate), m_now);
        m_pace.apply(*m_queue, {}, m_now);
    }

    bool isCold() const { return m_now < m_coldUntil; }

    void sent()
    {
        m_arrivals.push_back({ m_now, isCold() });
    }

    void check()
    {
        m_pace.apply(*m_queue, {}, m_now);
        m_nextTimer = m_now + checkTimer;
        const bool isDue = m_now - m_respondedAt >= checkTimer && m_pace.mayAsk(m_now) && m_queue->allowsRequest(m_now);
        if (!m_hasHealthChecks || m_checkSentAt || !(isDue || m_pace.mustAsk(m_now)))
            return;
        m_pace.checkSent(m_now);
        m_queue->countRequest(m_now);
        if (m_isDown) {
            refused();
            return;
        }
        sent();
        ++m_checks;
        m_checkSentAt = m_now;
    }

    void refused()
    {
        m_pace.connectionRefused(m_now);
        m_queue->forgetRequests(m_now);
        m_pace.apply(*m_queue, {}, m_now);
    }

    void checkAnswered()
    {
        const TimePoint sentAt = *m_checkSentAt;
        m_checkSentAt.reset();
        m_respondedAt = m_now;
        m_pace.connectionOpened(m_now);
        const Duration left = std::max(m_coldUntil - m_now, Duration::zero());
        m_pace.checkAnswered(m_tellsColdTime ? std::optional(left) : std::nullopt, true, sentAt, m_now);
        m_pace.apply(*m_queue, {}, m_now);
        if (m_pace.mustAsk(m_now))
            check();
    }

    void callStarted(CallTicket ticket)
    {
        if (m_isDown) {
            m_queue->finished(ticket, BackendOutcome::Failed, m_now);
            return refused();
        }
        m_pace.requestSent(m_now);
        sent();
        ++m_started;
        check();
        m_ends.emplace(m_now + m_serviceTime, ticket);
    }

    void advance(Duration time, double callsPerSecond)
    {
        std::poisson_distribution<int> arriving(callsPerSecond * 1e-3);
        for (const TimePoint end = m_now + time; m_now < end; m_now += step) {
            if (m_checkSentAt && m_now - *m_checkSentAt >= checkTime)
                checkAnswered();
            while (!m_ends.empty() && m_ends.begin()->first <= m_now) {
                m_queue->finished(m_ends.begin()->second, BackendOutcome::Succeeded, m_now);
                m_ends.erase(m_ends.begin());
                m_respondedAt = m_now;
                m_pace.callAnswered({}, m_now);
            }
            if (m_now >= m_nextTimer)
                check();
            for (int calls = arriving(m_random); calls > 0 && (!m_isDown || m_now >= m_mayTryAt); --calls) {
                const CallTicket ticket(++m_lastTicket);
                if (m_queue->offer(ticket, PriorityIndex(0), m_now + 2s, m_now).kind == AdmissionKind::Started)
                    callStarted(ticket);
            }
            for (const CallTicket ticket : m_queue->takeStartable(m_now).started)
                callStarted(ticket);
        }
    }

    void turnCold() { m_coldUntil = m_now + coldTime; }

    void crash()
    {
        m_isDown = true;
        for (const auto& entry : m_ends)
            m_queue->finished(entry.second, BackendOutcome::Failed, m_now);
        m_ends.clear();
        m_checkSentAt.reset();
        m_mayTryAt = m_now + 300ms;
    }

    void startAgain()
    {
        m_isDown = false;
        turnCold();
    }

    /// Most requests that reached the server within one second while it was cold.
    std::size_t worstSecond() const
    {
        std::size_t worst = 0;
        for (auto first = m_arrivals.begin(); first != m_arrivals.end(); ++first) {
            std::size_t count = 0;
            for (auto other = first; other != m_arrivals.end() && other->at - first->at < 1s; ++other)
                count += other->isCold;
            worst = std::max(worst, count);
        }
        return worst;
    }

    std::size_t arrivedSince(TimePoint time) const
    {
        return static_cast<std::size_t>(std::count_if(m_arrivals.begin(), m_arrivals.end(), [&](const Arrival& arrival) { return arrival.at >= time; }));
    }

    double mostAllowed() const { return m_rate * bound.overage + bound.slack; }

    TimePoint m_now { 100s };
    ColdPace m_pace { bound };
    std::unique_ptr<AdmissionQueue> m_queue;
    std::mt19937_64 m_random { 7 };
    double m_rate = 0;
    Duration m_serviceTime { 0 };
    bool m_hasHealthChecks = true;
    bool m_tellsColdTime = true;
    TimePoint m_coldUntil;
    bool m_isDown = false;
    TimePoint m_mayTryAt;
    TimePoint m_nextTimer;
    TimePoint m_respondedAt;
    std::optional<TimePoint> m_checkSentAt;
    std::uint64_t m_lastTicket = 0;
    std::size_t m_started = 0;
    std::size_t m_checks = 0;
    std::multimap<TimePoint, CallTicket> m_ends;
    std::vector<Arrival> m_arrivals;
};

/// Rate, slots and service time of a service, and the calls per second that its node gets for one server.
struct Flood {
    double rate;
    std::uint32_t slots;
    Duration serviceTime;
    double callsPerSecond;

    friend std::ostream& operator<<(std::ostream& stream, const Flood& flood)
    {
        return stream << flood.rate << "_per_s_" << flood.slots << "_slots_" << flood.serviceTime.count() << "_us";
    }
};

class ColdPaceFloodTest : public ColdPaceTest, public ::testing::WithParamInterface<Flood> {
protected:
    void SetUp() override { start(GetParam().rate, GetParam().slots, GetParam().serviceTime); }
    void flood(Duration time) { advance(time, GetParam().callsPerSecond); }
};

INSTANTIATE_TEST_SUITE_P(Services, ColdPaceFloodTest, ::testing::Values(Flood { 7.2, 6, 160ms, 100 }, Flood { 7.2, 6, 40ms, 300 }, Flood { 17, 13, 130ms, 200 }, Flood { 17, 13, 30ms, 600 }, Flood { 2, 12, 100ms, 2000 }, Flood { 60, 50, 20ms, 3000 }));

} // namespace

TEST_P(ColdPaceFloodTest, ServerTurnsColdWithoutAWord_GetsNoMoreThanItBears)
{
    for (int round = 0; round < 20; ++round) {
        flood(1s + std::chrono::milliseconds(m_random() % 500));
        turnCold();
        flood(coldTime + 200ms);
    }
    EXPECT_LE(worstSecond(), mostAllowed());
}

TEST_P(ColdPaceFloodTest, ServerTurnsColdAgainWhileItIsCold_GetsNoMoreThanItBears)
{
    for (int round = 0; round < 20; ++round) {
        turnCold();
        flood(std::chrono::milliseconds(m_random() % 3500));
    }
    EXPECT_LE(worstSecond(), mostAllowed());
}

TEST_P(ColdPaceFloodTest, ServerCrashesAndStartsAgain_GetsNoMoreThanItBears)
{
    for (int round = 0; round < 10; ++round) {
        flood(1s);
        crash();
        flood(std::chrono::milliseconds(m_random() % 2000));
        startAgain();
        flood(coldTime + 300ms);
    }
    EXPECT_LE(worstSecond(), mostAllowed());
}

TEST_P(ColdPaceFloodTest, ColdServer_GetsNearlyAllCallsThatItsRateAllows)
{
    flood(1s);
    turnCold();
    flood(1s);
    const std::size_t before = m_started;
    flood(2s - checkTimer);
    EXPECT_GE(m_started - before, 0.95 * GetParam().rate * 2 - 1);
}

TEST_P(ColdPaceFloodTest, ColdTimeEnds_IsServedFullyWithinATenthOfASecond)
{
    flood(1s);
    turnCold();
    flood(coldTime + 100ms);
    const std::size_t before = m_started;
    flood(1s);
    const double capacity = GetParam().slots * 1e6 / static_cast<double>(GetParam().serviceTime.count());
    EXPECT_GE(static_cast<double>(m_started - before), 0.9 * std::min(capacity, GetParam().callsPerSecond));
}

TEST_F(ColdPaceTest, CallsTellTheLoad_HealthChecksOfAWarmServer_AreFewerThanAFifthOfTheCalls)
{
    start(7.2, 6, 160ms);
    advance(10s, 100);
    EXPECT_LE(m_checks, m_started / 5 + 1);
}

TEST_F(ColdPaceTest, NodeStartsBesideAColdServer_FirstHealthResponse_DecidesAboutThePace)
{
    m_coldUntil = m_now + 2s;
    start(7.2, 6, 160ms);
    EXPECT_TRUE(m_pace.paceInForce());
    advance(5s, 100);
    EXPECT_LE(worstSecond(), mostAllowed());
    EXPECT_FALSE(m_pace.paceInForce());
}

TEST_F(ColdPaceTest, NodeStartsBesideAWarmServer_FirstHealthResponse_EndsThePace)
{
    start(7.2, 6, 160ms);
    advance(50ms, 100);
    EXPECT_FALSE(m_pace.paceInForce());
}

TEST_F(ColdPaceTest, NoHealthChecks_AnnouncementDecides)
{
    start(7.2, 6, 160ms, false);
    advance(1s, 100);
    EXPECT_FALSE(m_pace.paceInForce());
    m_pace.announced(2s, m_now);
    turnCold();
    advance(1900ms, 100);
    EXPECT_TRUE(m_pace.paceInForce());
    EXPECT_LE(worstSecond(), mostAllowed());
    advance(200ms, 100);
    EXPECT_FALSE(m_pace.paceInForce());
}

TEST_F(ColdPaceTest, NoHealthChecks_NewRun_IsColdForTheTimeOfItsService)
{
    start(7.2, 6, 160ms, false);
    m_pace.runStarted(false, m_now);
    advance(coldTime - 50ms, 100);
    EXPECT_TRUE(m_pace.paceInForce());
    advance(100ms, 100);
    EXPECT_FALSE(m_pace.paceInForce());
}

TEST_F(ColdPaceTest, ServerNeverTellsInHealthResponses_NewRun_IsColdForTheTimeOfItsService)
{
    m_tellsColdTime = false;
    start(7.2, 6, 160ms);
    advance(100ms, 100);
    EXPECT_FALSE(m_pace.paceInForce());
    m_pace.runStarted(false, m_now);
    advance(coldTime - 50ms, 100);
    EXPECT_TRUE(m_pace.paceInForce());
    advance(100ms, 100);
    EXPECT_FALSE(m_pace.paceInForce());
}

TEST_F(ColdPaceTest, LateAnnouncementOfAWarmServer_HealthResponse_EndsThePaceAtOnce)
{
    start(7.2, 6, 160ms);
    advance(1s, 100);
    m_pace.announced(2s, m_now);
    check();
    EXPECT_TRUE(m_pace.paceInForce());
    advance(50ms, 100);
    EXPECT_FALSE(m_pace.paceInForce());
}

TEST_F(ColdPaceTest, ConfigurationAddsARate_ServerIsCold_IsPacedAtOnce)
{
    start(7.2, 6, 160ms);
    m_pace.setService(coldTime, std::nullopt, m_now);
    advance(1s, 100);
    EXPECT_FALSE(m_pace.paceInForce());
    turnCold();
    advance(500ms, 100);
    m_arrivals.clear();
    m_pace.setService(coldTime, RequestRate(7.2), m_now);
    m_pace.apply(*m_queue, {}, m_now);
    EXPECT_TRUE(m_pace.paceInForce());
    advance(2500ms, 100);
    EXPECT_LE(worstSecond(), mostAllowed());
}

TEST_F(ColdPaceTest, ServerNamesALowerLimit_WhileItIsCold_LowerOneHolds)
{
    start(7.2, 6, 160ms);
    m_pace.apply(*m_queue, RequestRate(3), m_now);
    EXPECT_EQ(RequestRate(3), m_queue->report().requestRate);
    m_pace.apply(*m_queue, RequestRate(30), m_now);
    EXPECT_EQ(RequestRate(7.2), m_queue->report().requestRate);
}
