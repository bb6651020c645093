#pragma once

#include "protocol/GossipMessages.h"
#include "protocol/MemberRecord.h"

#include <array>
#include <cstddef>
#include <map>
#include <vector>

namespace Knapweedquay {

enum class MergeResult {
    /// The record says nothing new.
    Unchanged,
    /// The table holds something newer, which the sender lacks.
    Outdated,
    Changed,
};

/// Newest known record of each member.
///
/// Records merge in any order and any number of times to the same table: a later version wins, and within one
/// version the worse health wins, as in SWIM (DSN '02). One rule differs: a report of death by others does not
/// override a member that is held to be alive; it makes it suspect, and it is taken only when the suspicion is
/// old enough for a refutation to have come. Else each side of a healed partition would declare the other's
/// members dead once more.
class MembershipTable {
public:
    /// maximumMembers bounds the memory; when it is reached, absent members make room for present ones.
    MembershipTable(std::size_t maximumMembers, Duration refutationTime);

    MergeResult merge(const MemberRecord&, TimePoint now);
    /// The member whose confirmation of a suspicion is passed on next. Does nothing unless the member is suspect.
    void recordConfirmation(const NodeId& suspect, const NodeId& suspectedBy);
    /// Ends a suspicion that nobody refuted. Does nothing unless the member is suspect.
    void declareDead(const NodeId&, TimePoint now);
    /// Forgets members that have been dead or gone since before the given cutoff.
    void removeAbsentBefore(TimePoint);

    const MemberRecord* find(const NodeId&) const;
    /// All records, dead and gone members included, in the order of node ids.
    std::vector<MemberRecord> records() const;
    std::vector<NodeId> absentNodes() const;
    std::size_t size() const { return m_entries.size(); }
    std::size_t presentCount() const { return m_presentCount; }

    /// One hash per bucket over the present members; equal tables have equal digests.
    const std::array<RecordHash, digestBuckets>& digest() const { return m_digest; }
    /// Present members of one bucket.
    std::vector<RecordSummary> summarize(std::uint32_t bucket) const;
    /// Members whose node id has this hash; nearly always one at most.
    std::vector<const MemberRecord*> findByHash(RecordHash) const;

    static RecordHash hashOf(const NodeId&);
    static RecordHash contentHash(const MemberRecord&);
    static std::uint32_t bucketOf(RecordHash nodeHash) { return nodeHash % digestBuckets; }

private:
    struct Entry {
        MemberRecord record;
        RecordHash nodeHash = 0;
        /// When the present version and health were taken in.
        TimePoint changedAt;
    };

    bool isDeathReportPremature(const Entry&, const MemberRecord&, TimePoint now) const;
    void store(Entry&, const MemberRecord&, TimePoint now);
    bool makeRoom();
    void addToDigest(const Entry&);
    void removeFromDigest(const Entry&);

    const std::size_t m_maximumMembers;
    const Duration m_refutationTime;
    std::map<NodeId, Entry> m_entries;
    std::array<std::vector<NodeId>, digestBuckets> m_buckets;
    std::array<RecordHash, digestBuckets> m_digest {};
    std::size_t m_presentCount = 0;
};

} // namespace Knapweedquay
