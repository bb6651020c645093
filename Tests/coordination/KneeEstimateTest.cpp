#include "coordination/admission/ConcurrencyLimit.h"
#include "coordination/admission/KneeEstimate.h"

#include <gtest/gtest.h>

using namespace Knapweedquay;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t slots = 12;

class KneeEstimateTest : public ::testing::Test {
protected:
    void observe(double relativeTime, std::uint32_t running)
    {
        for (int sample = 0; sample < 50; ++sample)
            m_estimate.observe(relativeTime, running, slots, m_now);
    }

    TimePoint m_now { 10s };
    KneeEstimate m_estimate;
};

} // namespace

TEST_F(KneeEstimateTest, FullUse_MuchSlower_LeavesTheLastSlots)
{
    observe(1.0, 7);
    observe(1.7, 12);
    EXPECT_EQ(9u, m_estimate.limit(slots, m_now));
}

TEST_F(KneeEstimateTest, FullUse_HardlySlower_UsesAll)
{
    observe(1.0, 7);
    observe(1.15, 12);
    EXPECT_EQ(slots, m_estimate.limit(slots, m_now));
}

TEST_F(KneeEstimateTest, KneeKnownForLong_Asked_TriesTheLastSlotsAgain)
{
    observe(1.0, 7);
    observe(1.7, 12);
    EXPECT_EQ(slots, m_estimate.limit(slots, m_now + 20100ms));
    EXPECT_EQ(9u, m_estimate.limit(slots, m_now + 21s));
}

// Grey backend servers refuse half of their calls with most of their slots free.
TEST(ConcurrencyLimitShedTest, RefusalsWithFreeSlots_Observed_KeepTheLimit)
{
    ConcurrencyLimit limit(slots);
    for (int refusal = 0; refusal < 1000; ++refusal) {
        limit.observeShed(2);
        limit.observe(PriorityIndex(0), 10ms, 2, TimePoint());
    }
    EXPECT_EQ(slots, limit.value(TimePoint()));
}

// Inner calls that wait elsewhere make the calls of this backend server slow too.
TEST(ConcurrencyLimitShedTest, LoadIsTold_CallsSlower_KeepTheLimit)
{
    ConcurrencyLimit limit(slots);
    limit.setTellsLoad(true);
    for (int call = 0; call < 2000; ++call)
        limit.observe(PriorityIndex(0), call < 200 ? 10ms : 100ms, 6, TimePoint());
    EXPECT_EQ(slots, limit.value(TimePoint()));
}
