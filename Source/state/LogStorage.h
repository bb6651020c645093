#pragma once

#include "protocol/Result.h"
#include "state/FileSystem.h"
#include "state/LogRecord.h"
#include "state/ReplicatedLog.h"
#include "state/ReplicatedLogActions.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Knapweedquay {

/// Who a data folder belongs to.
struct ReplicaIdentity {
    ClusterId cluster;
    ReplicaId replica;
};

/// Keeps one replica's log, votes and newest snapshot in a folder.
///
/// The newest file log-N is the whole truth: its header names the snapshot that it continues, and all its
/// records carry a checksum. A new snapshot starts log-N+1. Both are written under a temporary name, synced
/// and renamed, and the folder is synced, before the older ones are removed; so a crash at any moment leaves
/// one whole state. After any error the storage refuses everything: a sync that failed must not be retried,
/// because the system may have dropped the bytes.
class LogStorage {
public:
    /// A file, and how many of its bytes last once it is synced.
    struct SyncTask {
        std::shared_ptr<AppendFile> file;
        std::uint64_t bytes = 0;
    };

    /// Opens a folder. Errors: StorageFailed; StorageCorrupt when bytes are damaged that were synced once.
    static Result<std::unique_ptr<LogStorage>> open(FileSystem&, std::string folder);

    /// Empty when the folder holds no log: a replica without an identity.
    const std::optional<ReplicaIdentity>& identity() const { return m_identity; }
    /// What the folder held when it was opened or initialized. It can be taken once.
    StoredLog takeStored() { return std::move(m_stored); }

    /// Gives an empty folder its identity and first content, and syncs them.
    Result<void> initialize(ReplicaIdentity, StoredLog);
    /// Writes without syncing.
    Result<void> write(const WriteLog&);
    Result<void> sync();
    /// Syncs in two steps: the task's file may be synced on another thread while more is written here.
    SyncTask startSync() const { return { m_file, m_writtenBytes }; }
    Result<void> finishSync(const SyncTask&, Result<void> synced);
    /// Writes a snapshot and starts a new log file after it, all synced.
    Result<void> store(const StoreSnapshot&);

    /// Bytes of the log file.
    std::uint64_t logBytes() const { return m_writtenBytes; }

private:
    LogStorage(FileSystem& fileSystem, std::string folder)
        : m_fileSystem(fileSystem)
        , m_folder(std::move(folder))
    {
    }

    Result<void> load();
    Result<void> replay(const std::string& file, const std::string& name);
    Result<void> replayRecord(const LogRecord&);
    Result<void> loadSnapshot(const LogFileHeader&);
    Result<void> startFile(const HardState&, const Snapshot&, const std::vector<LogEntry>&);
    Result<std::string> writeSnapshot(const Snapshot&);
    Result<std::unique_ptr<AppendFile>> replaceFile(const std::string& name, const std::string& content);
    Result<void> removeOthers(const std::string& log, const std::string& snapshot);
    Result<void> append(const std::string& records);
    Result<void> check(Result<void>);
    std::string path(const std::string& name) const { return m_folder + "/" + name; }

    FileSystem& m_fileSystem;
    std::string m_folder;
    std::optional<ReplicaIdentity> m_identity;
    StoredLog m_stored;
    std::uint64_t m_generation = 0;
    std::string m_snapshotFile;
    LogIndex m_snapshotIndex;
    std::shared_ptr<AppendFile> m_file;
    std::uint64_t m_writtenBytes = 0;
    std::uint64_t m_syncedBytes = 0;
    std::optional<Error> m_failure;
};

} // namespace Knapweedquay
