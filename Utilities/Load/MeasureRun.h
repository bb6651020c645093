#pragma once

#include "Load/CallClassResult.h"
#include "Load/MeasureCase.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Knapweedquay::Load {

/// Results of one case under one policy.
struct MeasureResult {
    std::string caseName;
    std::string policy;
    std::vector<CallClassResult> classes;
    /// Probes sent by all nodes during the run. This and the next two are empty when no node exports the metric.
    std::optional<double> probes;
    /// Bytes of measurement traffic of all nodes during the run.
    std::optional<double> measuringBytes;
    /// Processor seconds that all nodes spent on measurement during the run.
    std::optional<double> measuringSeconds;
    /// Calls run by each backend server, by the name of its node.
    std::map<std::string, std::uint64_t> runs;
    /// Processor seconds of all nodes during the run.
    double nodeSeconds = 0;

    /// Calls sent, over all classes.
    std::uint64_t sent() const;
    /// Smallest and largest share of the calls that one endpoint ran, such as "18-22%".
    std::string spread() const;
    nlohmann::json toJson() const;
};

/// Starts a deployment in a folder, runs one case in it, and returns what the callers observed.
///
/// Throws std::runtime_error when the deployment does not become ready.
MeasureResult measure(const MeasureSettings&, const MeasureCase&, const std::string& policy, const std::string& folder);

/// Results of the same calls when sent directly to the backend servers and through two nodes.
struct AddedLatency {
    /// Calls sent to the backend servers.
    CallClassResult direct;
    /// Calls sent to nodes without a backend server, which forward them to the endpoints' nodes.
    CallClassResult throughNodes;
};
/// Starts a deployment in a folder and measures the latency that the nodes add; throws as measure() does.
AddedLatency measureAddedLatency(const MeasureSettings&, const std::string& folder);

} // namespace Knapweedquay::Load
