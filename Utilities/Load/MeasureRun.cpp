#include "Load/MeasureRun.h"

#include "Load/LoadGenerator.h"
#include "Load/MetricsText.h"

#include <fmt/format.h>

#include <algorithm>
#include <fstream>
#include <numeric>
#include <sstream>
#include <stdexcept>
#include <thread>
#include <unistd.h>

namespace Knapweedquay::Load {

namespace {

constexpr std::chrono::milliseconds startTimeout { 30000 };
/// Offered load of the warm-up as a share of the capacity.
constexpr double warmUpRateShare = 0.4;
constexpr const char* probesMetric = "knapweedquay_probes_sent_total";
constexpr const char* measuringBytesMetric = "knapweedquay_measurement_bytes_total";
constexpr const char* measuringSecondsMetric = "knapweedquay_measurement_cpu_seconds_total";

std::chrono::milliseconds toMillis(double seconds)
{
    constexpr double millisecondsPerSecond = 1000;
    return std::chrono::milliseconds(static_cast<std::int64_t>(seconds * millisecondsPerSecond));
}

/// User and system time of a process, fields 14 and 15 of /proc/PID/stat.
double processorSeconds(pid_t pid)
{
    constexpr int skippedFields = 11;
    std::ifstream file(fmt::format("/proc/{}/stat", pid));
    std::string text;
    std::getline(file, text);
    std::istringstream fields(text.substr(std::min(text.size(), text.rfind(')') + 2)));
    std::string skipped;
    for (int index = 0; index < skippedFields; ++index)
        fields >> skipped;
    double user = 0;
    double system = 0;
    fields >> user >> system;
    return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

/// Totals of all nodes and backend servers at one time; MeasureResult holds the differences over a run.
struct Counters {
    std::map<std::string, std::uint64_t> runs;
    std::optional<double> probes;
    /// As MeasureResult::measuringBytes.
    std::optional<double> measuringBytes;
    /// As MeasureResult::measuringSeconds.
    std::optional<double> measuringSeconds;
    double nodeSeconds = 0;
};

void addTo(std::optional<double>& sum, const std::optional<double>& value)
{
    if (value)
        sum = sum.value_or(0) + *value;
}

std::optional<double> difference(const std::optional<double>& later, const std::optional<double>& earlier)
{
    return later ? std::optional<double>(*later - earlier.value_or(0)) : std::nullopt;
}

Counters readCounters(Deployment& deployment)
{
    Counters counters;
    for (const std::string& name : deployment.nodeNames()) {
        if (deployment.hasBackend(name))
            counters.runs[name] = deployment.backendStats(name).value("executed", std::uint64_t { 0 });
        if (!deployment.node(name).isRunning())
            continue;
        const std::string metrics = deployment.nodeMetrics(name);
        addTo(counters.probes, sumMetric(metrics, probesMetric));
        addTo(counters.measuringBytes, sumMetric(metrics, measuringBytesMetric));
        addTo(counters.measuringSeconds, sumMetric(metrics, measuringSecondsMetric));
        counters.nodeSeconds += processorSeconds(deployment.node(name).pid());
    }
    return counters;
}

void startDeployment(Deployment& deployment, const MeasureSettings& settings, std::vector<NodePlan> plans)
{
    deployment.startControls(1);
    for (std::size_t index = 0; index < plans.size(); ++index) {
        plans[index].dataCentre = settings.dataCentres()[index % settings.dataCentres().size()];
        plans[index].slots = settings.slots;
        deployment.startNode(plans[index]);
    }
    if (!deployment.apply(settings.document, 0, startTimeout) || !deployment.waitUntilReady(startTimeout))
        throw std::runtime_error("the deployment in " + deployment.folder() + " did not become ready");
}

std::vector<NodePlan> makePlans(const MeasureSettings& settings, const std::string& serviceTime)
{
    std::vector<NodePlan> plans;
    for (std::size_t index = 0; index < settings.endpoints; ++index) {
        NodePlan plan;
        plan.name = settings.endpointName(index);
        plan.service = "dispatch";
        plan.serviceTimes = { serviceTime };
        plans.push_back(plan);
    }
    for (std::size_t index = 0; index < settings.entryNodes; ++index) {
        NodePlan plan;
        plan.name = "entry-" + std::to_string(index);
        plan.hasBackend = false;
        plans.push_back(plan);
    }
    return plans;
}

std::vector<CallClassResult> runLoad(LoadOptions options, const std::function<void()>& fault, std::chrono::milliseconds faultAt)
{
    asio::io_context context;
    LoadGenerator generator(context, std::move(options));
    // A separate thread injects the fault, because its requests would delay the sending of calls.
    std::thread faultThread([&] {
        if (!fault)
            return;
        std::this_thread::sleep_for(faultAt);
        fault();
    });
    generator.run();
    faultThread.join();
    generator.checkRecords();
    return generator.results();
}

LoadOptions makeOptions(const MeasureSettings& settings, Deployment& deployment, const MeasureCase& measureCase)
{
    LoadOptions options;
    // No calls are sent to the node that a case may kill: their connections would only be refused.
    for (const std::string& name : deployment.nodeNames()) {
        if (name != settings.affectedName())
            options.addresses.push_back(deployment.addresses(name).calls);
    }
    options.classes = measureCase.classes;
    options.duration = toMillis(settings.seconds);
    options.seed = settings.seed;
    options.recordFiles = deployment.recordFiles();
    return options;
}

void warmUp(const MeasureSettings& settings, LoadOptions options)
{
    options.runName = "warmup";
    options.duration = toMillis(settings.warmUpSeconds);
    for (CallClass& calls : options.classes)
        calls.rate = warmUpRateShare * settings.capacity() / static_cast<double>(options.classes.size());
    runLoad(options, nullptr, {});
}

} // namespace

std::uint64_t MeasureResult::sent() const
{
    std::uint64_t sum = 0;
    for (const CallClassResult& result : classes)
        sum += result.sent;
    return sum;
}

std::string MeasureResult::spread() const
{
    constexpr double percent = 100;
    std::vector<double> counts;
    for (const auto& entry : runs)
        counts.push_back(static_cast<double>(entry.second));
    const double sum = std::accumulate(counts.begin(), counts.end(), 0.0);
    if (!(sum > 0))
        return "-";
    const auto [least, most] = std::minmax_element(counts.begin(), counts.end());
    return fmt::format("{:.0f}-{:.0f}%", percent * *least / sum, percent * *most / sum);
}

nlohmann::json MeasureResult::toJson() const
{
    nlohmann::json rows = nlohmann::json::array();
    for (const CallClassResult& result : classes)
        rows.push_back(Load::toJson(result));
    nlohmann::json json = { { "case", caseName }, { "policy", policy }, { "priorities", rows }, { "node_cpu_seconds", nodeSeconds }, { "runs", runs } };
    if (probes)
        json["probes"] = *probes;
    if (measuringBytes)
        json["measuring_bytes"] = *measuringBytes;
    if (measuringSeconds)
        json["measuring_cpu_seconds"] = *measuringSeconds;
    return json;
}

MeasureResult measure(const MeasureSettings& settings, const MeasureCase& measureCase, const std::string& policy, const std::string& folder)
{
    Deployment deployment(settings.programs, folder);
    auto plans = makePlans(settings, fmt::format("/=lognormal:{}", settings.serviceMilliseconds));
    for (NodePlan& plan : plans) {
        plan.policy = policy;
        plan.arePeersForwarded = measureCase.arePeersForwarded;
    }
    startDeployment(deployment, settings, plans);
    const LoadOptions options = makeOptions(settings, deployment, measureCase);
    warmUp(settings, options);
    const Counters before = readCounters(deployment);
    const std::function<void()> fault = measureCase.fault ? std::function<void()>([&] { measureCase.fault(deployment); }) : nullptr;
    MeasureResult result;
    result.caseName = measureCase.name;
    result.policy = policy;
    result.classes = runLoad(options, fault, toMillis(settings.seconds * measureCase.faultAt));
    const Counters after = readCounters(deployment);
    result.probes = difference(after.probes, before.probes);
    result.measuringBytes = difference(after.measuringBytes, before.measuringBytes);
    result.measuringSeconds = difference(after.measuringSeconds, before.measuringSeconds);
    for (const auto& [name, count] : after.runs)
        result.runs[name] = count - before.runs.at(name);
    result.nodeSeconds = after.nodeSeconds - before.nodeSeconds;
    return result;
}

AddedLatency measureAddedLatency(const MeasureSettings& settings, const std::string& folder)
{
    constexpr std::size_t pairs = 2;
    constexpr double callsPerNode = 100;
    MeasureSettings sizes = settings;
    sizes.endpoints = pairs;
    sizes.entryNodes = pairs;
    Deployment deployment(settings.programs, folder);
    startDeployment(deployment, sizes, makePlans(sizes, "/=constant:1"));
    LoadOptions options;
    options.duration = toMillis(settings.seconds);
    options.seed = settings.seed;
    CallClass calls;
    calls.name = "status";
    calls.rate = callsPerNode * pairs;
    for (std::size_t index = 0; index < pairs; ++index)
        options.addresses.push_back(deployment.addresses(sizes.endpointName(index)).backend);
    calls.path = "/status";
    options.classes = { calls };
    options.isDirect = true;
    AddedLatency result;
    result.direct = runLoad(options, nullptr, {}).front();
    options.addresses.clear();
    for (std::size_t index = 0; index < pairs; ++index)
        options.addresses.push_back(deployment.addresses("entry-" + std::to_string(index)).calls);
    options.classes.front().path = "/call/dispatch/status";
    options.isDirect = false;
    warmUp(sizes, options);
    result.throughNodes = runLoad(options, nullptr, {}).front();
    return result;
}

} // namespace Knapweedquay::Load
