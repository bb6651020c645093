#include "coordination/admission/ConcurrencyLimit.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

using namespace Knapweedquay;

namespace {

constexpr std::uint32_t slots = 12;
constexpr Duration normalLatency { 5000 };

class ConcurrencyLimitTest : public testing::Test {
protected:
    void observe(int count, Duration latency, std::uint32_t running, std::uint32_t priority = 0)
    {
        for (int call = 0; call < count; ++call)
            m_limit.observe(PriorityIndex(priority), latency, running, TimePoint());
    }

    /// Simulates a backend server whose latency increases when more calls run concurrently than its capacity.
    void runContended(int count, std::uint32_t capacity)
    {
        for (int call = 0; call < count; ++call) {
            const auto running = m_limit.value(TimePoint());
            observe(1, running <= capacity ? normalLatency : normalLatency * running * running / (capacity * capacity), running);
        }
    }

    ConcurrencyLimit m_limit { slots };
};

TEST_F(ConcurrencyLimitTest, SteadyLatency_FullLoad_StaysAtSlots)
{
    observe(2000, normalLatency, slots);
    EXPECT_EQ(slots, m_limit.value(TimePoint()));
}

TEST_F(ConcurrencyLimitTest, Contention_AppearsAndEnds_LimitDecreasesAndRecovers)
{
    observe(200, normalLatency, 2);
    runContended(500, 4);
    EXPECT_LE(m_limit.value(TimePoint()), 7u);
    EXPECT_GE(m_limit.value(TimePoint()), 3u);
    runContended(1000, slots);
    EXPECT_EQ(slots, m_limit.value(TimePoint()));
}

TEST_F(ConcurrencyLimitTest, PermanentlyHigherLatency_NoContention_LimitRecovers)
{
    observe(200, normalLatency, 2);
    for (int call = 0; call < 3000; ++call)
        observe(1, 10 * normalLatency, m_limit.value(TimePoint()));
    EXPECT_EQ(slots, m_limit.value(TimePoint()));
}

TEST_F(ConcurrencyLimitTest, CallMix_ShiftsToSlowPriority_LimitStaysAtSlots)
{
    for (int call = 0; call < 2000; ++call)
        observe(1, call % 10 ? normalLatency : 20 * normalLatency, slots, call % 10 ? 0 : 1);
    observe(2000, 20 * normalLatency, slots, 1);
    EXPECT_EQ(slots, m_limit.value(TimePoint()));
}

TEST_F(ConcurrencyLimitTest, FirstCall_UnusuallyFast_DoesNotDetermineBaseline)
{
    observe(1, normalLatency / 50, slots);
    observe(2000, normalLatency, slots);
    EXPECT_EQ(slots, m_limit.value(TimePoint()));
}

TEST_F(ConcurrencyLimitTest, ShedCalls_InOneWindow_LowerLimitOnce)
{
    for (int call = 0; call < 10; ++call)
        m_limit.observeShed(slots);
    EXPECT_LT(m_limit.value(TimePoint()), slots);
    EXPECT_GE(m_limit.value(TimePoint()), slots / 2);
    observe(2000, normalLatency, slots);
    EXPECT_EQ(slots, m_limit.value(TimePoint()));
}

RC_GTEST_PROP(ConcurrencyLimitProperty, RandomObservations_AnyOrder_LimitIsBetweenOneAndSlots, ())
{
    ConcurrencyLimit limit(*rc::gen::inRange<std::uint32_t>(0, 20));
    for (const auto latency : *rc::gen::container<std::vector<int>>(300, rc::gen::inRange(0, 1000000))) {
        if (latency % 10 == 0)
            limit.observeShed(limit.slots());
        if (latency % 97 == 0)
            limit.setSlots(static_cast<std::uint32_t>(latency % 20));
        limit.observe(PriorityIndex(static_cast<std::uint32_t>(latency % 3)), Duration(latency), limit.value(TimePoint()), TimePoint());
        RC_ASSERT(limit.value(TimePoint()) >= 1u);
        RC_ASSERT(limit.value(TimePoint()) <= limit.slots());
    }
}

} // namespace
