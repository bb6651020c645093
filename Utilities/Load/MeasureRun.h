#pragma once

#include "Load/CallClassResult.h"
#include "Load/MeasureCase.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Knapweedquay::Load {

/// What one case gave under one policy.
struct MeasureResult {
    std::string caseName;
    std::string policy;
    std::vector<CallClassResult> classes;
    /// Sums over all nodes while calls were sent; nothing when the nodes export no such metric.
    std::optional<double> probes;
    std::optional<double> measuringBytes;
    std::optional<double> measuringSeconds;
    /// Calls that each endpoint's backend server ran, by the name of its node.
    std::map<std::string, std::uint64_t> runs;
    /// Processor time of all nodes.
    double nodeSeconds = 0;

    std::uint64_t sent() const;
    /// Smallest and largest share of the runs that one endpoint had, such as "18-22%".
    std::string spread() const;
    nlohmann::json toJson() const;
};

/// Starts a deployment in a folder, lets one case happen to it, and gives what callers saw.
///
/// Throws std::runtime_error when the deployment does not come up.
MeasureResult measure(const MeasureSettings&, const MeasureCase&, const std::string& policy, const std::string& folder);

/// Latency of the same calls sent straight to the backend servers and through two nodes.
struct AddedLatency {
    CallClassResult direct;
    CallClassResult throughNodes;
};
AddedLatency measureAddedLatency(const MeasureSettings&, const std::string& folder);

} // namespace Knapweedquay::Load
