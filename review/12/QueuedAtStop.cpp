// A node gets SIGTERM while requests that it took wait in another node's queue.

#include "../standins-3/SmallDeployment.h"

#include <algorithm>
#include <csignal>
#include <string>
#include <thread>
#include <vector>

using namespace Review;

namespace {

constexpr int couldNotRun = 2;
constexpr std::size_t waitingCount = 2;
constexpr double graceSeconds = 6;
constexpr double lossSlackSeconds = 0.2;

Request order(const std::string& prefix, const std::string& id, int workMs)
{
    Request request;
    request.method = "POST";
    request.host = "reports.example";
    request.path = prefix + "a?w=" + std::to_string(workMs);
    request.id = id;
    request.deadlineMs = 6000;
    return request;
}

} // namespace

int main(int argc, char** argv)
{
    if (argc < 3)
        return couldNotRun;
    Record record(argv[2]);
    Deployment deployment(argv[1], 3, 1);
    Machine& taker = deployment.addSidecar("front", "zone-a");
    Machine& worker = deployment.addSidecar("reports", "zone-b");
    Machine& other = deployment.addSidecar("front", "zone-c");
    Endpoint front({ "front", "i-front", taker.zone, taker.app(), taker.control(), 4, 4 }, record);
    Endpoint reports({ "reports", "i-reports", worker.zone, worker.app(), worker.control(), 1, 8 }, record);
    Endpoint otherFront({ "front", "i-other", other.zone, other.app(), other.control(), 4, 4 }, record);
    deployment.start();
    if (!front.start() || !reports.start() || !otherFront.start())
        return couldNotRun;
    // Two kinds of orders for one service, the urgent ones of the higher rank.
    const std::string text = configurationText("00000001", "reports.example", { "front", "reports" },
        { { "/urgent/", "unsafe", "reports", 6, 4, 0 }, { "/report/", "unsafe", "reports", 6, 1.5, 1 }, { "/front/", "safe", "front", 4, 1, 1 } });
    if (!deployment.configure("00000001", "00000000", text, 20) || !Deployment::waitReady(taker, 20) || !Deployment::waitReady(worker, 20) || !Deployment::waitReady(other, 20))
        return couldNotRun;
    // Some calm work first, as on any day.
    bool isServed = false;
    for (int i = 0; i < 50 && !isServed; ++i) {
        isServed = sendRequest(taker.outbound(), order("/report/", "first-" + std::to_string(i), 1400), 7).status == 200;
        sleepFor(0.2);
    }
    for (int i = 0; i < 3; ++i)
        isServed = sendRequest(taker.outbound(), order("/report/", "usual-" + std::to_string(i), 1400), 7).status == 200 && isServed;
    if (!isServed)
        return couldNotRun;
    sleepFor(4);

    const double stoppedAt = now();
    record.add(hasTrouble() ? "SIGTERM to the node that takes the requests" : "no SIGTERM");
    if (hasTrouble())
        taker.process->signal(SIGTERM);
    std::vector<std::thread> clients;
    std::vector<Answer> answers(waitingCount);
    const auto send = [&](const Machine& machine, const Request& request, double at, Answer* kept) {
        clients.emplace_back([&, request, at, kept] {
            sleepUntil(stoppedAt + at);
            record.add("client sends " + request.id + " to " + machine.name);
            const Answer answer = sendRequest(machine.outbound(), request, 7);
            record.add("client " + request.id + ": status " + std::to_string(answer.status) + (answer.isCut ? ", the connection ended without an answer" : ""));
            if (kept != nullptr)
                *kept = answer;
        });
    };
    // Clients of another machine, which nothing disturbs, keep the endpoint at work until 4.4 s, and from then on with what they sent later than 3 s after the SIGTERM.
    send(other, order("/urgent/", "other-0", 3400), 1, nullptr);
    send(other, order("/urgent/", "other-1", 1600), 3.5, nullptr);
    for (std::size_t i = 0; i < waitingCount; ++i)
        send(taker, order("/report/", "q-" + std::to_string(i), 1400), 2 + 0.05 * static_cast<double>(i), &answers[i]);
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
    for (std::size_t i = 0; i < waitingCount; ++i) {
        const std::string id = "q-" + std::to_string(i);
        const Answer& answer = answers[i];
        double begun = 0;
        bool wasExcusedWork = false;
        for (const Run& run : reports.runs()) {
            begun = run.id == id ? run.startedAt : begun;
            // The endpoint was at work in the last sixth of the grace on something that was sent no later than 3 s after the SIGTERM.
            const bool isOwn = run.id.compare(0, 2, "q-") == 0 || run.id == "other-0";
            wasExcusedWork = wasExcusedWork || (isOwn && run.startedAt < answer.endedAt && (run.endedAt == 0 || run.endedAt > stoppedAt + graceSeconds * 5 / 6));
        }
        if (answer.isCut && answer.endedAt - answer.sentAt > lossSlackSeconds && !wasExcusedWork) {
            ++broken;
            record.add("LOST: " + id + " was read and got no answer; its connection ended " + std::to_string(answer.endedAt - answer.sentAt) + " s after it was sent, "
                + (begun > 0 ? std::to_string(begun - answer.endedAt) + " s before the endpoint began to run it" : std::string("and it never ran")));
        }
    }
    record.add("broken: " + std::to_string(broken));
    return broken > 0 ? 1 : 0;
}
