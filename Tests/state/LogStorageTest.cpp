#include "state/FakeFileSystem.h"
#include "state/LogStorage.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Knapweedquay;

namespace {

const std::string folder = "data";
const std::string firstLog = "data/log-0000000000000001";

LogEntry entry(std::uint64_t index, std::uint64_t term, const std::string& payload = "payload")
{
    return { LogIndex(index), Term(term), LogEntryKind::Command, payload };
}

class LogStorageTest : public ::testing::Test {
protected:
    std::unique_ptr<LogStorage> openStorage()
    {
        auto opened = LogStorage::open(m_disk, folder);
        EXPECT_TRUE(opened.has_value()) << opened.error().detail;
        return std::move(opened.value());
    }

    std::unique_ptr<LogStorage> initialized()
    {
        auto storage = openStorage();
        EXPECT_TRUE(storage->initialize({ ClusterId(1), ReplicaId(2) }, StoredLog {}).has_value());
        return storage;
    }

    void append(LogStorage& storage, std::uint64_t index)
    {
        ASSERT_TRUE(storage.write({ WriteSequence(1), { Term(1), ReplicaId(2) }, std::nullopt, { entry(index, 1) } }).has_value());
        ASSERT_TRUE(storage.sync().has_value());
    }

    FakeFileSystem m_disk;
};

RC_GTEST_PROP(LogStorageProperty, RandomWritesAndCrashes_Reopened_HoldAllSyncedEntries, (std::uint64_t seed))
{
    std::mt19937_64 random(seed);
    FakeFileSystem disk;
    auto storage = std::move(LogStorage::open(disk, folder).value());
    RC_ASSERT(storage->initialize({ ClusterId(1), ReplicaId(2) }, StoredLog {}).has_value());
    std::vector<LogEntry> log;
    std::vector<LogEntry> synced;
    std::uint64_t first = 1;
    std::uint64_t term = 1;
    std::uint64_t syncedTerm = 0;
    for (int round = 0; round < 40; ++round) {
        WriteLog write { WriteSequence(1), { Term(++term), ReplicaId(random() % 3) }, std::nullopt, {} };
        if (!log.empty() && random() % 4 == 0) {
            const std::size_t keep = random() % log.size();
            write.truncateFrom = log[keep].index;
            log.resize(keep);
        }
        for (std::uint64_t i = random() % 4; i > 0; --i) {
            write.entries.push_back(entry(first + log.size(), term, std::string(random() % 50, 'x')));
            log.push_back(write.entries.back());
        }
        RC_ASSERT(storage->write(write).has_value());
        // A crash before the sync may keep any prefix of the write, so only the synced entries are compared.
        if (random() % 5 == 0) {
            disk.crash(random);
            auto reopened = LogStorage::open(disk, folder);
            RC_ASSERT(reopened.has_value());
            storage = std::move(reopened.value());
            StoredLog stored = storage->takeStored();
            RC_ASSERT(stored.hardState.term.value() >= syncedTerm);
            syncedTerm = stored.hardState.term.value();
            log = stored.entries;
            const std::size_t kept = write.truncateFrom ? std::min<std::size_t>(synced.size(), write.truncateFrom->value() - first) : synced.size();
            RC_ASSERT(log.size() >= kept);
            for (std::size_t i = 0; i < kept; ++i)
                RC_ASSERT(log[i] == synced[i]);
            synced = log;
            continue;
        }
        RC_ASSERT(storage->sync().has_value());
        syncedTerm = term;
        if (!log.empty() && random() % 6 == 0) {
            const std::size_t drop = random() % log.size() + 1;
            Snapshot snapshot { log[drop - 1].index, log[drop - 1].term, {}, std::make_shared<const std::string>("state of " + std::to_string(first + drop)) };
            log.erase(log.begin(), log.begin() + static_cast<std::ptrdiff_t>(drop));
            first += drop;
            RC_ASSERT(storage->store({ WriteSequence(1), write.hardState, snapshot, log }).has_value());
        }
        synced = log;
    }
}

TEST_F(LogStorageTest, DamageWithinSyncedRecords_Opened_IsCorrupt)
{
    {
        auto storage = initialized();
        append(*storage, 1);
        append(*storage, 2);
    }
    std::string& file = m_disk.content(firstLog);
    const std::string undamaged = file;
    for (std::size_t position = 0; position + 40 < undamaged.size(); ++position) {
        file = undamaged;
        file[position] ^= 0x10;
        const auto opened = LogStorage::open(m_disk, folder);
        ASSERT_TRUE(opened.has_error()) << "byte " << position;
        EXPECT_EQ(ResultCode::StorageCorrupt, opened.error().code);
    }
}

TEST_F(LogStorageTest, SnapshotDamagedOrMissing_Opened_IsCorrupt)
{
    initialized()->store({ WriteSequence(1), {}, { LogIndex(9), Term(1), {}, std::make_shared<const std::string>("state") }, {} }).value();
    const std::string name = "data/snapshot-0000000000000002";
    m_disk.content(name)[0] ^= 1;
    EXPECT_EQ(ResultCode::StorageCorrupt, LogStorage::open(m_disk, folder).error().code);
    m_disk.remove(name).value();
    EXPECT_EQ(ResultCode::StorageCorrupt, LogStorage::open(m_disk, folder).error().code);
}

TEST_F(LogStorageTest, FailedSync_Retried_StaysFailed)
{
    auto storage = initialized();
    ASSERT_TRUE(storage->write({ WriteSequence(1), { Term(1), ReplicaId(2) }, std::nullopt, { entry(1, 1) } }).has_value());
    m_disk.failAfter(0);
    EXPECT_EQ(ResultCode::StorageFailed, storage->sync().error().code);
    m_disk.recover();
    EXPECT_EQ(ResultCode::StorageFailed, storage->sync().error().code);
    EXPECT_EQ(ResultCode::StorageFailed, storage->write({}).error().code);
}

} // namespace
