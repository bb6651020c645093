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

/// First record of a log file: whose log it is, and the snapshot that it continues.
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

struct TruncateRecord {
    LogIndex first;
};

/// Follows a sync, so that damage before it can be told from a torn end.
struct SyncMark { };

using LogRecord = std::variant<LogFileHeader, HardState, LogEntry, TruncateRecord, SyncMark>;

/// A record as read from a file.
struct FramedRecord {
    LogRecord record;
    /// Bytes of the file that were synced when the record was written.
    std::uint64_t syncedBytes = 0;
    /// Length in the file, frame included.
    std::size_t length = 0;
};

/// Frame: length (4 bytes), CRC32C of the rest (4), synced bytes (8), all little-endian, then the record in CBOR.
std::string frameRecord(const LogRecord&, std::uint64_t syncedBytes);

/// The record that starts at this offset; empty when the bytes there are not one whole, undamaged record.
std::optional<FramedRecord> readRecord(std::string_view file, std::size_t offset);

} // namespace Knapweedquay
