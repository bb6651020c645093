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

/// Identity of the replica that a data folder belongs to.
struct ReplicaIdentity {
    ClusterId cluster;
    ReplicaId replica;
};

/// Stores the log, the hard state and the latest snapshot of one replica in a folder.
///
/// The newest file log-N is authoritative: its header names the snapshot that precedes it, and each of its records has
/// a checksum. A new snapshot starts log-N+1. Both files are written under a temporary name, synced and renamed, and
/// the folder is synced, before the older files are removed, so a crash at any moment leaves one complete state. After
/// an error the storage refuses all operations: a failed sync must not be retried, because the operating system may
/// have dropped the bytes.
class LogStorage {
public:
    /// Log file to sync, and the number of its bytes that are durable after the sync.
    struct SyncTask {
        std::shared_ptr<AppendFile> file;
        std::uint64_t bytes = 0;
    };

    /// Opens a folder and reads its log. Errors: StorageFailed; StorageCorrupt when bytes that were synced are damaged.
    static Result<std::unique_ptr<LogStorage>> open(FileSystem&, std::string folder);

    /// Identity stored in the folder; empty when the folder has no log.
    const std::optional<ReplicaIdentity>& identity() const { return m_identity; }
    /// Moves out the contents that were read by open() or passed to initialize(). Must be called once only.
    StoredLog takeStored() { return std::move(m_stored); }

    /// Writes an identity and the initial log to an empty folder and syncs them.
    Result<void> initialize(ReplicaIdentity, StoredLog);
    /// Appends records without syncing.
    Result<void> write(const WriteLog&);
    /// Syncs all appended records.
    Result<void> sync();
    /// First step of an asynchronous sync. The file of the task may be synced on another thread during further writes;
    /// its result must be passed to finishSync().
    SyncTask startSync() const { return { m_file, m_writtenBytes }; }
    Result<void> finishSync(const SyncTask&, Result<void> synced);
    /// Writes a snapshot and starts a new log file after it, both synced.
    Result<void> store(const StoreSnapshot&);

    /// Size of the log file.
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
    Result<std::unique_ptr<AppendFile>> writeFileAtomically(const std::string& name, const std::string& content);
    Result<void> removeObsoleteFiles(const std::string& log, const std::string& snapshot);
    Result<void> append(const std::string& records);
    /// Stores the first failure, after which all operations are refused, and returns the result unchanged.
    Result<void> recordFailure(Result<void>);
    std::string path(const std::string& name) const { return m_folder + "/" + name; }

    FileSystem& m_fileSystem;
    std::string m_folder;
    std::optional<ReplicaIdentity> m_identity;
    StoredLog m_stored;
    /// Number N of the current file log-N; 0 when there is none.
    std::uint64_t m_generation = 0;
    /// Name of the latest snapshot file; empty when there is no snapshot.
    std::string m_snapshotFile;
    LogIndex m_snapshotIndex;
    std::shared_ptr<AppendFile> m_file;
    /// Bytes of the log file that were written, and those of them that are known to be synced.
    std::uint64_t m_writtenBytes = 0;
    std::uint64_t m_syncedBytes = 0;
    std::optional<Error> m_failure;
};

} // namespace Knapweedquay
