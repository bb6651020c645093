#pragma once

#include "protocol/LogEntry.h"
#include "protocol/ReplicaMessages.h"
#include "state/LogBuffer.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Knapweedquay {

/// Term and vote that a replica must persist (Raft, figure 2).
struct HardState {
    Term term;
    ReplicaId votedFor;

    friend bool operator==(const HardState& a, const HardState& b) { return a.term == b.term && a.votedFor == b.votedFor; }
    friend bool operator!=(const HardState& a, const HardState& b) { return !(a == b); }
};

/// Number of a write. The storage reports the last write up to which all writes are synced.
using WriteSequence = StrongType<struct WriteSequenceTag, std::uint64_t>;

/// Action: writes and syncs the truncation, the entries and the hard state.
struct WriteLog {
    WriteSequence sequence;
    HardState hardState;
    /// Entries from this index on are removed before the new entries are appended.
    std::optional<LogIndex> truncateFrom;
    std::vector<LogEntry> entries;
};

/// Action: replaces everything that was written before by a snapshot and the entries after it, and syncs them.
struct StoreSnapshot {
    WriteSequence sequence;
    HardState hardState;
    Snapshot snapshot;
    /// Entries after the snapshot.
    std::vector<LogEntry> entries;
};

/// Action: sends a message to another replica.
struct SendMessage {
    ReplicaMessage message;
};

/// Action: applies a committed and synced entry. Each entry is returned once and in order.
struct ApplyEntry {
    LogEntry entry;
};

/// Action: replaces the applied state by that of a snapshot.
struct InstallState {
    Snapshot snapshot;
};

/// Notification that this replica became the leader or stopped being the leader. In the latter case the outcome of
/// proposals that were not applied yet is unknown.
struct LeadershipChanged {
    bool leading = false;
    Term term;
};

using LogAction = std::variant<WriteLog, StoreSnapshot, SendMessage, ApplyEntry, InstallState, LeadershipChanged>;

} // namespace Knapweedquay
