#pragma once

#include "protocol/LogEntry.h"
#include "protocol/Result.h"
#include "state/ReplicatedLogActions.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace Knapweedquay {

/// First record of a log file: the identity of the replica and the snapshot that precedes the log.
struct LogFileHeader {
    ClusterId cluster;
    ReplicaId replica;
    /// Name of the snapshot file; empty when the log starts at index 1.
    std::string snapshotFile;
    std::uint32_t snapshotChecksum = 0;
    LogIndex snapshotIndex;
    Term snapshotTerm;
    MemberList snapshotMembers;
};

/// Removes the entries from an index on.
struct TruncateRecord {
    LogIndex first;
};

/// Marks a completed sync. It distinguishes damage in synced records from an incomplete write at the end of the file.
struct SyncMark { };

using LogRecord = std::variant<LogFileHeader, HardState, LogEntry, TruncateRecord, SyncMark>;

/// Record read from a file, with the fields of its frame.
struct FramedRecord {
    LogRecord record;
    /// Number of bytes of the file that were synced when the record was written.
    std::uint64_t syncedBytes = 0;
    /// Length in the file, including the frame.
    std::size_t length = 0;
};

/// Encodes a record: length (4 bytes), CRC32C of the rest (4), synced bytes (8), all little-endian, then the record in
/// CBOR.
std::string frameRecord(const LogRecord&, std::uint64_t syncedBytes);

/// Reads the record at an offset; empty when there is no complete and undamaged record.
std::optional<FramedRecord> readRecord(std::string_view file, std::size_t offset);

} // namespace Knapweedquay
