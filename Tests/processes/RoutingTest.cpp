#include "processes/ProcessFixture.h"

#include "Load/Waiting.h"

#include <nlohmann/json.hpp>

#include <csignal>
#include <fstream>
#include <set>
#include <sstream>

namespace Knapweedquay::Load {

namespace {

using namespace std::chrono_literals;

constexpr const char* routingDocument = R"(version = 7
[[services]]
name = "dispatch"
[[routes]]
name = "stock"
host = "orders.example"
path = "/stock/"
idempotent = true
target_ms = 100
[[routes.targets]]
service = "dispatch"
)";

/// Sends requests that do not name a service, which nodes route by host and path.
class RoutingTest : public ProcessTest {
protected:
    HttpMessage request(const std::string& host, const std::string& path, const std::string& id)
    {
        HttpMessage message = plainRequest("GET", path + "?id=" + id + "&size=10");
        message.headers["host"] = host;
        message.headers["knapweedquay-request-id"] = id;
        return exchangeOnce(callAddress("a"), message, 3s);
    }

    /// Numbers of the events that a node has logged for a request.
    std::set<int> loggedEvents(const std::string& node, const std::string& id) const
    {
        std::ifstream log(m_deployment->folder() + "/" + node + ".out");
        std::set<int> events;
        for (std::string line; std::getline(log, line);) {
            if (line.find("request=\"" + id + "\"") == std::string::npos)
                continue;
            std::istringstream words(line);
            std::string time;
            std::string level;
            std::string process;
            int event = 0;
            words >> time >> level >> process >> event;
            events.insert(event);
        }
        return events;
    }

    /// Waits until the caller's node has logged the first event of a request and the given last one, and some node the
    /// given last event at the endpoint. Events: 610 CallAccepted, 616 CallEnded, 623 AttemptEnded.
    bool hasLoggedEvents(const std::string& id, int lastEventAtCallersNode, int lastEventAtEndpoint)
    {
        return waitUntil(
            [&] {
                std::set<int> eventsAtEndpoints;
                for (const char* node : { "a", "b", "c" })
                    eventsAtEndpoints.merge(loggedEvents(node, id));
                const std::set<int> eventsAtCallersNode = loggedEvents("a", id);
                return eventsAtCallersNode.count(610) > 0 && eventsAtCallersNode.count(lastEventAtCallersNode) > 0 && eventsAtEndpoints.count(lastEventAtEndpoint) > 0;
            },
            5s);
    }
};

} // namespace

TEST_F(RoutingTest, RoutingDocument_Applied_RequestsAreRoutedByHostAndPath)
{
    start();
    EXPECT_EQ(404u, request("orders.example", "/stock/one", "early").status) << "no routing document yet";
    ASSERT_TRUE(m_deployment->applyRouting(routingDocument, 5s));
    ASSERT_TRUE(waitUntil([&] { return request("orders.example", "/stock/one", "routed").status == 200; }, 5s));
    EXPECT_EQ(1u, executionCount("routed"));
    EXPECT_EQ(404u, request("orders.example", "/other/", "elsewhere").status);
    EXPECT_EQ(404u, request("others.example", "/stock/one", "other-host").status);
    EXPECT_EQ(0u, executionCount("elsewhere") + executionCount("other-host"));
    const auto named = m_caller.send(callAddress("a"), "GET", "/stock", 2s);
    ASSERT_TRUE(m_caller.waitForAnswers(5s));
    EXPECT_TRUE(named->isAnsweredCorrectly()) << "requests that name their service are still answered";
}

// A node with an older version answered 404 for a route that a newer one has, and callers don't retry after a 404.
TEST_F(RoutingTest, UnknownRoute_WithoutRecentProof_IsRefusedAsStaleInsteadOfUnknown)
{
    start();
    ASSERT_TRUE(m_deployment->applyRouting(routingDocument, 5s));
    ASSERT_TRUE(waitUntil([&] { return request("orders.example", "/stock/one", "routed").status == 200; }, 5s));
    EXPECT_EQ(404u, request("orders.example", "/other/", "unknown").status);
    for (std::size_t index = 0; index < m_deployment->controlCount(); ++index)
        m_deployment->control(index).signal(SIGSTOP);
    EXPECT_TRUE(waitUntil([&] { return request("orders.example", "/other/", "stale").status == 503; }, 5s));
    EXPECT_EQ(200u, request("orders.example", "/stock/one", "known").status);
    for (std::size_t index = 0; index < m_deployment->controlCount(); ++index)
        m_deployment->control(index).signal(SIGCONT);
    EXPECT_TRUE(waitUntil([&] { return request("orders.example", "/other/", "recent").status == 404; }, 10s));
}

TEST_F(RoutingTest, RequestFails_InAnyWay_BothNodesLogItsEvents)
{
    // Only the backend server of "b" runs, so that no other one answers the failed calls.
    plans = { plans[0], plans[1] };
    plans[0].hasBackend = false;
    start();
    ASSERT_TRUE(m_deployment->applyRouting(routingDocument, 5s));
    ASSERT_TRUE(waitUntil([&] { return request("orders.example", "/stock/one", "warm").status == 200; }, 5s));

    ASSERT_TRUE(m_deployment->setModes("b", { { "failFast", true } }));
    EXPECT_EQ(500u, request("orders.example", "/stock/one", "failed").status);
    EXPECT_TRUE(hasLoggedEvents("failed", 616, 623));

    ASSERT_TRUE(m_deployment->setModes("b", { { "failFast", false }, { "freezeAnswers", true } }));
    EXPECT_EQ(504u, request("orders.example", "/stock/one", "late").status);
    EXPECT_TRUE(hasLoggedEvents("late", 616, 623));

    ASSERT_TRUE(m_deployment->setModes("b", { { "freezeAnswers", false }, { "refuse", true } }));
    EXPECT_EQ(503u, request("orders.example", "/stock/one", "refused").status);
    EXPECT_TRUE(hasLoggedEvents("refused", 616, 623));
}

} // namespace Knapweedquay::Load
