#include "coordination/stopping/GracefulStop.h"

#include <gtest/gtest.h>

#include <chrono>
#include <string>
#include <vector>

using namespace Knapweedquay;
using namespace std::chrono_literals;

namespace {

using Step = GracefulStop::Step;

constexpr TimePoint orderedAt { 100s };

/// A stop with a notice of 2.3 s and a maximum of 5.6 s, of which 0.4 s are kept for the last answers.
class GracefulStopTest : public ::testing::Test {
protected:
    static GracefulStop::Settings settings()
    {
        GracefulStop::Settings settings;
        settings.notice = 2300ms;
        settings.maximum = 5600ms;
        settings.delivery = 400ms;
        settings.settling = 250ms;
        return settings;
    }

    /// Orders the stop and drains.
    void drain()
    {
        m_stop.order(orderedAt);
        ASSERT_EQ(m_stop.next(orderedAt + 2300ms, {}), Step::Drain);
    }

    Step next(Duration sinceOrder, const PendingWork& work) { return m_stop.next(orderedAt + sinceOrder, work); }

    GracefulStop m_stop { settings() };
};

/// Work of which only one kind is left.
PendingWork left(std::size_t PendingWork::*kind, std::size_t amount = 1)
{
    PendingWork work;
    work.isLeaveSpread = true;
    work.*kind = amount;
    return work;
}

PendingWork nothingLeft() { return left(&PendingWork::calls, 0); }

} // namespace

// What a call may still wait for (retries, nested calls, a slow machine) ends at its deadline.
TEST_F(GracefulStopTest, Call_ByArrivalAndTimeLeft_IsTakenIfItEndsInTime)
{
    struct Case {
        const char* what;
        Duration arrival;
        Duration timeLeft;
        bool isTaken;
    };
    const std::vector<Case> cases {
        { "before the drain, callers do not know of the stop yet", 0ms, 10s, true },
        { "just before the drain", 2299ms, 10s, true },
        { "at the drain, with the time of a usual route", 2300ms, 1200ms, true },
        { "at the drain, ends when the last answers are due", 2300ms, 2900ms, true },
        { "at the drain, ends a moment later", 2300ms, 2901ms, false },
        { "at the drain, with a long time limit", 2300ms, 10s, false },
        { "3 s after the order, work of 2.4 s", 3s, 2500ms, false },
        { "late, with the time of a usual route", 4100ms, 1200ms, false },
        { "late, with a short time limit", 4100ms, 250ms, true },
        { "the body arrived whole when its time had passed", 5s, -10ms, true },
        { "when only answers are delivered", 5300ms, 50ms, false },
        { "a frozen node wakes after its time", 9s, 250ms, false },
    };
    for (const Case& call : cases) {
        GracefulStop stop(settings());
        stop.order(orderedAt);
        EXPECT_EQ(stop.mayTake(orderedAt + call.arrival, orderedAt + call.arrival + call.timeLeft), call.isTaken) << call.what;
    }
}

TEST_F(GracefulStopTest, Call_WithoutAnOrder_IsTaken)
{
    EXPECT_EQ(next(0ms, nothingLeft()), Step::Wait);
    EXPECT_TRUE(m_stop.mayTake(orderedAt, orderedAt + 1h));
}

// Each of these was cut when the process ended as soon as it had no calls.
TEST_F(GracefulStopTest, End_WithAnyWorkLeft_Waits)
{
    drain();
    for (const auto kind : { &PendingWork::partialRequests, &PendingWork::calls, &PendingWork::attempts, &PendingWork::unsentCallerBytes, &PendingWork::unsentPeerBytes }) {
        EXPECT_EQ(next(3s, left(kind)), Step::Wait);
        EXPECT_EQ(next(5599ms, left(kind)) == Step::EndIdle, false);
    }
    PendingWork unspread = nothingLeft();
    unspread.isLeaveSpread = false;
    EXPECT_EQ(next(3s, unspread), Step::Wait);
    EXPECT_EQ(next(3s, nothingLeft()), Step::EndIdle);
}

// A request that arrived between the last check and the end was passed on and cut.
TEST_F(GracefulStopTest, End_WithOpenConnections_ClosesThemFirst)
{
    drain();
    for (const auto kind : { &PendingWork::connections, &PendingWork::links })
        EXPECT_EQ(next(3s, left(kind)), Step::CloseConnections);
    EXPECT_EQ(next(3s, nothingLeft()), Step::EndIdle);
}

TEST_F(GracefulStopTest, End_JustAfterTheDrain_WaitsForRequestsOnTheirWay)
{
    drain();
    EXPECT_EQ(next(2549ms, nothingLeft()), Step::Wait);
    EXPECT_EQ(next(2550ms, nothingLeft()), Step::EndIdle);
}

TEST_F(GracefulStopTest, WaitingWork_ShortlyBeforeTheEnd_IsEndedOnce)
{
    drain();
    EXPECT_EQ(next(5199ms, left(&PendingWork::partialRequests)), Step::Wait);
    EXPECT_EQ(next(5200ms, left(&PendingWork::partialRequests)), Step::EndWaitingWork);
    EXPECT_EQ(next(5220ms, left(&PendingWork::unsentCallerBytes)), Step::Wait);
    EXPECT_EQ(next(5600ms, left(&PendingWork::unsentCallerBytes)), Step::EndLate);
}

// An answer that waited for a slower one of its connection ended with the process.
TEST_F(GracefulStopTest, BlockingWork_JustBeforeTheEnd_IsEndedOnce)
{
    drain();
    ASSERT_EQ(next(5200ms, left(&PendingWork::calls)), Step::EndWaitingWork);
    EXPECT_EQ(next(5399ms, left(&PendingWork::calls)), Step::Wait);
    EXPECT_EQ(next(5400ms, left(&PendingWork::calls)), Step::EndBlockingWork);
    EXPECT_EQ(next(5420ms, left(&PendingWork::calls)), Step::Wait);
}

TEST_F(GracefulStopTest, Call_ByDeadline_MayOutlastTheProcess)
{
    EXPECT_FALSE(m_stop.mayOutlast(orderedAt + 1h)) << "no stop is ordered";
    m_stop.order(orderedAt);
    EXPECT_FALSE(m_stop.mayOutlast(orderedAt + 5200ms));
    EXPECT_TRUE(m_stop.mayOutlast(orderedAt + 5201ms));
}

TEST_F(GracefulStopTest, Order_Repeated_ChangesNothing)
{
    drain();
    m_stop.order(orderedAt + 4s);
    EXPECT_EQ(m_stop.orderedAt(), orderedAt);
    EXPECT_EQ(next(5600ms, left(&PendingWork::calls)), Step::EndLate);
}

TEST_F(GracefulStopTest, Notice_OfNoLength_DrainsAtOnce)
{
    GracefulStop::Settings settings;
    settings.maximum = 30s;
    GracefulStop stop(settings);
    stop.order(orderedAt);
    EXPECT_EQ(stop.next(orderedAt, {}), Step::Drain);
    EXPECT_TRUE(stop.mayTake(orderedAt, orderedAt + 10s));
    EXPECT_FALSE(stop.mayTake(orderedAt, orderedAt + 30s));
}
