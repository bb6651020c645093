// A node gets SIGTERM while requests that it took wait in another node's queue.

#include "../standins-3/SmallDeployment.h"

#include <csignal>
#include <cstdio>
#include <thread>
#include <vector>

using namespace Review;

namespace {

constexpr int couldNotRun = 2;
constexpr int requestCount = 4;
constexpr double graceSeconds = 6;
constexpr double lossSlackSeconds = 0.2;

} // namespace

int main(int argc, char** argv)
{
    if (argc < 3)
        return couldNotRun;
    Record record(argv[2]);
    Deployment deployment(argv[1], 3, 1);
    Machine& taker = deployment.addSidecar("front", "zone-a");
    Machine& worker = deployment.addSidecar("reports", "zone-b");
    Endpoint front({ "front", "i-front", taker.zone, taker.app(), taker.control(), 4, 4 }, record);
    Endpoint reports({ "reports", "i-reports", worker.zone, worker.app(), worker.control(), 1, 8 }, record);
    deployment.start();
    if (!front.start() || !reports.start())
        return couldNotRun;
    const std::string text = configurationText("00000001", "reports.example", { "front", "reports" }, { { "/report/", "unsafe", "reports", 6, 1.5 }, { "/front/", "safe", "front", 4, 1 } });
    if (!deployment.configure("00000001", "00000000", text, 20) || !Deployment::waitReady(taker, 20) || !Deployment::waitReady(worker, 20))
        return couldNotRun;
    const auto ask = [&](const std::string& id, int workMs) {
        Request request;
        request.method = "POST";
        request.host = "reports.example";
        request.path = "/report/a?w=" + std::to_string(workMs);
        request.id = id;
        request.deadlineMs = 6000;
        return sendRequest(taker.outbound(), request, 7);
    };
    // Some calm work first, as on any day.
    bool isServed = false;
    for (int i = 0; i < 50 && !isServed; ++i) {
        isServed = ask("first-" + std::to_string(i), 1400).status == 200;
        sleepFor(0.2);
    }
    for (int i = 0; i < 3; ++i)
        isServed = ask("usual-" + std::to_string(i), 1400).status == 200 && isServed;
    if (!isServed)
        return couldNotRun;
    sleepFor(4);

    const double stoppedAt = now();
    record.add(hasTrouble() ? "SIGTERM to the node that takes the requests" : "no SIGTERM");
    if (hasTrouble())
        taker.process->signal(SIGTERM);
    sleepUntil(stoppedAt + 2);
    std::vector<Answer> answers(requestCount);
    std::vector<std::thread> clients;
    for (int i = 0; i < requestCount; ++i) {
        record.add("client sends q-" + std::to_string(i));
        clients.emplace_back([&, i] {
            answers[static_cast<std::size_t>(i)] = ask("q-" + std::to_string(i), 1400);
            const Answer& answer = answers[static_cast<std::size_t>(i)];
            record.add("client q-" + std::to_string(i) + ": status " + std::to_string(answer.status) + (answer.isCut ? ", the connection ended without an answer" : ""));
        });
        sleepFor(0.05);
    }
    for (std::thread& client : clients)
        client.join();
    if (hasTrouble()) {
        const bool hasEnded = taker.process->waitForEnd(std::max(0.0, stoppedAt + graceSeconds - now()));
        record.add(hasEnded ? "the node has ended by itself" : "the node is killed");
        taker.process->signal(SIGKILL);
    }
    // What waited goes on without the node that took it.
    sleepFor(4);
    int broken = 0;
    for (int i = 0; i < requestCount; ++i) {
        const std::string id = "q-" + std::to_string(i);
        const Answer& answer = answers[static_cast<std::size_t>(i)];
        double begun = 0;
        for (const Run& run : reports.runs())
            begun = run.id == id ? run.startedAt : begun;
        // A cut is excused where the endpoint was at work on the request in the last sixth of the grace.
        const bool wasAtWork = begun > 0 && begun <= answer.endedAt;
        if (answer.isCut && answer.endedAt - answer.sentAt > lossSlackSeconds && !wasAtWork) {
            ++broken;
            record.add("LOST: " + id + " was read and got no answer; its connection ended " + std::to_string(answer.endedAt - answer.sentAt) + " s after it was sent, "
                + (begun > 0 ? std::to_string(begun - answer.endedAt) + " s before the endpoint began to run it" : std::string("and it never ran")));
        }
    }
    record.add("broken: " + std::to_string(broken));
    return broken > 0 ? 1 : 0;
}
