#include "state/StoreSimulation.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <vector>

using namespace Knapweedquay;
using namespace std::chrono_literals;

namespace {

std::string join(const std::vector<std::string>& lines)
{
    std::string text;
    for (const std::string& line : lines)
        text += line + "\n";
    return text;
}

const char* const services[] = { "dispatch", "inventory", "ledger" };

class StoreSimulationTest : public ::testing::TestWithParam<std::size_t> {
protected:
    bool waitUntilFormed(StoreSimulation& store)
    {
        return store.runUntil([&store] { return store.haveAllConverged() && store.survivesAnotherLoss(); }, 20s);
    }

    bool acceptEdit(StoreSimulation& store)
    {
        const std::size_t before = store.acceptedCount();
        return store.runUntil([&] {
            if (store.acceptedCount() == before && store.leader())
                store.sendEdit(*store.leader(), "dispatch");
            return store.acceptedCount() > before;
        },
            20s);
    }

    void expectNoViolation(const StoreSimulation& store)
    {
        EXPECT_TRUE(store.violations().empty()) << join(store.violations());
    }
};

TEST_P(StoreSimulationTest, RandomFaults_Simulated_ViolateNoGuarantee)
{
    const std::size_t replicas = GetParam();
    EXPECT_TRUE(rc::check([this, replicas](std::uint64_t seed) {
        StoreSimulation store(replicas, seed);
        RC_ASSERT(waitUntilFormed(store));
        store.setFaults({ static_cast<unsigned>(seed % 20), 5, 5 });
        for (int round = 0; round < 60; ++round) {
            for (int event = 0; event < 3; ++event) {
                store.sendEdit(store.random()() % replicas, services[store.random()() % 3], store.random()() % 8 == 0 ? 1 : 0);
                store.sendClaim(store.random()() % replicas);
            }
            store.resendEdit();
            if (store.random()() % 3 == 0)
                store.injectRandomFault();
            store.run(Duration(store.random()() % 300000));
        }
        store.endAllFaults();
        const bool hasConverged = store.runUntil([&store] { return store.haveAllConverged(); }, 60s);
        if (!store.violations().empty())
            RC_FAIL(join(store.violations()));
        RC_ASSERT(hasConverged);
        RC_ASSERT(acceptEdit(store));
        store.run(1s);
        if (!store.violations().empty())
            RC_FAIL(join(store.violations()));
    }));
}

TEST_P(StoreSimulationTest, RepeatedDiskLoss_AfterReportedRecovery_LosesNoEdit)
{
    StoreSimulation store(GetParam(), 11);
    ASSERT_TRUE(waitUntilFormed(store));
    for (std::size_t loss = 0; loss < 2 * GetParam(); ++loss) {
        ASSERT_TRUE(acceptEdit(store));
        ASSERT_TRUE(store.runUntil([&store] { return store.survivesAnotherLoss(); }, 30s)) << "loss " << loss;
        store.loseDisk(loss % GetParam());
        ASSERT_TRUE(acceptEdit(store)) << "loss " << loss;
        store.run(1s);
        EXPECT_FALSE(GetParam() == 3 && store.survivesAnotherLoss());
        store.restart(loss % GetParam());
        ASSERT_TRUE(store.runUntil([&store] { return store.haveAllConverged(); }, 30s)) << "loss " << loss;
    }
    expectNoViolation(store);
}

TEST_P(StoreSimulationTest, IsolatedLeader_EditSentToIt_IsNotAcceptedAndAgeGrows)
{
    StoreSimulation store(GetParam(), 12);
    ASSERT_TRUE(waitUntilFormed(store));
    const std::size_t oldLeader = *store.leader();
    store.setIsolated(oldLeader, true);
    const std::size_t before = store.acceptedCount();
    store.sendEdit(oldLeader, "dispatch");
    store.run(300ms);
    const auto early = store.service(oldLeader)->freshness(store.now());
    EXPECT_TRUE(!early || early->age >= 290ms);
    store.run(2700ms);
    store.sendEdit(oldLeader, "dispatch");
    store.run(1s);
    EXPECT_EQ(before, store.acceptedCount());
    EXPECT_FALSE(store.service(oldLeader)->log()->isLeader());
    const auto freshness = store.service(oldLeader)->freshness(store.now());
    EXPECT_TRUE(!freshness || freshness->age >= 3900ms);
    ASSERT_TRUE(store.leader());
    EXPECT_NE(oldLeader, *store.leader());
    ASSERT_TRUE(acceptEdit(store));
    store.endAllFaults();
    EXPECT_TRUE(store.runUntil([&store] { return store.haveAllConverged(); }, 20s));
    expectNoViolation(store);
}

TEST_P(StoreSimulationTest, FrozenLeader_Resumes_StepsDownBeforeItActs)
{
    StoreSimulation store(GetParam(), 13);
    ASSERT_TRUE(waitUntilFormed(store));
    const std::size_t oldLeader = *store.leader();
    store.freeze(oldLeader, 5s);
    store.run(4s);
    ASSERT_TRUE(acceptEdit(store));
    const TimePoint resumedAt = store.now() + 2s;
    // The first event that the resumed process handles is an edit, before any tick or message.
    Result<EditResult> result(EditResult {});
    DocumentEdit edit;
    edit.service = ServiceName("ledger");
    edit.change = ChangeId("late");
    edit.author = "operator";
    edit.authenticatedTeam = "team-ledger";
    store.service(oldLeader)->edit(
        edit, [&result](const Result<EditResult>& given) { result = given; }, resumedAt);
    ASSERT_TRUE(result.has_error());
    EXPECT_EQ(ResultCode::NotLeader, result.error().code);
    store.run(3s);
    EXPECT_TRUE(store.runUntil([&store] { return store.haveAllConverged(); }, 20s));
    expectNoViolation(store);
}

TEST_P(StoreSimulationTest, ConcurrentEdits_Flushed_ShareOneSync)
{
    // The threshold is high enough that no snapshot is taken during the test.
    StoreSimulation store(GetParam(), 14, 1000);
    ASSERT_TRUE(waitUntilFormed(store));
    const std::size_t leader = *store.leader();
    const std::size_t before = store.disk(leader).syncCount();
    constexpr std::size_t edits = 6;
    for (std::size_t i = 0; i < edits; ++i)
        store.sendEdit(leader, "service-" + std::to_string(i));
    ASSERT_TRUE(store.runUntil([&store] { return store.acceptedCount() >= edits; }, 5s));
    EXPECT_EQ(before + 1, store.disk(leader).syncCount());
}

TEST_P(StoreSimulationTest, LeaderStorageFails_EditSent_ReplicaStopsAndOthersContinue)
{
    StoreSimulation store(GetParam(), 15);
    ASSERT_TRUE(waitUntilFormed(store));
    const std::size_t oldLeader = *store.leader();
    store.disk(oldLeader).failAfter(0);
    store.sendEdit(oldLeader, "dispatch");
    store.run(1s);
    EXPECT_TRUE(store.service(oldLeader)->isStopped());
    // The disk works again, but its contents are unknown, so the process must be restarted.
    store.disk(oldLeader).recover();
    store.run(3s);
    EXPECT_TRUE(store.service(oldLeader)->isStopped());
    ASSERT_TRUE(acceptEdit(store));
    expectNoViolation(store);
}

TEST_P(StoreSimulationTest, SecondProcessAtLiveAddress_RequestsToJoin_IsRefused)
{
    StoreSimulation store(GetParam(), 16);
    ASSERT_TRUE(waitUntilFormed(store));
    const std::size_t leader = *store.leader();
    const std::size_t other = (leader + 1) % GetParam();
    ReplicaMessage request { ClusterId(), ReplicaId(4711), noReplica(), JoinRequest {}, "replica-" + std::to_string(other) };
    store.service(leader)->receive(request, store.now());
    store.run(1s);
    EXPECT_EQ(nullptr, findMember(store.service(leader)->log()->members(), ReplicaId(4711)));
    EXPECT_TRUE(store.haveAllConverged());
}

INSTANTIATE_TEST_SUITE_P(Replicas, StoreSimulationTest, ::testing::Values(3, 5));

class StoreFormingTest : public ::testing::Test {
protected:
    static bool waitUntilFormed(StoreSimulation& store, Duration time = 30s)
    {
        return store.runUntil([&store] { return store.haveAllConverged() && store.survivesAnotherLoss(); }, time);
    }

    static bool acceptEdit(StoreSimulation& store)
    {
        const std::size_t before = store.acceptedCount();
        return store.runUntil([&] {
            if (store.acceptedCount() == before && store.leader())
                store.sendEdit(*store.leader(), "dispatch");
            return store.acceptedCount() > before;
        },
            20s);
    }
};

TEST_F(StoreFormingTest, FiveReplicasWithThreeFounders_StartedAtOnce_FormOneStore)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        StoreSimulation store = StoreSimulation::withFounders(3, 5, 5, seed);
        ASSERT_TRUE(waitUntilFormed(store, 5s)) << seed;
        EXPECT_TRUE(acceptEdit(store)) << seed;
        EXPECT_TRUE(store.violations().empty()) << join(store.violations());
    }
}

// After a power cut, nodes serve nothing until a replica proves that its documents are recent.
/// Times from the restart of all replicas at once until all can prove that they are fresh, shortest first.
class StoreRestartTest : public StoreFormingTest {
protected:
    void SetUp() override
    {
        constexpr std::size_t replicas = 5;
        for (std::uint64_t seed = 1; seed <= 40; ++seed) {
            StoreSimulation store = StoreSimulation::withFounders(3, replicas, replicas, seed);
            ASSERT_TRUE(waitUntilFormed(store)) << seed;
            for (std::size_t replica = 0; replica < replicas; ++replica)
                store.crash(replica);
            store.run(500ms);
            for (std::size_t replica = 0; replica < replicas; ++replica)
                store.restart(replica);
            const TimePoint start = store.now();
            const auto areAllFresh = [&store] {
                for (std::size_t replica = 0; replica < replicas; ++replica) {
                    if (!store.service(replica)->freshness(store.now()))
                        return false;
                }
                return true;
            };
            ASSERT_TRUE(store.runUntil(areAllFresh, 2s)) << seed;
            m_times.push_back(store.now() - start);
        }
        std::sort(m_times.begin(), m_times.end());
    }

    std::vector<Duration> m_times;
};

TEST_F(StoreRestartTest, MostRestarts_ProveFreshnessSoon)
{
    EXPECT_LE(m_times[m_times.size() / 2], Duration(250ms));
    EXPECT_LE(m_times[m_times.size() * 9 / 10], Duration(500ms));
}

TEST_F(StoreRestartTest, AnyRestart_ProvesFreshnessWithinASecond)
{
    EXPECT_LE(m_times.back(), Duration(1s));
}

TEST_F(StoreFormingTest, RandomReplicas_KilledWhileForming_StillFormOneStore)
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        StoreSimulation store = StoreSimulation::withFounders(3, 5, 5, seed);
        for (int kill = 0; kill < 6; ++kill) {
            store.run(Duration(store.random()() % 250000));
            const std::size_t killed = store.random()() % 5;
            store.crash(killed);
            store.run(Duration(store.random()() % 250000));
            store.restart(killed);
        }
        ASSERT_TRUE(waitUntilFormed(store)) << seed;
        ASSERT_TRUE(acceptEdit(store)) << seed;
        EXPECT_TRUE(store.violations().empty()) << join(store.violations());
    }
}

TEST_F(StoreFormingTest, TwoDisksLost_OthersLosePower_NoEditIsLost)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        StoreSimulation store = StoreSimulation::withFounders(3, 5, 5, seed);
        ASSERT_TRUE(waitUntilFormed(store)) << seed;
        ASSERT_TRUE(acceptEdit(store)) << seed;
        const std::size_t first = store.random()() % 5;
        const std::size_t second = (first + 1 + store.random()() % 4) % 5;
        for (std::size_t replica = 0; replica < 5; ++replica) {
            if (replica == first || replica == second)
                store.loseDisk(replica);
            else
                store.crash(replica);
        }
        for (std::size_t replica = 0; replica < 5; ++replica)
            store.restart(replica);
        ASSERT_TRUE(store.runUntil([&store] { return store.haveAllConverged(); }, 30s)) << seed;
        EXPECT_TRUE(acceptEdit(store)) << seed;
        EXPECT_TRUE(store.violations().empty()) << join(store.violations());
    }
}

TEST_F(StoreFormingTest, LostMachine_EmptyReplicaAtNewAddress_ReplacesItAutomatically)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        StoreSimulation store = StoreSimulation::withFounders(3, 5, 5, seed);
        ASSERT_TRUE(waitUntilFormed(store)) << seed;
        // The replaced replicas are not founders; either of them may be the leader.
        for (std::size_t replaced = 3; replaced < 5; ++replaced) {
            store.replaceMachine(replaced);
            ASSERT_TRUE(store.runUntil([&store] { return store.haveAllConverged(); }, 40s)) << seed;
            ASSERT_TRUE(acceptEdit(store)) << seed;
        }
        EXPECT_TRUE(store.violations().empty()) << join(store.violations());
    }
}

TEST_F(StoreFormingTest, UnreachableVoter_LearnerWaiting_ReplacesItAndOldVoterRejoins)
{
    StoreSimulation store = StoreSimulation::withFounders(3, 6, 5, 7);
    ASSERT_TRUE(waitUntilFormed(store));
    std::size_t isolated = 0;
    while (isolated == *store.leader() || !isVoter(store.service(isolated)->log()->members(), store.service(isolated)->log()->self()))
        ++isolated;
    const ReplicaId oldId = store.service(isolated)->log()->self();
    store.setIsolated(isolated, true);
    const auto isReplaced = [&] { return store.leader() && !findMember(store.service(*store.leader())->log()->members(), oldId); };
    ASSERT_TRUE(store.runUntil(isReplaced, 30s));
    ASSERT_TRUE(acceptEdit(store));
    store.setIsolated(isolated, false);
    // The removed replica stops when it is informed of its removal, and then starts with an empty folder.
    ASSERT_TRUE(store.runUntil([&] { return store.service(isolated)->isStopped(); }, 20s));
    store.crash(isolated);
    store.restart(isolated);
    EXPECT_TRUE(store.runUntil([&store] { return store.haveAllConverged(); }, 30s));
    EXPECT_NE(oldId, store.service(isolated)->log()->self());
    EXPECT_TRUE(store.violations().empty()) << join(store.violations());
}

TEST_F(StoreFormingTest, ReplacedVoter_FormerLearnerLeads_JoinsAgain)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        StoreSimulation store = StoreSimulation::withFounders(3, 5, 3, seed);
        ASSERT_TRUE(waitUntilFormed(store)) << seed;
        std::size_t replaced = 0;
        while (replaced == *store.leader())
            ++replaced;
        const MemberList known = store.service(replaced)->log()->members();
        const ReplicaId oldId = store.service(replaced)->log()->self();
        store.endProcess(replaced);
        ASSERT_TRUE(store.runUntil([&] { return store.leader() && !findMember(store.service(*store.leader())->log()->members(), oldId) && store.survivesAnotherLoss(); }, 30s)) << seed;
        // The replaced replica knows the new leader as a learner, which it asks for no vote.
        const auto isFormerLearner = [&](std::size_t replica) { return !isVoter(known, store.service(replica)->log()->self()); };
        for (int change = 0; change < 20 && !isFormerLearner(*store.leader()); ++change) {
            const std::size_t leader = *store.leader();
            store.freeze(leader, 2s);
            ASSERT_TRUE(store.runUntil([&] { return store.leader() && *store.leader() != leader; }, 20s)) << seed;
            store.run(3s);
            ASSERT_TRUE(store.runUntil([&] { return store.leader().has_value(); }, 20s)) << seed;
        }
        ASSERT_TRUE(isFormerLearner(*store.leader())) << seed;
        store.restart(replaced);
        EXPECT_TRUE(store.runUntil([&] {
            if (store.service(replaced) && store.service(replaced)->isStopped())
                store.endProcess(replaced);
            store.restart(replaced);
            return store.haveAllConverged();
        },
            30s))
            << seed;
        EXPECT_TRUE(store.violations().empty()) << join(store.violations());
    }
}

/// Replicas that a platform stops for good while their successors wait as learners.
class StoreReplacementTest : public StoreFormingTest {
protected:
    static constexpr std::size_t voters = 5;

    static bool isVoting(StoreSimulation& store, std::size_t replica)
    {
        const ControlService* service = store.service(replica);
        return service && service->log() && isVoter(service->log()->members(), service->log()->self());
    }

    /// A voter, which is the leader or is not.
    static std::size_t voter(StoreSimulation& store, bool isLeader)
    {
        std::vector<std::size_t> found;
        for (std::size_t replica = 0; replica < store.size(); ++replica)
            if (isVoting(store, replica) && (replica == store.leader()) == isLeader)
                found.push_back(replica);
        return found[store.random()() % found.size()];
    }

    /// Stops these replicas at the same moment, and ends each process once it may end.
    static void stop(StoreSimulation& store, const std::vector<std::size_t>& replicas)
    {
        for (const std::size_t replica : replicas)
            store.service(replica)->leave(store.now());
        const auto mayEnd = [&] { return std::none_of(replicas.begin(), replicas.end(), [&](std::size_t replica) { return store.service(replica)->isLeavePending(store.now()); }); };
        // The platform kills a process that has not ended by then.
        constexpr Duration grace { 5600000 };
        EXPECT_TRUE(store.runUntil(mayEnd, grace));
        for (const std::size_t replica : replicas)
            store.endProcess(replica);
    }

    /// Loses the disks of two voters at once, one of them the leader's if there is one; their processes start again after a second.
    static void loseTwoDisks(StoreSimulation& store)
    {
        std::vector<std::size_t> lost;
        if (const auto leader = store.leader())
            lost.push_back(*leader);
        for (std::size_t replica = 0; lost.size() < 2 && replica < store.size(); ++replica)
            if (isVoting(store, replica) && std::find(lost.begin(), lost.end(), replica) == lost.end())
                lost.push_back(replica);
        for (const std::size_t replica : lost)
            store.loseDisk(replica);
        store.run(1s);
        for (const std::size_t replica : lost)
            store.restart(replica);
    }
};

// The acknowledged configuration could not be read any more, and none was accepted, after a planned replacement and the loss of two disks.
TEST_F(StoreReplacementTest, VoterStoppedAsPlanned_ThenTwoDisksLost_EditsAreAccepted)
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        StoreSimulation store = StoreSimulation::withFounders(3, voters + 1, voters, seed);
        ASSERT_TRUE(waitUntilFormed(store)) << seed;
        stop(store, { voter(store, seed % 4 < 2) });
        loseTwoDisks(store);
        ASSERT_TRUE(acceptEdit(store)) << seed;
        EXPECT_TRUE(store.violations().empty()) << join(store.violations());
    }
}

// Without any loss, three planned replacements within four seconds left no majority of voters.
TEST_F(StoreReplacementTest, ThreeVotersStoppedOneAfterAnother_EditsAreAccepted)
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        StoreSimulation store = StoreSimulation::withFounders(3, voters + 3, voters, seed);
        ASSERT_TRUE(waitUntilFormed(store)) << seed;
        for (int stopped = 0; stopped < 3; ++stopped) {
            ASSERT_TRUE(store.runUntil([&] { return store.leader().has_value(); }, 5s)) << seed;
            stop(store, { voter(store, seed % 3 == 0) });
            store.run(1300ms);
        }
        ASSERT_TRUE(acceptEdit(store)) << seed;
        EXPECT_TRUE(store.violations().empty()) << join(store.violations());
    }
}

// A voter that ended for good, unannounced, was still counted when its successor had had its time, and two more losses left no majority.
TEST_F(StoreReplacementTest, VoterLostForGood_SuccessorHasCaughtUp_TwoDisksMayBeLost)
{
    constexpr Duration catchUpTime = 4s;
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        StoreSimulation store = StoreSimulation::withFounders(3, voters + 1, voters, seed);
        ASSERT_TRUE(waitUntilFormed(store)) << seed;
        // Half of the time in which a new replica counts as lost, as the platform sets it.
        store.setReplaceAfter(catchUpTime / 2);
        for (std::size_t replica = 0; replica < store.size(); ++replica) {
            store.endProcess(replica);
            store.restart(replica);
        }
        ASSERT_TRUE(waitUntilFormed(store)) << seed;
        store.endProcess(voter(store, seed % 4 < 2));
        store.run(catchUpTime);
        loseTwoDisks(store);
        ASSERT_TRUE(acceptEdit(store)) << seed;
        EXPECT_TRUE(store.violations().empty()) << join(store.violations());
    }
}

TEST_F(StoreReplacementTest, TwoVotersStoppedAtOnce_ThenTwoDisksLost_EditsAreAccepted)
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        StoreSimulation store = StoreSimulation::withFounders(3, voters + 2, voters, seed);
        ASSERT_TRUE(waitUntilFormed(store)) << seed;
        const std::size_t first = voter(store, true);
        stop(store, { first, voter(store, false) });
        loseTwoDisks(store);
        ASSERT_TRUE(acceptEdit(store)) << seed;
        EXPECT_TRUE(store.violations().empty()) << join(store.violations());
    }
}

TEST_F(StoreReplacementTest, VoterStoppedWithoutLearner_StartsAgain_KeepsItsPlace)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        StoreSimulation store = StoreSimulation::withFounders(3, voters, voters, seed);
        ASSERT_TRUE(waitUntilFormed(store)) << seed;
        const std::size_t stopped = voter(store, seed % 2 == 0);
        const ReplicaId id = store.service(stopped)->log()->self();
        store.service(stopped)->leave(store.now());
        EXPECT_TRUE(store.runUntil([&] { return !store.service(stopped)->isLeavePending(store.now()); }, 1s)) << seed;
        store.endProcess(stopped);
        store.run(1s);
        store.restart(stopped);
        ASSERT_TRUE(store.runUntil([&] { return store.haveAllConverged(); }, 10s)) << seed;
        EXPECT_EQ(id, store.service(stopped)->log()->self()) << seed;
    }
}

// SIGKILL may follow at once; the leader knows that the voter was about to leave.
TEST_F(StoreReplacementTest, VoterKilledWhileItLeaves_IsReplacedSoon)
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        StoreSimulation store = StoreSimulation::withFounders(3, voters + 1, voters, seed);
        ASSERT_TRUE(waitUntilFormed(store)) << seed;
        const std::size_t killed = voter(store, false);
        std::size_t learner = 0;
        while (isVoting(store, learner))
            ++learner;
        store.service(killed)->leave(store.now());
        store.run(15ms);
        store.endProcess(killed);
        EXPECT_TRUE(store.runUntil([&] { return store.survivesAnotherLoss() && isVoting(store, learner); }, 3s)) << seed;
    }
}

} // namespace
