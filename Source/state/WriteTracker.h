#pragma once

#include "state/ReplicatedLogActions.h"

#include <deque>
#include <optional>

namespace Knapweedquay {

/// Collects the changes that must be written, and tracks the index up to which the log is synced.
///
/// All changes between two calls of takeWrite() are combined into one write, so that many proposals need one sync.
class WriteTracker {
public:
    explicit WriteTracker(LogIndex durable)
        : m_durableIndex(durable)
    {
    }

    /// Records a change of the hard state, whose latest value is passed to takeWrite().
    void markHardStateChanged();
    /// Records an appended entry.
    void append(const LogEntry&);
    /// Records the removal of the entries from an index on.
    void truncateFrom(LogIndex);
    /// Makes the next write a snapshot with the entries after it, which include all changes collected so far.
    void storeSnapshot(Snapshot, std::vector<LogEntry>);

    /// Returns the collected changes as one write; empty when there are none.
    std::optional<LogAction> takeWrite(HardState);
    /// Number of the write that contains the latest change. Messages that depend on the change wait for this write.
    WriteSequence lastSequence() const { return m_openWrite ? WriteSequence(m_lastTaken.value() + 1) : m_lastTaken; }
    WriteSequence syncedSequence() const { return m_syncedSequence; }
    bool isSynced() const { return lastSequence() == m_syncedSequence; }

    /// Must be called when all writes up to the given one are synced.
    void synced(WriteSequence);
    /// Last index up to which the current log is synced.
    LogIndex durableIndex() const { return m_durableIndex; }

private:
    /// A write that is being collected or synced.
    struct PendingWrite {
        WriteSequence sequence;
        /// First index that the write removes; empty when it removes no entries.
        std::optional<LogIndex> truncateFrom;
        /// Last index of the log after the write; empty when it changes only the hard state.
        std::optional<LogIndex> lastIndex;
    };

    PendingWrite& openWrite();

    /// Write that collects changes until takeWrite(), with the entries and the snapshot below; empty without changes.
    std::optional<PendingWrite> m_openWrite;
    std::vector<LogEntry> m_entries;
    std::optional<Snapshot> m_snapshot;
    /// Writes returned by takeWrite() that are not synced yet, oldest first.
    std::deque<PendingWrite> m_unsyncedWrites;
    WriteSequence m_lastTaken;
    WriteSequence m_syncedSequence;
    LogIndex m_durableIndex;
};

} // namespace Knapweedquay
