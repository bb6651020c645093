#include "coordination/admission/ConcurrencyLimit.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

using namespace Knapweedquay;

namespace {

constexpr std::uint32_t slots = 12;
constexpr Duration quick { 5000 };

class ConcurrencyLimitTest : public testing::Test {
protected:
    void observe(int count, Duration latency, std::uint32_t running, std::uint32_t priority = 0)
    {
        for (int call = 0; call < count; ++call)
            m_limit.observe(PriorityIndex(priority), latency, running, TimePoint());
    }

    /// A backend server whose calls slow down beyond the given number at once.
    void runContended(int count, std::uint32_t capacity)
    {
        for (int call = 0; call < count; ++call) {
            const auto running = m_limit.value(TimePoint());
            observe(1, running <= capacity ? quick : quick * running * running / (capacity * capacity), running);
        }
    }

    ConcurrencyLimit m_limit { slots };
};

TEST_F(ConcurrencyLimitTest, SteadyLatency_FullLoad_StaysAtSlots)
{
    observe(2000, quick, slots);
    EXPECT_EQ(slots, m_limit.value(TimePoint()));
}

TEST_F(ConcurrencyLimitTest, Contention_Appears_LimitGoesDownAndComesBack)
{
    observe(200, quick, 2);
    runContended(500, 4);
    EXPECT_LE(m_limit.value(TimePoint()), 7u);
    EXPECT_GE(m_limit.value(TimePoint()), 3u);
    runContended(1000, slots);
    EXPECT_EQ(slots, m_limit.value(TimePoint()));
}

TEST_F(ConcurrencyLimitTest, SlowerForGood_WithoutContention_LimitRecovers)
{
    observe(200, quick, 2);
    for (int call = 0; call < 3000; ++call)
        observe(1, 10 * quick, m_limit.value(TimePoint()));
    EXPECT_EQ(slots, m_limit.value(TimePoint()));
}

TEST_F(ConcurrencyLimitTest, MixShifts_ToNaturallySlowCalls_LimitStays)
{
    for (int call = 0; call < 2000; ++call)
        observe(1, call % 10 ? quick : 20 * quick, slots, call % 10 ? 0 : 1);
    observe(2000, 20 * quick, slots, 1);
    EXPECT_EQ(slots, m_limit.value(TimePoint()));
}

TEST_F(ConcurrencyLimitTest, FirstCall_OddlyQuick_DoesNotSetBaseline)
{
    observe(1, quick / 50, slots);
    observe(2000, quick, slots);
    EXPECT_EQ(slots, m_limit.value(TimePoint()));
}

TEST_F(ConcurrencyLimitTest, ShedCalls_Together_LowerLimitOnce)
{
    for (int call = 0; call < 10; ++call)
        m_limit.observeShed(slots);
    EXPECT_LT(m_limit.value(TimePoint()), slots);
    EXPECT_GE(m_limit.value(TimePoint()), slots / 2);
    observe(2000, quick, slots);
    EXPECT_EQ(slots, m_limit.value(TimePoint()));
}

RC_GTEST_PROP(ConcurrencyLimitProperty, AnyObservations_Value_StaysBetweenOneAndSlots, ())
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
