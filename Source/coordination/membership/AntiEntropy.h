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

/// What two members have to exchange after one compared the other's summary with its own table.
struct Differences {
    std::vector<MemberRecord> toSend;
    GossipRequest toRequest;

    bool isEmpty() const { return toSend.empty() && toRequest.nodes.empty(); }
};

/// The present members that the digest's sender holds differently, as many as fit; nothing when there are none.
///
/// Anti-entropy (Demers and others, PODC '87) repairs what rumors missed: every pair that compares digests ends
/// equal. start: bucket to begin with, drawn at random so that large differences are met piece by piece.
std::optional<GossipSummary> summarizeDifferences(const MembershipTable&, const GossipDigest&, std::uint32_t start);

/// Compares another member's summary with the own table.
Differences findDifferences(const MembershipTable&, const GossipSummary&);

} // namespace Knapweedquay
