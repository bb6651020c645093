#include "platform/ConfigurationDecoder.h"
#include "platform/MachineSettings.h"
#include "platform/WireNames.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <fstream>
#include <memory>
#include <string>
#include <vector>

#include <unistd.h>

using namespace Knapweedquay;
using namespace Knapweedquay::Platform;
using namespace std::chrono_literals;

namespace {

const std::string settingsText = R"(
Node = "sidecar-1"
Role = "my-sidecar"
Ip = "10.1.0.35"
Zone = "amman"
InnerPorts = [7660,7675]
Seeds = ["10.1.0.39:8146","10.2.0.31:8146"]
Bootstrap = true
DataDir = "/data"
HeartbeatS = 1.5
Service = "huvo11a"
Bounds = ["SeedLagS=3","GraceS=6.5","CatchUpS=4","ColdOverage=1.4","ColdSlack=8"]
NewKey = { a = 1 }
[Listen]
Inbound = "10.1.0.35:8145"
Outbound = "10.1.0.35:8141"
Ready = "10.1.0.35:8140"
Control = "10.1.0.35:8146"
[Limits]
MemoryMb = 260
MaxFds = 4100
[FaultTolerance]
Machines = 2
)";

constexpr const char* oneRoute = R"({"Version":"1","Services":[{"Name":"huvo11a"}],
 "VirtualHosts":[{"Host":"ficu95.example","Paths":[{"PathPrefix":"/u/","Kind":"safe","TimeoutS":1,"Service":"huvo11a"}]}]})";

class MachineSettingsTest : public ::testing::Test {
protected:
    void SetUp() override
    {
        char name[] = "/tmp/machine-settings-XXXXXX";
        const int file = ::mkstemp(name);
        ASSERT_GE(file, 0);
        ::close(file);
        m_path = name;
    }
    void TearDown() override { std::remove(m_path.c_str()); }

    /// Writes the text to the settings file and loads it.
    Result<MachineSettings> load(const std::string& text)
    {
        std::ofstream(m_path) << text;
        return loadMachineSettings(m_path);
    }

    std::string m_path;
};

} // namespace

// With a longer silence, a voter that was lost for good was still counted when its successor had had its time.
TEST_F(MachineSettingsTest, CatchUpTime_DecidesWhenSilentVotersAreReplaced)
{
    MachineSettings machine;
    EXPECT_EQ(ControlSettings().replaceAfter, controlSettings(machine).replaceAfter);
    machine.catchUpTime = 4s;
    EXPECT_EQ(Duration(2s), controlSettings(machine).replaceAfter);
    machine.catchUpTime = 100ms;
    EXPECT_EQ(Duration(1s), controlSettings(machine).replaceAfter);
}

TEST_F(MachineSettingsTest, Complete_Loaded_ConvertsToNodeSettings)
{
    const auto machine = load(settingsText);
    ASSERT_FALSE(machine.has_error()) << machine.error().detail;
    const NodeSettings node = nodeSettings(machine.value());
    EXPECT_EQ(NodeId("sidecar-1"), node.node);
    EXPECT_EQ(1.4, node.coldBound.overage);
    EXPECT_EQ(8, node.coldBound.slack);
    EXPECT_EQ("X-Cold-Ms", node.headers.cold);
    EXPECT_EQ(CallInterface::RoutesOnly, node.callInterface);
    EXPECT_EQ(260U * 1024 * 1024, node.memoryBytes);
    EXPECT_EQ(4100U, node.descriptors);
    EXPECT_EQ((SocketAddress { "10.1.0.35", 8141 }), node.calls);
    EXPECT_EQ((SocketAddress { "10.1.0.35", 7660 }), node.peers);
    EXPECT_EQ((std::vector<std::string> { "10.1.0.39:7660", "10.2.0.31:7660" }), node.controlReplicas);
    EXPECT_EQ((SocketAddress { "10.2.0.31", 7661 }), node.seeds[1]);
    EXPECT_LT(node.maximumStopTime, 6500ms);
    EXPECT_GT(node.maximumStopTime, 5s);
}

TEST_F(MachineSettingsTest, PathsOfThePlatformsCalls_AtThePortForCalls_LeadNowhere)
{
    CallResolver resolver(nodeSettings(load(settingsText).value()).callInterface, 0);
    HttpRequest request;
    request.headers = { { "Host", "ficu95.example" } };
    for (const bool hasRoutes : { false, true }) {
        if (hasRoutes)
            resolver.setRouting(std::make_shared<const RoutingTable>(decodeConfiguration(oneRoute).value()));
        for (const char* path : { WireCall::readiness, WireCall::heartbeat, WireCall::deregister, WireCall::replaceConfiguration, WireCall::readConfiguration, WireCall::startEvacuation, WireCall::finishEvacuation }) {
            request.target = path;
            const auto call = resolver.resolve(request, Duration(0));
            ASSERT_TRUE(call.has_error()) << path;
            EXPECT_EQ(hasRoutes ? ResultCode::UnknownRoute : ResultCode::StaleConfiguration, call.error().code) << path;
        }
    }
    request.target = "/u/x";
    EXPECT_TRUE(resolver.resolve(request, Duration(0)).has_value());
}

// The notice lasted longer than the grace, so that the node ended without a drain.
TEST_F(MachineSettingsTest, Grace_ShorterThanTheNotice_LeavesHalfForTheDrain)
{
    MachineSettings machine = load(settingsText).value();
    machine.stopGrace = 2s;
    EXPECT_EQ(nodeSettings(machine).stopNotice, nodeSettings(machine).maximumStopTime / 2);
    machine.stopGrace = 100ms;
    EXPECT_EQ(nodeSettings(machine).maximumStopTime, Duration::zero());
}

TEST_F(MachineSettingsTest, Complete_Loaded_ConvertsToControlSettings)
{
    const ControlSettings control = controlSettings(load(settingsText).value());
    EXPECT_EQ("/data", control.folder);
    EXPECT_TRUE(control.bootstrap);
    EXPECT_EQ(control.peers, control.founders);
    EXPECT_EQ(4u, control.minimumVoters);
    EXPECT_EQ(5u, control.targetVoters);
    EXPECT_LT(control.maximumStopTime, 6500ms);
    EXPECT_GT(control.maximumStopTime, 5s);
}

TEST_F(MachineSettingsTest, SinglePort_Loaded_IsInvalid)
{
    std::string text = settingsText;
    text.replace(text.find("[7660,7675]"), 11, "[7660]");
    const auto machine = load(text);
    ASSERT_TRUE(machine.has_error());
    EXPECT_EQ(ResultCode::InvalidSettings, machine.error().code);
}

TEST_F(MachineSettingsTest, StrictRevocation_OnAndOff_SetsTheRevocationTimeOfNodesOnlyWhenOn)
{
    const std::string bounds = "\"GraceS=6.5\"";
    for (const char* strict : { "true", "false" }) {
        std::string text = settingsText;
        text.replace(text.find(bounds), bounds.size(), "\"RevokeS=5\",\"StrictRevocation=" + std::string(strict) + "\"");
        const auto settings = load(text);
        ASSERT_TRUE(settings.has_value());
        EXPECT_EQ(strict == std::string("true") ? std::optional(Duration(5s)) : std::nullopt, nodeSettings(settings.value()).keyRevocationTime);
        EXPECT_EQ("X-Tenant-Id", nodeSettings(settings.value()).headers.workspace);
    }
    EXPECT_FALSE(nodeSettings(load(settingsText).value()).keyRevocationTime);
}

// Settings that a running process doesn't take were ignored without a word.
TEST_F(MachineSettingsTest, ChangedSetting_ByField_IsTakenOrNeedsARestart)
{
    struct Case {
        const char* from;
        const char* to;
        /// Empty if the running process takes the setting, or needs it only at its start.
        std::vector<std::string> needsRestart;
    };
    const std::vector<Case> cases {
        { "Service = \"huvo11a\"", "Service = \"wuno96b\"", {} },
        { "10.1.0.39:8146", "10.1.0.40:8146", {} },
        { "Bootstrap = true", "Bootstrap = false", {} },
        { "NewKey = { a = 1 }", "NewKey = { a = 2 }", {} },
        { "Node = \"sidecar-1\"", "Node = \"sidecar-2\"", { "Node" } },
        { "Zone = \"amman\"", "Zone = \"marka\"", { "Zone" } },
        { "Ip = \"10.1.0.35\"", "Ip = \"10.1.0.36\"", { "Ip" } },
        { "[7660,7675]", "[7661,7675]", { "InnerPorts" } },
        { "DataDir = \"/data\"", "DataDir = \"/other\"", { "DataDir" } },
        { "HeartbeatS = 1.5", "HeartbeatS = 2", { "HeartbeatS" } },
        { "10.1.0.35:8141", "10.1.0.35:9141", { "Outbound" } },
        { "10.1.0.35:8140", "10.1.0.35:9140", { "Ready" } },
        { "10.1.0.35:8146", "10.1.0.35:9146", { "Control" } },
        { "GraceS=6.5", "GraceS=7", { "GraceS" } },
        { "CatchUpS=4", "CatchUpS=5", { "CatchUpS" } },
        { "SeedLagS=3", "RetryBudgetSlack=9", { "RetryBudgetSlack" } },
        { "SeedLagS=3", "StrictRevocation=true\",\"RevokeS=3", { "RevokeS" } },
        { "SeedLagS=3", "QuotaWindowS=3", { "QuotaWindowS" } },
        { "SeedLagS=3", "QuotaOverage=0.3", { "QuotaOverage" } },
        { "SeedLagS=3", "QuotaSlack=3", { "QuotaSlack" } },
        { "ColdOverage=1.4", "ColdOverage=1.6", { "ColdOverage" } },
        { "ColdSlack=8", "ColdSlack=9", { "ColdSlack" } },
        { "MemoryMb = 260", "MemoryMb = 300", { "MemoryMb" } },
        { "MaxFds = 4100", "MaxFds = 4000", { "MaxFds" } },
        { "Machines = 2", "Machines = 1", { "Machines" } },
        { "[FaultTolerance]", "[Zones]\nmarka = \"amman\"\n[FaultTolerance]", { "Zones" } },
    };
    const MachineSettings before = load(settingsText).value();
    for (const Case& each : cases) {
        std::string text = settingsText;
        const std::string from = each.from;
        ASSERT_NE(std::string::npos, text.find(from)) << from;
        text.replace(text.find(from), from.size(), each.to);
        const auto after = load(text);
        ASSERT_TRUE(after.has_value()) << each.to;
        const auto names = settingsThatNeedRestart(before, after.value());
        EXPECT_EQ(each.needsRestart, std::vector<std::string>(names.begin(), names.end())) << each.to;
    }
}
