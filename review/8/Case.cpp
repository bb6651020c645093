// An endpoint falls silent, and its address goes to an endpoint of another service. Does that one get the requests that waited?

#include "../support-2/Endpoint.h"
#include "../support-2/Proxy.h"

#include <atomic>
#include <exception>
#include <iostream>

using namespace Knapweedquay::Review;

namespace {

constexpr Milliseconds work { 60 };
constexpr int slots = 2;
constexpr int newSlots = 12;
constexpr Milliseconds deadline { 6000 };
constexpr int statusOk = 200;
/// ReuseAfterS of the settings, and a little more.
constexpr Milliseconds reuseAfter { 2200 };
constexpr Milliseconds requestInterval { 30 };
constexpr Milliseconds observation { 4000 };
constexpr int endpointPort = 8150;

const char* const configuration = R"({"Version":"00000001","Services":[{"Name":"dispatch","HealthPath":"/health","MaxConnections":220,"Protocol":"h1","Tls":false},{"Name":"inventory","HealthPath":"/health","MaxConnections":220,"Protocol":"h1","Tls":false}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeoutS":3,"IdleTimeoutS":15},"VirtualHosts":[{"Host":"orders.example","Paths":[{"Name":"booking","PathPrefix":"/booking/","Kind":"unsafe","TimeoutS":6,"TargetLatencyS":1,"Priority":1,"Service":"dispatch","MaxAttempts":2},{"Name":"stock","PathPrefix":"/stock/","Kind":"safe","TimeoutS":1,"TargetLatencyS":0.1,"Priority":0,"Service":"inventory","MaxAttempts":2}]}]})";

int run(const CaseOptions& options, Record& record)
{
    Deployment deployment(options, record);
    const std::string reused = deployment.addSidecar(1, "dispatch");
    const std::string other = deployment.addSidecar(2, "inventory");
    deployment.start();
    const auto runOf = [&record](Endpoint*& self, std::atomic<int>& foreign, const std::string& allowedPrefix) {
        return [&record, &self, &foreign, allowedPrefix](Stream& stream, const Request& request) {
            const bool isForeign = request.target.compare(0, allowedPrefix.size(), allowedPrefix) != 0;
            foreign += isForeign ? 1 : 0;
            record.write("endpoint " + self->identity().id + " of " + self->identity().service + " runs " + request.method + ' ' + request.target + (isForeign ? ", which no configuration leads to it" : ""));
            std::this_thread::sleep_for(work);
            return stream.write(serialize(self->soundAnswer(request)));
        };
    };
    std::atomic<int> foreign { 0 };
    std::atomic<int> served { 0 };
    std::atomic<int> answeredByOther { 0 };
    const Address behindProxy { deployment.app(reused).ip, endpointPort };
    const Address behindProxyLater { deployment.app(reused).ip, endpointPort + 1 };
    Proxy machine(deployment.app(reused), behindProxy);
    Endpoint* selves[3] = {};
    auto dispatch = std::make_unique<Endpoint>(record, deployment.control(reused), deployment.app(reused), behindProxy, "dispatch", "i-dispatch", slots, runOf(selves[0], foreign, "/booking/"));
    Endpoint inventory(record, deployment.control(other), deployment.app(other), deployment.app(other), "inventory", "i-inventory", slots, runOf(selves[1], foreign, "/stock/"));
    selves[0] = dispatch.get();
    selves[1] = &inventory;
    dispatch->startHeartbeats();
    inventory.startHeartbeats();
    deployment.replaceConfiguration("00000000", configuration);
    deployment.awaitReady(reused);
    deployment.awaitReady(other);
    std::this_thread::sleep_for(std::chrono::seconds(4));

    // Bookings come at a steady pace, each on a thread of its own, and all at the machine of the inventory endpoint.
    std::atomic<bool> isEnding { false };
    std::vector<std::thread> threads;
    std::thread source([&] {
        for (int number = 0; !isEnding; ++number) {
            threads.emplace_back([&, number] {
                const std::string id = "b" + std::to_string(number);
                const Response answer = call(record, deployment.outbound(other), { "POST", "/booking/" + id, { { "Host", "orders.example" }, { "X-Request-Id", id }, { "X-Deadline-Ms", std::to_string(deadline.count()) } }, "booking" }, deadline + std::chrono::seconds(1));
                const std::string signature = headerValue(answer.headers, "X-Response-Signature");
                if (answer.status != statusOk)
                    return;
                ++served;
                answeredByOther += signature == expectedSignature("i-dispatch", id) ? 0 : 1;
            });
            std::this_thread::sleep_for(requestInterval);
        }
    });
    std::this_thread::sleep_for(std::chrono::seconds(3));

    std::unique_ptr<Endpoint> successor;
    if (options.hasTrouble) {
        record.write("endpoint i-dispatch ends: its machine falls silent");
        machine.fallSilent();
        dispatch->stopHeartbeats();
        std::this_thread::sleep_for(reuseAfter);
        deployment.changeService(reused, "inventory");
        successor = std::make_unique<Endpoint>(record, deployment.control(reused), deployment.app(reused), behindProxyLater, "inventory", "i-successor", newSlots, runOf(selves[2], foreign, "/stock/"));
        selves[2] = successor.get();
        machine.serve(behindProxyLater);
        successor->startHeartbeats();
    }
    std::this_thread::sleep_for(observation);
    isEnding = true;
    source.join();
    for (std::thread& thread : threads)
        thread.join();

    const std::string sums = std::to_string(served) + " bookings were served; " + std::to_string(foreign) + " ran at an endpoint of inventory, whose answer " + std::to_string(answeredByOther) + " callers got";
    record.write("sums: " + sums);
    std::cout << sums << '\n';
    if (served < 50)
        return exitCouldNotRun;
    return foreign > 0 ? exitBroken : exitHeld;
}

} // namespace

int main(int argc, char** argv)
{
    const CaseOptions options = CaseOptions::read(argc, argv);
    Record record(options.folder + "/record.txt");
    try {
        return run(options, record);
    } catch (const std::exception& error) {
        std::cerr << error.what() << '\n';
        record.write(std::string("could not run: ") + error.what());
        return exitCouldNotRun;
    }
}
