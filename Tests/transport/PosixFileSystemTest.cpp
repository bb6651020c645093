#include "state/LogStorage.h"
#include "transport/PosixFileSystem.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <filesystem>

using namespace Knapweedquay;

namespace {

/// Provides a temporary folder that is removed after the test.
class PosixFileSystemTest : public ::testing::Test {
protected:
    PosixFileSystemTest()
    {
        char name[] = "/tmp/knapweedquay-files-XXXXXX";
        m_root = mkdtemp(name);
        m_folder = m_root + "/data";
    }
    ~PosixFileSystemTest() override { std::filesystem::remove_all(m_root); }

    PosixFileSystem m_files;
    std::string m_root;
    std::string m_folder;
};

TEST_F(PosixFileSystemTest, Log_WrittenAndReopened_HoldsEntriesAndSnapshot)
{
    auto opened = LogStorage::open(m_files, m_folder);
    ASSERT_TRUE(opened.has_value()) << opened.error().detail;
    LogStorage& storage = *opened.value();
    ASSERT_TRUE(storage.initialize({ ClusterId(1), ReplicaId(2) }, StoredLog {}).has_value());
    const LogEntry first { LogIndex(1), Term(1), LogEntryKind::Command, "first" };
    const LogEntry second { LogIndex(2), Term(1), LogEntryKind::Command, "second" };
    ASSERT_TRUE(storage.write({ WriteSequence(1), { Term(1), ReplicaId(2) }, std::nullopt, { first } }).has_value());
    ASSERT_TRUE(storage.sync().has_value());
    const Snapshot snapshot { LogIndex(1), Term(1), {}, std::make_shared<const std::string>("state") };
    ASSERT_TRUE(storage.store({ WriteSequence(2), { Term(1), ReplicaId(2) }, snapshot, { second } }).has_value());
    auto reopened = LogStorage::open(m_files, m_folder);
    ASSERT_TRUE(reopened.has_value()) << reopened.error().detail;
    const StoredLog stored = reopened.value()->takeStored();
    EXPECT_EQ("state", *stored.snapshot.state);
    EXPECT_EQ(std::vector<LogEntry> { second }, stored.entries);
    EXPECT_EQ(2u, m_files.list(m_folder).value().size());
}

TEST_F(PosixFileSystemTest, FolderLock_HeldByAnother_IsRefusedUntilReleased)
{
    auto lock = FolderLock::acquire(m_folder);
    ASSERT_TRUE(lock.has_value());
    EXPECT_EQ(ResultCode::StorageFailed, FolderLock::acquire(m_folder).error().code);
    lock.value().reset();
    EXPECT_TRUE(FolderLock::acquire(m_folder).has_value());
}

TEST_F(PosixFileSystemTest, Read_MissingFile_ReportsPath)
{
    const auto read = m_files.read(m_root + "/missing");
    ASSERT_TRUE(read.has_error());
    EXPECT_NE(std::string::npos, read.error().detail.find("/missing"));
}

} // namespace
