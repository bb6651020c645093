#include "control/RestartSimulation.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>

using namespace Knapweedquay;
using namespace std::chrono_literals;

namespace {

/// The value that this share of the nodes does not exceed, in milliseconds; a node that never got there counts as the limit.
double quantile(const std::vector<RestartSimulation::Times>& times, Duration RestartSimulation::Times::*step, double share, Duration limit)
{
    std::vector<Duration> values;
    values.reserve(times.size());
    for (const RestartSimulation::Times& node : times)
        values.push_back(node.*step < Duration(0) ? limit : node.*step);
    std::sort(values.begin(), values.end());
    return toMilliseconds(values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))]);
}

class RestartTest : public ::testing::TestWithParam<std::size_t> { };

} // namespace

// Half of the usual share is to be answered in target within a second of the processes' start, so that the configuration has to
// be there after half of that.
TEST_P(RestartTest, AllMachinesStart_AfterAPowerCut_HaveProofWithinHalfASecond)
{
    constexpr Duration limit = 5s;
    std::vector<RestartSimulation::Times> all;
    std::vector<Duration> elections;
    std::size_t mostAttempts = 0;
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        RestartSimulation simulation(GetParam(), seed);
        simulation.restart(190ms, limit);
        all.insert(all.end(), simulation.times().begin(), simulation.times().end());
        elections.push_back(simulation.electedAfter());
        mostAttempts = std::max(mostAttempts, simulation.mostAttempts());
    }
    std::sort(elections.begin(), elections.end());
    using Times = RestartSimulation::Times;
    std::printf("| %zu | %.0f | %.0f | %.0f | %.0f | %.0f | %.0f | %.0f | %.0f | %zu |\n", GetParam(), quantile(all, &Times::linked, 0.5, limit), quantile(all, &Times::linked, 0.99, limit),
        quantile(all, &Times::inForce, 0.5, limit), quantile(all, &Times::inForce, 0.99, limit), quantile(all, &Times::fresh, 0.5, limit), quantile(all, &Times::fresh, 0.99, limit), toMilliseconds(elections[elections.size() / 2]), toMilliseconds(elections.back()), mostAttempts);
    EXPECT_LE(quantile(all, &Times::fresh, 0.5, limit), 500);
    EXPECT_LE(quantile(all, &Times::fresh, 0.99, limit), 1000);
    // Not more than three for each node at once, in the first tenth of a second after all have started.
    EXPECT_LE(mostAttempts, 3 * GetParam());
}

INSTANTIATE_TEST_SUITE_P(Nodes, RestartTest, ::testing::Values(70, 300));
