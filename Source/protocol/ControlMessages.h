#pragma once

#include "protocol/Ids.h"
#include "protocol/Result.h"
#include "protocol/Time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Knapweedquay {

/// Largest message between a node and a control replica in bytes.
constexpr std::size_t maximumControlMessageBytes = 1024 * 1024;

using DocumentVersions = std::map<ServiceName, DocumentVersion>;

/// First message of a node: who it is, and the versions that it has in force.
struct SubscribeMessage {
    NodeId node;
    Incarnation incarnation;
    DocumentVersions inForce;
};

/// A committed document.
struct DocumentMessage {
    ServiceName service;
    DocumentVersion version;
    std::string text;
};

/// Asks for a proof of freshness.
struct FreshnessRequestMessage {
    /// Clock of the asking node in microseconds; it comes back with the proof.
    std::uint64_t clock = 0;
};

/// Proof that all documents sent before on this link were the newest ones at a time before the request.
///
/// The node counts the age from its own request, so a message that lay in a buffer, or a node that was frozen,
/// never makes old documents look fresh.
struct FreshnessMessage {
    /// Clock of the request that this answers.
    std::uint64_t echo = 0;
    /// Term and quorum round of the control store that prove it.
    std::uint64_t term = 0;
    std::uint64_t round = 0;
    /// Age of that round when the request was answered.
    Duration age { 0 };
};

/// Versions that a node has in force; sent after each change.
struct InForceMessage {
    DocumentVersions inForce;
};

/// Asks for an idempotency key on behalf of a keyed call.
struct ClaimRequestMessage {
    AttemptId owner;
    ServiceName service;
    IdempotencyKey key;
    std::uint64_t fingerprint = 0;
};

/// Ok when the key belongs to the owner; AlreadyRunning, AlreadyRan, KeyReusedForOtherRequest or ClaimUnavailable otherwise.
struct ClaimAnswerMessage {
    AttemptId owner;
    ResultCode code = ResultCode::ClaimUnavailable;
};

/// The call of the owner ended.
struct ClaimEndMessage {
    AttemptId owner;
    ServiceName service;
    IdempotencyKey key;
    /// False: it certainly did not run, and its key is free again. True: it was answered, and its key stays taken.
    bool hasRun = false;
};

/// Addresses of all members of the store, for a node whose settings name only some, or old ones.
struct ReplicaListMessage {
    std::vector<std::string> addresses;
};

using ControlMessage = std::variant<SubscribeMessage, DocumentMessage, FreshnessRequestMessage, FreshnessMessage, InForceMessage, ClaimRequestMessage,
    ClaimAnswerMessage, ClaimEndMessage, ReplicaListMessage>;

/// CBOR array [type, fields...]; docs/PROTOCOL.md lists the types.
std::string encode(const ControlMessage&);
/// Errors: MalformedMessage, MessageTooLarge.
Result<ControlMessage> decodeControlMessage(std::string_view bytes);

} // namespace Knapweedquay
