#include "state/LogBuffer.h"

namespace Knapweedquay {

LogBuffer::LogBuffer(Snapshot snapshot, std::vector<LogEntry> entries)
{
    reset(std::move(snapshot));
    for (LogEntry& entry : entries)
        append(std::move(entry));
}

Term LogBuffer::lastTerm() const
{
    return m_entries.empty() ? m_snapshot.lastTerm : m_entries.back().term;
}

bool LogBuffer::matches(LogIndex index, Term term) const
{
    if (index == m_snapshot.lastIndex)
        return term == m_snapshot.lastTerm;
    return contains(index) && at(index).term == term;
}

bool LogBuffer::contains(LogIndex index) const
{
    return index > m_snapshot.lastIndex && index <= lastIndex();
}

Term LogBuffer::termAt(LogIndex index) const
{
    if (index == m_snapshot.lastIndex)
        return m_snapshot.lastTerm;
    return contains(index) ? at(index).term : Term();
}

const LogEntry& LogBuffer::at(LogIndex index) const
{
    return m_entries[offsetOf(index)];
}

std::vector<LogEntry> LogBuffer::entriesFrom(LogIndex first, std::size_t maximumBytes, std::size_t maximumCount) const
{
    std::vector<LogEntry> entries;
    std::size_t bytes = 0;
    for (LogIndex index = first; contains(index) && entries.size() < maximumCount; index = nextIndex(index)) {
        bytes += at(index).payload.size();
        if (!entries.empty() && bytes > maximumBytes)
            break;
        entries.push_back(at(index));
    }
    return entries;
}

std::vector<LogEntry> LogBuffer::allEntriesFrom(LogIndex first) const
{
    std::vector<LogEntry> entries;
    for (LogIndex index = first; contains(index); index = nextIndex(index))
        entries.push_back(at(index));
    return entries;
}

void LogBuffer::append(LogEntry entry)
{
    m_entryBytes += entry.payload.size();
    recordMembers(entry);
    m_entries.push_back(std::move(entry));
}

void LogBuffer::truncateFrom(LogIndex first)
{
    while (lastIndex() >= first && !m_entries.empty()) {
        m_entryBytes -= m_entries.back().payload.size();
        m_entries.pop_back();
    }
    while (m_memberLists.size() > 1 && m_memberLists.back().index >= first)
        m_memberLists.pop_back();
}

void LogBuffer::compact(Snapshot snapshot)
{
    while (!m_entries.empty() && m_entries.front().index <= snapshot.lastIndex) {
        m_entryBytes -= m_entries.front().payload.size();
        m_entries.pop_front();
    }
    while (m_memberLists.size() > 1 && m_memberLists[1].index <= snapshot.lastIndex)
        m_memberLists.erase(m_memberLists.begin());
    m_snapshot = std::move(snapshot);
}

void LogBuffer::reset(Snapshot snapshot)
{
    m_entries.clear();
    m_entryBytes = 0;
    m_memberLists = { IndexedMembers { snapshot.lastIndex, snapshot.members } };
    m_snapshot = std::move(snapshot);
}

MemberList LogBuffer::membersAt(LogIndex index) const
{
    MemberList members = m_memberLists.front().members;
    for (const IndexedMembers& list : m_memberLists)
        if (list.index <= index)
            members = list.members;
    return members;
}

void LogBuffer::recordMembers(const LogEntry& entry)
{
    if (entry.kind != LogEntryKind::Members)
        return;
    auto members = decodeMembers(entry.payload);
    if (members.has_value())
        m_memberLists.push_back({ entry.index, std::move(members.value()) });
}

} // namespace Knapweedquay
