#pragma once

#include "coordination/membership/MembershipTable.h"
#include "protocol/GossipMessages.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace Knapweedquay {

/// Largest body of a summary or a request in bytes; the rest of the datagram is the header.
constexpr std::size_t maximumRepairBytes = 900;

/// The records that a member sends and requests after it compared another member's summary with its own table.
struct Differences {
    /// Local records that the other member lacks or holds in a different version.
    std::vector<MemberRecord> toSend;
    /// Nodes whose records the other member holds and this one lacks or holds in a different version.
    GossipRequest toRequest;

    bool isEmpty() const { return toSend.empty() && toRequest.nodes.empty(); }
};

/// Summarizes the present members in the buckets that differ from the digest, as many buckets as fit into one
/// message. Returns nullopt when no bucket differs, or when the first one that differs does not fit.
///
/// Anti-entropy (Demers and others, PODC '87) corrects differences that remain when rumors are lost: two members
/// that compare digests end with equal tables. start is the first bucket to compare; the caller draws it at random, so
/// that repeated exchanges cover a difference that is too large for one message.
std::optional<GossipSummary> summarizeDifferences(const MembershipTable&, const GossipDigest&, std::uint32_t start);

/// Compares another member's summary with the local table.
Differences findDifferences(const MembershipTable&, const GossipSummary&);

} // namespace Knapweedquay
