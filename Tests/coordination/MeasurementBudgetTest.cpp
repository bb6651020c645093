#include "coordination/placing/MeasurementBudget.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include <algorithm>
#include <numeric>

using namespace Knapweedquay;

namespace {

constexpr Duration second { 1000000 };

TEST(MeasurementBudgetTest, ProbingDisabled_CallsSent_NoProbeIsAllowed)
{
    MeasurementBudget budget({ 0, 2000 });
    for (int call = 0; call < 1000; ++call)
        budget.callSent();
    EXPECT_FALSE(budget.tryProbe(100, TimePoint(second)));
    EXPECT_EQ(1u, budget.spend().refusedProbes);
}

TEST(MeasurementBudgetTest, SteadyCalls_ProbeRequestedAfterEach_FullBudgetIsUsable)
{
    MeasurementBudget budget({ 0.05, 1e6 });
    for (int call = 0; call < 1000; ++call) {
        budget.callSent();
        budget.tryProbe(100, TimePoint(call * second));
    }
    EXPECT_EQ(50u, budget.spend().probes);
    EXPECT_EQ(5000u, budget.spend().bytes);
}

TEST(MeasurementBudgetTest, ByteLimitReached_SecondElapsed_FullByteLimitIsUsableAgain)
{
    MeasurementBudget budget({ 100, 200 });
    budget.callSent();
    EXPECT_TRUE(budget.tryProbe(200, TimePoint(second)));
    EXPECT_FALSE(budget.tryProbe(200, TimePoint(2 * second - Duration(1))));
    EXPECT_TRUE(budget.tryProbe(200, TimePoint(2 * second)));
}

RC_GTEST_PROP(MeasurementBudgetProperty, RandomSchedule_AnyWindow_StaysWithinLimits, ())
{
    struct Event {
        TimePoint at;
        std::uint64_t calls = 0;
        std::uint64_t probes = 0;
        std::uint64_t bytes = 0;
    };
    const MeasurementLimits limits { *rc::gen::inRange(0, 300) / 100.0, *rc::gen::inRange(0, 3000) / 1.0 };
    MeasurementBudget budget(limits);
    TimePoint now { second };
    std::vector<Event> events;
    const int count = *rc::gen::inRange(1, 120);
    for (int event = 0; event < count; ++event) {
        now += Duration(*rc::gen::element(0, 1, 1000, 100000, 700000));
        const auto calls = *rc::gen::element<std::uint64_t>(0, 1, 1, 30);
        for (std::uint64_t call = 0; call < calls; ++call)
            budget.callSent();
        const auto bytes = *rc::gen::inRange<std::size_t>(0, 600);
        const bool earned = budget.hasEarnedProbe();
        const bool allowed = budget.tryProbe(bytes, now);
        RC_ASSERT(earned || !allowed);
        events.push_back({ now, calls, allowed, allowed ? bytes : 0 });
    }
    for (std::size_t first = 0; first < events.size(); ++first) {
        Event sum;
        for (std::size_t last = first; last < events.size(); ++last) {
            sum.probes += events[last].probes;
            sum.calls += events[last].calls;
            const double earned = limits.probesPerCall * static_cast<double>(sum.calls);
            const double start = first == 0 ? 0 : std::max(1.0, limits.probesPerCall);
            RC_ASSERT(static_cast<double>(sum.probes) <= earned + start + 1e-9);
            if (events[last].at - events[first].at < second)
                sum.bytes += events[last].bytes;
        }
        RC_ASSERT(static_cast<double>(sum.bytes) <= limits.bytesPerSecond);
    }
    const auto probes = std::accumulate(events.begin(), events.end(), std::uint64_t(0), [](auto total, const auto& event) { return total + event.probes; });
    RC_ASSERT(budget.spend().probes == probes);
    RC_ASSERT(budget.spend().refusedProbes == events.size() - probes);
}

} // namespace
