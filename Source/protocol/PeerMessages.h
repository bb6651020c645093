#pragma once

#include "coordination/LoadReport.h"
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
    /// 0 for the first attempt of the call.
    std::uint32_t attemptNumber = 0;
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
    HttpResponse response;
};

/// The attempt gets no answer.
struct CallRefusalMessage {
    AttemptId attempt;
    LoadReport load;
    /// True: the attempt did not run and never will. False: it may have run.
    bool isCertainlyNotRun = false;
    ResultCode code = ResultCode::Ok;
    Duration retryAfter { 0 };
    /// True when other endpoints of the service are expected to refuse too.
    bool isFleetWide = false;
};

/// The caller no longer wants the answer.
struct CallCancelMessage {
    AttemptId attempt;
};

enum class CancelFate : std::uint8_t {
    NotRun = 0,
    StillRunning = 1,
    Unknown = 2,
};

struct CallCancelledMessage {
    AttemptId attempt;
    CancelFate fate = CancelFate::Unknown;
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

using PeerMessage = std::variant<HelloMessage, CallRequestMessage, CallAcceptedMessage, CallAnswerMessage, CallRefusalMessage,
    CallCancelMessage, CallCancelledMessage, ProbeMessage, ProbeAnswerMessage>;

/// CBOR array [type, fields...]; docs/PROTOCOL.md lists the types.
std::string encode(const PeerMessage&);

/// Errors: MalformedMessage, MessageTooLarge.
Result<PeerMessage> decodePeerMessage(std::string_view bytes);

} // namespace Knapweedquay
