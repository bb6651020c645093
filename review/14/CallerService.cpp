// The address of an endpoint goes to an endpoint of another service while the node beside it goes on running.

#include "../standins-3/SmallDeployment.h"

#include <csignal>
#include <string>

using namespace Review;

namespace {

constexpr int couldNotRun = 2;
constexpr double reuseAfterSeconds = 2.2;
constexpr int requestCount = 20;

} // namespace

int main(int argc, char** argv)
{
    if (argc < 3)
        return couldNotRun;
    Record record(argv[2]);
    Deployment deployment(argv[1], 3, 1);
    Machine& taker = deployment.addSidecar("dispatch", "zone-a");
    Machine& worker = deployment.addSidecar("stock", "zone-b");
    Endpoint before({ "dispatch", "i-before", taker.zone, taker.app(), taker.control(), 4, 4 }, record);
    Endpoint after({ "inventory", "i-after", taker.zone, taker.app(), taker.control(), 4, 4 }, record);
    Endpoint stock({ "stock", "i-stock", worker.zone, worker.app(), worker.control(), 8, 8 }, record);
    deployment.start();
    if (!before.start() || !stock.start())
        return couldNotRun;
    const std::string text = configurationText("00000001", "stock.example", { "dispatch", "inventory", "stock" },
        { { "/check/", "safe", "stock", 2, 0.5 }, { "/goods/", "safe", "inventory", 2, 0.5 }, { "/orders/", "safe", "dispatch", 2, 0.5 } });
    if (!deployment.configure("00000001", "00000000", text, 20) || !Deployment::waitReady(taker, 20) || !Deployment::waitReady(worker, 20))
        return couldNotRun;
    sleepFor(2);
    const auto ask = [&](const Machine& machine, const std::string& prefix, const std::string& id) {
        Request request;
        request.host = "stock.example";
        request.path = prefix + "a?w=20";
        request.id = id;
        request.deadlineMs = 2000;
        return sendRequest(machine.outbound(), request, 3).status;
    };
    for (int i = 0; i < requestCount; ++i)
        ask(taker, "/check/", "early-" + std::to_string(i));

    if (hasTrouble()) {
        record.add("the endpoint of dispatch ends");
        before.stop();
        sleepFor(reuseAfterSeconds);
        taker.service = "inventory";
        deployment.writeSettings(taker, false);
        taker.process->signal(SIGHUP);
        record.add("the settings file names inventory, SIGHUP; an endpoint of inventory begins at the address");
        if (!after.start())
            return couldNotRun;
    }
    // Longer than ConfigApplyS, StableWindowS and three heartbeats.
    sleepFor(6);
    if (hasTrouble() && ask(worker, "/goods/", "goods-0") != 200)
        return couldNotRun;
    int served = 0;
    for (int i = 0; i < requestCount; ++i)
        served += ask(taker, "/check/", "late-" + std::to_string(i)) == 200 ? 1 : 0;
    int broken = 0;
    for (const Run& run : stock.runs()) {
        if (run.id.compare(0, 5, "late-") != 0 || run.callerService == taker.service)
            continue;
        ++broken;
        record.add("UNASKED: " + run.id + " ran with X-Caller-Service " + run.callerService + ", the service of its machine is " + taker.service);
    }
    record.add("served " + std::to_string(served) + " of " + std::to_string(requestCount) + ", broken: " + std::to_string(broken));
    if (served == 0)
        return couldNotRun;
    return broken > 0 ? 1 : 0;
}
