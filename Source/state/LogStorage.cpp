#include "state/LogStorage.h"

#include "state/Checksum.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>

namespace Knapweedquay {

namespace {

const std::string logPrefix = "log-";
const std::string snapshotPrefix = "snapshot-";
const std::string temporarySuffix = ".tmp";

std::string numberedName(const std::string& prefix, std::uint64_t generation)
{
    char digits[24];
    std::snprintf(digits, sizeof digits, "%016llx", static_cast<unsigned long long>(generation));
    return prefix + digits;
}

// Returns the generation in a file name, or 0 when the name does not have this prefix and a generation.
std::uint64_t generationOf(const std::string& name, const std::string& prefix)
{
    constexpr int hexadecimal = 16;
    if (name.compare(0, prefix.size(), prefix) != 0)
        return 0;
    const std::uint64_t generation = std::strtoull(name.c_str() + prefix.size(), nullptr, hexadecimal);
    return numberedName(prefix, generation) == name ? generation : 0;
}

Error corruptionError(const std::string& name, const std::string& reason)
{
    return Error { ResultCode::StorageCorrupt, name + ": " + reason };
}

// True when an intact record after the damage was written after the damaged bytes had been synced.
bool wasSynced(std::string_view file, std::size_t damagedAt)
{
    for (std::size_t offset = damagedAt + 1; offset < file.size(); ++offset) {
        const auto later = readRecord(file, offset);
        if (later && later->syncedBytes > damagedAt && later->syncedBytes <= offset)
            return true;
    }
    return false;
}

} // namespace

Result<std::unique_ptr<LogStorage>> LogStorage::open(FileSystem& fileSystem, std::string folder)
{
    std::unique_ptr<LogStorage> storage(new LogStorage(fileSystem, std::move(folder)));
    BOOST_OUTCOME_TRYV(storage->load());
    return storage;
}

Result<void> LogStorage::load()
{
    BOOST_OUTCOME_TRY(names, m_fileSystem.list(m_folder));
    bool hasSnapshot = false;
    for (const std::string& name : names) {
        m_generation = std::max(m_generation, generationOf(name, logPrefix));
        hasSnapshot = hasSnapshot || generationOf(name, snapshotPrefix) > 0;
    }
    if (m_generation == 0) {
        // The first log file is created before any snapshot, so a snapshot alone means that the log was lost.
        if (hasSnapshot)
            return corruptionError(m_folder, "a snapshot without a log file");
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    }
    const std::string name = numberedName(logPrefix, m_generation);
    BOOST_OUTCOME_TRY(file, m_fileSystem.read(path(name)));
    BOOST_OUTCOME_TRYV(replay(file, name));
    const bool isTorn = m_writtenBytes < file.size();
    if (isTorn)
        return startFile(m_stored.hardState, m_stored.snapshot, m_stored.entries);
    BOOST_OUTCOME_TRY(opened, m_fileSystem.openToAppend(path(name)));
    m_file = std::move(opened);
    // The entries that were read may not have been synced before a crash. They must be durable before the replica
    // acknowledges them.
    BOOST_OUTCOME_TRYV(sync());
    return removeObsoleteFiles(name, m_snapshotFile);
}

Result<void> LogStorage::replay(const std::string& file, const std::string& name)
{
    std::size_t offset = 0;
    while (offset < file.size()) {
        const auto framed = readRecord(file, offset);
        if (!framed) {
            // The header was synced before the file was renamed to its final name, so damage to it is not an incomplete
            // write.
            if (offset == 0 || wasSynced(file, offset))
                return corruptionError(name, "damaged record at byte " + std::to_string(offset) + " in the synced part of the file");
            break;
        }
        const bool isHeader = std::holds_alternative<LogFileHeader>(framed->record);
        if (isHeader != (offset == 0))
            return corruptionError(name, "header expected at the start of the file and nowhere else");
        BOOST_OUTCOME_TRYV(replayRecord(framed->record));
        offset += framed->length;
    }
    if (!m_identity)
        return corruptionError(name, "empty log file");
    m_writtenBytes = offset;
    m_syncedBytes = 0;
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

Result<void> LogStorage::replayRecord(const LogRecord& record)
{
    if (const auto* header = std::get_if<LogFileHeader>(&record)) {
        m_identity = ReplicaIdentity { header->cluster, header->replica };
        return loadSnapshot(*header);
    }
    if (const auto* hardState = std::get_if<HardState>(&record)) {
        m_stored.hardState = *hardState;
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    }
    auto& entries = m_stored.entries;
    if (const auto* truncate = std::get_if<TruncateRecord>(&record)) {
        while (!entries.empty() && entries.back().index >= truncate->first)
            entries.pop_back();
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    }
    const auto* entry = std::get_if<LogEntry>(&record);
    if (!entry)
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    const LogIndex last = entries.empty() ? m_stored.snapshot.lastIndex : entries.back().index;
    if (entry->index != nextIndex(last))
        return corruptionError(m_folder, "entry " + std::to_string(entry->index.value()) + " follows entry " + std::to_string(last.value()));
    entries.push_back(*entry);
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

Result<void> LogStorage::loadSnapshot(const LogFileHeader& header)
{
    m_snapshotFile = header.snapshotFile;
    m_snapshotIndex = header.snapshotIndex;
    m_stored.snapshot.lastIndex = header.snapshotIndex;
    m_stored.snapshot.lastTerm = header.snapshotTerm;
    m_stored.snapshot.members = header.snapshotMembers;
    if (m_snapshotFile.empty())
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    BOOST_OUTCOME_TRY(names, m_fileSystem.list(m_folder));
    if (std::find(names.begin(), names.end(), m_snapshotFile) == names.end())
        return corruptionError(m_snapshotFile, "missing");
    BOOST_OUTCOME_TRY(state, m_fileSystem.read(path(m_snapshotFile)));
    if (crc32c(state) != header.snapshotChecksum)
        return corruptionError(m_snapshotFile, "wrong checksum");
    m_stored.snapshot.state = std::make_shared<const std::string>(std::move(state));
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

Result<void> LogStorage::initialize(ReplicaIdentity identity, StoredLog stored)
{
    m_identity = identity;
    BOOST_OUTCOME_TRYV(recordFailure(startFile(stored.hardState, stored.snapshot, stored.entries)));
    m_stored = std::move(stored);
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

Result<void> LogStorage::write(const WriteLog& write)
{
    if (m_failure)
        return *m_failure;
    std::string records;
    if (write.truncateFrom)
        records += frameRecord(TruncateRecord { *write.truncateFrom }, m_syncedBytes);
    records += frameRecord(write.hardState, m_syncedBytes);
    for (const LogEntry& entry : write.entries)
        records += frameRecord(entry, m_syncedBytes);
    return append(records);
}

Result<void> LogStorage::append(const std::string& records)
{
    BOOST_OUTCOME_TRYV(recordFailure(m_file->append(records)));
    m_writtenBytes += records.size();
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

Result<void> LogStorage::sync()
{
    if (m_failure)
        return *m_failure;
    const SyncTask task = startSync();
    return finishSync(task, task.file->sync());
}

Result<void> LogStorage::finishSync(const SyncTask& task, Result<void> synced)
{
    if (m_failure)
        return *m_failure;
    BOOST_OUTCOME_TRYV(recordFailure(std::move(synced)));
    // A snapshot has started another log file in the meantime, which was synced completely.
    if (task.file != m_file)
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    m_syncedBytes = std::max(m_syncedBytes, task.bytes);
    return append(frameRecord(SyncMark {}, m_syncedBytes));
}

Result<void> LogStorage::store(const StoreSnapshot& snapshot)
{
    if (m_failure)
        return *m_failure;
    return recordFailure(startFile(snapshot.hardState, snapshot.snapshot, snapshot.entries));
}

Result<void> LogStorage::startFile(const HardState& hardState, const Snapshot& snapshot, const std::vector<LogEntry>& entries)
{
    ++m_generation;
    if (snapshot.lastIndex != m_snapshotIndex) {
        BOOST_OUTCOME_TRY(snapshotFile, writeSnapshot(snapshot));
        m_snapshotFile = std::move(snapshotFile);
        m_snapshotIndex = snapshot.lastIndex;
    }
    LogFileHeader header;
    header.cluster = m_identity->cluster;
    header.replica = m_identity->replica;
    header.snapshotFile = m_snapshotFile;
    header.snapshotChecksum = crc32c(*snapshot.state);
    header.snapshotIndex = snapshot.lastIndex;
    header.snapshotTerm = snapshot.lastTerm;
    header.snapshotMembers = snapshot.members;
    std::string content = frameRecord(header, 0) + frameRecord(hardState, 0);
    for (const LogEntry& entry : entries)
        content += frameRecord(entry, 0);
    const std::string name = numberedName(logPrefix, m_generation);
    BOOST_OUTCOME_TRY(file, writeFileAtomically(name, content));
    m_file = std::move(file);
    m_writtenBytes = content.size();
    m_syncedBytes = content.size();
    BOOST_OUTCOME_TRYV(append(frameRecord(SyncMark {}, m_syncedBytes)));
    return removeObsoleteFiles(name, m_snapshotFile);
}

Result<std::string> LogStorage::writeSnapshot(const Snapshot& snapshot)
{
    std::string name = numberedName(snapshotPrefix, m_generation);
    BOOST_OUTCOME_TRYV(writeFileAtomically(name, *snapshot.state));
    return name;
}

Result<std::unique_ptr<AppendFile>> LogStorage::writeFileAtomically(const std::string& name, const std::string& content)
{
    const std::string temporary = path(name + temporarySuffix);
    BOOST_OUTCOME_TRY(file, m_fileSystem.create(temporary));
    BOOST_OUTCOME_TRYV(file->append(content));
    BOOST_OUTCOME_TRYV(file->sync());
    BOOST_OUTCOME_TRYV(m_fileSystem.rename(temporary, path(name)));
    BOOST_OUTCOME_TRYV(m_fileSystem.syncFolder(m_folder));
    return std::move(file);
}

Result<void> LogStorage::removeObsoleteFiles(const std::string& log, const std::string& snapshot)
{
    BOOST_OUTCOME_TRY(names, m_fileSystem.list(m_folder));
    for (const std::string& name : names) {
        const bool isStorageFile = name.compare(0, logPrefix.size(), logPrefix) == 0 || name.compare(0, snapshotPrefix.size(), snapshotPrefix) == 0;
        if (isStorageFile && name != log && name != snapshot) {
            BOOST_OUTCOME_TRYV(m_fileSystem.remove(path(name)));
        }
    }
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

Result<void> LogStorage::recordFailure(Result<void> result)
{
    if (result.has_error() && !m_failure)
        m_failure = result.error();
    return result;
}

} // namespace Knapweedquay
