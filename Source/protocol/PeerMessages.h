#pragma once

#include "protocol/AttemptOutcome.h"
#include "protocol/LoadReport.h"
#include "protocol/HttpMessage.h"
#include "protocol/Ids.h"
#include "protocol/Result.h"
#include "protocol/Time.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace Knapweedquay {

/// Largest encoded message between two nodes in bytes; a call's body is smaller, see ServiceDocument::maximumBodyBytes.
constexpr std::size_t maximumPeerMessageBytes = 17 * 1024 * 1024;

/// First message in each direction of a link: who speaks, and in which run of its process.
struct HelloMessage {
    NodeId node;
    Incarnation incarnation;
    /// Monotonic clock of the sender in microseconds.
    std::uint64_t sentAt = 0;
};

/// One attempt of a call, from the node that took the call to the node beside the chosen endpoint.
struct CallRequestMessage {
    AttemptId attempt;
    /// Run of the endpoint's node that the attempt was first sent to.
    Incarnation targetIncarnation;
    /// True when the same attempt was sent before, over a link that was lost or silent.
    bool isResend = false;
    ServiceName service;
    PriorityIndex priority;
    bool isIdempotent = false;
    /// Time left until the caller's deadline when the message was sent.
    Duration remaining { 0 };
    /// Time left then within which the answer is worth most; negative when that has passed.
    Duration targetRemaining { 0 };
    /// Monotonic clock of the sender in microseconds at that moment.
    std::uint64_t sentAt = 0;
    /// True when the attempt repeats work, here or at an upper level of a chain of calls.
    bool isRepeat = false;
    /// Number of calls above this one in a chain of calls.
    std::uint32_t depth = 0;
    IdempotencyKey idempotencyKey;
    HttpRequest request;
};

/// The attempt is queued or running; an answer or a refusal follows.
struct CallAcceptedMessage {
    AttemptId attempt;
    LoadReport load;
};

/// The whole answer of the backend server.
struct CallAnswerMessage {
    AttemptId attempt;
    LoadReport load;
    /// The response as encodeResponse() gives it.
    std::string response;
};

/// The attempt certainly did not run and never will.
struct CallRefusalMessage {
    AttemptId attempt;
    LoadReport load;
    ResultCode code = ResultCode::Overloaded;
    Duration retryAfter { 0 };
    /// True when other endpoints of the service are expected to refuse too.
    bool isFleetWide = false;
};

/// The attempt may have run, and there is no answer to give.
struct CallUnknownMessage {
    AttemptId attempt;
    LoadReport load;
    ResultCode code = ResultCode::OutcomeUnknown;
};

/// The caller no longer wants the answer.
struct CallCancelMessage {
    AttemptId attempt;
    Incarnation targetIncarnation;
};

struct CallCancelledMessage {
    AttemptId attempt;
    CancelResult result = CancelResult::Unknown;
};

struct ProbeMessage {
    std::uint64_t sequence = 0;
    ServiceName service;
};

struct ProbeAnswerMessage {
    std::uint64_t sequence = 0;
    ServiceName service;
    LoadReport load;
};

/// Asks another node for a document that it has in force in a newer version.
struct DocumentRequestMessage {
    ServiceName service;
};

/// The document that the sender has in force.
struct DocumentAnswerMessage {
    ServiceName service;
    DocumentVersion version;
    std::string text;
};

/// The load of the sender's backend server has changed. Goes to nodes that sent it calls lately.
struct LoadUpdateMessage {
    ServiceName service;
    LoadReport load;
};

using PeerMessage = std::variant<HelloMessage, CallRequestMessage, CallAcceptedMessage, CallAnswerMessage, CallRefusalMessage, CallUnknownMessage,
    CallCancelMessage, CallCancelledMessage, ProbeMessage, ProbeAnswerMessage, DocumentRequestMessage, DocumentAnswerMessage, LoadUpdateMessage>;

/// CBOR array [type, fields...]; docs/PROTOCOL.md lists the types.
std::string encode(const PeerMessage&);

/// A whole HTTP response as one byte string, for the answer of an attempt.
std::string encodeResponse(const HttpResponse&);
/// Errors: MalformedMessage, MessageTooLarge.
Result<HttpResponse> decodeResponse(std::string_view bytes);

/// Errors: MalformedMessage, MessageTooLarge.
Result<PeerMessage> decodePeerMessage(std::string_view bytes);

} // namespace Knapweedquay
