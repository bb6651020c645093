// An endpoint that has deregistered, whose node restarts and then gets an earlier heartbeat late. Does the endpoint get new work?

#include "../support-2/Endpoint.h"

#include <atomic>
#include <exception>
#include <iostream>

using namespace Knapweedquay::Review;

namespace {

constexpr Milliseconds work { 80 };
constexpr int slots = 4;
constexpr Milliseconds deadline { 2000 };
constexpr int statusOk = 200;
constexpr Milliseconds drainTime { 2000 };
constexpr Milliseconds stableWindow { 3000 };
/// From the deregistration to the kill, the time for which the process is down, and the delay of the heartbeat.
constexpr Milliseconds killAfter { 400 };
constexpr Milliseconds downTime { 300 };
constexpr Milliseconds heartbeatDelay { 2000 };
/// For this time the endpoint serves on after its deregistration.
constexpr Milliseconds servesOn { 9000 };
constexpr Milliseconds requestInterval { 10 };
constexpr int callers = 8;

const char* const configuration = R"({"Version":"00000001","Services":[{"Name":"dispatch","HealthPath":"/health","MaxConnections":220,"Protocol":"h1","Tls":false},{"Name":"inventory","HealthPath":"/health","MaxConnections":220,"Protocol":"h1","Tls":false}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeoutS":3,"IdleTimeoutS":15},"VirtualHosts":[{"Host":"orders.example","Paths":[{"Name":"booking","PathPrefix":"/booking/","Kind":"unsafe","TimeoutS":2.5,"TargetLatencyS":0.3,"Priority":1,"Service":"dispatch","MaxAttempts":2}]}]})";

std::string idText(int caller, int number)
{
    return "c" + std::to_string(caller) + "-" + std::to_string(number);
}

/// When the node beside the endpoint is in touch again and the deregistration binds; the largest time before that is known.
struct Bound {
    std::atomic<Clock::rep> from { Clock::time_point::max().time_since_epoch().count() };

    bool isPast(Clock::time_point time) const { return time.time_since_epoch().count() > from; }
};

int run(const CaseOptions& options, Record& record)
{
    Deployment deployment(options, record);
    const std::string leaving = deployment.addSidecar(1, "dispatch");
    const std::string staying = deployment.addSidecar(2, "dispatch");
    const std::string calling = deployment.addSidecar(3, "inventory");
    deployment.start();
    Bound bound;
    std::atomic<int> before { 0 };
    std::atomic<int> late { 0 };
    std::atomic<int> served { 0 };
    std::atomic<bool> isLeaving { false };
    Endpoint* selves[3] = {};
    const auto makeRun = [&](int index) {
        return [&, index](Stream& stream, const Request& request) {
            const bool isLate = index == 0 && bound.isPast(Clock::now());
            before += index == 0 && !isLeaving ? 1 : 0;
            late += isLate ? 1 : 0;
            record.write("endpoint " + selves[index]->identity().id + " runs " + headerValue(request.headers, "X-Request-Id") + (isLate ? ", later than the rule allows" : ""));
            std::this_thread::sleep_for(work);
            return stream.write(serialize(selves[index]->soundAnswer(request)));
        };
    };
    Endpoint first(record, deployment.control(leaving), deployment.app(leaving), deployment.app(leaving), "dispatch", "i-leaving", slots, makeRun(0));
    Endpoint second(record, deployment.control(staying), deployment.app(staying), deployment.app(staying), "dispatch", "i-staying", slots, makeRun(1));
    Endpoint third(record, deployment.control(calling), deployment.app(calling), deployment.app(calling), "inventory", "i-calling", slots, makeRun(2));
    selves[0] = &first;
    selves[1] = &second;
    selves[2] = &third;
    first.startHeartbeats();
    second.startHeartbeats();
    third.startHeartbeats();
    deployment.replaceConfiguration("00000000", configuration);
    deployment.awaitReady(leaving);
    deployment.awaitReady(staying);
    deployment.awaitReady(calling);
    std::this_thread::sleep_for(std::chrono::seconds(4));

    // All callers are on a machine that nothing disturbs.
    std::atomic<bool> isEnding { false };
    std::vector<std::thread> threads;
    threads.reserve(callers);
    for (int caller = 0; caller < callers; ++caller) {
        threads.emplace_back([&, caller] {
            for (int number = 0; !isEnding; ++number) {
                const std::string id = idText(caller, number);
                const Response answer = call(record, deployment.outbound(calling), { "POST", "/booking/" + id, { { "Host", "orders.example" }, { "X-Request-Id", id }, { "X-Deadline-Ms", std::to_string(deadline.count()) } }, "booking" }, deadline);
                served += answer.status == statusOk ? 1 : 0;
                std::this_thread::sleep_for(requestInterval);
            }
        });
    }
    std::this_thread::sleep_for(std::chrono::seconds(2));

    first.stopHeartbeats();
    const Beat heldUp = first.makeBeat();
    const Clock::time_point heartbeatSentAt = Clock::now();
    record.write("endpoint i-leaving sends heartbeat " + std::to_string(heldUp.sequence) + ", which is held up on its way");
    const Beat leave = first.makeBeat();
    bool isAcknowledged = sendDeregister(deployment.control(leaving), leave);
    const Clock::time_point acknowledgedAt = Clock::now();
    isLeaving = true;
    record.write(std::string("endpoint i-leaving deregisters: ") + (isAcknowledged ? "acknowledged" : "not acknowledged"));
    Clock::time_point from = acknowledgedAt + drainTime;
    std::this_thread::sleep_for(killAfter);
    if (options.hasTrouble) {
        deployment.killAndRestart(leaving, downTime);
        from = std::max(from, Clock::now() + stableWindow);
    }
    bound.from = from.time_since_epoch().count();
    std::this_thread::sleep_until(heartbeatSentAt + heartbeatDelay);
    isAcknowledged = isAcknowledged && sendHeartbeat(deployment.control(leaving), heldUp);
    record.write(std::string("heartbeat ") + std::to_string(heldUp.sequence) + " of i-leaving arrives " + std::to_string(heartbeatDelay.count()) + " ms late: " + (isAcknowledged ? "acknowledged" : "not acknowledged"));
    std::this_thread::sleep_until(acknowledgedAt + servesOn);
    isEnding = true;
    for (std::thread& thread : threads)
        thread.join();

    const std::string sums = std::to_string(served) + " requests were served; i-leaving ran " + std::to_string(before) + " before it left, and " + std::to_string(late) + " later than the rule allows";
    record.write("sums: " + sums);
    std::cout << sums << '\n';
    if (!isAcknowledged || before == 0 || served < 100)
        return exitCouldNotRun;
    return late > 0 ? exitBroken : exitHeld;
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
