#include "coordination/membership/AntiEntropy.h"

#include <algorithm>
#include <map>

namespace Knapweedquay {

namespace {

constexpr std::size_t bytesPerBucket = sizeof(RecordHash);
constexpr std::size_t bytesPerSummary = 2 * sizeof(RecordHash);
// Records requested at once: as many as the other member sends in one reply.
constexpr std::size_t maximumRequested = 40;

} // namespace

std::optional<GossipSummary> summarizeDifferences(const MembershipTable& table, const GossipDigest& digest, std::uint32_t start)
{
    GossipSummary summary;
    std::size_t bytes = 0;
    for (std::uint32_t offset = 0; offset < digestBuckets; ++offset) {
        const std::uint32_t bucket = (start + offset) % digestBuckets;
        if (digest.buckets[bucket] == table.digest()[bucket])
            continue;
        const std::vector<RecordSummary> records = table.summarize(bucket);
        bytes += bytesPerBucket + records.size() * bytesPerSummary;
        if (bytes > maximumRepairBytes)
            break;
        summary.buckets.push_back(bucket);
        summary.records.insert(summary.records.end(), records.begin(), records.end());
    }
    if (summary.buckets.empty())
        return std::nullopt;
    return summary;
}

Differences findDifferences(const MembershipTable& table, const GossipSummary& summary)
{
    std::map<RecordHash, RecordHash> remoteContents;
    for (const RecordSummary& record : summary.records)
        remoteContents[record.node] = record.content;

    Differences differences;
    for (const std::uint32_t bucket : summary.buckets) {
        for (const RecordSummary& local : table.summarize(bucket)) {
            const auto found = remoteContents.find(local.node);
            const bool isKnown = found != remoteContents.end();
            const bool isEqual = isKnown && found->second == local.content;
            if (isKnown)
                remoteContents.erase(found);
            if (isEqual)
                continue;
            for (const MemberRecord* record : table.findByHash(local.node))
                differences.toSend.push_back(*record);
            // The hashes don't show which of two different records is newer, so both sides need both records.
            if (isKnown)
                differences.toRequest.nodes.push_back(local.node);
        }
    }
    for (const auto& [node, content] : remoteContents)
        differences.toRequest.nodes.push_back(node);
    if (differences.toRequest.nodes.size() > maximumRequested)
        differences.toRequest.nodes.resize(maximumRequested);
    return differences;
}

} // namespace Knapweedquay
