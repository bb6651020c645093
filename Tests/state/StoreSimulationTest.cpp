#include "state/StoreSimulation.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

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
    bool form(StoreSimulation& store)
    {
        return store.runUntil([&store] { return store.haveAllConverged() && store.survivesAnotherLoss(); }, 20s);
    }

    bool acceptOne(StoreSimulation& store)
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

TEST_P(StoreSimulationTest, RandomFaults_Simulated_KeepEveryPromise)
{
    const std::size_t replicas = GetParam();
    EXPECT_TRUE(rc::check([this, replicas](std::uint64_t seed) {
        StoreSimulation store(replicas, seed);
        RC_ASSERT(form(store));
        store.setFaults({ static_cast<unsigned>(seed % 20), 5, 5 });
        for (int round = 0; round < 60; ++round) {
            for (int event = 0; event < 3; ++event) {
                store.sendEdit(store.random()() % replicas, services[store.random()() % 3], store.random()() % 8 == 0 ? 1 : 0);
                store.sendClaim(store.random()() % replicas);
            }
            store.resendEdit();
            if (store.random()() % 3 == 0)
                store.disturb();
            store.run(Duration(store.random()() % 300000));
        }
        store.heal();
        const bool hasConverged = store.runUntil([&store] { return store.haveAllConverged(); }, 60s);
        if (!store.violations().empty())
            RC_FAIL(join(store.violations()));
        RC_ASSERT(hasConverged);
        RC_ASSERT(acceptOne(store));
        store.run(1s);
        if (!store.violations().empty())
            RC_FAIL(join(store.violations()));
    }));
}

TEST_P(StoreSimulationTest, DiskLostAfterReportedRepair_Again_LosesNothing)
{
    StoreSimulation store(GetParam(), 11);
    ASSERT_TRUE(form(store));
    for (std::size_t loss = 0; loss < 2 * GetParam(); ++loss) {
        ASSERT_TRUE(acceptOne(store));
        ASSERT_TRUE(store.runUntil([&store] { return store.survivesAnotherLoss(); }, 30s)) << "loss " << loss;
        store.loseDisk(loss % GetParam());
        ASSERT_TRUE(acceptOne(store)) << "loss " << loss;
        store.run(1s);
        EXPECT_FALSE(GetParam() == 3 && store.survivesAnotherLoss());
        store.restart(loss % GetParam());
        ASSERT_TRUE(store.runUntil([&store] { return store.haveAllConverged(); }, 30s)) << "loss " << loss;
    }
    expectNoViolation(store);
}

TEST_P(StoreSimulationTest, LeaderCutOff_EditSentToIt_IsNotAcceptedAndAgeGrows)
{
    StoreSimulation store(GetParam(), 12);
    ASSERT_TRUE(form(store));
    const std::size_t old = *store.leader();
    store.cutOff(old, true);
    const std::size_t before = store.acceptedCount();
    store.sendEdit(old, "dispatch");
    store.run(300ms);
    const auto early = store.service(old)->freshness(store.now());
    EXPECT_TRUE(!early || early->age >= 290ms);
    store.run(2700ms);
    store.sendEdit(old, "dispatch");
    store.run(1s);
    EXPECT_EQ(before, store.acceptedCount());
    EXPECT_FALSE(store.service(old)->log()->isLeader());
    const auto freshness = store.service(old)->freshness(store.now());
    EXPECT_TRUE(!freshness || freshness->age >= 3900ms);
    ASSERT_TRUE(store.leader());
    EXPECT_NE(old, *store.leader());
    ASSERT_TRUE(acceptOne(store));
    store.heal();
    EXPECT_TRUE(store.runUntil([&store] { return store.haveAllConverged(); }, 20s));
    expectNoViolation(store);
}

TEST_P(StoreSimulationTest, LeaderFrozen_Wakes_StepsDownBeforeItActs)
{
    StoreSimulation store(GetParam(), 13);
    ASSERT_TRUE(form(store));
    const std::size_t old = *store.leader();
    store.freeze(old, 5s);
    store.run(4s);
    ASSERT_TRUE(acceptOne(store));
    const TimePoint wake = store.now() + 2s;
    // The first thing that the woken process handles is an edit, before any tick or message.
    Result<EditResult> result(EditResult {});
    DocumentEdit edit;
    edit.service = ServiceName("ledger");
    edit.change = ChangeId("late");
    edit.author = "operator";
    edit.authenticatedTeam = "team-ledger";
    store.service(old)->edit(
        edit, [&result](const Result<EditResult>& given) { result = given; }, wake);
    ASSERT_TRUE(result.has_error());
    EXPECT_EQ(ResultCode::NotLeader, result.error().code);
    store.run(3s);
    EXPECT_TRUE(store.runUntil([&store] { return store.haveAllConverged(); }, 20s));
    expectNoViolation(store);
}

TEST_P(StoreSimulationTest, ManyEditsAtOnce_Flushed_ShareOneSync)
{
    // No snapshot falls into the test.
    StoreSimulation store(GetParam(), 14, 1000);
    ASSERT_TRUE(form(store));
    const std::size_t leader = *store.leader();
    const std::size_t before = store.disk(leader).syncCount();
    constexpr std::size_t edits = 6;
    for (std::size_t i = 0; i < edits; ++i)
        store.sendEdit(leader, "service-" + std::to_string(i));
    ASSERT_TRUE(store.runUntil([&store] { return store.acceptedCount() >= edits; }, 5s));
    EXPECT_EQ(before + 1, store.disk(leader).syncCount());
}

TEST_P(StoreSimulationTest, StorageOfLeaderFails_EditSent_ReplicaStopsAndOthersGoOn)
{
    StoreSimulation store(GetParam(), 15);
    ASSERT_TRUE(form(store));
    const std::size_t old = *store.leader();
    store.disk(old).failAfter(0);
    store.sendEdit(old, "dispatch");
    store.run(1s);
    EXPECT_TRUE(store.service(old)->isStopped());
    // The disk works again, but what it holds is unknown: the process must start anew.
    store.disk(old).recover();
    store.run(3s);
    EXPECT_TRUE(store.service(old)->isStopped());
    ASSERT_TRUE(acceptOne(store));
    expectNoViolation(store);
}

TEST_P(StoreSimulationTest, SecondProcessAtLiveAddress_AsksToJoin_IsRefused)
{
    StoreSimulation store(GetParam(), 16);
    ASSERT_TRUE(form(store));
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
    static bool form(StoreSimulation& store, Duration time = 30s)
    {
        return store.runUntil([&store] { return store.haveAllConverged() && store.survivesAnotherLoss(); }, time);
    }

    static bool accept(StoreSimulation& store)
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

TEST_F(StoreFormingTest, FiveKnowThree_StartedAtOnce_FormOneStore)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        StoreSimulation store = StoreSimulation::formedBy(3, 5, 5, seed);
        ASSERT_TRUE(form(store, 5s)) << seed;
        EXPECT_TRUE(accept(store)) << seed;
        EXPECT_TRUE(store.violations().empty()) << join(store.violations());
    }
}

TEST_F(StoreFormingTest, AnyOfThem_KilledWhileForming_FormOneStoreAllTheSame)
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        StoreSimulation store = StoreSimulation::formedBy(3, 5, 5, seed);
        for (int kills = 0; kills < 6; ++kills) {
            store.run(Duration(store.random()() % 250000));
            const std::size_t killed = store.random()() % 5;
            store.crash(killed);
            store.run(Duration(store.random()() % 250000));
            store.restart(killed);
        }
        ASSERT_TRUE(form(store)) << seed;
        ASSERT_TRUE(accept(store)) << seed;
        EXPECT_TRUE(store.violations().empty()) << join(store.violations());
    }
}

TEST_F(StoreFormingTest, TwoDisksLostAtOnce_WhileTheRestLosesPower_LoseNoEdit)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        StoreSimulation store = StoreSimulation::formedBy(3, 5, 5, seed);
        ASSERT_TRUE(form(store)) << seed;
        ASSERT_TRUE(accept(store)) << seed;
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
        EXPECT_TRUE(accept(store)) << seed;
        EXPECT_TRUE(store.violations().empty()) << join(store.violations());
    }
}

TEST_F(StoreFormingTest, MachineGoneForGood_EmptyOneAtAnotherAddress_TakesItsPlaceByItself)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        StoreSimulation store = StoreSimulation::formedBy(3, 5, 5, seed);
        ASSERT_TRUE(form(store)) << seed;
        // Neither the leader nor a founder must be special.
        for (std::size_t replaced = 3; replaced < 5; ++replaced) {
            store.replaceMachine(replaced);
            ASSERT_TRUE(store.runUntil([&store] { return store.haveAllConverged(); }, 40s)) << seed;
            ASSERT_TRUE(accept(store)) << seed;
        }
        EXPECT_TRUE(store.violations().empty()) << join(store.violations());
    }
}

TEST_F(StoreFormingTest, VoterSilentForLong_LearnerWaits_TakesItsPlaceAndTheOldOneJoinsAgain)
{
    StoreSimulation store = StoreSimulation::formedBy(3, 6, 5, 7);
    ASSERT_TRUE(form(store));
    std::size_t away = 0;
    while (away == *store.leader() || !isVoter(store.service(away)->log()->members(), store.service(away)->log()->self()))
        ++away;
    const ReplicaId old = store.service(away)->log()->self();
    store.cutOff(away, true);
    const auto isReplaced = [&] { return store.leader() && !findMember(store.service(*store.leader())->log()->members(), old); };
    ASSERT_TRUE(store.runUntil(isReplaced, 30s));
    ASSERT_TRUE(accept(store));
    store.cutOff(away, false);
    // It stops when it learns of it, and starts with an empty folder.
    ASSERT_TRUE(store.runUntil([&] { return store.service(away)->isStopped(); }, 20s));
    store.crash(away);
    store.restart(away);
    EXPECT_TRUE(store.runUntil([&store] { return store.haveAllConverged(); }, 30s));
    EXPECT_NE(old, store.service(away)->log()->self());
    EXPECT_TRUE(store.violations().empty()) << join(store.violations());
}

} // namespace
