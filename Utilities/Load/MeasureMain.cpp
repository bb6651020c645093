#include "Load/MeasureRun.h"

#include <boost/program_options.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

namespace {

namespace po = boost::program_options;
using namespace Knapweedquay::Load;

/// Values of the command-line options.
struct Arguments {
    MeasureSettings settings;
    std::string documentFile;
    std::vector<std::string> policies { "predicted", "random", "round_robin", "least_reported_load" };
    /// Names of the cases to run; empty for all.
    std::vector<std::string> cases;
    /// File for the results as JSON; empty for none.
    std::string output;
    bool onlyAddedLatency = false;
};

po::options_description describeOptions(Arguments& arguments)
{
    MeasureSettings& settings = arguments.settings;
    po::options_description description("knapweedquay-measure: compares the policies of endpoint choice in each case");
    description.add_options()("help", "print this text");
    description.add_options()("document", po::value(&arguments.documentFile)->required(), "document of the service dispatch");
    description.add_options()("seconds", po::value(&settings.seconds), "seconds of each run");
    description.add_options()("warm-up", po::value(&settings.warmUpSeconds), "seconds before each run during which calls are sent but not counted");
    description.add_options()("endpoints", po::value(&settings.endpoints), "nodes with a backend server");
    description.add_options()("entry-nodes", po::value(&settings.entryNodes), "nodes without a backend server");
    description.add_options()("slots", po::value(&settings.slots), "slots of each backend server");
    description.add_options()("service-ms", po::value(&settings.serviceMilliseconds), "mean service time in milliseconds");
    description.add_options()("seed", po::value(&settings.seed), "seed of the arrival times");
    description.add_options()("policy", po::value(&arguments.policies)->multitoken(), "policies to compare");
    description.add_options()("case", po::value(&arguments.cases)->multitoken(), "cases to run; default: all");
    description.add_options()("json", po::value(&arguments.output), "file for the results as JSON");
    description.add_options()("added-latency", po::bool_switch(&arguments.onlyAddedLatency), "only measure the latency that two nodes add");
    return description;
}

/// A temporary folder for one run, removed by the destructor.
class RunFolder {
public:
    RunFolder()
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "knapweedquay-measure-XXXXXX").string();
        if (!mkdtemp(pattern.data()))
            throw std::runtime_error("cannot create a temporary folder");
        m_path = pattern;
    }
    ~RunFolder()
    {
        std::error_code ignored;
        std::filesystem::remove_all(m_path, ignored);
    }
    RunFolder(const RunFolder&) = delete;
    RunFolder& operator=(const RunFolder&) = delete;

    const std::string& path() const { return m_path; }

private:
    std::string m_path;
};

constexpr const char* rowFormat = "{:<15} {:<20} {:<10} {:>7} {:>8} {:>8} {:>8} {:>7} {:>7} {:>7} {:>7} {:>6} {:>6} {:>6} {:>7} {:>7} {:>8} {:>8} {:>8}\n";

void printHeading()
{
    std::cout << fmt::format(rowFormat, "case", "policy", "priority", "sent", "p50 ms", "p99 ms", "p99.9 ms", "in time", "kept", "not run", "unknown", "double", "false", "wrong", "prb/cl", "B/s", "meas us", "cpu us/c", "spread");
}

std::string optionalNumber(const std::optional<double>& value, double divisor, int digits)
{
    return value ? fmt::format("{:.{}f}", *value / divisor, digits) : "-";
}

void print(const MeasureResult& result, double seconds)
{
    constexpr double microseconds = 1e6;
    constexpr double percent = 100;
    const auto sent = static_cast<double>(result.sent());
    for (const CallClassResult& row : result.classes) {
        const double answeredShare = row.sent == 0 ? 1 : static_cast<double>(row.answered) / static_cast<double>(row.sent);
        const auto quantile = [&row](double share) { return fmt::format("{:.1f}", row.latency.quantile(share)); };
        std::cout << fmt::format(rowFormat, result.caseName, result.policy, row.calls.name, row.sent, quantile(0.5), quantile(0.99), quantile(0.999),
            fmt::format("{:.1f}%", percent * row.withinTargetShare()), fmt::format("{:.1f}%", percent * answeredShare), row.notRun, row.unknown + row.errors + row.failed,
            row.doubleRuns, row.falseNotRun, row.wrong, optionalNumber(result.probes, sent, 3), optionalNumber(result.measuringBytes, seconds, 0), optionalNumber(result.measuringSeconds, sent / microseconds, 1),
            fmt::format("{:.0f}", result.nodeSeconds * microseconds / sent), result.spread());
    }
    std::cout << std::flush;
}

void printAddedLatency(const MeasureSettings& settings)
{
    const RunFolder folder;
    const AddedLatency latency = measureAddedLatency(settings, folder.path());
    std::cout << fmt::format("{:<10} {:>12} {:>16} {:>10}\n", "quantile", "direct ms", "two nodes ms", "added ms");
    for (const double share : { 0.5, 0.9, 0.99, 0.999 }) {
        const double direct = latency.direct.latency.quantile(share);
        const double throughNodes = latency.throughNodes.latency.quantile(share);
        std::cout << fmt::format("{:<10} {:>12.2f} {:>16.2f} {:>10.2f}\n", share, direct, throughNodes, throughNodes - direct);
    }
    std::cout << fmt::format("calls answered: {} of {} direct, {} of {} through nodes\n", latency.direct.answered, latency.direct.sent, latency.throughNodes.answered, latency.throughNodes.sent);
}

void compare(const Arguments& arguments)
{
    nlohmann::json results = nlohmann::json::array();
    printHeading();
    for (const MeasureCase& measureCase : measureCases(arguments.settings)) {
        const bool isSelected = arguments.cases.empty() || std::find(arguments.cases.begin(), arguments.cases.end(), measureCase.name) != arguments.cases.end();
        for (const std::string& policy : arguments.policies) {
            if (!isSelected)
                break;
            const RunFolder folder;
            const MeasureResult result = measure(arguments.settings, measureCase, policy, folder.path());
            print(result, arguments.settings.seconds);
            results.push_back(result.toJson());
        }
    }
    if (!arguments.output.empty())
        std::ofstream(arguments.output) << results.dump(1) << "\n";
}

std::string readFile(const std::string& path)
{
    std::ifstream file(path);
    if (!file)
        throw std::runtime_error("cannot read " + path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace

int main(int argumentCount, char** argumentValues)
{
    Arguments arguments;
    const po::options_description description = describeOptions(arguments);
    try {
        po::variables_map values;
        po::store(po::parse_command_line(argumentCount, argumentValues, description), values);
        if (values.count("help") > 0) {
            std::cout << description;
            return 0;
        }
        po::notify(values);
        arguments.settings.document = readFile(arguments.documentFile);
        arguments.settings.programs = { KNAPWEEDQUAY_CONTROL, KNAPWEEDQUAY_NODE, KNAPWEEDQUAY_BACKEND, KNAPWEEDQUAY_FORWARDER };
        if (arguments.onlyAddedLatency)
            printAddedLatency(arguments.settings);
        else
            compare(arguments);
        return 0;
    } catch (const std::exception& error) {
        std::cerr << "knapweedquay-measure: " << error.what() << "\n";
        return 2;
    }
}
