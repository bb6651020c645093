#include "platform/AnnouncementDecoder.h"
#include "platform/ConfigurationDecoder.h"
#include "coordination/workspaces/KeyTable.h"
#include "platform/PathDecoder.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

using namespace Knapweedquay;
using namespace Knapweedquay::Platform;
using namespace std::chrono_literals;
using Json = nlohmann::json;

namespace {

const std::string configuration = R"({"Version":"0000000c","Services":[
 {"Name":"huvo11a","HealthPath":"/health","MaxConnections":220,"Protocol":"h1","Tls":false},
 {"Name":"wuno96b","HealthPath":"/health","MaxConnections":220,"Protocol":"h1","Tls":false}],
 "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeoutS":3,"IdleTimeoutS":15},
 "VirtualHosts":[{"Host":"ficu95.example","Paths":[
 {"Name":"r-1","PathPrefix":"/pufi791/","Kind":"unsafe","TimeoutS":1,"TargetLatencyS":0.25,"Priority":1,"Service":"huvo11a","MaxAttempts":2},
 {"Name":"r-2","PathPrefix":"/lohu930/","Kind":"safe","TimeoutS":0.8,"TargetLatencyS":0.2,"Priority":0,"TrafficSplit":[{"Service":"huvo11a","Weight":90},{"Service":"wuno96b","Weight":10}],"MaxAttempts":2}]}]})";

class ConfigurationDecoderTest : public ::testing::Test {
protected:
    /// Expects InvalidDocument for the configuration after one modification.
    void expectInvalid(const std::function<void(Json&)>& modify)
    {
        Json json = Json::parse(configuration);
        modify(json);
        const auto decoded = decodeConfiguration(json.dump());
        ASSERT_TRUE(decoded.has_error()) << json.dump();
        EXPECT_EQ(ResultCode::InvalidDocument, decoded.error().code);
    }

    static Json& route(Json& json, std::size_t index) { return json["VirtualHosts"][0]["Paths"][index]; }
};

class AnnouncementDecoderTest : public ::testing::Test {
protected:
    /// A complete announcement.
    Json m_json = Json::parse(R"({"Service":"huvo11a","Address":"10.128.0.9:8080","Zone":"z","Version":"v1","Slots":12,"State":"ready","ColdRemainingS":2.5,"Sequence":4,"born":1700000000000})");
};

} // namespace

TEST_F(ConfigurationDecoderTest, Complete_Decoded_HoldsAllMembers)
{
    const auto decoded = decodeConfiguration(configuration);
    ASSERT_FALSE(decoded.has_error()) << decoded.error().detail;
    const RoutingDocument& routing = decoded.value();
    EXPECT_EQ(12u, routing.version);
    EXPECT_EQ(Duration(3s), routing.limits.headerTimeout);
    ASSERT_EQ(2u, routing.rules.size());
    EXPECT_FALSE(routing.rules[0].isIdempotent);
    EXPECT_EQ(Duration(250ms), routing.rules[0].target);
    EXPECT_TRUE(routing.rules[1].isIdempotent);
    EXPECT_EQ(Duration(800ms), routing.rules[1].timeout);
    EXPECT_EQ(10u, routing.rules[1].targets[1].weight);
    EXPECT_EQ(220u, routing.services[0].maximumConnections);
}

TEST_F(ConfigurationDecoderTest, Truncated_Decoded_IsInvalid)
{
    for (std::size_t length = 0; length < configuration.size(); length += 7)
        EXPECT_TRUE(decodeConfiguration(std::string_view(configuration).substr(0, length)).has_error()) << length;
}

TEST_F(ConfigurationDecoderTest, EachInvalidMember_Decoded_IsInvalid)
{
    expectInvalid([](Json& json) { route(json, 0)["Service"] = "nosuch"; });
    expectInvalid([](Json& json) { route(json, 1)["TrafficSplit"][0]["Service"] = "nosuch"; });
    expectInvalid([](Json& json) { route(json, 1)["PathPrefix"] = route(json, 0)["PathPrefix"]; });
    expectInvalid([](Json& json) { route(json, 0)["TimeoutS"] = 0; });
    expectInvalid([](Json& json) { route(json, 0)["TimeoutS"] = 601; });
    expectInvalid([](Json& json) { route(json, 0).erase("TimeoutS"); });
    expectInvalid([](Json& json) { route(json, 0).erase("Service"); });
    expectInvalid([](Json& json) { for (Json& share : route(json, 1)["TrafficSplit"]) share["Weight"] = 0; });
    expectInvalid([](Json& json) { json["Version"] = "xyz"; });
    expectInvalid([](Json& json) { json["Version"] = 12; });
    expectInvalid([](Json& json) { json.erase("VirtualHosts"); });
    expectInvalid([](Json& json) { json["Services"] = "none"; });
    expectInvalid([](Json& json) { json["Limits"]["MaxHeaderBytes"] = -1; });
    expectInvalid([](Json& json) { json = Json::array(); });
    expectInvalid([](Json& json) { json["Tenants"] = Json::array({ 1, 2 }); });
    expectInvalid([](Json& json) { json["Tenants"] = Json::parse(R"([{"Name":"t-1","ApiKeys":["a"]},{"Name":"t-2","ApiKeys":["b","a"]}])"); });
    expectInvalid([](Json& json) { json["Tenants"] = Json::parse(R"([{"Name":"t-1","ApiKeys":["a",3]}])"); });
    expectInvalid([](Json& json) { json["Tenants"] = Json::parse(R"([{"Name":"t-1","ApiKeys":[],"PerS":-1}])"); });
    expectInvalid([](Json& json) { json["Tenants"] = Json::parse(R"([{"Name":"t-1\r\nX-Tenant-Id: t-2","ApiKeys":["a"]}])"); });
    expectInvalid([](Json& json) { json["Services"][0]["ColdStartS"] = -1; });
}

TEST_F(ConfigurationDecoderTest, Workspaces_Decoded_HoldDigestsOfTheirKeys)
{
    Json json = Json::parse(configuration);
    json["Tenants"] = Json::parse(R"([{"Name":"t-1","ApiKeys":["a","b"],"Priority":2,"PerS":12.5,"Burst":3},{"Name":"t-2","ApiKeys":[]}])");
    route(json, 0)["AllowAnonymous"] = true;
    const auto decoded = decodeConfiguration(json.dump());
    ASSERT_FALSE(decoded.has_error()) << decoded.error().detail;
    const std::vector<Workspace>& workspaces = decoded.value().workspaces;
    ASSERT_EQ(2u, workspaces.size());
    EXPECT_EQ((std::vector { digestOfKey("a"), digestOfKey("b") }), workspaces[0].keys);
    EXPECT_EQ(Rank(2), workspaces[0].rank);
    EXPECT_EQ(12.5, workspaces[0].quota.requestsPerSecond);
    EXPECT_FALSE(workspaces[1].quota.isLimited());
    EXPECT_TRUE(decoded.value().rules[0].allowsAnonymous);
}

// After the last tenant was withdrawn by an empty list, calls with withdrawn and unknown keys were served.
TEST_F(ConfigurationDecoderTest, EmptyListOfTenants_Decoded_StillAsksForKeys)
{
    Json json = Json::parse(configuration);
    EXPECT_FALSE(KeyTable(decodeConfiguration(json.dump()).value()).isNeeded());
    json["Tenants"] = Json::array();
    EXPECT_TRUE(KeyTable(decodeConfiguration(json.dump()).value()).isNeeded());
}

TEST_F(ConfigurationDecoderTest, UnknownMembers_Decoded_AreIgnored)
{
    Json json = Json::parse(configuration);
    json["Regions"] = Json::array({ 1, 2 });
    route(json, 0)["Mirror"] = "x";
    EXPECT_FALSE(decodeConfiguration(json.dump()).has_error());
}

TEST(VersionDecoderTest, OnlyHexadecimalDigits_Decoded_AreAccepted)
{
    EXPECT_EQ(12u, decodeVersion("0000000c"));
    EXPECT_EQ(0u, decodeVersion("0"));
    for (const char* text : { "", "0x1", "g", "-1", " 1", "11111111111111111" })
        EXPECT_FALSE(decodeVersion(text)) << text;
}

TEST_F(AnnouncementDecoderTest, Complete_Decoded_HoldsAllMembers)
{
    const auto decoded = decodeAnnouncement("i-1", m_json.dump());
    ASSERT_FALSE(decoded.has_error()) << decoded.error().detail;
    EXPECT_EQ("i-1", decoded.value().instance);
    EXPECT_EQ(1700000000000u, decoded.value().startedAt);
    EXPECT_EQ(4u, decoded.value().sequence);
    EXPECT_EQ(Duration(2500ms), decoded.value().warmUp);
    EXPECT_FALSE(decoded.value().draining);
    m_json["State"] = "draining";
    EXPECT_TRUE(decodeAnnouncement("i-1", m_json.dump()).value().draining);
}

TEST_F(AnnouncementDecoderTest, MissingOrInvalidMembers_Decoded_AreErrors)
{
    for (const char* name : { "Service", "Address", "State", "Slots", "Sequence" }) {
        Json missing = m_json;
        missing.erase(name);
        EXPECT_TRUE(decodeAnnouncement("i-1", missing.dump()).has_error()) << name;
        Json invalid = m_json;
        invalid[name] = Json::array();
        EXPECT_TRUE(decodeAnnouncement("i-1", invalid.dump()).has_error()) << name;
    }
    m_json["State"] = "resting";
    EXPECT_TRUE(decodeAnnouncement("i-1", m_json.dump()).has_error());
    EXPECT_TRUE(decodeAnnouncement("i-1", "\x80 not JSON").has_error());
    EXPECT_TRUE(decodeAnnouncement("", "{}").has_error());
    EXPECT_EQ(0u, decodeStartTime("not JSON"));
}

// One odd entry among the announcements ended the processes that read it.
TEST_F(AnnouncementDecoderTest, OddEntries_Decoded_AreErrors)
{
    const std::string text = m_json.dump();
    constexpr std::size_t depth = 20000;
    const std::string nested = std::string(depth, '[') + std::string(depth, ']');
    const auto isRefused = [&text](const std::string& name, const std::string& value) {
        Json json = Json::parse(text);
        json.erase(name);
        const std::string odd = "{\"" + name + "\":" + value + "," + json.dump().substr(1);
        return decodeAnnouncement("i", odd).has_error();
    };
    EXPECT_TRUE(isRefused("Service", nested));
    EXPECT_TRUE(decodeAnnouncement("i", nested).has_error());
    EXPECT_TRUE(decodeAnnouncement("i", std::string(depth, '{')).has_error());
    EXPECT_TRUE(isRefused("ColdRemainingS", "1e400"));
    for (const char* number : { "1e400", "18446744073709551616", "-1", "99999999999999999999" }) {
        EXPECT_TRUE(isRefused("Slots", number)) << number;
        EXPECT_TRUE(isRefused("Sequence", number)) << number;
        EXPECT_TRUE(isRefused("born", number)) << number;
    }
    for (const char* port : { "0", "70000", "-1", "99999999999999999999", "" })
        EXPECT_TRUE(isRefused("Address", std::string("\"10.128.0.9:") + port + "\"")) << port;
    // An unknown member is ignored, however odd.
    EXPECT_FALSE(isRefused("Unknown", nested));
}

TEST(PathDecoderTest, Segments_Decoded_GiveNamesOrNothing)
{
    EXPECT_EQ("north-1", Platform::decodePathSegment("north-1"));
    EXPECT_EQ("a b/%", Platform::decodePathSegment("a%20b%2F%25"));
    for (const char* segment : { "", "a/b", "a?b", "%", "%2", "%2g", "%+1" })
        EXPECT_EQ(std::nullopt, Platform::decodePathSegment(segment)) << segment;
}
