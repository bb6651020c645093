#include "QuotaBench/QuotaScenarios.h"

#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

using namespace Knapweedquay;

// Prints a table of the quotas' bound, of wrongly refused calls and of bytes. Arguments: calls per second and node, then the
// sizes of the fleets.
int main(int argc, char** argv)
{
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    const double callsPerNode = arguments.empty() ? 20 : std::stod(arguments[0]);
    std::vector<std::size_t> sizes = { 14, 68, 300, 720 };
    if (arguments.size() > 1) {
        sizes.clear();
        for (std::size_t i = 1; i < arguments.size(); ++i)
            sizes.push_back(std::stoul(arguments[i]));
    }
    std::printf("| Nodes | Workspaces | Scenario | Worst window / bound | Wrongly refused | Bytes a node a second | Requests a holder a second |\n|---|---|---|---|---|---|---|\n");
    for (const std::size_t nodes : sizes) {
        for (const std::size_t workspaces : { 76, 1000 }) {
            for (const QuotaScenario& scenario : quotaScenarios()) {
                QuotaFleet::Settings settings;
                settings.nodes = nodes;
                settings.workspaces = workspaces;
                settings.callsPerSecond = callsPerNode * static_cast<double>(nodes);
                const QuotaFleet::Result result = playScenario(scenario, settings);
                std::printf("| %zu | %zu | %s | %.3f | %.5f | %.0f | %.0f |\n", nodes, workspaces, scenario.name.c_str(), result.worstWindow, result.wronglyRefusedShare(), result.bytesPerNodeSecond, result.requestsPerHolderSecond);
                std::fflush(stdout);
            }
        }
    }
    return EXIT_SUCCESS;
}
