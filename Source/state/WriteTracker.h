#pragma once

#include "state/ReplicatedLogActions.h"

#include <deque>
#include <optional>

namespace Knapweedquay {

/// Collects what must be written, and knows up to where the log is synced.
///
/// All changes between two calls of take() become one write, so that many proposals cost one sync.
class WriteTracker {
public:
    explicit WriteTracker(LogIndex durable)
        : m_durable(durable)
    {
    }

    /// The hard state has changed; take() is given its latest value.
    void noteHardState();
    void append(const LogEntry&);
    void truncateFrom(LogIndex);
    /// The next write is the whole of this; earlier changes are contained in it.
    void storeSnapshot(Snapshot, std::vector<LogEntry>);

    /// The collected write, if there is one.
    std::optional<LogAction> take(HardState);
    /// Number that the last change has, or will get; a message that depends on it waits for this write.
    WriteSequence lastSequence() const { return m_open ? WriteSequence(m_taken.value() + 1) : m_taken; }
    WriteSequence syncedSequence() const { return m_synced; }
    bool isSynced() const { return lastSequence() == m_synced; }

    void synced(WriteSequence);
    /// Greatest index up to which the log as it stands is synced.
    LogIndex durableIndex() const { return m_durable; }

private:
    struct PendingWrite {
        WriteSequence sequence;
        std::optional<LogIndex> truncateFrom;
        std::optional<LogIndex> lastIndex;
    };

    PendingWrite& open();

    std::optional<PendingWrite> m_open;
    std::vector<LogEntry> m_entries;
    std::optional<Snapshot> m_snapshot;
    std::deque<PendingWrite> m_pending;
    WriteSequence m_taken;
    WriteSequence m_synced;
    LogIndex m_durable;
};

} // namespace Knapweedquay
