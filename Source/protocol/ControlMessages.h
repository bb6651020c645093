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

/// Maximum size of a message between a node and a control replica, in bytes.
constexpr std::size_t maximumControlMessageBytes = 1024 * 1024;

/// Versions of service documents, by service.
using DocumentVersions = std::map<ServiceName, DocumentVersion>;

/// First message of a node on a link: its identity and the document versions that it has in force.
struct SubscribeMessage {
    NodeId node;
    Incarnation incarnation;
    DocumentVersions inForce;
};

/// A committed service document. It is sent to a subscribed node that has not sent UpdatesAcceptedMessage.
struct DocumentMessage {
    ServiceName service;
    DocumentVersion version;
    std::string text;
};

/// Requests a proof that the node's documents are fresh.
struct FreshnessRequestMessage {
    /// Clock of the requesting node in microseconds; the reply repeats it.
    std::uint64_t clock = 0;
};

/// Proof that the documents sent earlier on this link were the newest ones at the time `age` before the request.
///
/// The node measures from the time at which it sent the request. A message that was delayed in a buffer, or a node that
/// was suspended, therefore never makes old documents look fresh.
struct FreshnessMessage {
    /// Clock value copied from the request.
    std::uint64_t echo = 0;
    /// Term of the control store in which the quorum round was confirmed.
    std::uint64_t term = 0;
    /// Quorum round on which the proof rests.
    std::uint64_t round = 0;
    /// Age of the quorum round at the time of the reply.
    Duration age { 0 };
};

/// Document versions that a node has in force; sent after each change and after each DocumentUpdateMessage.
struct InForceMessage {
    DocumentVersions inForce;
};

/// Requests the claim on an idempotency key for a call.
struct ClaimRequestMessage {
    /// Attempt for which the key is claimed.
    AttemptId owner;
    ServiceName service;
    IdempotencyKey key;
    /// Hash of the request; tells a repeated request from another one with the same key.
    std::uint64_t fingerprint = 0;
};

/// Asks whether a key is claimed, without claiming it.
struct ClaimQueryMessage {
    /// Identifies the question.
    AttemptId owner;
    ServiceName service;
    IdempotencyKey key;
};

/// Reply to a ClaimRequestMessage or a ClaimQueryMessage.
struct ClaimAnswerMessage {
    AttemptId owner;
    /// Ok when the owner holds the claim, or nobody does for a question; otherwise AlreadyRunning, AlreadyRan, KeyReusedForOtherRequest or
    /// ClaimUnavailable.
    ResultCode code = ResultCode::ClaimUnavailable;
};

/// Reports that the owner's call has ended.
struct ClaimEndMessage {
    AttemptId owner;
    ServiceName service;
    IdempotencyKey key;
    /// False: the call did not run, and its key can be claimed again. True: it was answered, and its key stays claimed.
    bool hasRun = false;
};

/// Addresses of all members of the control store, for a node whose settings list only some of them or outdated ones.
struct ReplicaListMessage {
    std::vector<std::string> addresses;
};

/// Maximum size of the part of a document in one DocumentUpdateMessage, in bytes. Other messages wait no longer than for
/// one part, and each part shows the node that the replica is alive.
constexpr std::size_t maximumDocumentPartBytes = 16 * 1024;

/// Part of a committed service document, which is compressed and without what it shares with a version at the node.
struct DocumentUpdateMessage {
    ServiceName service;
    DocumentVersion version;
    /// Version that the node needs to restore the text; 0 when it needs none.
    DocumentVersion base;
    /// Size of the result of compressDocument(), of which this is the part at `offset`.
    std::uint64_t totalBytes = 0;
    std::uint64_t offset = 0;
    std::string part;
};

/// Announces, before SubscribeMessage, that the node takes DocumentUpdateMessage and reports its versions in force after
/// each. A replica of a release without these messages ignores it and sends DocumentMessage.
struct UpdatesAcceptedMessage {
};

/// A change of the routing document that a replica which does not lead passes on to the leader.
struct RoutingChangeMessage {
    /// Number that the sender gives to the change; the answer repeats it.
    std::uint64_t request = 0;
    /// Version of the routing document that the operator edited; 0 for the first.
    std::uint64_t baseVersion = 0;
    std::string author;
    /// Complete text of the new routing document.
    std::string text;
};

/// Reply to a RoutingChangeMessage.
struct RoutingChangeAnswerMessage {
    std::uint64_t request = 0;
    /// Ok when the change was accepted; NotLeader or NoQuorum when it may be sent again.
    ResultCode code = ResultCode::NotLeader;
    /// Reason of a refusal.
    std::string detail;
};

/// An order to empty a data centre or to take it back, which a replica that does not lead passes on to the leader.
struct EvacuationOrderMessage {
    /// Number that the sender gives to the order; the answer repeats it.
    std::uint64_t request = 0;
    DataCentre dataCentre;
    /// True: nothing more is sent to the backend servers there. False: they are taken back.
    bool isStart = true;
    /// Version of the evacuation document that the sender knows. The order is refused if another one is in force, so that one
    /// that was delayed on its way can't undo a later one.
    DocumentVersion expected;
    std::string author;
};

/// Reply to an EvacuationOrderMessage.
struct EvacuationAnswerMessage {
    std::uint64_t request = 0;
    /// Ok when the order was accepted; NotLeader, NoQuorum or VersionConflict when it may be sent again.
    ResultCode code = ResultCode::NotLeader;
    /// Reason of a refusal.
    std::string detail;
};

using ControlMessage = std::variant<SubscribeMessage, DocumentMessage, FreshnessRequestMessage, FreshnessMessage, InForceMessage, ClaimRequestMessage,
    ClaimAnswerMessage, ClaimEndMessage, ReplicaListMessage, DocumentUpdateMessage, UpdatesAcceptedMessage, RoutingChangeMessage, RoutingChangeAnswerMessage,
    EvacuationOrderMessage, EvacuationAnswerMessage, ClaimQueryMessage>;

/// Encodes a message as the CBOR array [type, fields...]; docs/PROTOCOL.md lists the types.
std::string encode(const ControlMessage&);
/// Errors: MalformedMessage, MessageTooLarge.
Result<ControlMessage> decodeControlMessage(std::string_view bytes);

} // namespace Knapweedquay
