#pragma once

#include "protocol/MemberRecord.h"
#include "protocol/Result.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Knapweedquay {

/// Largest datagram in bytes; it passes every usual link without being cut into fragments.
constexpr std::size_t maximumGossipBytes = 1200;
/// Longest node, data centre or service name in a record, in bytes.
constexpr std::size_t maximumGossipNameBytes = 64;
/// Groups of members that a digest tells apart.
constexpr std::size_t digestBuckets = 64;

/// Short stable hash of a node id, and of a record's version and health.
using RecordHash = std::uint32_t;

/// Asks the target for a sign of life (SWIM, DSN '02). A node of another name at that address stays silent.
struct GossipPing {
    std::uint64_t sequence = 0;
    NodeId target;
};

/// The target of a ping is alive; also sent on by a member that pinged on another's behalf.
struct GossipAck {
    std::uint64_t sequence = 0;
    NodeId target;
};

/// Asks a third member to ping the target (SWIM's ping-req).
struct GossipIndirectPing {
    std::uint64_t sequence = 0;
    NodeId target;
    SocketAddress targetAddress;
};

/// The indirect ping had no answer, but its sender is well (Lifeguard, 2017).
struct GossipNack {
    std::uint64_t sequence = 0;
};

/// Carries records and document hints only.
struct GossipRumors {
};

/// Anti-entropy, first step: one hash per bucket over the sender's present members.
struct GossipDigest {
    std::array<RecordHash, digestBuckets> buckets {};
};

struct RecordSummary {
    RecordHash node = 0;
    RecordHash content = 0;
};

/// Anti-entropy, second step: the answering member's present members in buckets that differ.
struct GossipSummary {
    std::vector<std::uint32_t> buckets;
    std::vector<RecordSummary> records;
};

/// Anti-entropy, third step: asks for the records of these nodes.
struct GossipRequest {
    std::vector<RecordHash> nodes;
};

/// All versions that the sender has in force, for a peer whose documents differ. A reply is not answered again.
struct GossipDocuments {
    bool isReply = false;
};

using GossipBody = std::variant<GossipPing, GossipAck, GossipIndirectPing, GossipNack, GossipRumors, GossipDigest, GossipSummary, GossipRequest, GossipDocuments>;

/// The sender has this version of a service's document in force.
struct DocumentHint {
    ServiceName service;
    DocumentVersion version;
};

/// One datagram between members.
struct GossipMessage {
    /// Hash of the deployment's name; members of another deployment are ignored.
    std::uint32_t deployment = 0;
    NodeId sender;
    MemberVersion senderVersion;
    /// Hash of the document versions that the sender has in force.
    std::uint32_t documentsHash = 0;
    GossipBody body;
    std::vector<MemberRecord> records;
    std::vector<DocumentHint> documents;
};

/// Bytes of one datagram. Ages of announcements are counted to now.
std::string encodeGossipMessage(const GossipMessage&, TimePoint now);

/// Errors: MessageTooLarge over maximumGossipBytes; MalformedMessage for anything that is not one whole message.
Result<GossipMessage> decodeGossipMessage(std::string_view bytes, TimePoint now);

/// Bytes that a record or hint adds to a datagram, at most.
std::size_t encodedSize(const MemberRecord&, TimePoint now);
std::size_t encodedSize(const DocumentHint&);

} // namespace Knapweedquay
