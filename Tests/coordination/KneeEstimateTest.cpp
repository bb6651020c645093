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

TEST_F(KneeEstimateTest, FullUse_MuchSlower_LimitIsBelowSlots)
{
    observe(1.0, 7);
    observe(1.7, 12);
    EXPECT_EQ(9u, m_estimate.limit(slots, m_now));
}

TEST_F(KneeEstimateTest, FullUse_SlightlySlower_LimitIsAllSlots)
{
    observe(1.0, 7);
    observe(1.15, 12);
    EXPECT_EQ(slots, m_estimate.limit(slots, m_now));
}

TEST_F(KneeEstimateTest, KneeDetected_TrialIntervalElapsed_AllSlotsAreTriedBriefly)
{
    observe(1.0, 7);
    observe(1.7, 12);
    EXPECT_EQ(slots, m_estimate.limit(slots, m_now + 20100ms));
    EXPECT_EQ(9u, m_estimate.limit(slots, m_now + 21s));
}

// A partially failing backend server rejects half of its calls while most of its slots are free.
TEST(ConcurrencyLimitShedTest, RejectionsWithFreeSlots_Observed_LimitIsUnchanged)
{
    ConcurrencyLimit limit(slots);
    for (int rejection = 0; rejection < 1000; ++rejection) {
        limit.observeShed(2);
        limit.observe(PriorityIndex(0), 10ms, 2, TimePoint());
    }
    EXPECT_EQ(slots, limit.value(TimePoint()));
}

// Downstream calls that wait at other backend servers increase the latency of this backend server without load on it.
TEST(ConcurrencyLimitShedTest, BackendReportsLoad_LatencyIncreases_LimitIsUnchanged)
{
    ConcurrencyLimit limit(slots);
    limit.setReportsLoad(true);
    for (int call = 0; call < 2000; ++call)
        limit.observe(PriorityIndex(0), call < 200 ? 10ms : 100ms, 6, TimePoint());
    EXPECT_EQ(slots, limit.value(TimePoint()));
}
