#include "coordination/membership/MembershipTable.h"

#include <xxhash.h>

#include <algorithm>

namespace Knapweedquay {

namespace {

bool isNewer(const MemberRecord& a, const MemberRecord& b)
{
    return b.version < a.version || (a.version == b.version && a.health > b.health);
}

} // namespace

MembershipTable::MembershipTable(std::size_t maximumMembers, Duration refutationTime)
    : m_maximumMembers(maximumMembers)
    , m_refutationTime(refutationTime)
{
}

MergeResult MembershipTable::merge(const MemberRecord& record, TimePoint now)
{
    const auto found = m_entries.find(record.node);
    if (found == m_entries.end()) {
        // The first record of a member that is already absent is not needed.
        if (!record.isPresent() || !makeRoom())
            return MergeResult::Unchanged;
        Entry& entry = m_entries[record.node];
        entry.nodeHash = hashOf(record.node);
        m_buckets[bucketOf(entry.nodeHash)].push_back(record.node);
        entry.record = record;
        entry.changedAt = now;
        addToDigest(entry);
        return MergeResult::Changed;
    }

    Entry& entry = found->second;
    MemberRecord accepted = record;
    if (isDeathReportPremature(entry, record, now))
        accepted.health = MemberHealth::Suspect;
    if (isNewer(entry.record, accepted))
        return MergeResult::Outdated;
    if (!isNewer(accepted, entry.record))
        return MergeResult::Unchanged;
    store(entry, accepted, now);
    return MergeResult::Changed;
}

bool MembershipTable::isDeathReportPremature(const Entry& entry, const MemberRecord& report, TimePoint now) const
{
    if (report.health != MemberHealth::Dead || report.hasLeft() || !entry.record.isPresent())
        return false;
    return entry.record.health == MemberHealth::Alive || now - entry.changedAt < m_refutationTime;
}

void MembershipTable::recordConfirmation(const NodeId& suspect, const NodeId& suspectedBy)
{
    const auto found = m_entries.find(suspect);
    if (found != m_entries.end() && found->second.record.health == MemberHealth::Suspect)
        found->second.record.suspectedBy = suspectedBy;
}

void MembershipTable::declareDead(const NodeId& node, TimePoint now)
{
    const auto found = m_entries.find(node);
    if (found == m_entries.end() || found->second.record.health != MemberHealth::Suspect)
        return;
    MemberRecord dead = found->second.record;
    dead.health = MemberHealth::Dead;
    dead.suspectedBy = {};
    store(found->second, dead, now);
}

void MembershipTable::store(Entry& entry, const MemberRecord& record, TimePoint now)
{
    removeFromDigest(entry);
    entry.record = record;
    entry.changedAt = now;
    addToDigest(entry);
}

bool MembershipTable::makeRoom()
{
    if (m_entries.size() < m_maximumMembers)
        return true;
    auto oldest = m_entries.end();
    for (auto entry = m_entries.begin(); entry != m_entries.end(); ++entry) {
        if (entry->second.record.isPresent())
            continue;
        if (oldest == m_entries.end() || entry->second.changedAt < oldest->second.changedAt)
            oldest = entry;
    }
    if (oldest == m_entries.end())
        return false;
    auto& bucket = m_buckets[bucketOf(oldest->second.nodeHash)];
    bucket.erase(std::find(bucket.begin(), bucket.end(), oldest->first));
    m_entries.erase(oldest);
    return true;
}

void MembershipTable::removeAbsentBefore(TimePoint cutoff)
{
    for (auto entry = m_entries.begin(); entry != m_entries.end();) {
        if (entry->second.record.isPresent() || entry->second.changedAt >= cutoff) {
            ++entry;
            continue;
        }
        auto& bucket = m_buckets[bucketOf(entry->second.nodeHash)];
        bucket.erase(std::find(bucket.begin(), bucket.end(), entry->first));
        entry = m_entries.erase(entry);
    }
}

const MemberRecord* MembershipTable::find(const NodeId& node) const
{
    const auto found = m_entries.find(node);
    return found == m_entries.end() ? nullptr : &found->second.record;
}

std::vector<MemberRecord> MembershipTable::records() const
{
    std::vector<MemberRecord> records;
    records.reserve(m_entries.size());
    for (const auto& [node, entry] : m_entries)
        records.push_back(entry.record);
    return records;
}

std::vector<NodeId> MembershipTable::absentNodes() const
{
    std::vector<NodeId> nodes;
    for (const auto& [node, entry] : m_entries) {
        if (!entry.record.isPresent())
            nodes.push_back(node);
    }
    return nodes;
}

std::vector<RecordSummary> MembershipTable::summarize(std::uint32_t bucket) const
{
    std::vector<RecordSummary> summaries;
    for (const NodeId& node : m_buckets.at(bucket)) {
        const Entry& entry = m_entries.at(node);
        if (entry.record.isPresent())
            summaries.push_back({ entry.nodeHash, contentHash(entry.record) });
    }
    return summaries;
}

std::vector<const MemberRecord*> MembershipTable::findByHash(RecordHash hash) const
{
    std::vector<const MemberRecord*> found;
    for (const NodeId& node : m_buckets[bucketOf(hash)]) {
        const Entry& entry = m_entries.at(node);
        if (entry.nodeHash == hash)
            found.push_back(&entry.record);
    }
    return found;
}

RecordHash MembershipTable::hashOf(const NodeId& node)
{
    return XXH32(node.value().data(), node.value().size(), 0);
}

RecordHash MembershipTable::contentHash(const MemberRecord& record)
{
    const std::uint64_t parts[] = { record.version.incarnation.value(), record.version.state, static_cast<std::uint64_t>(record.health) };
    return XXH32(parts, sizeof parts, hashOf(record.node));
}

// Exclusive or is its own inverse, so each change updates the digest in constant time.
void MembershipTable::addToDigest(const Entry& entry)
{
    if (!entry.record.isPresent())
        return;
    m_digest[bucketOf(entry.nodeHash)] ^= contentHash(entry.record);
    ++m_presentCount;
}

void MembershipTable::removeFromDigest(const Entry& entry)
{
    if (!entry.record.isPresent())
        return;
    m_digest[bucketOf(entry.nodeHash)] ^= contentHash(entry.record);
    --m_presentCount;
}

} // namespace Knapweedquay
