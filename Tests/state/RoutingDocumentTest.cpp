#include "state/RoutingDocument.h"
#include "state/RoutingParser.h"

#include <gtest/gtest.h>

#include <cmath>
#include <functional>

using namespace Knapweedquay;
using namespace std::chrono_literals;

namespace {

const std::string validText = R"(
version = 7
[limits]
header_bytes = 8000
[[services]]
name = "dispatch"
maximum_connections = 220
[[services]]
name = "inventory"
health_path = "/health"
cold_time_ms = 3000
cold_requests_per_second = 7.2
[[routes]]
host = "shop.example"
path = "/orders/"
idempotent = true
timeout_ms = 1000
target_ms = 250
maximum_attempts = 2
[[routes.targets]]
service = "dispatch"
[[routes]]
host = "shop.example"
path = "/catalogue/"
rank = 3
timeout_ms = 2000
target_ms = 1200
[[routes.targets]]
service = "inventory"
weight = 90
[[routes.targets]]
service = "dispatch"
weight = 10
)";

const std::string workspacesText = R"([[workspaces]]
name = "archive"
keys = ["secret-1", "secret-2"]
rank = 1
requests_per_second = 12.5
burst = 3
[[workspaces]]
name = "school"
keys = ["secret-3"]
)";

class RoutingDocumentTest : public ::testing::Test {
protected:
    void expectInvalid(const std::string& from, const std::string& to, const std::string& reason)
    {
        std::string text = validText + workspacesText;
        text.replace(text.find(from), from.size(), to);
        const auto routing = parseRoutingToml(text);
        ASSERT_TRUE(routing.has_error()) << to;
        EXPECT_EQ(ResultCode::InvalidDocument, routing.error().code);
        EXPECT_NE(std::string::npos, routing.error().detail.find(reason)) << routing.error().detail;
        EXPECT_EQ(std::string::npos, routing.error().detail.find("secret")) << routing.error().detail;
    }
};

} // namespace

TEST_F(RoutingDocumentTest, EmptyListOfWorkspaces_Parsed_NeedsKeys)
{
    EXPECT_FALSE(parseRoutingToml(validText).value().needsKeys());
    EXPECT_TRUE(parseRoutingToml(validText + workspacesText).value().needsKeys());
    EXPECT_TRUE(parseRoutingToml("workspaces = []\n" + validText).value().needsKeys());
}

TEST_F(RoutingDocumentTest, ValidText_Parsed_HasAllValues)
{
    const auto routing = parseRoutingToml(validText);
    ASSERT_FALSE(routing.has_error()) << routing.error().detail;
    EXPECT_EQ(7u, routing.value().version);
    EXPECT_EQ(8000u, routing.value().limits.headerBytes);
    ASSERT_EQ(2u, routing.value().rules.size());
    EXPECT_TRUE(routing.value().rules[0].isIdempotent);
    EXPECT_EQ(Duration(250ms), routing.value().rules[0].target);
    EXPECT_EQ(Rank(3), routing.value().rules[1].rank);
    EXPECT_EQ(90u, routing.value().rules[1].targets[0].weight);
    EXPECT_EQ("/health", routing.value().services[1].healthPath);
    EXPECT_EQ(std::nullopt, routing.value().services[0].coldRate);
    EXPECT_EQ(Duration(3s), routing.value().services[1].coldTime);
    EXPECT_EQ(RequestRate(7.2), routing.value().services[1].coldRate);
}

TEST_F(RoutingDocumentTest, InvalidText_Parsed_IsRefusedWithReason)
{
    expectInvalid("version = 7", "version = 0", "version");
    expectInvalid("timeout_ms = 1000", "timeout_ms = 0", "timeout_ms");
    expectInvalid("timeout_ms = 1000", "timeout_ms = 600001", "timeout_ms");
    expectInvalid("service = \"inventory\"", "service = \"nosuch\"", "unknown service 'nosuch'");
    expectInvalid("/catalogue/", "/orders/", "two routes for shop.example/orders/");
    expectInvalid("/catalogue/", "/catalogue", "slash");
    expectInvalid("name = \"inventory\"", "name = \"dispatch\"", "two with the name 'dispatch'");
    expectInvalid("maximum_attempts = 2", "maximum_attempts = 0", "maximum_attempts");
    expectInvalid("[limits]", "[limit]", "limit");
    expectInvalid("= 7.2", "= -1", "cold_requests_per_second");
    expectInvalid("weight = 10\n", "weight = \n", "TOML");
}

TEST_F(RoutingDocumentTest, InvalidWorkspace_Parsed_IsRefusedWithReasonButWithoutKeys)
{
    expectInvalid("\"secret-3\"", "\"secret-2\"", "workspace 'school': it shares a key with workspace 'archive'");
    expectInvalid("\"secret-2\"", "\"secret-1\"", "workspace 'archive': it has one key twice");
    expectInvalid("name = \"school\"", "name = \"archive\"", "two workspaces with the name 'archive'");
    expectInvalid("name = \"school\"", "", "workspaces[1].name");
    expectInvalid("\"secret-3\"", "\"\"", "workspaces[1].keys[0]");
    expectInvalid("\"secret-3\"", "\"secret 3\"", "workspaces[1].keys[0]");
    expectInvalid("[\"secret-3\"]", "\"secret-3\"", "workspaces[1].keys");
    for (const char* rate : { "nan", "inf", "-1" }) {
        expectInvalid("12.5", rate, "requests_per_second");
        expectInvalid("burst = 3", std::string("burst = ") + rate, "burst");
        expectInvalid("health_path = \"/health\"", std::string("cold_requests_per_second = ") + rate, "cold_requests_per_second");
    }
    expectInvalid("health_path = \"/health\"", "cold_time_ms = -1", "cold_time_ms");
}

TEST_F(RoutingDocumentTest, Workspaces_CheckedInAnyFormat_HaveNamesAndFiniteNumbers)
{
    const RoutingDocument valid = parseRoutingToml(validText + workspacesText).value();
    const auto isRefused = [&valid](const std::function<void(Workspace&)>& change) {
        RoutingDocument routing = valid;
        change(routing.workspaces[1]);
        return checkRouting(routing).has_error();
    };
    EXPECT_FALSE(isRefused([](Workspace& workspace) { workspace.name = WorkspaceName("Gemeinde Süd"); }));
    for (const char* name : { "", " school", "school ", "a\r\nb", "a\x7f" })
        EXPECT_TRUE(isRefused([name](Workspace& workspace) { workspace.name = WorkspaceName(name); })) << name;
    EXPECT_TRUE(isRefused([](Workspace& workspace) { workspace.keys.push_back(digestOfKey("")); }));
    EXPECT_TRUE(isRefused([](Workspace& workspace) { workspace.quota.burst = std::nan(""); }));
    EXPECT_TRUE(isRefused([](Workspace& workspace) { workspace.quota.requestsPerSecond = -1; }));
    EXPECT_TRUE(isRefused([](Workspace& workspace) {
        for (int key = 0; key < 65536; ++key)
            workspace.keys.push_back(digestOfKey(std::to_string(key)));
    }));
}

TEST_F(RoutingDocumentTest, WorkspaceWithRank_DocumentDerived_HasItsPriorityWithTheTimesOfAllRoutesToTheService)
{
    const RoutingDocument routing = parseRoutingToml(validText + workspacesText).value();
    EXPECT_EQ((std::vector { Rank(0), Rank(1), Rank(3) }), ranksOf(routing));
    const ServiceDocument dispatch = documentFromRoutes(routing, ServiceName("dispatch"));
    // The first one is that of the calls that running requests make.
    ASSERT_EQ(4u, dispatch.priorities.size());
    EXPECT_EQ(Duration(2000ms), dispatch.priorities[0].target);
    EXPECT_EQ(0, dispatch.priorities[1].minimumShare);
    EXPECT_EQ(Duration(250ms), dispatch.priorities[2].target);
    EXPECT_EQ(Duration(2000ms), dispatch.priorities[2].maximumQueueTime);
    EXPECT_EQ(Duration(1200ms), dispatch.priorities[3].target);
    EXPECT_GT(dispatch.priorities[3].minimumShare, 0);
    EXPECT_EQ(PriorityIndex(2), priorityOfRank(routing, ranksOf(routing), Rank(1)));
    const ServiceDocument inventory = documentFromRoutes(routing, ServiceName("inventory"));
    EXPECT_EQ(Duration(1200ms), inventory.priorities[2].target);
}

TEST_F(RoutingDocumentTest, SplitWithZeroWeights_Checked_IsRefused)
{
    RoutingDocument routing = parseRoutingToml(validText).value();
    for (RouteTarget& target : routing.rules[1].targets)
        target.weight = 0;
    EXPECT_TRUE(checkRouting(routing).has_error());
}

TEST_F(RoutingDocumentTest, ServiceWithRoutes_DocumentDerived_HasPriorityForEachRank)
{
    const RoutingDocument routing = parseRoutingToml(validText).value();
    const ServiceDocument dispatch = documentFromRoutes(routing, ServiceName("dispatch"));
    ASSERT_EQ(2u, dispatch.priorities.size());
    EXPECT_EQ(Duration(250ms), dispatch.priorities[0].target);
    EXPECT_EQ(Duration(1200ms), dispatch.priorities[1].target);
    EXPECT_GT(dispatch.priorities[1].minimumShare, 0);
    const ServiceDocument inventory = documentFromRoutes(routing, ServiceName("inventory"));
    ASSERT_EQ(2u, inventory.priorities.size());
    EXPECT_EQ(Duration(1200ms), inventory.priorities[1].target);
}
