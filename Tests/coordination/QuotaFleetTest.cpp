#include "QuotaBench/QuotaFleet.h"
#include "QuotaBench/QuotaScenarios.h"

#include <gtest/gtest.h>

using namespace Knapweedquay;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

Duration randomTime(QuotaFleet& fleet, Duration longest)
{
    return Duration(static_cast<std::int64_t>(fleet.random() * static_cast<double>(longest.count())));
}

/// Calls per second from which on the demand is not raised any more.
constexpr double maximumDemand = 800;
/// Bytes of all of control that a node may send and receive in a second.
constexpr double bytesGoal = 22000;

/// Troubles of all kinds at random times.
void addTroubles(QuotaFleet& fleet, std::size_t workspaces, Duration time)
{
    for (int i = 0; i < 30; ++i) {
        fleet.at(randomTime(fleet, time), [&fleet, workspaces] {
            const auto holder = fleet.holder(QuotaSlice(static_cast<std::uint32_t>(fleet.random() * quotaSlices)));
            const bool isHolder = holder && fleet.random() < 0.5;
            const auto node = isHolder ? *holder : static_cast<std::size_t>(fleet.random() * static_cast<double>(fleet.size()));
            const auto workspace = static_cast<std::size_t>(fleet.random() * static_cast<double>(workspaces));
            const double kind = fleet.random();
            if (kind < 0.2)
                fleet.freezeNode(node, randomTime(fleet, seconds(3)));
            else if (kind < 0.4)
                fleet.cutNode(node, randomTime(fleet, seconds(5)));
            else if (kind < 0.45)
                fleet.restartNode(node);
            else if (kind < 0.5)
                fleet.stopNode(node, randomTime(fleet, seconds(12)));
            else if (kind < 0.7)
                fleet.scaleDemand(workspace, fleet.demand() < maximumDemand && fleet.random() < 0.6 ? 6 : 0.3);
            else if (kind < 0.8)
                fleet.scaleQuota(workspace, fleet.random() < 0.5 ? 0.2 : 2);
            else if (kind < 0.9)
                fleet.moveDemand(fleet.random());
            else
                fleet.replaceLeader(milliseconds(400) + randomTime(fleet, milliseconds(800)));
        });
    }
}

} // namespace

class QuotaFleetTest : public testing::TestWithParam<std::uint64_t> { };

TEST_P(QuotaFleetTest, RandomTroubles_NoWindowPassesTheBound)
{
    QuotaFleet::Settings settings;
    settings.seed = GetParam();
    std::mt19937_64 random(GetParam());
    const auto choose = [&random](double low, double high) { return std::uniform_real_distribution<double>(low, high)(random); };
    settings.nodes = static_cast<std::size_t>(choose(1, 40));
    settings.workspaces = static_cast<std::size_t>(choose(1, 8));
    settings.callsPerSecond = choose(20, 400);
    settings.quotaFactor = choose(0.2, 2);
    settings.burstSeconds = choose(0, 3);
    settings.bound.overage = choose(0, 0.3);
    settings.bound.slack = choose(0, 1) < 0.3 ? 0 : choose(0, 40);
    settings.longestDelay = Duration(static_cast<std::int64_t>(choose(1000, 150000)));
    settings.lossShare = choose(0, 0.1);
    settings.stallShare = choose(0, 0.1);
    settings.notRunShare = choose(0, 0.5);
    QuotaFleet fleet(settings);
    addTroubles(fleet, settings.workspaces, seconds(20));
    fleet.run(seconds(24));
    const QuotaFleet::Result result = fleet.result();
    EXPECT_LE(result.worstWindow, 1);
}

INSTANTIATE_TEST_SUITE_P(Seeds, QuotaFleetTest, testing::Range<std::uint64_t>(1, 41));

TEST(QuotaHoldersTest, HoldersFollowEachOtherUnderTooMuchDemand_NoWindowPassesTheBound)
{
    QuotaFleet::Settings settings;
    settings.nodes = 10;
    settings.workspaces = 3;
    settings.callsPerSecond = 500;
    settings.quotaFactor = 0.2;
    settings.burstSeconds = 3;
    settings.bound.slack = 5;
    QuotaFleet fleet(settings);
    // Fills the buckets before each row of losses; restarted nodes hold the same slices, others lose them.
    for (int row = 0; row < 3; ++row) {
        fleet.at(seconds(40 * row), [&fleet] { fleet.stopCalls(seconds(15)); });
        for (int loss = 0; loss < 12; ++loss) {
            fleet.at(seconds(40 * row + 15) + loss * milliseconds(1700), [&fleet, loss] {
                if (const auto holder = fleet.holder(QuotaSlice(static_cast<std::uint32_t>(loss) % quotaSlices)))
                    fleet.stopNode(*holder, loss % 2 == 0 ? milliseconds(300) : seconds(9));
                fleet.replaceLeader(milliseconds(400));
            });
        }
    }
    fleet.run(seconds(120));
    EXPECT_LE(fleet.result().worstWindow, 1);
}

// Each data centre is cut off with its holders, while both sides ask for more than there is.
TEST(QuotaHoldersTest, DataCentresCutOffUnderTooMuchDemand_NoWindowPassesTheBound)
{
    QuotaFleet::Settings settings;
    settings.nodes = 12;
    settings.workspaces = 3;
    settings.callsPerSecond = 900;
    settings.quotaFactor = 0.2;
    settings.bound.slack = 5;
    QuotaFleet fleet(settings);
    constexpr std::size_t dataCentreSize = 4;
    for (std::size_t node = 0; node < settings.nodes; ++node)
        fleet.at(seconds(10) + seconds(25 * (node / dataCentreSize)), [&fleet, node] { fleet.cutNode(node, seconds(15)); });
    fleet.run(seconds(90));
    EXPECT_LE(fleet.result().worstWindow, 1);
}

class QuotaGoalTest : public testing::Test {
protected:
    static QuotaFleet::Result play(const char* name)
    {
        QuotaFleet::Settings settings;
        settings.nodes = 30;
        settings.callsPerSecond = 600;
        return playScenario(quotaScenario(name), settings);
    }

    static void expectInBound(const QuotaFleet::Result& result)
    {
        EXPECT_LE(result.worstWindow, 1);
        EXPECT_LT(result.bytesPerNodeSecond, bytesGoal);
    }
};

TEST_F(QuotaGoalTest, Steady_FewWronglyRefused)
{
    const QuotaFleet::Result result = play("steady");
    expectInBound(result);
    EXPECT_LT(result.wronglyRefusedShare(), wronglyRefusedGoalSteady);
}

TEST_F(QuotaGoalTest, OneWorkspaceFarAboveItsLimit_FewWronglyRefused)
{
    const QuotaFleet::Result result = play("one at 7.5 times its usual");
    expectInBound(result);
    EXPECT_LT(result.wronglyRefusedShare(), wronglyRefusedGoalInTrouble);
}

TEST_F(QuotaGoalTest, DemandMoves_FewWronglyRefused)
{
    const QuotaFleet::Result result = play("demand moves");
    expectInBound(result);
    EXPECT_LT(result.wronglyRefusedShare(), wronglyRefusedGoalInTrouble);
}

TEST_F(QuotaGoalTest, QuotaCutFarBelowDemand_FewWronglyRefused)
{
    const QuotaFleet::Result result = play("quota cut to a fifth");
    expectInBound(result);
    EXPECT_LT(result.wronglyRefusedShare(), wronglyRefusedGoalInTrouble);
}

TEST_F(QuotaGoalTest, AllRestarted_FewWronglyRefused)
{
    const QuotaFleet::Result result = play("all restarted");
    expectInBound(result);
    EXPECT_LT(result.wronglyRefusedShare(), wronglyRefusedGoalInTrouble);
}

TEST_F(QuotaGoalTest, NoOwnerForThreeSeconds_WithinTheBound)
{
    expectInBound(play("3 s without an owner"));
}

TEST_F(QuotaGoalTest, NoOwnerForThreeSeconds_FewWronglyRefused)
{
    EXPECT_LT(play("3 s without an owner").wronglyRefusedShare(), wronglyRefusedGoalInTrouble);
}

TEST_F(QuotaGoalTest, NoOwnerForTwoSecondsAgainAndAgain_WithinTheBound)
{
    expectInBound(play("no owner for 2 s again and again"));
}

TEST_F(QuotaGoalTest, NoOwnerForTwoSecondsAgainAndAgain_FewWronglyRefused)
{
    EXPECT_LT(play("no owner for 2 s again and again").wronglyRefusedShare(), wronglyRefusedGoalInTrouble);
}

TEST_F(QuotaGoalTest, HolderLost_FewWronglyRefused)
{
    const QuotaFleet::Result result = play("a holder lost");
    expectInBound(result);
    EXPECT_LT(result.wronglyRefusedShare(), wronglyRefusedGoalInTrouble);
}

TEST_F(QuotaGoalTest, HolderFrozen_FewWronglyRefused)
{
    const QuotaFleet::Result result = play("a holder frozen for 4 s");
    expectInBound(result);
    EXPECT_LT(result.wronglyRefusedShare(), wronglyRefusedGoalInTrouble);
}

TEST_F(QuotaGoalTest, ThirdOfTheNodesLosesMessages_FewWronglyRefused)
{
    const QuotaFleet::Result result = play("a third loses 3 % of its messages");
    expectInBound(result);
    EXPECT_LT(result.wronglyRefusedShare(), wronglyRefusedGoalInTrouble);
}

TEST_F(QuotaGoalTest, FifthOfTheNodesCutOff_WithinTheBound)
{
    expectInBound(play("a fifth cut off for 8 s"));
}

TEST_F(QuotaGoalTest, FifthOfTheNodesCutOff_FewWronglyRefused)
{
    EXPECT_LT(play("a fifth cut off for 8 s").wronglyRefusedShare(), wronglyRefusedGoalInTrouble);
}
