// A node gets SIGTERM while an answer that its endpoint has made waits behind that to an earlier request of its connection.

#include "../standins-3/SmallDeployment.h"

#include <algorithm>
#include <csignal>
#include <string>

using namespace Review;

namespace {

constexpr int couldNotRun = 2;
constexpr double graceSeconds = 6;

Request lookUp(const std::string& prefix, const std::string& id, int workMs)
{
    Request request;
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
    Machine& other = deployment.addSidecar("prices", "zone-c");
    Endpoint front({ "front", "i-front", taker.zone, taker.app(), taker.control(), 4, 4 }, record);
    Endpoint reports({ "reports", "i-reports", worker.zone, worker.app(), worker.control(), 4, 8 }, record);
    Endpoint prices({ "prices", "i-prices", other.zone, other.app(), other.control(), 4, 8 }, record);
    deployment.start();
    if (!front.start() || !reports.start() || !prices.start())
        return couldNotRun;
    const std::string text = configurationText("00000001", "reports.example", { "front", "reports", "prices" }, { { "/report/", "safe", "reports", 6, 4 }, { "/price/", "safe", "prices", 6, 4 }, { "/front/", "safe", "front", 4, 1 } });
    if (!deployment.configure("00000001", "00000000", text, 20) || !Deployment::waitReady(taker, 20) || !Deployment::waitReady(worker, 20) || !Deployment::waitReady(other, 20))
        return couldNotRun;
    bool isServed = false;
    for (int i = 0; i < 50 && !isServed; ++i) {
        const std::string number = std::to_string(i);
        isServed = sendRequest(taker.outbound(), lookUp("/report/", "first-" + number, 50), 7).status == 200 && sendRequest(taker.outbound(), lookUp("/price/", "other-" + number, 50), 7).status == 200;
        sleepFor(0.2);
    }
    if (!isServed)
        return couldNotRun;
    sleepFor(4);

    const double stoppedAt = now();
    record.add(hasTrouble() ? "SIGTERM to the node that takes the requests" : "no SIGTERM");
    if (hasTrouble())
        taker.process->signal(SIGTERM);
    sleepUntil(stoppedAt + 2);
    Connection connection;
    if (!connection.open(taker.outbound(), 1))
        return couldNotRun;
    record.add("client sends slow and quick on one connection");
    const double sentAt = now();
    connection.send(lookUp("/report/", "slow", 3800).text() + lookUp("/price/", "quick", 50).text());
    Message slow;
    Message quick;
    const bool hasSlow = connection.read(slow, sentAt + 7);
    const bool hasQuick = hasSlow && connection.read(quick, sentAt + 7);
    const double endedAt = now();
    record.add("client: slow " + (hasSlow ? slow.second : std::string("none")) + ", quick " + (hasQuick ? quick.second : std::string("none")) + (connection.hasEnded() ? "; the connection has ended" : ""));
    if (hasTrouble()) {
        const bool hasEnded = taker.process->waitForEnd(std::max(0.0, stoppedAt + graceSeconds - now()));
        record.add(hasEnded ? "the node has ended by itself" : "the node is killed");
        taker.process->signal(SIGKILL);
    }
    double answeredAt = 0;
    for (const Run& run : prices.runs())
        answeredAt = run.id == "quick" ? run.endedAt : answeredAt;
    // The endpoint that ran the quick request had ended its work long before, so that nothing excuses the loss.
    const bool isLost = !hasQuick && connection.hasEnded() && answeredAt > 0 && answeredAt < endedAt;
    if (isLost)
        record.add("LOST: quick was passed on, answered by its endpoint " + std::to_string(endedAt - answeredAt) + " s before the connection ended, and got no answer");
    record.add(isLost ? "broken: 1" : "broken: 0");
    return isLost ? 1 : 0;
}
