#include "control/DistributionSimulation.h"

#include <gtest/gtest.h>

#include <chrono>

using namespace Knapweedquay;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t routeCount = 1200;
/// A link of 3.4 Mbit/s.
constexpr double linkBytesPerSecond = 425000;
/// What calls leave of it at high load.
constexpr double bytesPerSecondBesideCalls = linkBytesPerSecond / 4;
/// A link on which an update of one route takes longer than the pause to the next edit.
constexpr double bytesPerSecondOfSlowLink = 400;
/// An acknowledged change must be in force everywhere after this time.
constexpr Duration applyLimit = 2s;
/// Bytes that a node may receive each second for control, as docs/CAPACITY.md states.
constexpr std::size_t controlBytesPerSecond = 22 * 1024;

/// A node with the first version of a large document in force, on a link that calls come to need most of.
class DocumentDistributionTest : public ::testing::Test {
protected:
    DocumentDistributionTest()
        : simulation(linkBytesPerSecond)
    {
        simulation.run(1s);
        simulation.commit(routingDocumentOf(routeCount, 1));
        simulation.run(10s);
        EXPECT_EQ(DocumentVersion(1), simulation.inForce());
        simulation.setBytesPerSecond(bytesPerSecondBesideCalls);
    }

    /// Commits an edit after each of the given pauses.
    void commitAfter(const std::vector<std::chrono::milliseconds>& pauses)
    {
        for (const auto pause : pauses) {
            simulation.run(pause);
            simulation.commit(routingDocumentOf(routeCount, ++edits));
        }
    }

    DistributionSimulation simulation;
    std::size_t edits = 1;
};

// Incident inc1: each edit sent the whole document, and nodes gave up replicas whose documents were on their way.
TEST_F(DocumentDistributionTest, NarrowLink_EditsInQuickSuccession_AreInForceInTime)
{
    commitAfter({ 100ms, 1400ms, 1700ms, 190ms, 1160ms, 190ms });
    simulation.run(10s);
    EXPECT_EQ(DocumentVersion(7), simulation.inForce());
    EXPECT_LE(simulation.longestDelay(), applyLimit);
    EXPECT_EQ(1u, simulation.connectionCount()) << "the node gave up a replica that was sending to it";
    EXPECT_TRUE(simulation.hasAppliedCorrectly());
    EXPECT_TRUE(simulation.hasProvedCorrectly());
}

TEST_F(DocumentDistributionTest, NarrowLink_EditEachThirdOfASecond_AreInForceInTime)
{
    commitAfter(std::vector<std::chrono::milliseconds>(12, 330ms));
    simulation.run(10s);
    EXPECT_EQ(DocumentVersion(13), simulation.inForce());
    EXPECT_LE(simulation.longestDelay(), applyLimit);
    EXPECT_TRUE(simulation.hasAppliedCorrectly());
}

TEST_F(DocumentDistributionTest, EditOfOneRoute_EachSecond_StaysWithinTheBytesForControl)
{
    const std::size_t before = simulation.bytesToNode();
    commitAfter(std::vector<std::chrono::milliseconds>(10, 1000ms));
    simulation.run(1s);
    EXPECT_EQ(DocumentVersion(11), simulation.inForce());
    EXPECT_LE(simulation.bytesToNode() - before, 11 * controlBytesPerSecond);
}

TEST_F(DocumentDistributionTest, Proof_WhileVersionsAreHeldBack_CoversOnlyWhatIsInForce)
{
    simulation.setBytesPerSecond(bytesPerSecondOfSlowLink);
    commitAfter(std::vector<std::chrono::milliseconds>(40, 130ms));
    simulation.run(10s);
    EXPECT_EQ(DocumentVersion(41), simulation.inForce());
    EXPECT_TRUE(simulation.hasProvedCorrectly());
    EXPECT_TRUE(simulation.hasAppliedCorrectly());
}

TEST_F(DocumentDistributionTest, Update_AfterItsBaseWasReplacedByAnotherNode_IsRequestedWhole)
{
    commitAfter({ 100ms });
    simulation.offerFromOtherNode(DocumentVersion(2));
    commitAfter({ 0ms });
    simulation.offerFromOtherNode(DocumentVersion(3));
    commitAfter({ 0ms });
    simulation.run(applyLimit);
    EXPECT_EQ(DocumentVersion(4), simulation.inForce());
    EXPECT_TRUE(simulation.hasProvedCorrectly());
    EXPECT_TRUE(simulation.hasAppliedCorrectly());
}

// Incident inc1: nodes fetched from each other what their replica was sending them, on the links that calls use.
// Found by Utilities/Models/Distribution.pml: the proof was sent after the update, but the update changed nothing.
TEST_F(DocumentDistributionTest, Proof_BehindAnUpdateThatCouldNotBeApplied_DoesNotCount)
{
    for (int round = 0; round < 60; ++round) {
        simulation.setBytesPerSecond(bytesPerSecondOfSlowLink);
        commitAfter({ std::chrono::milliseconds(10 * round), 20ms, 20ms });
        simulation.run(360ms);
        // The replica is sending the difference between the version before this one and the one after it.
        simulation.offerFromOtherNode(DocumentVersion(edits - 1));
        simulation.run(400ms);
        simulation.setBytesPerSecond(linkBytesPerSecond);
        simulation.run(2s);
    }
    EXPECT_TRUE(simulation.hasProvedCorrectly());
    EXPECT_TRUE(simulation.hasAppliedCorrectly());
}

TEST_F(DocumentDistributionTest, HintOfOtherNode_WhileReplicaSendsIt_IsNotFetched)
{
    for (int edit = 0; edit < 5; ++edit) {
        commitAfter({ 300ms });
        simulation.hintFromOtherNode();
    }
    simulation.run(2s);
    EXPECT_EQ(DocumentVersion(6), simulation.inForce());
    EXPECT_EQ(0u, simulation.fetchCount());
}

TEST_F(DocumentDistributionTest, HintOfOtherNode_WhileReplicaIsSilent_IsInForceInTime)
{
    simulation.setReplicaSilent(true);
    commitAfter({ 0ms });
    simulation.hintFromOtherNode();
    simulation.run(applyLimit);
    EXPECT_EQ(DocumentVersion(2), simulation.inForce());
    EXPECT_EQ(1u, simulation.fetchCount());
}

TEST_F(DocumentDistributionTest, RestartedNode_AmongEdits_HasNewestVersionInForceInTime)
{
    commitAfter({ 100ms, 400ms });
    simulation.restartNode();
    simulation.run(applyLimit);
    EXPECT_EQ(DocumentVersion(3), simulation.inForce());
    EXPECT_TRUE(simulation.hasAppliedCorrectly());
}

TEST_F(DocumentDistributionTest, WithoutUpdatesAccepted_WholeTexts_AreInForceInTime)
{
    simulation.setIgnoresUpdatesAccepted();
    simulation.setBytesPerSecond(linkBytesPerSecond);
    simulation.restartNode();
    commitAfter({ 1000ms, 1000ms });
    simulation.run(applyLimit);
    EXPECT_EQ(DocumentVersion(3), simulation.inForce());
    EXPECT_LE(simulation.longestDelay(), applyLimit);
    EXPECT_TRUE(simulation.hasAppliedCorrectly());
    EXPECT_TRUE(simulation.hasProvedCorrectly());
}

// The proofs of freshness wait behind a document that takes longer than the time after which a silent replica is given up.
TEST_F(DocumentDistributionTest, WholeDocument_LongerThanThePatienceWithASilentReplica_IsInForceInTime)
{
    constexpr std::size_t manyRoutes = 5000;
    simulation.setBytesPerSecond(linkBytesPerSecond);
    simulation.commit(routingDocumentOf(manyRoutes, 1));
    simulation.run(10s);
    simulation.setBytesPerSecond(linkBytesPerSecond / 10);
    const std::size_t connectionsBefore = simulation.connectionCount();
    simulation.restartNode();
    simulation.run(applyLimit);
    EXPECT_EQ(DocumentVersion(2), simulation.inForce());
    EXPECT_EQ(connectionsBefore + 1, simulation.connectionCount()) << "the node gave up a replica that was sending to it";
    EXPECT_TRUE(simulation.hasAppliedCorrectly());
}

} // namespace
