#pragma once

#include "protocol/AttemptOutcome.h"
#include "protocol/LoadReport.h"
#include "protocol/CallerProof.h"
#include "protocol/HttpMessage.h"
#include "protocol/Ids.h"
#include "protocol/QuotaMessages.h"
#include "protocol/Result.h"
#include "protocol/Time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace Knapweedquay {

/// Maximum size of an encoded message between two nodes, in bytes. Larger bodies pass in parts, see TransferStartMessage.
constexpr std::size_t maximumPeerMessageBytes = 17 * 1024 * 1024;

/// First message in each direction of a link: identifies the sender and the run of its process.
struct HelloMessage {
    NodeId node;
    Incarnation incarnation;
    /// Monotonic clock of the sender in microseconds.
    std::uint64_t sentAt = 0;
    /// Features that the sender understands; only sent to nodes that named bodyPartsFeature when they opened the link.
    std::string features {};
};

/// One attempt of a call, from the node that accepted the call to the node of the chosen endpoint.
struct CallRequestMessage {
    AttemptId attempt;
    /// Run of the endpoint's node that the attempt was first sent to.
    Incarnation targetIncarnation;
    /// True when the same attempt was sent before, over a link that was lost or timed out.
    bool isResend = false;
    ServiceName service;
    PriorityIndex priority;
    bool isIdempotent = false;
    /// Time left until the caller's deadline when the message was sent.
    Duration remaining { 0 };
    /// Time left within the target latency of the call's priority when the message was sent, after which the answer is
    /// worth less; negative when it has passed.
    Duration targetRemaining { 0 };
    /// Monotonic clock of the sender in microseconds when the message was sent.
    std::uint64_t sentAt = 0;
    /// True when the attempt repeats an earlier one, of this call or of a call above it in a chain of calls.
    bool isRepeat = false;
    /// Number of calls above this one in a chain of calls.
    std::uint32_t depth = 0;
    /// Empty when the caller sent no Idempotency-Key header.
    IdempotencyKey idempotencyKey;
    HttpRequest request;
    /// Not set when the sender knows of no workspaces.
    std::optional<CallerProof> caller;
};

/// The attempt is queued or running; its answer or a refusal follows.
struct CallAcceptedMessage {
    AttemptId attempt;
    LoadReport load;
};

/// The complete response of the backend server.
struct CallAnswerMessage {
    AttemptId attempt;
    LoadReport load;
    HttpResponse response;
};

/// The attempt did not run and never will.
struct CallRefusalMessage {
    AttemptId attempt;
    LoadReport load;
    /// Reason of the refusal.
    ResultCode code = ResultCode::Overloaded;
    /// Time after which the caller may try again.
    Duration retryAfter { 0 };
    /// True when the other endpoints of the service are expected to refuse as well.
    bool isFleetWide = false;
};

/// The attempt may have run, and its answer is not available.
struct CallUnknownMessage {
    AttemptId attempt;
    LoadReport load;
    ResultCode code = ResultCode::OutcomeUnknown;
};

/// Requests the cancellation of an attempt whose answer is no longer needed.
struct CallCancelMessage {
    AttemptId attempt;
    /// Run of the endpoint's node that the attempt was first sent to.
    Incarnation targetIncarnation;
};

/// Reply to a CallCancelMessage.
struct CallCancelledMessage {
    AttemptId attempt;
    CancelResult result = CancelResult::Unknown;
};

/// Tells when the answer of an attempt is of no use to its origin any more, since that stops. An attempt that can't be expected to end
/// by then is refused instead of started. Only sent to nodes that understand answerLimitsFeature.
struct CallLimitMessage {
    AttemptId attempt;
    /// Run of the endpoint's node that the attempt was first sent to.
    Incarnation targetIncarnation;
    /// Time left when the message was sent.
    Duration answerWithin { 0 };
    /// Monotonic clock of the sender in microseconds when the message was sent.
    std::uint64_t sentAt = 0;
};

/// Requests the current load of an endpoint.
struct ProbeMessage {
    /// Number that matches the reply to the probe.
    std::uint64_t sequence = 0;
    ServiceName service;
};

/// Reply to a ProbeMessage.
struct ProbeAnswerMessage {
    /// Number copied from the probe.
    std::uint64_t sequence = 0;
    ServiceName service;
    LoadReport load;
};

/// Requests a service document from a node that has a newer version in force.
struct DocumentRequestMessage {
    ServiceName service;
};

/// Reply to a DocumentRequestMessage: the document that the sender has in force.
struct DocumentAnswerMessage {
    ServiceName service;
    DocumentVersion version;
    std::string text;
};

/// The load of the sender's backend server has changed. Sent to the nodes that recently sent calls to it.
struct LoadUpdateMessage {
    ServiceName service;
    LoadReport load;
};

/// Announces a message whose body follows in parts (see BodyPart), once its receiver has room for it.
struct TransferStartMessage {
    /// Number that the sender gives to the transfer, on this link.
    TransferId transfer;
    /// Size of the body.
    std::uint64_t bytes = 0;
    /// The message without its body, encoded by encode().
    std::string head;
};

/// The receiver of a transfer has room for so many more bytes. The first such message opens the window of the transfer, each
/// further one acknowledges a part.
struct TransferCreditMessage {
    TransferId transfer;
    std::uint64_t bytes = 0;
};

/// The sender of a transfer sends no more of it.
struct TransferWithdrawnMessage {
    TransferId transfer;
};

/// The receiver of a transfer takes no more of it. With the code Ok it does not need the body; with another one, the message has
/// certainly had no effect.
struct TransferRefusedMessage {
    TransferId transfer;
    ResultCode code = ResultCode::Overloaded;
};

using PeerMessage = std::variant<HelloMessage, CallRequestMessage, CallAcceptedMessage, CallAnswerMessage, CallRefusalMessage, CallUnknownMessage,
    CallCancelMessage, CallCancelledMessage, ProbeMessage, ProbeAnswerMessage, DocumentRequestMessage, DocumentAnswerMessage, LoadUpdateMessage, QuotaRequestMessage,
    QuotaGrantMessage, TransferStartMessage, TransferCreditMessage, TransferWithdrawnMessage, TransferRefusedMessage, CallLimitMessage>;

/// Fields of a load report that the receiver of a message can read.
enum class LoadEncoding {
    /// The fields up to release 0.2, whose decoders refuse a message with others.
    Basic,
    /// Further fields as well; a decoder ignores those that it does not know.
    Extended,
};

/// Feature of a link (see LinkClient::connect()) whose node reads LoadEncoding::Extended.
constexpr const char* extendedLoadFeature = "extended-load";

/// Feature of a link whose node takes bodies in parts.
constexpr const char* bodyPartsFeature = "body-parts";

/// Feature of a link whose node understands CallLimitMessage.
constexpr const char* answerLimitsFeature = "answer-limits";

/// True if a list of features, which are separated by spaces, has this one.
bool hasFeature(std::string_view features, std::string_view feature);

/// Load report that a message contains; null if there is none.
const LoadReport* loadOf(const PeerMessage&);

/// Body that a message contains; null if there is none.
const Body* bodyOf(const PeerMessage&);
/// Sets the body of a message that contains one, or removes it. digest: see HttpRequest::bodyDigest; ignored for a response.
void setBody(PeerMessage&, Body, std::optional<RequestDigest> digest = std::nullopt);
/// Attempt that a message with a body is about; null for other messages.
const AttemptId* attemptOf(const PeerMessage&);

/// Bytes of a body that passes in parts. On a link it is the byte 0xff, which begins no CBOR value, the number of the transfer in
/// eight bytes, the most significant one first, and the bytes.
struct BodyPart {
    TransferId transfer;
    std::string_view bytes;
};

std::string encodePart(const BodyPart&);
/// Reads a part in place; nothing if the bytes are another message.
std::optional<BodyPart> decodePart(std::string_view);

/// Encodes a message as the CBOR array [type, fields...]; docs/PROTOCOL.md lists the types.
std::string encode(const PeerMessage&, LoadEncoding = LoadEncoding::Basic);

/// Encodes a complete HTTP response as one byte string, for the answer of an attempt.
std::string encodeResponse(const HttpResponse&);
/// Errors: MalformedMessage, MessageTooLarge.
Result<HttpResponse> decodeResponse(std::string_view bytes);

/// Errors: MalformedMessage, MessageTooLarge.
Result<PeerMessage> decodePeerMessage(std::string_view bytes);

} // namespace Knapweedquay
