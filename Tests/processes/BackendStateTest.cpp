#include "processes/ProcessFixture.h"

#include "Load/Waiting.h"
#include "coordination/admission/ColdPace.h"

#include <algorithm>
#include <csignal>

namespace Knapweedquay::Load {

namespace {

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

constexpr const char* routingDocument = R"(version = 7
[[services]]
name = "dispatch"
health_path = "/health"
[[routes]]
name = "stock"
host = "orders.example"
path = "/stock/"
[[routes.targets]]
service = "dispatch"
)";

/// Time after a backend server first named its limit from which the limit must hold.
constexpr std::chrono::milliseconds limitTime { 3000 };
/// Time after a backend server first said that it leaves from which it must receive no calls.
constexpr std::chrono::milliseconds leavingTime { 2000 };
constexpr std::chrono::milliseconds window { 4000 };
constexpr double coldRate = 6;

/// Largest number of requests that a backend server with this limit per second may receive in a window.
double allowedInWindow(double limit)
{
    constexpr double tolerance = 1.5;
    constexpr double slack = 5;
    return tolerance * limit * std::chrono::duration<double>(window).count() + slack;
}

/// Sends calls to backend servers that tell their state in their answers.
class BackendStateTest : public ProcessTest {
protected:
    void startWithHealthChecks()
    {
        start();
        ASSERT_TRUE(m_deployment->applyRouting(routingDocument, 5s));
        for (const std::string& node : m_deployment->nodeNames())
            ASSERT_TRUE(m_deployment->setModes(node, { { "reportsLoad", true } }));
        sendFor(500ms);
    }

    void startWithColdRate()
    {
        start();
        std::string document = routingDocument;
        document.insert(document.find("health_path"), "cold_time_ms = 3000\ncold_requests_per_second = 6\n");
        ASSERT_TRUE(m_deployment->applyRouting(document, 5s));
        for (const std::string& node : m_deployment->nodeNames())
            ASSERT_TRUE(m_deployment->setModes(node, { { "reportsLoad", true }, { "coldMs", 0 } }));
        sendFor(1500ms);
    }

    /// Sends 60 calls per second, through each node in turn.
    void sendFor(std::chrono::milliseconds time)
    {
        constexpr std::chrono::microseconds interval { 16667 };
        const auto nodes = m_deployment->nodeNames();
        auto next = Clock::now();
        for (const auto end = next + time; next < end; next += interval) {
            m_caller.send(callAddress(nodes[m_sent++ % nodes.size()]), "GET", "/stock", 2s);
            while (Clock::now() < next + interval)
                m_caller.runFor(2ms);
        }
    }

    /// Makes a backend server tell this in all its answers from now on.
    void tell(const std::string& node, const nlohmann::json& modes)
    {
        ASSERT_TRUE(m_deployment->setModes(node, modes));
        m_toldAt[node] = Clock::now();
    }

    /// Times of the requests that a backend server has received since it was told to change its state, in milliseconds.
    std::vector<double> arrivals(const std::string& node, const std::vector<std::string>& kinds)
    {
        const nlohmann::json ages = m_deployment->backendArrivals(node);
        const double sinceTold = std::chrono::duration<double, std::milli>(Clock::now() - m_toldAt.at(node)).count();
        std::vector<double> times;
        for (const std::string& kind : kinds) {
            for (const nlohmann::json& age : ages.value(kind, nlohmann::json::array()))
                times.push_back(sinceTold - age.get<double>());
        }
        std::sort(times.begin(), times.end());
        return times;
    }

    /// Expects that in no window later than limitTime the backend server received more requests than allowed.
    void expectLimitKept(const std::string& node, double limit)
    {
        const std::vector<double> times = arrivals(node, { "call", "repeat", "health_check" });
        const double width = std::chrono::duration<double, std::milli>(window).count();
        std::size_t most = 0;
        auto first = std::lower_bound(times.begin(), times.end(), std::chrono::duration<double, std::milli>(limitTime).count());
        for (auto last = first; last != times.end(); ++last) {
            while (*last - *first > width)
                ++first;
            most = std::max<std::size_t>(most, static_cast<std::size_t>(last - first) + 1);
        }
        EXPECT_LE(static_cast<double>(most), allowedInWindow(limit)) << "node " << node << " " << requestMetrics(node);
    }

    /// Expects that in no second the backend server received more requests than a cold one with this rate bears, since it was
    /// told that it is cold.
    void expectColdBoundKept(const std::string& node, double rate)
    {
        const std::vector<double> times = arrivals(node, { "call", "repeat", "health_check" });
        std::size_t most = 0;
        auto first = std::lower_bound(times.begin(), times.end(), 0.0);
        for (auto last = first; last != times.end(); ++last) {
            while (*last - *first >= 1000)
                ++first;
            most = std::max<std::size_t>(most, static_cast<std::size_t>(last - first) + 1);
        }
        const ColdBound bound;
        EXPECT_LE(static_cast<double>(most), rate * bound.overage + bound.slack) << "node " << node << " " << requestMetrics(node);
    }

    void expectNoCallsAfterLeaving(const std::string& node)
    {
        const std::vector<double> times = arrivals(node, { "call", "repeat" });
        const auto late = std::lower_bound(times.begin(), times.end(), std::chrono::duration<double, std::milli>(leavingTime).count());
        EXPECT_EQ(times.end() - late, 0) << "calls at the backend server of node " << node;
    }

    std::size_t callsSinceTold(const std::string& node)
    {
        const std::vector<double> times = arrivals(node, { "call", "repeat" });
        return static_cast<std::size_t>(times.end() - std::lower_bound(times.begin(), times.end(), 0.0));
    }

    /// Limit of a node's backend server that another node has in its status; null for none.
    nlohmann::json limitKnownTo(const std::string& node, const std::string& endpoint)
    {
        nlohmann::json status = m_deployment->nodeStatus(node);
        for (const nlohmann::json& known : status["traffic"]["endpoints"]["dispatch"]) {
            if (known["node"] == endpoint)
                return known["requests_per_second"];
        }
        return "unknown endpoint";
    }

    std::string requestMetrics(const std::string& node)
    {
        const std::string name = "knapweedquay_backend_requests_total{";
        std::string found;
        std::istringstream lines(m_deployment->nodeMetrics(node));
        for (std::string line; std::getline(lines, line);) {
            if (line.compare(0, name.size(), name) == 0)
                found += line.substr(name.size()) + "; ";
        }
        return found;
    }

    void expectAllAnswered()
    {
        ASSERT_TRUE(m_caller.waitForAnswers(6s));
        for (const TestCallPointer& call : m_caller.calls())
            EXPECT_TRUE(call->isAnsweredCorrectly()) << call->id << " status " << call->answer.status << " code " << call->code();
    }

    void restartNode(const std::string& node)
    {
        m_deployment->node(node).signal(SIGKILL);
        ASSERT_TRUE(waitUntil([&] { return !m_deployment->node(node).isRunning(); }, 5s));
        m_deployment->restartNode(node);
    }

private:
    std::map<std::string, Clock::time_point> m_toldAt;
    std::size_t m_sent = 0;
};

} // namespace

// The number was read from the routing document and used nowhere.
TEST_F(BackendStateTest, RoutingDocument_BoundsConnections_FewerCallsRunThanSlots)
{
    start();
    std::string document = routingDocument;
    document.insert(document.find("health_path"), "maximum_connections = 4\n");
    ASSERT_TRUE(m_deployment->applyRouting(document, 5s));
    const auto hasLimit = [&] { return m_deployment->nodeMetrics("b").find("knapweedquay_endpoint_concurrency_limit 3\n") != std::string::npos; };
    EXPECT_TRUE(waitUntil(hasLimit, 5s));
    sendFor(500ms);
    expectAllAnswered();
}

TEST_F(BackendStateTest, BackendServer_NamesALimit_ReceivesNoMoreThanItAllows)
{
    startWithHealthChecks();
    tell("b", { { "requestLimit", "5.5" } });
    sendFor(limitTime + window + 500ms);
    expectLimitKept("b", 5.5);
    expectAllAnswered();
}

TEST_F(BackendStateTest, AllBackendServers_NameLimitsBelowTheLoad_ServeWhatTheLimitsAllow)
{
    startWithHealthChecks();
    for (const std::string& node : m_deployment->nodeNames())
        tell(node, { { "requestLimit", "8" } });
    sendFor(limitTime + window + 500ms);
    for (const std::string& node : m_deployment->nodeNames()) {
        expectLimitKept(node, 8);
        EXPECT_GE(callsSinceTold(node), 8 * 0.8 * 7.5);
    }
    ASSERT_TRUE(m_caller.waitForAnswers(6s));
    expectGuaranteesHold();
}

TEST_F(BackendStateTest, BackendServer_NamesALimitWithoutCalls_ReceivesNoMoreHealthChecksThanItAllows)
{
    startWithHealthChecks();
    tell("b", { { "requestLimit", "0.25" } });
    m_caller.runFor(limitTime + window + 500ms);
    expectLimitKept("b", 0.25);
}

TEST_F(BackendStateTest, BackendServer_NamesNoLimitAnyMore_ReceivesCallsAgain)
{
    startWithHealthChecks();
    tell("b", { { "requestLimit", "1" } });
    sendFor(4s);
    tell("b", { { "requestLimit", "" } });
    // Its node asks each 4 s at this limit, once a request is due, and the other nodes ask that one each second.
    sendFor(7s);
    for (const std::string& node : m_deployment->nodeNames())
        EXPECT_TRUE(limitKnownTo(node, "b").is_null()) << "node " << node << " " << requestMetrics("b");
    // While the others are idle as well, any slight difference keeps calls from it, so it is made the only endpoint.
    for (const char* other : { "a", "c" })
        exchangeOnce(m_deployment->addresses(other).admin, plainRequest("POST", "/leave", "{}"), 2s);
    tell("b", { { "requestLimit", "" } });
    sendFor(3s);
    // All calls would be 180.
    EXPECT_GE(callsSinceTold("b"), 150u) << requestMetrics("b");
    expectAllAnswered();
}

TEST_F(BackendStateTest, NodeOfALimitedBackendServer_Restarts_LimitIsKept)
{
    startWithHealthChecks();
    tell("b", { { "requestLimit", "2" } });
    sendFor(limitTime + 500ms);
    restartNode("b");
    sendFor(window + 2s);
    expectLimitKept("b", 2);
}

TEST_F(BackendStateTest, BackendServer_TurnsColdWithoutAWord_ReceivesNoMoreThanItBears)
{
    startWithColdRate();
    for (const std::string& node : m_deployment->nodeNames())
        tell(node, { { "coldMs", 4000 } });
    sendFor(3900ms);
    for (const std::string& node : m_deployment->nodeNames()) {
        expectColdBoundKept(node, coldRate);
        EXPECT_GE(callsSinceTold(node), 0.8 * 3.9 * coldRate) << "node " << node << " " << requestMetrics(node);
    }
    m_caller.runFor(500ms);
    for (const std::string& node : m_deployment->nodeNames())
        tell(node, nlohmann::json::object());
    sendFor(2s);
    std::size_t calls = 0;
    for (const std::string& node : m_deployment->nodeNames())
        calls += callsSinceTold(node);
    // All calls would be 120.
    EXPECT_GE(calls, 110u);
    ASSERT_TRUE(m_caller.waitForAnswers(6s));
    expectGuaranteesHold();
}

TEST_F(BackendStateTest, NodeOfAColdBackendServer_Restarts_BackendServerReceivesNoMoreThanItBears)
{
    startWithColdRate();
    tell("b", { { "coldMs", 6000 } });
    sendFor(500ms);
    restartNode("b");
    sendFor(5s);
    expectColdBoundKept("b", coldRate);
}

TEST_F(BackendStateTest, BackendServer_SaysThatItLeaves_ReceivesNoCallsTwoSecondsLater)
{
    startWithHealthChecks();
    tell("b", { { "leaving", "1" } });
    sendFor(leavingTime + 2s);
    expectNoCallsAfterLeaving("b");
    expectAllAnswered();
}

TEST_F(BackendStateTest, NodeOfALeavingBackendServer_Restarts_BackendServerReceivesNoCalls)
{
    startWithHealthChecks();
    tell("b", { { "leaving", "1" } });
    sendFor(leavingTime + 500ms);
    restartNode("b");
    sendFor(4s);
    expectNoCallsAfterLeaving("b");
}

// Calls arrived at the restarted node before the first health check was answered.
TEST_F(BackendStateTest, NodeOfASlowLeavingBackendServer_Restarts_BackendServerReceivesNoCalls)
{
    startWithHealthChecks();
    tell("b", { { "leaving", "1" }, { "answerDelayMs", 300 } });
    sendFor(leavingTime + 500ms);
    restartNode("b");
    sendFor(4s);
    expectNoCallsAfterLeaving("b");
}

TEST_F(BackendStateTest, BackendServer_StartsAgainAfterItLeft_ReceivesCalls)
{
    startWithHealthChecks();
    tell("b", { { "leaving", "1" } });
    sendFor(1s);
    m_deployment->backend("b").signal(SIGKILL);
    ASSERT_TRUE(waitUntil([&] { return !m_deployment->backend("b").isRunning(); }, 5s));
    m_deployment->startBackend("b");
    ASSERT_TRUE(waitUntil([&] { return !m_deployment->backendArrivals("b").is_discarded(); }, 5s));
    tell("b", nlohmann::json::object());
    sendFor(5s);
    EXPECT_GT(callsSinceTold("b"), 0u);
}

} // namespace Knapweedquay::Load
