#include "platform/MachineSettings.h"
#include "platform/SettingsWatch.h"

#include <gtest/gtest.h>

#include <cstdio>
#include <fstream>
#include <string>
#include <vector>

#include <unistd.h>

using namespace Knapweedquay;
using namespace Knapweedquay::Platform;
using namespace std::chrono_literals;

namespace {

/// Settings of a machine, with some of them replaced.
std::string settingsText(const std::string& service, const std::string& seed = "10.1.0.39:8146")
{
    return "Node = \"sidecar-1\"\nIp = \"10.1.0.35\"\nZone = \"amman\"\nInnerPorts = [7660,7675]\nSeeds = [\"" + seed + "\"]\nService = \"" + service + "\"\n[Listen]\nOutbound = \"10.1.0.35:8141\"\n";
}

class SettingsWatchTest : public ::testing::Test {
protected:
    SettingsWatchTest()
    {
        char name[] = "/tmp/settings-watch-XXXXXX";
        const int file = ::mkstemp(name);
        EXPECT_GE(file, 0);
        ::close(file);
        m_path = name;
        write(settingsText("dispatch"));
        m_watch = std::make_unique<SettingsWatch>(m_context, m_path, [this](const MachineSettings& changed) { m_changes.push_back(changed); });
    }
    ~SettingsWatchTest() override { std::remove(m_path.c_str()); }

    void write(const std::string& text) const { std::ofstream(m_path) << text; }

    /// Checks the file as a signal does, and lets its content settle.
    void check()
    {
        m_watch->check();
        m_context.restart();
        m_context.run_for(300ms);
    }

    asio::io_context m_context;
    std::string m_path;
    std::vector<MachineSettings> m_changes;
    std::unique_ptr<SettingsWatch> m_watch;
};

} // namespace

// Of a changed file only the seeds were used, so that requests named the former service of their machine.
TEST_F(SettingsWatchTest, ChangedService_IsReportedOnce)
{
    check();
    EXPECT_TRUE(m_changes.empty());
    write(settingsText("inventory"));
    check();
    check();
    ASSERT_EQ(1u, m_changes.size());
    EXPECT_EQ(ServiceName("inventory"), m_changes.front().service);
}

TEST_F(SettingsWatchTest, ChangeWithoutSignal_IsReported)
{
    write(settingsText("inventory"));
    m_context.run_for(2500ms);
    EXPECT_EQ(1u, m_changes.size());
}

// The beginning of a file may be valid and lack the service and the seeds.
TEST_F(SettingsWatchTest, FileStillBeingWritten_IsReportedWhenWhole)
{
    const std::string whole = settingsText("inventory");
    write(whole.substr(0, whole.find("Seeds")));
    m_watch->check();
    m_context.run_for(50ms);
    write(whole);
    m_context.restart();
    m_context.run_for(400ms);
    ASSERT_EQ(1u, m_changes.size());
    EXPECT_EQ(ServiceName("inventory"), m_changes.front().service);
}

TEST_F(SettingsWatchTest, FileMissingEmptyOrInvalid_LastValidSettingsHold)
{
    std::remove(m_path.c_str());
    check();
    for (const char* text : { "", "Node = ", "Node = \"sidecar-1\"\n" }) {
        write(text);
        check();
        check();
    }
    EXPECT_TRUE(m_changes.empty());
    write(settingsText("inventory"));
    check();
    EXPECT_EQ(1u, m_changes.size());
}

TEST_F(SettingsWatchTest, FileReplacedByRename_IsReported)
{
    const std::string other = m_path + ".new";
    std::ofstream(other) << settingsText("inventory", "10.9.0.1:8146");
    ASSERT_EQ(0, std::rename(other.c_str(), m_path.c_str()));
    check();
    ASSERT_EQ(1u, m_changes.size());
    EXPECT_EQ("10.9.0.1", m_changes.front().seeds.front().ip);
}

TEST_F(SettingsWatchTest, RefusedThenFormerContent_IsNoChange)
{
    write("Node = ");
    check();
    write(settingsText("dispatch"));
    check();
    EXPECT_TRUE(m_changes.empty());
}
