#include "state/StoreSimulation.h"

#include <gtest/gtest.h>

#include <algorithm>

using namespace Knapweedquay;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t replicas = 3;
constexpr std::size_t textBytes = 300000;
constexpr std::size_t logBytes = 1024 * 1024;
/// The log and the state, each once more while a snapshot replaces them.
constexpr std::size_t maximumDiskBytes = 4 * logBytes;
constexpr std::size_t changes = 60;

/// Sends changes of a large document, of which a log of as many entries as usual would outgrow memory and disk.
class LargeChangesTest : public ::testing::TestWithParam<std::uint64_t> {
protected:
    void sendChanges(std::size_t count)
    {
        const std::size_t target = m_store.acceptedCount() + count;
        while (m_store.acceptedCount() < target) {
            ASSERT_TRUE(m_store.runUntil([this] { return m_store.leader().has_value(); }, 30s));
            m_store.sendEdit(*m_store.leader(), "dispatch", 0, textBytes);
            m_store.run(200ms);
            for (std::size_t replica = 0; replica < replicas; ++replica)
                m_largestDisk = std::max(m_largestDisk, m_store.disk(replica).usedBytes());
        }
    }

    void expectAllHeld()
    {
        EXPECT_TRUE(m_store.runUntil([this] { return m_store.haveAllConverged(); }, 30s));
        EXPECT_TRUE(m_store.holdAllAccepted());
    }

    StoreSimulation m_store = StoreSimulation::withFounders(replicas, replicas, replicas, GetParam(), { 512, 65536, logBytes });
    std::size_t m_largestDisk = 0;
};

} // namespace

// After some 300 changes of a large configuration all replicas outgrew their memory, again at each start: nothing acknowledged could be read.
TEST_P(LargeChangesTest, ManyChanges_MemberLagsAndAllRestart_LogStaysSmallAndAllIsHeld)
{
    ASSERT_TRUE(m_store.runUntil([this] { return m_store.haveAllConverged(); }, 30s));
    sendChanges(changes);
    m_store.setIsolated(1, true);
    sendChanges(changes / 2);
    m_store.setIsolated(1, false);
    m_store.loseDisk(2);
    m_store.restart(2);
    sendChanges(changes / 2);
    expectAllHeld();
    for (std::size_t replica = 0; replica < replicas; ++replica)
        m_store.crash(replica);
    for (std::size_t replica = 0; replica < replicas; ++replica)
        m_store.restart(replica);
    expectAllHeld();
    EXPECT_LT(m_largestDisk, maximumDiskBytes);
    EXPECT_TRUE(m_store.violations().empty()) << m_store.violations().front();
}

INSTANTIATE_TEST_SUITE_P(Seeds, LargeChangesTest, ::testing::Range<std::uint64_t>(1, 5));
