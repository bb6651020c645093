#include "processes/ProcessFixture.h"

#include "Load/Waiting.h"

#include <nlohmann/json.hpp>

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

/// A deployment whose nodes route requests without a service's name.
class RoutingTest : public ProcessTest {
protected:
    HttpMessage request(const std::string& host, const std::string& path, const std::string& id)
    {
        HttpMessage message = plainRequest("GET", path + "?id=" + id + "&size=10");
        message.headers["host"] = host;
        message.headers["knapweedquay-request-id"] = id;
        return exchangeOnce(calls("a"), message, 3s);
    }

    /// The numbers of the events that a node's log has of a request.
    std::set<int> eventsOf(const std::string& node, const std::string& id) const
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

    bool hasTrail(const std::string& id, int lastAtOrigin, int lastAtEndpoint)
    {
        return waitUntil(
            [&] {
                std::set<int> atEndpoints;
                for (const char* node : { "a", "b", "c" })
                    atEndpoints.merge(eventsOf(node, id));
                const std::set<int> atOrigin = eventsOf("a", id);
                return atOrigin.count(610) > 0 && atOrigin.count(lastAtOrigin) > 0 && atEndpoints.count(lastAtEndpoint) > 0;
            },
            5s);
    }
};

} // namespace

TEST_F(RoutingTest, RoutingDocument_Applied_RequestsGoByHostAndPath)
{
    start();
    EXPECT_EQ(404u, request("orders.example", "/stock/one", "early").status) << "no routing document yet";
    ASSERT_TRUE(m_deployment->applyRouting(routingDocument, 5s));
    ASSERT_TRUE(waitUntil([&] { return request("orders.example", "/stock/one", "routed").status == 200; }, 5s));
    EXPECT_EQ(1u, runsOf("routed"));
    EXPECT_EQ(404u, request("orders.example", "/other/", "elsewhere").status);
    EXPECT_EQ(404u, request("others.example", "/stock/one", "other-host").status);
    EXPECT_EQ(0u, runsOf("elsewhere") + runsOf("other-host"));
    const auto named = m_caller.send(calls("a"), "GET", "/stock", 2s);
    ASSERT_TRUE(m_caller.finish(5s));
    EXPECT_TRUE(named->isAnsweredRightly()) << "requests that name their service go on as before";
}

TEST_F(RoutingTest, RequestFails_AnyWay_LeavesItsStoryAtBothNodes)
{
    // Nobody else answers in place of the one that fails.
    plans = { plans[0], plans[1] };
    plans[0].hasBackend = false;
    start();
    ASSERT_TRUE(m_deployment->applyRouting(routingDocument, 5s));
    ASSERT_TRUE(waitUntil([&] { return request("orders.example", "/stock/one", "warm").status == 200; }, 5s));

    ASSERT_TRUE(m_deployment->setModes("b", { { "failFast", true } }));
    EXPECT_EQ(500u, request("orders.example", "/stock/one", "failed").status);
    EXPECT_TRUE(hasTrail("failed", 616, 623));

    ASSERT_TRUE(m_deployment->setModes("b", { { "failFast", false }, { "freezeAnswers", true } }));
    EXPECT_EQ(504u, request("orders.example", "/stock/one", "late").status);
    EXPECT_TRUE(hasTrail("late", 616, 623));

    ASSERT_TRUE(m_deployment->setModes("b", { { "freezeAnswers", false }, { "refuse", true } }));
    EXPECT_EQ(503u, request("orders.example", "/stock/one", "refused").status);
    EXPECT_TRUE(hasTrail("refused", 616, 623));
}

} // namespace Knapweedquay::Load
