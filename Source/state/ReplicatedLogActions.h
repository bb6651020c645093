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

/// What a replica must remember of its votes (Raft, figure 2).
struct HardState {
    Term term;
    ReplicaId votedFor;

    friend bool operator==(const HardState& a, const HardState& b) { return a.term == b.term && a.votedFor == b.votedFor; }
    friend bool operator!=(const HardState& a, const HardState& b) { return !(a == b); }
};

/// Number of a write; the storage reports up to which write everything is synced.
using WriteSequence = StrongType<struct WriteSequenceTag, std::uint64_t>;

/// Order to write and sync: first the truncation, then the entries and the hard state.
struct WriteLog {
    WriteSequence sequence;
    HardState hardState;
    /// Entries from this index on are dropped.
    std::optional<LogIndex> truncateFrom;
    std::vector<LogEntry> entries;
};

/// Order to store a snapshot in place of all that was written before, and sync.
struct StoreSnapshot {
    WriteSequence sequence;
    HardState hardState;
    Snapshot snapshot;
    /// Entries after the snapshot.
    std::vector<LogEntry> entries;
};

struct SendMessage {
    ReplicaMessage message;
};

/// A committed and synced entry, handed out once and in order.
struct ApplyEntry {
    LogEntry entry;
};

/// The applied state is replaced by that of a snapshot.
struct InstallState {
    Snapshot snapshot;
};

/// This replica became the leader, or ceased to be it. Proposals that were not applied yet have an unknown outcome then.
struct LeadershipChanged {
    bool leading = false;
    Term term;
};

using LogAction = std::variant<WriteLog, StoreSnapshot, SendMessage, ApplyEntry, InstallState, LeadershipChanged>;

} // namespace Knapweedquay
