#pragma once

#include "protocol/LogEntry.h"

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace Knapweedquay {

/// State after applying a prefix of the log.
struct Snapshot {
    /// Index and term of the last entry that the snapshot covers.
    LogIndex lastIndex;
    Term lastTerm;
    /// Member list as of that entry.
    MemberList members;
    /// Encoded state. It is shared, because it is also sent to other replicas.
    std::shared_ptr<const std::string> state = std::make_shared<const std::string>();
};

/// In-memory log: the latest snapshot, the entries after it and the member lists in them.
///
/// The last appended member list is in effect, committed or not (Raft dissertation 4.1). Truncating its entry restores
/// the previous list.
class LogBuffer {
public:
    LogBuffer() = default;
    LogBuffer(Snapshot, std::vector<LogEntry>);

    const Snapshot& snapshot() const { return m_snapshot; }
    LogIndex lastIndex() const { return LogIndex(m_snapshot.lastIndex.value() + m_entries.size()); }
    Term lastTerm() const;
    /// True when the log has an entry, or its snapshot ends, at this index with this term.
    bool matches(LogIndex, Term) const;
    /// True when the log has the entry itself, not only a snapshot that covers it.
    bool contains(LogIndex) const;
    /// Term of an entry or of the end of the snapshot; term 0 when the index is unknown.
    Term termAt(LogIndex) const;
    const LogEntry& at(LogIndex) const;
    /// Entries from the index on, limited by the given payload bytes and count. The first entry is returned in any
    /// case.
    std::vector<LogEntry> entriesFrom(LogIndex, std::size_t maximumBytes, std::size_t maximumCount) const;
    std::vector<LogEntry> allEntriesFrom(LogIndex) const;

    void append(LogEntry);
    /// Removes the entries from the index on.
    void truncateFrom(LogIndex);
    /// Replaces the snapshot and removes the entries that it covers.
    void compact(Snapshot);
    /// Replaces the complete log by a snapshot from another replica.
    void reset(Snapshot);

    /// Member list that is in effect.
    const MemberList& members() const { return m_memberLists.back().members; }
    /// Index of the entry with that member list.
    LogIndex membersIndex() const { return m_memberLists.back().index; }
    /// Member list that was in effect at the index.
    MemberList membersAt(LogIndex) const;
    std::size_t entryCount() const { return m_entries.size(); }
    /// Payload bytes of all entries.
    std::uint64_t entryBytes() const { return m_entryBytes; }

private:
    /// Member list with the index of its entry, or of the end of the snapshot that contains it.
    struct IndexedMembers {
        LogIndex index;
        MemberList members;
    };

    std::size_t offsetOf(LogIndex index) const { return index.value() - m_snapshot.lastIndex.value() - 1; }
    void recordMembers(const LogEntry&);

    Snapshot m_snapshot;
    std::deque<LogEntry> m_entries;
    std::uint64_t m_entryBytes = 0;
    /// Member lists of the snapshot and of the entries, by increasing index; never empty.
    std::vector<IndexedMembers> m_memberLists { IndexedMembers {} };
};

} // namespace Knapweedquay
