#include "QuarantineFleet.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <iostream>
#include <ostream>
#include <string>
#include <tuple>

using namespace Knapweedquay;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// What happens in a run beside the harmless calls.
struct Trouble {
    std::string name;
    /// Poison requests that are sent alternately, one every 600 ms; 0 for none.
    int poisons = 0;
    /// A third of the servers end at the same moment.
    bool rackFails = false;
    /// One server after the other ends, 300 ms apart.
    bool rollsHard = false;
    /// Some nodes are suspended, restarted, cut off for 2 s, or lose power with their servers.
    bool hitsNodes = false;
};

std::ostream& operator<<(std::ostream& stream, const Trouble& trouble)
{
    return stream << trouble.name;
}

/// Runs allowed later than 3 s after the third crash.
constexpr std::size_t allowedLater = 3;
/// Share of the harmless calls that may be refused, and how long the popular request may be.
constexpr double allowedRefused = 0.005;
constexpr Duration allowedPopularHeld = seconds(1);

/// Steps of 300 ms in a run.
constexpr int ticks = 36;

class QuarantineFleetTest : public ::testing::TestWithParam<std::tuple<std::size_t, Trouble>> {
protected:
    void play(QuarantineFleet& fleet, const Trouble& trouble)
    {
        fleet.run(seconds(3));
        const std::size_t hit = std::max<std::size_t>(1, fleet.size() / 20);
        for (int tick = 0; tick < ticks; ++tick) {
            if (trouble.poisons > 0 && tick % 2 == 0)
                fleet.sendPoison(tick / 2 % trouble.poisons);
            if (trouble.rackFails && tick == 4) {
                for (std::size_t node = 0; node < fleet.size(); node += 3)
                    fleet.crashServer(node);
            }
            if (trouble.rollsHard)
                fleet.crashServer(static_cast<std::size_t>(tick) % fleet.size());
            if (trouble.hitsNodes)
                hitNodes(fleet, tick, hit);
            fleet.run(milliseconds(300));
        }
    }

    static void hitNodes(QuarantineFleet& fleet, int tick, std::size_t count)
    {
        MembershipFleet& members = fleet.members();
        const auto isCut = [count](std::size_t node) { return node >= 3 * count && node < 4 * count; };
        for (std::size_t node = 0; node < count; ++node) {
            if (tick == 1)
                members.freeze(node);
            if (tick == 9)
                members.wake(node);
            if (tick == 2)
                fleet.losePower(count + node);
            if (tick == 6)
                fleet.restartNode(2 * count + node);
        }
        if (tick == 1)
            members.setReachability([isCut](std::size_t a, std::size_t b) { return isCut(a) == isCut(b); });
        if (tick == 8)
            members.setReachability({});
    }
};

TEST_P(QuarantineFleetTest, Fleet_InTrouble_HoldsPoisonAndServesTheRest)
{
    const auto& [nodes, trouble] = GetParam();
    // One run of hundreds of members takes many seconds.
    const std::uint64_t seeds = nodes < 100 ? 5 : 1;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        QuarantineFleet fleet(nodes, seed);
        play(fleet, trouble);
        const QuarantineFleet::HarmlessResult& harmless = fleet.harmless();
        std::string crashes;
        for (int poison = 0; poison < trouble.poisons; ++poison) {
            const QuarantineFleet::PoisonResult result = fleet.poison(poison);
            EXPECT_GE(result.crashes, 1U);
            EXPECT_LE(result.laterRuns, allowedLater) << "poison " << poison << ", " << result.crashes << " crashes, seed " << seed;
            crashes += " " + std::to_string(result.crashes);
        }
        EXPECT_LE(static_cast<double>(harmless.refused), allowedRefused * static_cast<double>(harmless.sent)) << "of " << harmless.sent << ", seed " << seed;
        EXPECT_LE(harmless.popularHeld, allowedPopularHeld) << harmless.popularRefused << " refused, seed " << seed;
        std::cout << nodes << " nodes, " << trouble.name << ", seed " << seed << ": crashes by poison" << crashes << "; harmless refused " << harmless.refused << " of " << harmless.sent << ", popular "
                  << harmless.popularRefused << " in " << harmless.popularHeld.count() / 1000 << " ms\n";
    }
}

const Trouble allTroubles[] = {
    { "poison", 1 },
    { "three_poisons", 3 },
    { "poison_and_rack", 1, true },
    { "poison_and_nodes", 1, false, false, true },
    { "rack", 0, true },
    { "rolling", 0, false, true },
    { "nodes", 0, false, false, true },
};
const Trouble worstTroubles[] = {
    { "three_poisons_and_nodes", 3, false, false, true },
    { "poison_and_rack", 1, true },
};

std::string nameOf(const ::testing::TestParamInfo<QuarantineFleetTest::ParamType>& info)
{
    return std::get<1>(info.param).name + "_" + std::to_string(std::get<0>(info.param));
}

INSTANTIATE_TEST_SUITE_P(Small, QuarantineFleetTest, ::testing::Combine(::testing::Values<std::size_t>(14), ::testing::ValuesIn(allTroubles)), nameOf);
INSTANTIATE_TEST_SUITE_P(Large, QuarantineFleetTest, ::testing::Combine(::testing::Values<std::size_t>(300), ::testing::ValuesIn(worstTroubles)), nameOf);
INSTANTIATE_TEST_SUITE_P(Largest, QuarantineFleetTest, ::testing::Combine(::testing::Values<std::size_t>(720), ::testing::Values(worstTroubles[1])), nameOf);

} // namespace
