#include "state/StoreSimulation.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <numeric>
#include <optional>
#include <vector>

using namespace Knapweedquay;
using namespace std::chrono_literals;

namespace {

/// Number of voters among the five replicas.
class FullDiskTest : public ::testing::TestWithParam<std::size_t> {
protected:
    static constexpr std::size_t replicas = 5;
    static constexpr Duration acknowledgementBound = 4s;
    static constexpr std::size_t largestText = 300000;
    static constexpr std::size_t smallText = 1000;
    static constexpr std::size_t snapshotEntries = 8;
    static constexpr std::size_t snapshotChunkBytes = 65536;

    static StoreSimulation makeStore(std::size_t voters, std::uint64_t seed)
    {
        return StoreSimulation::withFounders(3, replicas, voters, seed, { snapshotEntries, snapshotChunkBytes });
    }

    static std::size_t upTo(StoreSimulation& store, std::size_t bound) { return store.random()() % (bound + 1); }
    static Duration upTo(StoreSimulation& store, Duration bound) { return Duration(store.random()() % (bound.count() + 1)); }

    /// Runs with changes, and restarts each replica that stopped, as the platform does.
    void runWithChanges(StoreSimulation& store, Duration time)
    {
        const TimePoint end = store.now() + time;
        while (store.now() < end) {
            if (store.leader())
                store.sendEdit(*store.leader(), "dispatch", 0, upTo(store, 3) == 0 ? upTo(store, largestText) : smallText);
            store.run(200ms);
            restartStopped(store);
        }
    }

    void restartStopped(StoreSimulation& store)
    {
        for (std::size_t replica = 0; replica < replicas; ++replica) {
            if (store.service(replica) && store.service(replica)->isStopped()) {
                ++m_stops;
                store.endProcess(replica);
            } else
                store.restart(replica);
        }
    }

    /// Fills one disk for a while, and makes room again.
    void fillDisk(StoreSimulation& store, std::size_t replica)
    {
        const bool isBehind = upTo(store, 2) == 0;
        if (isBehind) {
            store.setIsolated(replica, true);
            runWithChanges(store, 2s);
        }
        store.disk(replica).fill(upTo(store, 1) == 0 ? upTo(store, 4096) : upTo(store, 4 * largestText));
        store.setIsolated(replica, false);
        if (upTo(store, 2) == 0)
            store.endProcess(replica);
        runWithChanges(store, 200ms + upTo(store, 8s));
        store.disk(replica).makeRoom();
        // What was written at the full disk must be read again before a snapshot replaces it.
        runWithChanges(store, 400ms + upTo(store, 800ms));
        if (upTo(store, 1) == 0)
            store.crash(replica);
    }

    static std::optional<Duration> timeToAccept(StoreSimulation& store)
    {
        const TimePoint start = store.now();
        const std::size_t before = store.acceptedCount();
        const bool isAccepted = store.runUntil([&] {
            if (store.acceptedCount() == before && store.leader())
                store.sendEdit(*store.leader(), "dispatch");
            return store.acceptedCount() > before;
        },
            acknowledgementBound);
        return isAccepted ? std::optional(store.now() - start) : std::nullopt;
    }

    void expectAllHeld(StoreSimulation& store, std::uint64_t seed)
    {
        EXPECT_TRUE(store.runUntil([this, &store] {
            restartStopped(store);
            return store.haveAllConverged();
        },
            30s))
            << "seed " << seed;
        EXPECT_TRUE(store.holdAllAccepted()) << "seed " << seed;
    }

    std::size_t m_stops = 0;
};

TEST_P(FullDiskTest, DisksFullOneAfterAnother_RoomAgain_ChangeIsAcceptedAndNoneIsLost)
{
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        StoreSimulation store = makeStore(GetParam(), seed);
        ASSERT_TRUE(store.runUntil([&store] { return store.haveAllConverged(); }, 30s)) << seed;
        std::vector<std::size_t> order(replicas);
        std::iota(order.begin(), order.end(), 0);
        std::shuffle(order.begin(), order.end(), store.random());
        for (const std::size_t replica : order) {
            fillDisk(store, replica);
            runWithChanges(store, upTo(store, 2s));
        }
        runWithChanges(store, 3s);
        EXPECT_TRUE(timeToAccept(store)) << "seed " << seed;
        expectAllHeld(store, seed);
        for (std::size_t replica = 0; replica < replicas; ++replica)
            store.crash(replica);
        expectAllHeld(store, seed);
        for (const std::string& violation : store.violations())
            ADD_FAILURE() << "seed " << seed << ": " << violation;
    }
    EXPECT_GT(m_stops, 0U);
}

INSTANTIATE_TEST_SUITE_P(Voters, FullDiskTest, ::testing::Values(3, 5));

} // namespace
