#include "protocol/PeerMessages.h"

#include "protocol/Cbor.h"
#include "protocol/MessageFields.h"

#include <algorithm>
#include <cmath>
#include <type_traits>
#include <utility>

namespace Knapweedquay {

namespace {

using Json = nlohmann::json;

// Service documents derived from a routing document have up to 32 ranks and the priority of calls of runs, others up to 16.
constexpr std::size_t maximumReportedPriorities = 33;
/// First byte of a part of a body, and the size of what precedes its bytes.
constexpr char partMark = '\xff';
constexpr std::size_t partHeadBytes = 1 + sizeof(std::uint64_t);
constexpr unsigned bitsPerByte = 8;
/// A request rate is sent as requests in a thousand seconds.
constexpr double requestRateScale = 1000;

void append(Json& fields, const LoadReport& load)
{
    Json queued = Json::array();
    for (const std::uint32_t length : load.queued)
        queued.push_back(length);
    fields.push_back(load.running);
    fields.push_back(load.concurrencyLimit);
    fields.push_back(std::move(queued));
    fields.push_back(load.serviceTime.count());
    Json times = Json::array();
    for (const Duration time : load.serviceTimes)
        times.push_back(time.count());
    fields.push_back(std::move(times));
    fields.push_back(load.completedCalls);
    fields.push_back(load.failuresPerThousand);
    fields.push_back(load.slowdownPercent);
    if (!load.requestRate)
        return fields.push_back(load.draining);
    const double perThousandSeconds = std::min(load.requestRate->value(), unlimitedRequestsPerSecond) * requestRateScale;
    fields.push_back(Json::array({ load.draining, static_cast<std::uint64_t>(std::llround(perThousandSeconds)) }));
}

/// The last field of a load report is a boolean, or an array of this boolean and the fields that were added later.
void readExtendedLoad(FieldReader& reader, LoadReport& load)
{
    const Json& last = reader.any();
    if (last.is_boolean()) {
        load.draining = last.get<bool>();
        return;
    }
    if (!last.is_array()) {
        reader.fail("the last field of a load report is neither a boolean nor an array");
        return;
    }
    FieldReader extended(last);
    load.draining = extended.boolean();
    if (extended.remaining() > 0)
        load.requestRate = RequestRate(static_cast<double>(extended.unsignedInteger()) / requestRateScale);
    if (extended.failed())
        reader.fail("the added fields of a load report have other types");
}

LoadReport readLoad(FieldReader& reader)
{
    LoadReport load;
    load.running = readUnsigned32(reader);
    load.concurrencyLimit = readUnsigned32(reader);
    const Json& queued = reader.array();
    if (queued.size() > maximumReportedPriorities)
        reader.fail("too many priorities in a load report");
    FieldReader lengths(queued);
    while (!reader.failed() && lengths.remaining() > 0 && !lengths.failed())
        load.queued.push_back(readUnsigned32(lengths));
    if (lengths.failed())
        reader.fail("queue lengths of a load report are not numbers");
    load.serviceTime = reader.duration();
    const Json& times = reader.array();
    if (times.size() > maximumReportedPriorities)
        reader.fail("too many service times in a load report");
    FieldReader durations(times);
    while (!reader.failed() && durations.remaining() > 0 && !durations.failed())
        load.serviceTimes.push_back(durations.duration());
    if (durations.failed())
        reader.fail("service times of a load report are not durations");
    load.completedCalls = reader.unsignedInteger();
    load.failuresPerThousand = readUnsigned32(reader);
    load.slowdownPercent = readUnsigned32(reader);
    readExtendedLoad(reader, load);
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
    // Nodes add some of their own to those that they accept.
    if (list.size() > 2 * 2 * maximumHeaders)
        reader.fail("too many headers");
    HttpHeaders headers;
    FieldReader pairs(list);
    while (!reader.failed() && pairs.remaining() > 0 && !pairs.failed()) {
        std::string name = pairs.bytes();
        headers.push_back({ std::move(name), pairs.bytes() });
    }
    if (pairs.failed())
        reader.fail("headers are not pairs of byte strings");
    return headers;
}

void append(Json& fields, const CallerProof& caller)
{
    const std::string_view key = caller.key ? std::string_view(reinterpret_cast<const char*>(caller.key->digest.bytes.data()), caller.key->digest.bytes.size()) : std::string_view();
    fields.push_back(Json::array({ caller.routingVersion, cborBytes(caller.workspace.value()), cborBytes(key) }));
}

/// Reads a caller, or null for none. Later releases may add fields to it.
std::optional<CallerProof> readCaller(FieldReader& reader)
{
    const Json& field = reader.any();
    if (field.is_null())
        return std::nullopt;
    if (!field.is_array()) {
        reader.fail("the caller of a request is not an array");
        return std::nullopt;
    }
    FieldReader fields(field);
    CallerProof caller;
    caller.routingVersion = fields.unsignedInteger();
    caller.workspace = WorkspaceName(fields.bytes());
    const std::string key = fields.bytes();
    if (key.size() == RequestDigest().bytes.size()) {
        caller.key.emplace();
        std::copy(key.begin(), key.end(), caller.key->digest.bytes.begin());
    }
    if (fields.failed() || caller.key.has_value() == caller.workspace.value().empty())
        reader.fail("the caller of a request is not a version, a workspace and the digest of its key");
    return caller;
}

void appendFields(Json& fields, const HelloMessage& message)
{
    fields.push_back(message.node.value());
    fields.push_back(message.incarnation.value());
    fields.push_back(message.sentAt);
    if (!message.features.empty())
        fields.push_back(message.features);
}

void readFields(FieldReader& reader, HelloMessage& message)
{
    message.node = NodeId(reader.text());
    message.incarnation = Incarnation(reader.unsignedInteger());
    message.sentAt = reader.unsignedInteger();
    if (reader.remaining() > 0)
        message.features = reader.text();
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
    fields.push_back(message.targetRemaining.count());
    fields.push_back(message.sentAt);
    fields.push_back(message.isRepeat);
    fields.push_back(message.depth);
    fields.push_back(cborBytes(message.idempotencyKey.value()));
    fields.push_back(cborBytes(message.request.method));
    fields.push_back(cborBytes(message.request.target));
    append(fields, message.request.headers);
    fields.push_back(cborBytes(message.request.body.bytes()));
    if (message.caller)
        append(fields, *message.caller);
}

void readFields(FieldReader& reader, CallRequestMessage& message)
{
    message.attempt = readAttempt(reader);
    message.targetIncarnation = Incarnation(reader.unsignedInteger());
    message.isResend = reader.boolean();
    message.service = ServiceName(reader.text());
    message.priority = PriorityIndex(readUnsigned32(reader));
    message.isIdempotent = reader.boolean();
    message.remaining = reader.duration();
    message.targetRemaining = reader.duration();
    message.sentAt = reader.unsignedInteger();
    message.isRepeat = reader.boolean();
    message.depth = readUnsigned32(reader);
    message.idempotencyKey = IdempotencyKey(reader.bytes());
    message.request.method = reader.bytes();
    message.request.target = reader.bytes();
    message.request.headers = readHeaders(reader);
    message.request.body = reader.bytes();
    // Earlier releases don't send the caller.
    if (reader.remaining() > 0)
        message.caller = readCaller(reader);
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
    fields.push_back(cborBytes(encodeResponse(message.response)));
}

void readFields(FieldReader& reader, CallAnswerMessage& message)
{
    message.attempt = readAttempt(reader);
    message.load = readLoad(reader);
    auto response = decodeResponse(reader.bytes());
    if (response.has_error())
        return reader.fail(response.error().detail);
    message.response = std::move(response.value());
}

void appendFields(Json& fields, const CallRefusalMessage& message)
{
    append(fields, message.attempt);
    append(fields, message.load);
    fields.push_back(static_cast<std::uint16_t>(message.code));
    fields.push_back(message.retryAfter.count());
    fields.push_back(message.isFleetWide);
}

void readFields(FieldReader& reader, CallRefusalMessage& message)
{
    message.attempt = readAttempt(reader);
    message.load = readLoad(reader);
    message.code = readCode(reader);
    message.retryAfter = reader.duration();
    message.isFleetWide = reader.boolean();
}

void appendFields(Json& fields, const CallUnknownMessage& message)
{
    append(fields, message.attempt);
    append(fields, message.load);
    fields.push_back(static_cast<std::uint16_t>(message.code));
}

void readFields(FieldReader& reader, CallUnknownMessage& message)
{
    message.attempt = readAttempt(reader);
    message.load = readLoad(reader);
    message.code = readCode(reader);
}

void appendFields(Json& fields, const CallCancelMessage& message)
{
    append(fields, message.attempt);
    fields.push_back(message.targetIncarnation.value());
}

void readFields(FieldReader& reader, CallCancelMessage& message)
{
    message.attempt = readAttempt(reader);
    message.targetIncarnation = Incarnation(reader.unsignedInteger());
}

void appendFields(Json& fields, const CallCancelledMessage& message)
{
    append(fields, message.attempt);
    fields.push_back(static_cast<std::uint8_t>(message.result));
}

void readFields(FieldReader& reader, CallCancelledMessage& message)
{
    message.attempt = readAttempt(reader);
    const std::uint64_t result = reader.unsignedInteger();
    if (result > static_cast<std::uint64_t>(CancelResult::Unknown))
        reader.fail("unknown cancellation result");
    message.result = static_cast<CancelResult>(result);
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

void appendFields(Json& fields, const LoadUpdateMessage& message)
{
    fields.push_back(message.service.value());
    append(fields, message.load);
}

void readFields(FieldReader& reader, LoadUpdateMessage& message)
{
    message.service = ServiceName(reader.text());
    message.load = readLoad(reader);
}

void appendFields(Json& fields, const DocumentRequestMessage& message)
{
    fields.push_back(message.service.value());
}

void readFields(FieldReader& reader, DocumentRequestMessage& message)
{
    message.service = ServiceName(reader.text());
}

void appendFields(Json& fields, const DocumentAnswerMessage& message)
{
    fields.push_back(message.service.value());
    fields.push_back(message.version.value());
    fields.push_back(cborBytes(message.text));
}

void readFields(FieldReader& reader, DocumentAnswerMessage& message)
{
    message.service = ServiceName(reader.text());
    message.version = DocumentVersion(reader.unsignedInteger());
    message.text = reader.bytes();
}

void appendFields(Json& fields, const TransferStartMessage& message)
{
    fields.push_back(message.transfer.value());
    fields.push_back(message.bytes);
    fields.push_back(cborBytes(message.head));
}

void readFields(FieldReader& reader, TransferStartMessage& message)
{
    message.transfer = TransferId(reader.unsignedInteger());
    message.bytes = reader.unsignedInteger();
    message.head = reader.bytes();
}

void appendFields(Json& fields, const TransferCreditMessage& message)
{
    fields.push_back(message.transfer.value());
    fields.push_back(message.bytes);
}

void readFields(FieldReader& reader, TransferCreditMessage& message)
{
    message.transfer = TransferId(reader.unsignedInteger());
    message.bytes = reader.unsignedInteger();
}

void appendFields(Json& fields, const TransferWithdrawnMessage& message)
{
    fields.push_back(message.transfer.value());
}

void readFields(FieldReader& reader, TransferWithdrawnMessage& message)
{
    message.transfer = TransferId(reader.unsignedInteger());
}

void appendFields(Json& fields, const TransferRefusedMessage& message)
{
    fields.push_back(message.transfer.value());
    fields.push_back(static_cast<std::uint16_t>(message.code));
}

void readFields(FieldReader& reader, TransferRefusedMessage& message)
{
    message.transfer = TransferId(reader.unsignedInteger());
    message.code = readCode(reader);
}

void appendFields(Json& fields, const CallLimitMessage& message)
{
    append(fields, message.attempt);
    fields.push_back(message.targetIncarnation.value());
    fields.push_back(message.answerWithin.count());
    fields.push_back(message.sentAt);
}

void readFields(FieldReader& reader, CallLimitMessage& message)
{
    message.attempt = readAttempt(reader);
    message.targetIncarnation = Incarnation(reader.unsignedInteger());
    message.answerWithin = reader.duration();
    message.sentAt = reader.unsignedInteger();
}

/// Load report of a message of this type; null if the type has none.
template <typename Message>
auto loadField(Message& message, int) -> decltype(&message.load)
{
    return &message.load;
}

template <typename Message>
std::nullptr_t loadField(Message&, long)
{
    return nullptr;
}

} // namespace

const LoadReport* loadOf(const PeerMessage& message)
{
    return std::visit([](const auto& typed) -> const LoadReport* { return loadField(typed, 0); }, message);
}

bool hasFeature(std::string_view features, std::string_view feature)
{
    while (!features.empty()) {
        const std::size_t end = std::min(features.find(' '), features.size());
        if (features.substr(0, end) == feature)
            return true;
        features.remove_prefix(std::min(end + 1, features.size()));
    }
    return false;
}

const Body* bodyOf(const PeerMessage& message)
{
    if (const auto* request = std::get_if<CallRequestMessage>(&message))
        return &request->request.body;
    const auto* answer = std::get_if<CallAnswerMessage>(&message);
    return answer ? &answer->response.body : nullptr;
}

void setBody(PeerMessage& message, Body body, std::optional<RequestDigest> digest)
{
    if (auto* request = std::get_if<CallRequestMessage>(&message)) {
        request->request.body = std::move(body);
        request->request.bodyDigest = digest;
    } else if (auto* answer = std::get_if<CallAnswerMessage>(&message))
        answer->response.body = std::move(body);
}

const AttemptId* attemptOf(const PeerMessage& message)
{
    if (const auto* request = std::get_if<CallRequestMessage>(&message))
        return &request->attempt;
    const auto* answer = std::get_if<CallAnswerMessage>(&message);
    return answer ? &answer->attempt : nullptr;
}

std::string encodePart(const BodyPart& part)
{
    std::string bytes;
    bytes.reserve(partHeadBytes + part.bytes.size());
    bytes += partMark;
    for (std::size_t index = partHeadBytes - 1; index > 0; --index)
        bytes += static_cast<char>(part.transfer.value() >> ((index - 1) * bitsPerByte));
    bytes += part.bytes;
    return bytes;
}

std::optional<BodyPart> decodePart(std::string_view bytes)
{
    if (bytes.size() < partHeadBytes || bytes.front() != partMark)
        return std::nullopt;
    std::uint64_t transfer = 0;
    for (std::size_t index = 1; index < partHeadBytes; ++index)
        transfer = transfer << bitsPerByte | static_cast<std::uint8_t>(bytes[index]);
    return BodyPart { TransferId(transfer), bytes.substr(partHeadBytes) };
}

std::string encode(const PeerMessage& message, LoadEncoding encoding)
{
    const LoadReport* load = loadOf(message);
    if (encoding == LoadEncoding::Basic && load && load->requestRate) {
        PeerMessage basic = message;
        std::visit([](auto& typed) {
            if (LoadReport* copied = loadField(typed, 0))
                copied->requestRate.reset();
        },
            basic);
        return encode(basic);
    }
    Json fields = Json::array();
    fields.push_back(message.index());
    std::visit([&fields](const auto& typed) { appendFields(fields, typed); }, message);
    return encodeCbor(fields);
}

std::string encodeResponse(const HttpResponse& response)
{
    Json fields = Json::array();
    fields.push_back(response.status);
    append(fields, response.headers);
    fields.push_back(cborBytes(response.body.bytes()));
    return encodeCbor(fields);
}

Result<HttpResponse> decodeResponse(std::string_view bytes)
{
    constexpr std::uint64_t lowestStatus = 100;
    constexpr std::uint64_t highestStatus = 999;
    const auto decoded = decodeCbor(bytes, maximumPeerMessageBytes);
    if (decoded.has_error())
        return decoded.error();
    FieldReader reader(decoded.value());
    HttpResponse response;
    const std::uint64_t status = reader.unsignedInteger();
    if (status < lowestStatus || status > highestStatus)
        reader.fail("HTTP status out of range");
    response.status = static_cast<std::uint16_t>(status);
    response.headers = readHeaders(reader);
    response.body = reader.bytes();
    const auto finished = reader.finish();
    if (finished.has_error())
        return finished.error();
    return response;
}

Result<PeerMessage> decodePeerMessage(std::string_view bytes)
{
    return decodeVariant<PeerMessage>(bytes, maximumPeerMessageBytes, [](FieldReader& reader, auto& message) { readFields(reader, message); });
}

} // namespace Knapweedquay
