#include "control/ControlSettings.h"
#include "node/NodeSettings.h"

#include <gtest/gtest.h>

#include <cstdio>
#include <fstream>
#include <unistd.h>

using namespace Knapweedquay;

namespace {

constexpr const char* nodeText = R"(node = "node-1"
data_centre = "amman-marka"
[listen]
calls = "127.0.0.1:7000"
[membership]
seeds = ["127.0.0.1:7400", "[::1]:7400"]
)";

/// Writes settings to a temporary file, which is removed after the test.
class SettingsFileTest : public ::testing::Test {
protected:
    ~SettingsFileTest() override { std::remove(path.c_str()); }

    std::string write(const std::string& text)
    {
        std::ofstream(path) << text;
        return path;
    }

    std::string detailOf(const std::string& text, const std::vector<SettingOverride>& overrides = {})
    {
        const auto settings = loadNodeSettings(write(text), overrides);
        return settings.has_error() ? settings.error().detail : "";
    }

    const std::string path = ::testing::TempDir() + "knapweedquay-settings-test-" + std::to_string(getpid()) + ".toml";
};

TEST_F(SettingsFileTest, NodeSettings_Loaded_HaveValuesAndDefaults)
{
    const auto settings = loadNodeSettings(write(nodeText));
    ASSERT_TRUE(settings.has_value()) << settings.error().detail;
    EXPECT_EQ(SocketAddress({ "127.0.0.1", 7000 }), settings.value().calls);
    EXPECT_EQ(SocketAddress({ "::1", 7400 }), settings.value().seeds.at(1));
    EXPECT_EQ(ChoicePolicy::Predicted, settings.value().choice.policy);
    EXPECT_EQ(LogLevel::Info, settings.value().log.level);
}

TEST_F(SettingsFileTest, Overrides_Given_TakePrecedenceOverFile)
{
    const auto settings = loadNodeSettings(write(nodeText), { { "listen.calls", "127.0.0.1:9" }, { "choice.policy", "\"random\"" }, { "log.level", "debug" }, { "membership.seeds", "[]" } });
    ASSERT_TRUE(settings.has_value()) << settings.error().detail;
    EXPECT_EQ(9, settings.value().calls.port);
    EXPECT_EQ(ChoicePolicy::Random, settings.value().choice.policy);
    EXPECT_EQ(LogLevel::Debug, settings.value().log.level);
    EXPECT_TRUE(settings.value().seeds.empty());
}

TEST_F(SettingsFileTest, InvalidAndUnknownKeys_Loaded_AreAllReportedWithPosition)
{
    const std::string text = "node = \"node 1\"\n[listen]\ncalls = \"localhost:7000\"\ncall = 1\n[choice]\npolicy = \"best\"\n[membership]\nseeds = [1]\n";
    const std::string detail = detailOf(text);
    for (const char* expected : { ":1:8: node: expected a name", ":1:1: data_centre: expected a name", ":3:9: listen.calls: expected an IP number", ":4:1: listen.call: unknown key; expected one of: admin, calls, gossip, peers",
             ":6:10: choice.policy: expected one of predicted, random, round_robin, least_reported_load, found \"best\"", ":8:10: membership.seeds[0]: expected an IP number" })
        EXPECT_NE(std::string::npos, detail.find(path + expected)) << expected << "\nin\n"
                                                                   << detail;
    EXPECT_EQ("command line: listen.colour: unknown key; expected one of: admin, calls, gossip, peers", detailOf(nodeText, { { "listen.colour", "red" } }));
    EXPECT_EQ("command line: node.name: expected a table at \"node\"", detailOf(nodeText, { { "node.name", "x" } }));
    EXPECT_EQ(ResultCode::FileUnreadable, loadNodeSettings(path + ".missing").error().code);
    EXPECT_TRUE(parseSettingOverride("novalue").has_error());
}

TEST_F(SettingsFileTest, ControlSettings_Loaded_CheckRangesAndSecrets)
{
    const std::string good = "folder = \"data\"\n[store]\nminimum_voters = 3\npeers = [\"127.0.0.1:1\"]\n[credentials]\ndispatch = \"s\"\n";
    const auto settings = loadControlSettings(write(good));
    ASSERT_TRUE(settings.has_value()) << settings.error().detail;
    EXPECT_EQ("s", settings.value().credentials.at("dispatch"));
    EXPECT_EQ(3u, settings.value().minimumVoters);
    const auto wrong = loadControlSettings(write("[store]\nminimum_voters = 9\n[credentials]\ndispatch = \"\"\n"));
    ASSERT_TRUE(wrong.has_error());
    for (const char* expected : { ":1:1: folder: ", ":2:18: store.minimum_voters: expected a whole number from 1 to 8, found 9", ":4:12: credentials.dispatch: " })
        EXPECT_NE(std::string::npos, wrong.error().detail.find(expected)) << wrong.error().detail;
}

} // namespace
