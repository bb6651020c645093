#pragma once

#include "protocol/CrashEvidence.h"
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

/// Maximum size of a datagram in bytes; it fits the MTU of all common links, so that it is not fragmented.
constexpr std::size_t maximumGossipBytes = 1200;
/// Maximum length of a node, data centre or service name in a record, in bytes.
constexpr std::size_t maximumGossipNameBytes = 64;
/// Number of buckets into which a digest divides the members.
constexpr std::size_t digestBuckets = 64;

/// Short hash of a node id, or of a record's version and health. Equal on all members.
using RecordHash = std::uint32_t;

/// Liveness probe of the target (SWIM, DSN '02). A node of another name at that address does not reply.
struct GossipPing {
    /// Number that matches the replies to the ping.
    std::uint64_t sequence = 0;
    NodeId target;
};

/// Reply to a ping: the target is alive. A member that pinged on behalf of another forwards it.
struct GossipAck {
    std::uint64_t sequence = 0;
    NodeId target;
};

/// Asks another member to ping the target (ping-req in SWIM).
struct GossipIndirectPing {
    std::uint64_t sequence = 0;
    NodeId target;
    SocketAddress targetAddress;
};

/// Reply to an indirect ping: the target has not replied, but the sender itself is healthy (Lifeguard, 2017).
struct GossipNack {
    std::uint64_t sequence = 0;
};

/// A message without a request or reply; it only carries records and document hints.
struct GossipRumors {
};

/// Anti-entropy, first step: one hash per bucket, over the members that the sender considers present.
struct GossipDigest {
    std::array<RecordHash, digestBuckets> buckets {};
};

/// Hashes that identify one member's record and its content.
struct RecordSummary {
    /// Hash of the node id.
    RecordHash node = 0;
    /// Hash of the record's version and health.
    RecordHash content = 0;
};

/// Anti-entropy, second step: summaries of the replying member's present members in buckets whose hashes differ.
struct GossipSummary {
    /// Indexes of the buckets that this message covers.
    std::vector<std::uint32_t> buckets;
    std::vector<RecordSummary> records;
};

/// Anti-entropy, third step: requests the records of these nodes.
struct GossipRequest {
    /// Hashes of the node ids.
    std::vector<RecordHash> nodes;
};

/// All document versions that the sender has in force, for a peer whose documents differ.
struct GossipDocuments {
    /// True for a reply, to which there is no further reply.
    bool isReply = false;
};

/// Evidence about requests that were running in crashes. Members of releases that do not know it ignore the datagram.
struct GossipCrashEvidence {
    std::vector<CrashEvidence> evidence;
};

using GossipBody = std::variant<GossipPing, GossipAck, GossipIndirectPing, GossipNack, GossipRumors, GossipDigest, GossipSummary, GossipRequest, GossipDocuments,
    GossipCrashEvidence>;

/// A version of a service's document that the sender has in force.
struct DocumentHint {
    ServiceName service;
    DocumentVersion version;
};

/// One datagram between members.
struct GossipMessage {
    /// Hash of the deployment's name; messages from other deployments are ignored.
    std::uint32_t deployment = 0;
    NodeId sender;
    MemberVersion senderVersion;
    /// Hash of the document versions that the sender has in force.
    std::uint32_t documentsHash = 0;
    GossipBody body;
    std::vector<MemberRecord> records;
    std::vector<DocumentHint> documents;
};

/// Encodes one datagram. Announcement times and those of crash evidence are sent as ages relative to now.
std::string encodeGossipMessage(const GossipMessage&, TimePoint now);

/// Decodes one datagram. These times are restored relative to now.
/// Errors: MessageTooLarge above maximumGossipBytes; MalformedMessage for anything other than one complete message.
Result<GossipMessage> decodeGossipMessage(std::string_view bytes, TimePoint now);

/// Upper bound of the bytes that a record or hint adds to a datagram.
std::size_t encodedSize(const MemberRecord&, TimePoint now);
std::size_t encodedSize(const DocumentHint&);
std::size_t encodedSize(const CrashEvidence&, TimePoint now);

} // namespace Knapweedquay
