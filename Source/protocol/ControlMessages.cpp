#include "protocol/ControlMessages.h"

#include "protocol/Cbor.h"
#include "protocol/MessageFields.h"

namespace Knapweedquay {

namespace {

using Json = nlohmann::json;

constexpr std::size_t maximumServices = 4096;
constexpr std::size_t maximumReplicaAddresses = 64;

void append(Json& fields, const DocumentVersions& versions)
{
    Json list = Json::array();
    for (const auto& [service, version] : versions) {
        list.push_back(service.value());
        list.push_back(version.value());
    }
    fields.push_back(std::move(list));
}

DocumentVersions readVersions(FieldReader& reader)
{
    const Json& list = reader.array();
    if (list.size() > 2 * maximumServices)
        reader.fail("too many services");
    DocumentVersions versions;
    FieldReader pairs(list);
    while (!reader.failed() && pairs.remaining() > 0 && !pairs.failed()) {
        const ServiceName service(pairs.text());
        versions[service] = DocumentVersion(pairs.unsignedInteger());
    }
    if (pairs.failed())
        reader.fail("document versions are not pairs of a service name and a number");
    return versions;
}

void appendFields(Json& fields, const SubscribeMessage& message)
{
    fields.push_back(message.node.value());
    fields.push_back(message.incarnation.value());
    append(fields, message.inForce);
}

void readFields(FieldReader& reader, SubscribeMessage& message)
{
    message.node = NodeId(reader.text());
    message.incarnation = Incarnation(reader.unsignedInteger());
    message.inForce = readVersions(reader);
}

void appendFields(Json& fields, const DocumentMessage& message)
{
    fields.push_back(message.service.value());
    fields.push_back(message.version.value());
    fields.push_back(cborBytes(message.text));
}

void readFields(FieldReader& reader, DocumentMessage& message)
{
    message.service = ServiceName(reader.text());
    message.version = DocumentVersion(reader.unsignedInteger());
    message.text = reader.bytes();
}

void appendFields(Json& fields, const FreshnessRequestMessage& message)
{
    fields.push_back(message.clock);
}

void readFields(FieldReader& reader, FreshnessRequestMessage& message)
{
    message.clock = reader.unsignedInteger();
}

void appendFields(Json& fields, const FreshnessMessage& message)
{
    fields.push_back(message.echo);
    fields.push_back(message.term);
    fields.push_back(message.round);
    fields.push_back(message.age.count());
}

void readFields(FieldReader& reader, FreshnessMessage& message)
{
    message.echo = reader.unsignedInteger();
    message.term = reader.unsignedInteger();
    message.round = reader.unsignedInteger();
    message.age = reader.duration();
}

void appendFields(Json& fields, const InForceMessage& message)
{
    append(fields, message.inForce);
}

void readFields(FieldReader& reader, InForceMessage& message)
{
    message.inForce = readVersions(reader);
}

template <typename Message>
void appendClaimKey(Json& fields, const Message& message)
{
    append(fields, message.owner);
    fields.push_back(message.service.value());
    fields.push_back(cborBytes(message.key.value()));
}

template <typename Message>
void readClaimKey(FieldReader& reader, Message& message)
{
    message.owner = readAttempt(reader);
    message.service = ServiceName(reader.text());
    message.key = IdempotencyKey(reader.bytes());
}

void appendFields(Json& fields, const ClaimRequestMessage& message)
{
    appendClaimKey(fields, message);
    fields.push_back(message.fingerprint);
}

void readFields(FieldReader& reader, ClaimRequestMessage& message)
{
    readClaimKey(reader, message);
    message.fingerprint = reader.unsignedInteger();
}

void appendFields(Json& fields, const ClaimQueryMessage& message)
{
    appendClaimKey(fields, message);
}

void readFields(FieldReader& reader, ClaimQueryMessage& message)
{
    readClaimKey(reader, message);
}

void appendFields(Json& fields, const ClaimEndMessage& message)
{
    appendClaimKey(fields, message);
    fields.push_back(message.hasRun);
}

void readFields(FieldReader& reader, ClaimEndMessage& message)
{
    readClaimKey(reader, message);
    message.hasRun = reader.boolean();
}

void appendFields(Json& fields, const ReplicaListMessage& message)
{
    Json list = Json::array();
    for (const std::string& address : message.addresses)
        list.push_back(address);
    fields.push_back(std::move(list));
}

void readFields(FieldReader& reader, ReplicaListMessage& message)
{
    const Json& list = reader.array();
    if (list.size() > maximumReplicaAddresses)
        reader.fail("too many addresses of replicas");
    FieldReader addresses(list);
    while (!reader.failed() && addresses.remaining() > 0 && !addresses.failed())
        message.addresses.push_back(addresses.text());
    if (addresses.failed())
        reader.fail("addresses of replicas are not text strings");
}

void appendFields(Json& fields, const ClaimAnswerMessage& message)
{
    append(fields, message.owner);
    fields.push_back(static_cast<std::uint16_t>(message.code));
}

void readFields(FieldReader& reader, ClaimAnswerMessage& message)
{
    message.owner = readAttempt(reader);
    message.code = readCode(reader);
}

void appendFields(Json& fields, const DocumentUpdateMessage& message)
{
    fields.push_back(message.service.value());
    fields.push_back(message.version.value());
    fields.push_back(message.base.value());
    fields.push_back(message.totalBytes);
    fields.push_back(message.offset);
    fields.push_back(cborBytes(message.part));
}

void readFields(FieldReader& reader, DocumentUpdateMessage& message)
{
    message.service = ServiceName(reader.text());
    message.version = DocumentVersion(reader.unsignedInteger());
    message.base = DocumentVersion(reader.unsignedInteger());
    message.totalBytes = reader.unsignedInteger();
    message.offset = reader.unsignedInteger();
    message.part = reader.bytes();
}

void appendFields(Json&, const UpdatesAcceptedMessage&)
{
}

void readFields(FieldReader&, UpdatesAcceptedMessage&)
{
}

void appendFields(Json& fields, const RoutingChangeMessage& message)
{
    fields.push_back(message.request);
    fields.push_back(message.baseVersion);
    fields.push_back(cborBytes(message.author));
    fields.push_back(cborBytes(message.text));
}

void readFields(FieldReader& reader, RoutingChangeMessage& message)
{
    message.request = reader.unsignedInteger();
    message.baseVersion = reader.unsignedInteger();
    message.author = reader.bytes();
    message.text = reader.bytes();
}

void appendFields(Json& fields, const RoutingChangeAnswerMessage& message)
{
    fields.push_back(message.request);
    fields.push_back(static_cast<std::uint16_t>(message.code));
    fields.push_back(cborBytes(message.detail));
}

void readFields(FieldReader& reader, RoutingChangeAnswerMessage& message)
{
    message.request = reader.unsignedInteger();
    message.code = readCode(reader);
    message.detail = reader.bytes();
}

void appendFields(Json& fields, const EvacuationOrderMessage& message)
{
    fields.push_back(message.request);
    fields.push_back(cborBytes(message.dataCentre.value()));
    fields.push_back(message.isStart);
    fields.push_back(message.expected.value());
    fields.push_back(cborBytes(message.author));
}

void readFields(FieldReader& reader, EvacuationOrderMessage& message)
{
    message.request = reader.unsignedInteger();
    message.dataCentre = DataCentre(reader.bytes());
    message.isStart = reader.boolean();
    message.expected = DocumentVersion(reader.unsignedInteger());
    message.author = reader.bytes();
}

void appendFields(Json& fields, const EvacuationAnswerMessage& message)
{
    fields.push_back(message.request);
    fields.push_back(static_cast<std::uint16_t>(message.code));
    fields.push_back(cborBytes(message.detail));
}

void readFields(FieldReader& reader, EvacuationAnswerMessage& message)
{
    message.request = reader.unsignedInteger();
    message.code = readCode(reader);
    message.detail = reader.bytes();
}

} // namespace

std::string encode(const ControlMessage& message)
{
    Json fields = Json::array();
    fields.push_back(message.index());
    std::visit([&fields](const auto& typed) { appendFields(fields, typed); }, message);
    return encodeCbor(fields);
}

Result<ControlMessage> decodeControlMessage(std::string_view bytes)
{
    return decodeVariant<ControlMessage>(bytes, maximumControlMessageBytes, [](FieldReader& reader, auto& message) { readFields(reader, message); });
}

} // namespace Knapweedquay
