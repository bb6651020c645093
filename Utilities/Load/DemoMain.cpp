#include "Load/Deployment.h"
#include "Load/EchoAnswer.h"
#include "Load/LoadGenerator.h"
#include "Load/Waiting.h"

#include <boost/program_options.hpp>
#include <fmt/format.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace {

namespace po = boost::program_options;
using namespace Knapweedquay::Load;

constexpr std::chrono::milliseconds startTimeout { 30000 };
/// Times of the faults, counted from the start of sending.
constexpr std::chrono::seconds drainAt { 2 };
constexpr std::chrono::seconds killAt { 7 };
constexpr std::chrono::seconds sendingTime { 10 };
/// Time after the start of a drain from which the backend server must get no new calls.
constexpr std::chrono::seconds drainGrace { 3 };
constexpr const char* drainedNode = "dispatch-marka";
constexpr const char* killedNode = "dispatch-abdoun";

/// Values of the command-line options.
struct Arguments {
    /// Folder with the service documents and the routing document.
    std::string documents = "Utilities/Examples";
    std::string folder;
    bool isLeftRunning = false;
};

/// A guarantee that the demo checks, and whether it held.
struct Guarantee {
    std::string text;
    bool isHeld = false;
};

std::string readFile(const std::string& path)
{
    std::ifstream file(path);
    if (!file)
        throw std::runtime_error("cannot read " + path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

void startNodes(Deployment& deployment)
{
    for (const char* service : { "dispatch", "inventory" }) {
        for (const char* dataCentre : { "sweileh", "marka", "abdoun" }) {
            NodePlan plan;
            plan.name = std::string(service) + "-" + dataCentre;
            plan.dataCentre = std::string("amman-") + dataCentre;
            plan.service = service;
            plan.serviceTimes = { "/=lognormal:20" };
            deployment.startNode(plan);
        }
    }
}

void startAll(Deployment& deployment, const Arguments& arguments)
{
    constexpr std::size_t replicas = 3;
    std::cout << "starting 3 control replicas, 6 nodes in 3 data centres and 6 stand-in backend servers" << std::endl;
    deployment.startControls(replicas);
    startNodes(deployment);
    for (const char* service : { "dispatch", "inventory" }) {
        if (!deployment.apply(readFile(fmt::format("{}/{}.toml", arguments.documents, service)), 0, startTimeout))
            throw std::runtime_error(fmt::format("the document of {} was not accepted", service));
        std::cout << "accepted: the document of " << service << std::endl;
    }
    if (!deployment.applyRouting(readFile(arguments.documents + "/routing.toml"), startTimeout))
        throw std::runtime_error("the routing document was not accepted");
    std::cout << "accepted: the routing document, which assigns requests to a service by host and path" << std::endl;
    if (!deployment.waitUntilReady(startTimeout))
        throw std::runtime_error("not every node became ready");
    std::cout << "ready: the documents are in force on every node" << std::endl;
}

LoadOptions makeLoad(Deployment& deployment)
{
    LoadOptions load;
    for (const std::string& name : deployment.nodeNames()) {
        if (name != killedNode)
            load.addresses.push_back(deployment.addresses(name).calls);
    }
    for (const char* text : {
             "name=booking,method=POST,path=/call/dispatch/bookings,rate=40,target=400,deadline=2000,keyed=1,resend=0.1,request-bytes=300",
             "name=stock,path=/call/dispatch/stock,rate=40,target=300,deadline=1000",
             "name=status,path=/call/dispatch/status,rate=30,target=800,deadline=2000",
             "name=catalogue,path=/call/dispatch/catalogue,rate=30,target=2000,deadline=3000",
             "name=check,path=/call/inventory/check,rate=40,target=200,deadline=1000",
             "name=archive,path=/call/inventory/archive,rate=30,target=2000,deadline=3000" })
        load.classes.push_back(parseCallClass(text));
    load.duration = sendingTime;
    load.recordFiles = deployment.recordFiles();
    load.runName = "demo";
    return load;
}

/// Sends a request that names no service and must be routed by host and path; true when the answer is correct.
bool isRouted(Deployment& deployment)
{
    HttpMessage request = plainRequest("GET", "/tracking/order?id=routed&size=10");
    request.headers["host"] = "orders.example";
    const HttpMessage answer = exchangeOnce(deployment.addresses("inventory-sweileh").calls, request, startTimeout);
    std::cout << "GET http://orders.example/tracking/order at a node of inventory: " << answer.status << ", run by dispatch" << std::endl;
    return answer.body == echoAnswer("routed", {}, 10);
}

/// Drains one backend server and kills one node; true when the drained one got no new calls once drainGrace had passed.
bool injectFaults(Deployment& deployment)
{
    std::this_thread::sleep_for(drainAt);
    std::cout << "draining the backend server of " << drainedNode << std::endl;
    exchangeOnce(deployment.addresses(drainedNode).admin, plainRequest("POST", "/leave", R"({"service":"dispatch"})"), drainGrace);
    std::this_thread::sleep_for(drainGrace);
    const auto executed = [&] { return deployment.backendStats(drainedNode).value("executed", std::uint64_t { 0 }); };
    const std::uint64_t before = executed();
    std::this_thread::sleep_for(killAt - drainAt - drainGrace);
    std::cout << "killing the node " << killedNode << std::endl;
    deployment.node(killedNode).kill();
    std::this_thread::sleep_for(sendingTime - killAt);
    return executed() == before;
}

void printTable(const std::vector<CallClassResult>& results)
{
    constexpr const char* row = "{:<10} {:>6} {:>9} {:>8} {:>8} {:>7} {:>9} {:>9} {:>8}  {}\n";
    std::cout << "\n"
              << fmt::format(row, "priority", "sent", "answered", "not run", "unknown", "errors", "p50 ms", "p99 ms", "in time", "codes");
    for (const CallClassResult& result : results) {
        std::cout << fmt::format(row, result.calls.name, result.sent, result.answered, result.notRun, result.unknown, result.errors + result.failed,
            fmt::format("{:.1f}", result.latency.quantile(0.5)), fmt::format("{:.1f}", result.latency.quantile(0.99)), fmt::format("{:.1f}%", 100 * result.withinTargetShare()), result.describeCodes());
    }
    std::cout << "\n";
}

std::vector<Guarantee> checkGuarantees(const std::vector<CallClassResult>& results, bool isRequestRouted, bool isDrainHeld)
{
    // Only the calls that run in the slots of the killed node's backend server may have an unknown outcome.
    constexpr std::uint64_t slots = 12;
    std::uint64_t wrong = 0;
    std::uint64_t doubleRuns = 0;
    std::uint64_t falseNotRun = 0;
    std::uint64_t errors = 0;
    std::uint64_t unknown = 0;
    bool areAllAnswered = true;
    for (const CallClassResult& result : results) {
        wrong += result.wrong + result.answeredWithoutRun;
        doubleRuns += result.doubleRuns;
        falseNotRun += result.falseNotRun;
        errors += result.errors + result.failed;
        unknown += result.unknown;
        areAllAnswered = areAllAnswered && result.answered > 0;
    }
    return {
        { "a request that does not name a service was routed by host and path", isRequestRouted },
        { "every priority got answers", areAllAnswered },
        { fmt::format("every answer was complete and belonged to its call ({} wrong)", wrong), wrong == 0 },
        { fmt::format("bookings ran at most once, also when resent through another node ({} with a double run)", doubleRuns), doubleRuns == 0 },
        { fmt::format("calls reported as not run did not run ({} false reports)", falseNotRun), falseNotRun == 0 },
        { fmt::format("every caller got an answer or at least an outcome ({} got neither)", errors), errors == 0 },
        { fmt::format("only calls in flight at the killed node have an unknown outcome ({} of at most {})", unknown, slots), unknown <= slots },
        { "the drained backend server got no new calls after 3 s", isDrainHeld },
    };
}

bool printVerdict(const std::vector<Guarantee>& guarantees)
{
    bool areAllHeld = true;
    for (const Guarantee& guarantee : guarantees) {
        std::cout << (guarantee.isHeld ? "kept    " : "BROKEN  ") << guarantee.text << "\n";
        areAllHeld = areAllHeld && guarantee.isHeld;
    }
    return areAllHeld;
}

void keepRunning(Deployment& deployment)
{
    const std::string& calls = deployment.addresses("dispatch-sweileh").calls;
    std::cout << "\nThe deployment is left running until Ctrl-C. Commands to try:\n"
              << "  curl -i 'http://" << calls << "/call/dispatch/stock?id=mine'\n"
              << "  curl -i -X POST -H 'Idempotency-Key: k1' 'http://" << calls << "/call/dispatch/bookings?id=k1'\n"
              << "  curl -i -H 'Host: orders.example' 'http://" << calls << "/tracking/order?id=routed'\n"
              << "  curl http://" << deployment.addresses("dispatch-sweileh").admin << "/status\n"
              << "  curl http://" << deployment.controlHttp(0) << "/v1/status\n"
              << "  curl http://" << deployment.controlHttp(0) << "/v1/nodes\n"
              << std::flush;
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGTERM);
    int received = 0;
    sigwait(&signals, &received);
}

bool runDemo(const Arguments& arguments)
{
    Deployment deployment({ KNAPWEEDQUAY_CONTROL, KNAPWEEDQUAY_NODE, KNAPWEEDQUAY_BACKEND, KNAPWEEDQUAY_FORWARDER }, arguments.folder);
    startAll(deployment, arguments);
    const bool isRequestRouted = isRouted(deployment);
    asio::io_context context;
    LoadGenerator generator(context, makeLoad(deployment));
    std::cout << "sending calls of every priority for " << sendingTime.count() << " s" << std::endl;
    bool isDrainHeld = false;
    std::thread faultThread([&] { isDrainHeld = injectFaults(deployment); });
    generator.run();
    faultThread.join();
    generator.checkRecords();
    printTable(generator.results());
    const bool areAllHeld = printVerdict(checkGuarantees(generator.results(), isRequestRouted, isDrainHeld));
    if (arguments.isLeftRunning)
        keepRunning(deployment);
    return areAllHeld;
}

} // namespace

int main(int argumentCount, char** argumentValues)
{
    Arguments arguments;
    po::options_description description("knapweedquay-demo: runs a small deployment on this machine under load, with a drain and a killed node");
    description.add_options()("help", "print this text");
    description.add_options()("documents", po::value(&arguments.documents), "folder with dispatch.toml, inventory.toml and routing.toml");
    description.add_options()("folder", po::value(&arguments.folder)->required(), "empty folder for settings, logs and data");
    description.add_options()("keep", po::bool_switch(&arguments.isLeftRunning), "leave the deployment running and print commands to try");
    try {
        po::variables_map values;
        po::store(po::parse_command_line(argumentCount, argumentValues, description), values);
        if (values.count("help") > 0) {
            std::cout << description;
            return 0;
        }
        po::notify(values);
        // Blocked in every thread, so that only keepRunning() receives these signals.
        if (arguments.isLeftRunning) {
            sigset_t signals;
            sigemptyset(&signals);
            sigaddset(&signals, SIGINT);
            sigaddset(&signals, SIGTERM);
            pthread_sigmask(SIG_BLOCK, &signals, nullptr);
        }
        return runDemo(arguments) ? 0 : 1;
    } catch (const std::exception& error) {
        std::cerr << "knapweedquay-demo: " << error.what() << "\n";
        return 2;
    }
}
