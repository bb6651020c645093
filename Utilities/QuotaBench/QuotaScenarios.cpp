#include "QuotaBench/QuotaScenarios.h"

#include <algorithm>
#include <chrono>

namespace Knapweedquay {

namespace {

using std::chrono::seconds;

constexpr Duration settleTime = seconds(5);
constexpr Duration measuredTime = seconds(30);
constexpr Duration ownerGap = seconds(3);
constexpr Duration restartTime = seconds(1);
constexpr Duration cutTime = seconds(8);
constexpr Duration freezeTime = seconds(4);
constexpr Duration shortPause = seconds(2);
constexpr Duration pauseInterval = seconds(4);
constexpr int pauses = 3;
constexpr double lossShare = 0.03;
/// Times of the trouble after the start of the fleet.
constexpr Duration troubleTime = seconds(10);
constexpr std::size_t hotWorkspace = 3;
constexpr double hotFactor = 7.5;
constexpr double cutQuota = 0.2;
constexpr double movedShare = 0.8;

} // namespace

const std::vector<QuotaScenario>& quotaScenarios()
{
    static const std::vector<QuotaScenario> scenarios = {
        { "steady", true, [](QuotaFleet&) {} },
        { "one at 7.5 times its usual", false, [](QuotaFleet& fleet) { fleet.scaleDemand(hotWorkspace, hotFactor); } },
        { "demand moves", false, [](QuotaFleet& fleet) { fleet.moveDemand(movedShare); } },
        { "quota cut to a fifth", false, [](QuotaFleet& fleet) { fleet.scaleQuota(hotWorkspace, cutQuota); } },
        { "3 s without an owner", false, [](QuotaFleet& fleet) { fleet.replaceLeader(ownerGap); } },
        { "a fifth cut off for 8 s", false, [](QuotaFleet& fleet) {
             for (std::size_t node = 0; node < fleet.size() / 5; ++node)
                 fleet.cutNode(node, cutTime);
         } },
        { "no owner for 2 s again and again", false, [](QuotaFleet& fleet) {
             for (int pause = 0; pause < pauses; ++pause)
                 fleet.at(troubleTime + pause * pauseInterval, [&fleet] { fleet.replaceLeader(shortPause); });
         } },
        { "a holder lost", false, [](QuotaFleet& fleet) {
             if (const auto holder = fleet.holder(QuotaSlice(0)))
                 fleet.stopNode(*holder, measuredTime);
         } },
        { "a holder frozen for 4 s", false, [](QuotaFleet& fleet) {
             if (const auto holder = fleet.holder(QuotaSlice(0)))
                 fleet.freezeNode(*holder, freezeTime);
         } },
        { "a third loses 3 % of its messages", false, [](QuotaFleet& fleet) {
             for (std::size_t node = 0; node < fleet.size() / 3; ++node)
                 fleet.setLoss(node, lossShare);
         } },
        { "all restarted", false, [](QuotaFleet& fleet) {
             // Nodes take no calls before the store proves the configuration, which takes a leader.
             fleet.stopCalls(restartTime);
             fleet.replaceLeader(restartTime);
             for (std::size_t node = 0; node < fleet.size(); ++node)
                 fleet.restartNode(node);
         } },
    };
    return scenarios;
}

const QuotaScenario& quotaScenario(const std::string& name)
{
    const std::vector<QuotaScenario>& all = quotaScenarios();
    return *std::find_if(all.begin(), all.end(), [&name](const QuotaScenario& scenario) { return scenario.name == name; });
}

QuotaFleet::Result playScenario(const QuotaScenario& scenario, const QuotaFleet::Settings& settings)
{
    QuotaFleet fleet(settings);
    fleet.run(settleTime);
    fleet.startMeasurement();
    fleet.at(troubleTime, [&] { scenario.trouble(fleet); });
    fleet.run(measuredTime);
    return fleet.result();
}

} // namespace Knapweedquay
