#include "state/RoutingDocument.h"
#include "state/RoutingParser.h"

#include <gtest/gtest.h>

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

class RoutingDocumentTest : public ::testing::Test {
protected:
    void expectInvalid(const std::string& from, const std::string& to, const std::string& reason)
    {
        std::string text = validText;
        text.replace(text.find(from), from.size(), to);
        const auto routing = parseRoutingToml(text);
        ASSERT_TRUE(routing.has_error()) << to;
        EXPECT_EQ(ResultCode::InvalidDocument, routing.error().code);
        EXPECT_NE(std::string::npos, routing.error().detail.find(reason)) << routing.error().detail;
    }
};

} // namespace

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
