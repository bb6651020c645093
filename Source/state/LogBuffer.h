#pragma once

#include "protocol/LogEntry.h"

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace Knapweedquay {

/// The applied state of a log prefix. The bytes are shared, because they are also sent to other replicas.
struct Snapshot {
    LogIndex lastIndex;
    Term lastTerm;
    MemberList members;
    std::shared_ptr<const std::string> state = std::make_shared<const std::string>();
};

/// Holds the entries after the latest snapshot, and knows which member list counts.
///
/// The member list that counts is the last one appended, committed or not (Raft dissertation 4.1), so
/// truncating brings the one before it back.
class LogBuffer {
public:
    LogBuffer() = default;
    LogBuffer(Snapshot, std::vector<LogEntry>);

    const Snapshot& snapshot() const { return m_snapshot; }
    LogIndex lastIndex() const { return LogIndex(m_snapshot.lastIndex.value() + m_entries.size()); }
    Term lastTerm() const;
    /// True when the log holds, or its snapshot ends at, this index with this term.
    bool matches(LogIndex, Term) const;
    /// True when the entry itself is held.
    bool holds(LogIndex) const;
    Term termAt(LogIndex) const;
    const LogEntry& at(LogIndex) const;
    /// Entries from the index on, at least one if there is one, and no more than the given bytes and count.
    std::vector<LogEntry> from(LogIndex, std::size_t maximumBytes, std::size_t maximumCount) const;
    std::vector<LogEntry> allFrom(LogIndex) const;

    void append(LogEntry);
    void truncateFrom(LogIndex);
    /// Drops the entries up to the snapshot's last index.
    void compact(Snapshot);
    /// Replaces everything by a snapshot from another replica.
    void reset(Snapshot);

    const MemberList& members() const { return m_memberLists.back().members; }
    LogIndex membersIndex() const { return m_memberLists.back().index; }
    MemberList membersAt(LogIndex) const;
    std::size_t entryCount() const { return m_entries.size(); }
    std::uint64_t entryBytes() const { return m_entryBytes; }

private:
    struct IndexedMembers {
        LogIndex index;
        MemberList members;
    };

    std::size_t offsetOf(LogIndex index) const { return index.value() - m_snapshot.lastIndex.value() - 1; }
    void noteMembers(const LogEntry&);

    Snapshot m_snapshot;
    std::deque<LogEntry> m_entries;
    std::uint64_t m_entryBytes = 0;
    std::vector<IndexedMembers> m_memberLists { IndexedMembers {} };
};

} // namespace Knapweedquay
