#include "Load/LoadGenerator.h"

#include <boost/program_options.hpp>
#include <fmt/format.h>

#include <iostream>

namespace {

using Knapweedquay::Load::CallClassResult;
using Knapweedquay::Load::LoadOptions;

namespace po = boost::program_options;

/// Values of the command-line options.
struct Arguments {
    LoadOptions load;
    std::vector<std::string> classes;
    double seconds = 10;
    std::string output = "table";
};

po::options_description describeOptions(Arguments& arguments)
{
    LoadOptions& load = arguments.load;
    po::options_description description("knapweedquay-load: open-loop load generator with results per kind of call");
    description.add_options()("help", "print this text");
    description.add_options()("node", po::value(&load.addresses)->required(), "address for calls, IP:port; repeatable");
    description.add_options()("calls", po::value(&arguments.classes)->required(), "name=...,method=...,path=...,rate=...,deadline=...,target=...[,priority=,keyed=,resend=,request-bytes=,answer-bytes=]; repeatable");
    description.add_options()("duration", po::value(&arguments.seconds), "seconds during which calls are sent");
    description.add_options()("seed", po::value(&load.seed), "seed of the arrival times");
    description.add_options()("run", po::value(&load.runName), "prefix of every request id");
    description.add_options()("direct", po::bool_switch(&load.isDirect), "the addresses are backend servers, not nodes");
    description.add_options()("executed", po::value(&load.recordFiles), "execution record of a stand-in, to count double runs; repeatable");
    description.add_options()("output", po::value(&arguments.output), "table or json");
    return description;
}

void printTable(const std::vector<CallClassResult>& results)
{
    constexpr const char* row = "{:<14} {:>8} {:>8} {:>7} {:>7} {:>7} {:>7} {:>6} {:>9} {:>9} {:>9} {:>8} {:>7} {:>9}  {}\n";
    std::cout << fmt::format(row, "calls", "sent", "answered", "failed", "not run", "unknown", "errors", "wrong", "p50 ms", "p99 ms", "p99.9 ms", "in time", "doubles", "false n-r", "codes");
    for (const CallClassResult& result : results) {
        const auto milliseconds = [&](double share) { return fmt::format("{:.2f}", result.latency.quantile(share)); };
        const std::string inTime = fmt::format("{:.1f}%", 100 * result.withinTargetShare());
        std::cout << fmt::format(row, result.calls.name, result.sent, result.answered, result.failed, result.notRun, result.unknown, result.errors, result.wrong, milliseconds(0.5), milliseconds(0.99), milliseconds(0.999), inTime, result.doubleRuns, result.falseNotRun, result.describeCodes());
    }
}

void printJson(const std::vector<CallClassResult>& results)
{
    nlohmann::json rows = nlohmann::json::array();
    for (const CallClassResult& result : results)
        rows.push_back(toJson(result));
    std::cout << rows.dump(2) << "\n";
}

/// Returns the exit code: 1 when a guarantee was violated by a wrong answer, a double run or a false "not run".
int runLoad(Arguments& arguments)
{
    asio::io_context context;
    arguments.load.duration = std::chrono::milliseconds(static_cast<std::int64_t>(arguments.seconds * 1000));
    for (const std::string& text : arguments.classes)
        arguments.load.classes.push_back(Knapweedquay::Load::parseCallClass(text));
    Knapweedquay::Load::LoadGenerator generator(context, arguments.load);
    generator.run();
    generator.checkRecords();
    const auto results = generator.results();
    if (arguments.output == "json")
        printJson(results);
    else
        printTable(results);
    std::uint64_t violations = 0;
    for (const CallClassResult& result : results)
        violations += result.wrong + result.doubleRuns + result.falseNotRun;
    return violations == 0 ? 0 : 1;
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
        return runLoad(arguments);
    } catch (const std::exception& error) {
        std::cerr << "knapweedquay-load: " << error.what() << "\n";
        return 2;
    }
}
