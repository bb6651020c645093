#include "state/WriteTracker.h"

#include <algorithm>

namespace Knapweedquay {

WriteTracker::PendingWrite& WriteTracker::open()
{
    if (!m_open)
        m_open = PendingWrite {};
    return *m_open;
}

void WriteTracker::noteHardState()
{
    open();
}

void WriteTracker::append(const LogEntry& entry)
{
    open().lastIndex = entry.index;
    m_entries.push_back(entry);
}

void WriteTracker::truncateFrom(LogIndex first)
{
    PendingWrite& write = open();
    while (!m_entries.empty() && m_entries.back().index >= first)
        m_entries.pop_back();
    write.truncateFrom = write.truncateFrom ? std::min(*write.truncateFrom, first) : first;
    write.lastIndex = previousIndex(first);
    m_durable = std::min(m_durable, previousIndex(first));
}

void WriteTracker::storeSnapshot(Snapshot snapshot, std::vector<LogEntry> entries)
{
    PendingWrite& write = open();
    write.lastIndex = entries.empty() ? snapshot.lastIndex : entries.back().index;
    m_durable = std::min(m_durable, *write.lastIndex);
    m_snapshot = std::move(snapshot);
    m_entries = std::move(entries);
}

std::optional<LogAction> WriteTracker::take(HardState hardState)
{
    if (!m_open)
        return std::nullopt;
    m_taken = lastSequence();
    m_open->sequence = m_taken;
    const std::optional<LogIndex> truncateFrom = m_open->truncateFrom;
    m_pending.push_back(*m_open);
    m_open.reset();
    std::vector<LogEntry> entries = std::move(m_entries);
    m_entries.clear();
    if (!m_snapshot)
        return WriteLog { m_taken, hardState, truncateFrom, std::move(entries) };
    StoreSnapshot store { m_taken, hardState, std::move(*m_snapshot), std::move(entries) };
    m_snapshot.reset();
    return store;
}

void WriteTracker::synced(WriteSequence sequence)
{
    while (!m_pending.empty() && m_pending.front().sequence <= sequence) {
        if (m_pending.front().lastIndex)
            m_durable = *m_pending.front().lastIndex;
        m_synced = m_pending.front().sequence;
        m_pending.pop_front();
    }
    // A later truncation that is not synced yet already took back what the synced writes held.
    for (const PendingWrite& write : m_pending)
        if (write.truncateFrom)
            m_durable = std::min(m_durable, previousIndex(*write.truncateFrom));
    if (m_open && m_open->truncateFrom)
        m_durable = std::min(m_durable, previousIndex(*m_open->truncateFrom));
}

} // namespace Knapweedquay
