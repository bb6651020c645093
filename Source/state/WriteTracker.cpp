#include "state/WriteTracker.h"

#include <algorithm>

namespace Knapweedquay {

WriteTracker::PendingWrite& WriteTracker::openWrite()
{
    if (!m_openWrite)
        m_openWrite = PendingWrite {};
    return *m_openWrite;
}

void WriteTracker::markHardStateChanged()
{
    openWrite();
}

void WriteTracker::append(const LogEntry& entry)
{
    openWrite().lastIndex = entry.index;
    m_entries.push_back(entry);
}

void WriteTracker::truncateFrom(LogIndex first)
{
    PendingWrite& write = openWrite();
    while (!m_entries.empty() && m_entries.back().index >= first)
        m_entries.pop_back();
    write.truncateFrom = write.truncateFrom ? std::min(*write.truncateFrom, first) : first;
    write.lastIndex = previousIndex(first);
    m_durableIndex = std::min(m_durableIndex, previousIndex(first));
}

void WriteTracker::storeSnapshot(Snapshot snapshot, std::vector<LogEntry> entries)
{
    PendingWrite& write = openWrite();
    write.lastIndex = entries.empty() ? snapshot.lastIndex : entries.back().index;
    m_durableIndex = std::min(m_durableIndex, *write.lastIndex);
    m_snapshot = std::move(snapshot);
    m_entries = std::move(entries);
}

std::optional<LogAction> WriteTracker::takeWrite(HardState hardState)
{
    if (!m_openWrite)
        return std::nullopt;
    m_lastTaken = lastSequence();
    m_openWrite->sequence = m_lastTaken;
    const std::optional<LogIndex> truncateFrom = m_openWrite->truncateFrom;
    m_unsyncedWrites.push_back(*m_openWrite);
    m_openWrite.reset();
    std::vector<LogEntry> entries = std::move(m_entries);
    m_entries.clear();
    if (!m_snapshot)
        return WriteLog { m_lastTaken, hardState, truncateFrom, std::move(entries) };
    StoreSnapshot store { m_lastTaken, hardState, std::move(*m_snapshot), std::move(entries) };
    m_snapshot.reset();
    return store;
}

void WriteTracker::synced(WriteSequence sequence)
{
    while (!m_unsyncedWrites.empty() && m_unsyncedWrites.front().sequence <= sequence) {
        if (m_unsyncedWrites.front().lastIndex)
            m_durableIndex = *m_unsyncedWrites.front().lastIndex;
        m_syncedSequence = m_unsyncedWrites.front().sequence;
        m_unsyncedWrites.pop_front();
    }
    // A later truncation that is not synced yet has already removed some of the entries of the synced writes.
    for (const PendingWrite& write : m_unsyncedWrites)
        if (write.truncateFrom)
            m_durableIndex = std::min(m_durableIndex, previousIndex(*write.truncateFrom));
    if (m_openWrite && m_openWrite->truncateFrom)
        m_durableIndex = std::min(m_durableIndex, previousIndex(*m_openWrite->truncateFrom));
}

} // namespace Knapweedquay
