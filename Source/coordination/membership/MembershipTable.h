#pragma once

#include "protocol/GossipMessages.h"
#include "protocol/MemberRecord.h"

#include <array>
#include <cstddef>
#include <map>
#include <vector>

namespace Knapweedquay {

/// Effect of merging a record into the table.
enum class MergeResult {
    /// The table already holds the same version and health, or it does not accept the record.
    Unchanged,
    /// The table holds a newer record, which the sender lacks.
    Outdated,
    /// The table now holds the record, or a suspicion in place of a death report.
    Changed,
};

/// Newest known record of each member.
///
/// Merging is commutative and idempotent: a later version wins, and within one version the worse health wins, as in
/// SWIM (DSN '02). One rule differs: a death report from another member does not override a record in state Alive.
/// It makes the member suspect, and a death report is accepted only once the suspicion is old enough for a refutation
/// to have arrived. Otherwise each side of a healed partition would declare the other side's members dead once more.
class MembershipTable {
public:
    /// maximumMembers bounds the memory; at the bound, a new present member replaces the one absent longest.
    MembershipTable(std::size_t maximumMembers, Duration refutationTime);

    MergeResult merge(const MemberRecord&, TimePoint now);
    /// Sets the confirming member that the suspect's record carries. Does nothing unless the member is suspect.
    void recordConfirmation(const NodeId& suspect, const NodeId& suspectedBy);
    /// Marks a suspect member dead after its suspicion expired. Does nothing unless the member is suspect.
    void declareDead(const NodeId&, TimePoint now);
    /// Removes the members that died or left before the cutoff.
    void removeAbsentBefore(TimePoint);

    const MemberRecord* find(const NodeId&) const;
    /// All records, including members that died or left, in the order of node ids.
    std::vector<MemberRecord> records() const;
    /// Members that died or left.
    std::vector<NodeId> absentNodes() const;
    std::size_t size() const { return m_entries.size(); }
    std::size_t presentCount() const { return m_presentCount; }

    /// One hash for each bucket of present members; tables with equal present members have equal digests.
    const std::array<RecordHash, digestBuckets>& digest() const { return m_digest; }
    /// Summaries of the present members in one bucket.
    std::vector<RecordSummary> summarize(std::uint32_t bucket) const;
    /// Members whose node id has this hash; more than one only after a hash collision.
    std::vector<const MemberRecord*> findByHash(RecordHash) const;

    static RecordHash hashOf(const NodeId&);
    /// Hash of the record's node id, version and health.
    static RecordHash contentHash(const MemberRecord&);
    static std::uint32_t bucketOf(RecordHash nodeHash) { return nodeHash % digestBuckets; }

private:
    /// The record of one member, with data derived from it.
    struct Entry {
        MemberRecord record;
        /// Value of hashOf() for the node id.
        RecordHash nodeHash = 0;
        /// When the current version and health were stored.
        TimePoint changedAt;
    };

    bool isDeathReportPremature(const Entry&, const MemberRecord&, TimePoint now) const;
    void store(Entry&, const MemberRecord&, TimePoint now);
    /// Removes the member that was absent longest when the table is full. Returns false when none is absent.
    bool makeRoom();
    void addToDigest(const Entry&);
    void removeFromDigest(const Entry&);

    const std::size_t m_maximumMembers;
    const Duration m_refutationTime;
    std::map<NodeId, Entry> m_entries;
    /// Node ids in each bucket, including those of absent members.
    std::array<std::vector<NodeId>, digestBuckets> m_buckets;
    std::array<RecordHash, digestBuckets> m_digest {};
    std::size_t m_presentCount = 0;
};

} // namespace Knapweedquay
