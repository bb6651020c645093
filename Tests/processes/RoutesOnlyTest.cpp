#include "processes/ProcessFixture.h"

#include "Load/Waiting.h"
#include "coordination/routing/CallResolver.h"
#include "node/NodeControl.h"

#include <csignal>
#include <thread>

namespace Knapweedquay::Load {

namespace {

using namespace std::chrono_literals;

/// A routing document with a route for each prefix.
std::string routingText(int version, const std::vector<std::string>& prefixes, int timeoutMs = 1000)
{
    std::string text = "version = " + std::to_string(version) + "\n[[services]]\nname = \"dispatch\"\n";
    for (const std::string& prefix : prefixes)
        text += "[[routes]]\nhost = \"orders.example\"\npath = \"" + prefix + "\"\ntimeout_ms = " + std::to_string(timeoutMs) + "\n[[routes.targets]]\nservice = \"dispatch\"\n";
    return text;
}

/// Nodes at which routes alone lead to services.
class RoutesOnlyTest : public ProcessTest {
protected:
    RoutesOnlyTest()
    {
        for (NodePlan& plan : plans)
            plan.furtherSettings = "[routing]\nrequired = true\n";
    }

    /// Paths that the product's own interfaces know, none of which is a route.
    static std::vector<std::string> pathsOfOwnInterfaces()
    {
        const std::string prefix(callTargetPrefix);
        std::vector<std::string> paths { prefix + "dispatch/bookings", prefix + "dispatch", prefix + "dispatch?u=/u/", prefix + "/bookings", prefix + "other/u/" };
        for (const NodeControl::AdminResource& resource : NodeControl::adminResources())
            paths.emplace_back(resource.path);
        return paths;
    }

    HttpMessage request(const std::string& address, const std::string& method, const std::string& target, const std::string& host = "orders.example", const std::map<std::string, std::string>& headers = {})
    {
        HttpMessage message = plainRequest(method, target);
        message.headers = headers;
        message.headers["host"] = host;
        return exchangeOnce(address, message, 3s);
    }

    /// Sends requests for which there is no route to both nodes, and expects the status and that none runs.
    void expectNoWayToServices(const std::string& state, unsigned status)
    {
        const std::uint64_t executed = executions();
        for (const char* node : { "a", "b" }) {
            for (const char* method : { "GET", "POST" }) {
                for (const std::string& path : pathsOfOwnInterfaces()) {
                    for (const std::string& host : { std::string("orders.example"), callAddress(node) })
                        EXPECT_EQ(status, request(callAddress(node), method, path, host).status) << state << ": " << method << ' ' << host << path;
                }
                // The ports for other nodes and for the backend server know no calls.
                for (const std::string& address : { m_deployment->addresses(node).peers, m_deployment->addresses(node).admin })
                    EXPECT_NE(200u, request(address, method, "/call/dispatch/bookings").status) << state << ": " << address;
            }
        }
        EXPECT_EQ(executed, executions()) << state;
    }

    std::uint64_t executions() { return executedBy("a") + executedBy("b") + executedBy("c"); }

    void applyRoutes(const std::string& text, std::uint64_t expectedVersion)
    {
        ASSERT_TRUE(m_deployment->applyRouting(text, 5s, expectedVersion));
        ASSERT_TRUE(waitUntil([&] { return isInForce("a", expectedVersion + 1) && isInForce("b", expectedVersion + 1); }, 5s));
    }

    bool isInForce(const std::string& node, std::uint64_t version)
    {
        const nlohmann::json status = m_deployment->nodeStatus(node);
        return status.is_object() && status["documents"].value("@routing", std::uint64_t { 0 }) >= version;
    }
};

} // namespace

// Requests whose path began like the product's own interface passed by all routes, and ran at the service that it named.
TEST_F(RoutesOnlyTest, PathOfOwnInterface_InAnyStateOfTheRoutes_RunsNowhere)
{
    start();
    expectNoWayToServices("before the first routes", 503);
    applyRoutes(routingText(1, {}), 0);
    expectNoWayToServices("no routes", 404);
    applyRoutes(routingText(2, { "/u/", "/call/dispatch/" }), 1);
    EXPECT_EQ(200u, request(callAddress("a"), "GET", "/call/dispatch/bookings?id=routed&size=10").status);
    EXPECT_EQ(404u, request(callAddress("a"), "GET", "/call/dispatch/bookings", "others.example").status);
    applyRoutes(routingText(3, { "/u/" }), 2);
    expectNoWayToServices("after the route was dropped", 404);
    EXPECT_EQ(200u, request(callAddress("a"), "GET", "/u/?id=other&size=10").status);
    for (const char* node : { "a", "b" })
        m_deployment->node(node).signal(SIGHUP);
    expectNoWayToServices("after SIGHUP", 404);
}

// While a node started again, requests whose path named a service ran there.
TEST_F(RoutesOnlyTest, PathOfOwnInterface_WhileTheNodeStartsAgain_RunsNowhere)
{
    start();
    applyRoutes(routingText(1, { "/u/" }), 0);
    const std::uint64_t executed = executions();
    m_deployment->node("a").signal(SIGKILL);
    ASSERT_TRUE(waitUntil([&] { return !m_deployment->node("a").isRunning(); }, 5s));
    m_deployment->restartNode("a");
    bool isDenied = false;
    ASSERT_TRUE(waitUntil(
        [&] {
            const unsigned status = request(callAddress("a"), "POST", "/call/dispatch/bookings").status;
            EXPECT_TRUE(status == 0 || status == 503 || status == 404) << status;
            isDenied = status == 404;
            return isDenied;
        },
        10s));
    expectNoWayToServices("after the start", 404);
    EXPECT_EQ(executed, executions());
}

// The second request with a caller's Idempotency-Key did not run and got the first one's answer, or 409 at another node.
TEST_F(RoutesOnlyTest, RequestsWithOneIdempotencyKey_OnARoute_AllRun)
{
    start();
    applyRoutes(routingText(1, { "/u/" }), 0);
    for (const char* node : { "a", "a", "b" })
        EXPECT_EQ(200u, request(callAddress(node), "POST", "/u/?id=keyed&size=10", "orders.example", { { "idempotency-key", "k" } }).status) << node;
    EXPECT_EQ(3u, executionCount("keyed"));
}

// A call that named no deadline outlived the request that made it, so that nothing bounded a ring of calls.
TEST_F(RoutesOnlyTest, CallOfRunningRequest_WithoutDeadline_EndsWithItsParent)
{
    plans = { plans[0] };
    start();
    ASSERT_TRUE(m_deployment->applyRouting(routingText(1, { "/u/" }, 2500), 5s));
    ASSERT_TRUE(waitUntil([&] { return isInForce("a", 1); }, 5s));
    ASSERT_TRUE(m_deployment->setModes("a", { { "freezeAnswers", true } }));
    std::thread parent([this] {
        EXPECT_EQ(504u, request(callAddress("a"), "POST", "/u/?id=parent&size=10", "orders.example", { { "knapweedquay-request-id", "p" }, { "knapweedquay-deadline-ms", "800" } }).status);
    });
    EXPECT_TRUE(waitUntil([&] { return executionCount("parent") == 1; }, 2s));
    const auto sentAt = std::chrono::steady_clock::now();
    EXPECT_EQ(504u, request(callAddress("a"), "POST", "/u/?id=child&size=10", "orders.example", { { "knapweedquay-request-id", "p.1" } }).status);
    EXPECT_LT(std::chrono::steady_clock::now() - sentAt, 1300ms);
    EXPECT_EQ(1u, executionCount("child"));
    parent.join();
}

} // namespace Knapweedquay::Load
