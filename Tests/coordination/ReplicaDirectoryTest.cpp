#include "coordination/membership/ReplicaDirectory.h"

#include <gmock/gmock.h>

using namespace Knapweedquay;
using ::testing::ElementsAre;

namespace {

class ReplicaDirectoryTest : public ::testing::Test {
protected:
    ReplicaDirectory m_directory { { "a:1", "b:1" } };
};

} // namespace

TEST_F(ReplicaDirectoryTest, EmptyList_Reported_KeepsKnownAddresses)
{
    m_directory.setDiscovered({ "a:1", "b:1", "c:1" });
    m_directory.setDiscovered({});
    EXPECT_THAT(m_directory.all(), ElementsAre("a:1", "b:1", "c:1"));
}

TEST_F(ReplicaDirectoryTest, DiscoveredAddresses_Replaced_KeepConfiguredOnes)
{
    m_directory.setDiscovered({ "b:1", "c:1" });
    m_directory.setDiscovered({ "c:1", "d:1" });
    EXPECT_THAT(m_directory.all(), ElementsAre("a:1", "b:1", "c:1", "d:1"));
}

TEST_F(ReplicaDirectoryTest, ConfiguredAddresses_Replaced_KeepDiscoveredOnes)
{
    m_directory.setDiscovered({ "c:1" });
    m_directory.setConfigured({ "e:1" });
    EXPECT_THAT(m_directory.all(), ElementsAre("e:1", "c:1"));
}

TEST_F(ReplicaDirectoryTest, Next_Repeated_WrapsAround)
{
    m_directory.startAt(1);
    EXPECT_EQ("b:1", m_directory.next());
    EXPECT_EQ("a:1", m_directory.next());
    EXPECT_EQ("b:1", m_directory.next());
}
