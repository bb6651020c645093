#include "protocol/PeerMessages.h"

#include "protocol/Cbor.h"

#include <limits>
#include <type_traits>
#include <type_traits>

namespace Knapweedquay {

namespace {

using Json = nlohmann::json;

constexpr std::size_t maximumHeaders = 200;
constexpr std::size_t maximumPriorities = 32;

// The number of a type is its place in the variant, and its first field on the wire.
template <typename Message, std::size_t index = 0>
constexpr std::uint64_t typeNumber()
{
    if constexpr (std::is_same_v<std::variant_alternative_t<index, PeerMessage>, Message>)
        return index;
    else
        return typeNumber<Message, index + 1>();
}

std::uint32_t narrow(FieldReader& reader)
{
    const std::uint64_t value = reader.unsignedInteger();
    if (value > std::numeric_limits<std::uint32_t>::max())
        reader.fail("number too large for 32 bits");
    return static_cast<std::uint32_t>(value);
}

void append(Json& fields, const AttemptId& attempt)
{
    fields.push_back(attempt.node.value());
    fields.push_back(attempt.incarnation.value());
    fields.push_back(attempt.sequence);
}

AttemptId readAttempt(FieldReader& reader)
{
    AttemptId attempt;
    attempt.node = NodeId(reader.text());
    attempt.incarnation = Incarnation(reader.unsignedInteger());
    attempt.sequence = reader.unsignedInteger();
    return attempt;
}

void append(Json& fields, const LoadReport& load)
{
    Json queued = Json::array();
    for (const std::uint32_t length : load.queued)
        queued.push_back(length);
    fields.push_back(load.running);
    fields.push_back(load.concurrencyLimit);
    fields.push_back(std::move(queued));
    fields.push_back(load.serviceTime.count());
    fields.push_back(load.completedCalls);
    fields.push_back(load.draining);
}

LoadReport readLoad(FieldReader& reader)
{
    LoadReport load;
    load.running = narrow(reader);
    load.concurrencyLimit = narrow(reader);
    const Json& queued = reader.array();
    if (queued.size() > maximumPriorities)
        reader.fail("too many priorities in a load report");
    FieldReader lengths(queued.is_array() ? queued : Json::array());
    while (!reader.failed() && lengths.remaining() > 0 && !lengths.failed())
        load.queued.push_back(narrow(lengths));
    if (lengths.failed())
        reader.fail("queue lengths of a load report are not numbers");
    load.serviceTime = reader.duration();
    load.completedCalls = reader.unsignedInteger();
    load.draining = reader.boolean();
    return load;
}

void append(Json& fields, const HttpHeaders& headers)
{
    Json list = Json::array();
    for (const HttpHeader& header : headers) {
        list.push_back(cborBytes(header.name));
        list.push_back(cborBytes(header.value));
    }
    fields.push_back(std::move(list));
}

HttpHeaders readHeaders(FieldReader& reader)
{
    const Json& list = reader.array();
    if (list.size() > 2 * maximumHeaders)
        reader.fail("too many headers");
    HttpHeaders headers;
    FieldReader pairs(list.is_array() ? list : Json::array());
    while (!reader.failed() && pairs.remaining() > 0 && !pairs.failed()) {
        std::string name = pairs.bytes();
        headers.push_back({ std::move(name), pairs.bytes() });
    }
    if (pairs.failed())
        reader.fail("headers are not pairs of byte strings");
    return headers;
}

ResultCode readCode(FieldReader& reader)
{
    const std::uint64_t value = reader.unsignedInteger();
    if (value > std::numeric_limits<std::uint16_t>::max())
        reader.fail("result code too large");
    return static_cast<ResultCode>(value);
}

void appendFields(Json& fields, const HelloMessage& message)
{
    fields.push_back(message.node.value());
    fields.push_back(message.incarnation.value());
}

void readFields(FieldReader& reader, HelloMessage& message)
{
    message.node = NodeId(reader.text());
    message.incarnation = Incarnation(reader.unsignedInteger());
}

void appendFields(Json& fields, const CallRequestMessage& message)
{
    append(fields, message.attempt);
    fields.push_back(message.targetIncarnation.value());
    fields.push_back(message.isResend);
    fields.push_back(message.service.value());
    fields.push_back(message.priority.value());
    fields.push_back(message.isIdempotent);
    fields.push_back(message.remaining.count());
    fields.push_back(message.attemptNumber);
    fields.push_back(message.depth);
    fields.push_back(cborBytes(message.idempotencyKey.value()));
    fields.push_back(cborBytes(message.request.method));
    fields.push_back(cborBytes(message.request.target));
    append(fields, message.request.headers);
    fields.push_back(cborBytes(message.request.body));
}

void readFields(FieldReader& reader, CallRequestMessage& message)
{
    message.attempt = readAttempt(reader);
    message.targetIncarnation = Incarnation(reader.unsignedInteger());
    message.isResend = reader.boolean();
    message.service = ServiceName(reader.text());
    message.priority = PriorityIndex(narrow(reader));
    message.isIdempotent = reader.boolean();
    message.remaining = reader.duration();
    message.attemptNumber = narrow(reader);
    message.depth = narrow(reader);
    message.idempotencyKey = IdempotencyKey(reader.bytes());
    message.request.method = reader.bytes();
    message.request.target = reader.bytes();
    message.request.headers = readHeaders(reader);
    message.request.body = reader.bytes();
}

void appendFields(Json& fields, const CallAcceptedMessage& message)
{
    append(fields, message.attempt);
    append(fields, message.load);
}

void readFields(FieldReader& reader, CallAcceptedMessage& message)
{
    message.attempt = readAttempt(reader);
    message.load = readLoad(reader);
}

void appendFields(Json& fields, const CallAnswerMessage& message)
{
    append(fields, message.attempt);
    append(fields, message.load);
    fields.push_back(message.response.status);
    append(fields, message.response.headers);
    fields.push_back(cborBytes(message.response.body));
}

void readFields(FieldReader& reader, CallAnswerMessage& message)
{
    constexpr std::uint64_t lowestStatus = 100;
    constexpr std::uint64_t highestStatus = 999;
    message.attempt = readAttempt(reader);
    message.load = readLoad(reader);
    const std::uint64_t status = reader.unsignedInteger();
    if (status < lowestStatus || status > highestStatus)
        reader.fail("HTTP status out of range");
    message.response.status = static_cast<std::uint16_t>(status);
    message.response.headers = readHeaders(reader);
    message.response.body = reader.bytes();
}

void appendFields(Json& fields, const CallRefusalMessage& message)
{
    append(fields, message.attempt);
    append(fields, message.load);
    fields.push_back(message.isCertainlyNotRun);
    fields.push_back(static_cast<std::uint16_t>(message.code));
    fields.push_back(message.retryAfter.count());
    fields.push_back(message.isFleetWide);
}

void readFields(FieldReader& reader, CallRefusalMessage& message)
{
    message.attempt = readAttempt(reader);
    message.load = readLoad(reader);
    message.isCertainlyNotRun = reader.boolean();
    message.code = readCode(reader);
    message.retryAfter = reader.duration();
    message.isFleetWide = reader.boolean();
}

void appendFields(Json& fields, const CallCancelMessage& message)
{
    append(fields, message.attempt);
}

void readFields(FieldReader& reader, CallCancelMessage& message)
{
    message.attempt = readAttempt(reader);
}

void appendFields(Json& fields, const CallCancelledMessage& message)
{
    append(fields, message.attempt);
    fields.push_back(static_cast<std::uint8_t>(message.fate));
}

void readFields(FieldReader& reader, CallCancelledMessage& message)
{
    message.attempt = readAttempt(reader);
    const std::uint64_t fate = reader.unsignedInteger();
    if (fate > static_cast<std::uint64_t>(CancelFate::Unknown))
        reader.fail("unknown fate");
    message.fate = static_cast<CancelFate>(fate);
}

void appendFields(Json& fields, const ProbeMessage& message)
{
    fields.push_back(message.sequence);
    fields.push_back(message.service.value());
}

void readFields(FieldReader& reader, ProbeMessage& message)
{
    message.sequence = reader.unsignedInteger();
    message.service = ServiceName(reader.text());
}

void appendFields(Json& fields, const ProbeAnswerMessage& message)
{
    fields.push_back(message.sequence);
    fields.push_back(message.service.value());
    append(fields, message.load);
}

void readFields(FieldReader& reader, ProbeAnswerMessage& message)
{
    message.sequence = reader.unsignedInteger();
    message.service = ServiceName(reader.text());
    message.load = readLoad(reader);
}

template <typename Message>
Result<PeerMessage> decodeAs(FieldReader& reader)
{
    Message message;
    readFields(reader, message);
    const auto finished = reader.finish();
    if (finished.has_error())
        return finished.error();
    return PeerMessage(std::move(message));
}

} // namespace

std::string encode(const PeerMessage& message)
{
    Json fields = Json::array();
    fields.push_back(message.index());
    std::visit([&fields](const auto& typed) { appendFields(fields, typed); }, message);
    return encodeCbor(fields);
}

Result<PeerMessage> decodePeerMessage(std::string_view bytes)
{
    const auto decoded = decodeCbor(bytes, maximumPeerMessageBytes);
    if (decoded.has_error())
        return decoded.error();
    FieldReader reader(decoded.value());
    switch (reader.unsignedInteger()) {
    case typeNumber<HelloMessage>():
        return decodeAs<HelloMessage>(reader);
    case typeNumber<CallRequestMessage>():
        return decodeAs<CallRequestMessage>(reader);
    case typeNumber<CallAcceptedMessage>():
        return decodeAs<CallAcceptedMessage>(reader);
    case typeNumber<CallAnswerMessage>():
        return decodeAs<CallAnswerMessage>(reader);
    case typeNumber<CallRefusalMessage>():
        return decodeAs<CallRefusalMessage>(reader);
    case typeNumber<CallCancelMessage>():
        return decodeAs<CallCancelMessage>(reader);
    case typeNumber<CallCancelledMessage>():
        return decodeAs<CallCancelledMessage>(reader);
    case typeNumber<ProbeMessage>():
        return decodeAs<ProbeMessage>(reader);
    case typeNumber<ProbeAnswerMessage>():
        return decodeAs<ProbeAnswerMessage>(reader);
    default:
        return Error { ResultCode::MalformedMessage, reader.failed() ? "no message type" : "unknown message type" };
    }
}

} // namespace Knapweedquay
