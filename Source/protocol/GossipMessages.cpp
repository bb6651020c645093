#include "protocol/GossipMessages.h"

#include "protocol/Cbor.h"

#include <algorithm>
#include <chrono>

namespace Knapweedquay {

namespace {

using Json = nlohmann::json;

// Largest header of a CBOR byte or text string of less than 64 KiB.
constexpr std::size_t maximumStringHeaderBytes = 3;
// Largest encoding of a CBOR integer.
constexpr std::size_t maximumIntegerBytes = 9;
constexpr unsigned bitsPerByte = 8;
constexpr std::size_t hashBytes = sizeof(RecordHash);
// Larger ages are reduced to this one, which is far longer than any ramp after the start of an endpoint, and than crash evidence is
// kept.
constexpr std::chrono::milliseconds maximumAge = std::chrono::hours(24 * 365);

std::string packHashes(const RecordHash* hashes, std::size_t count)
{
    std::string packed;
    packed.reserve(count * hashBytes);
    for (std::size_t i = 0; i < count; ++i) {
        for (std::size_t byte = 0; byte < hashBytes; ++byte)
            packed.push_back(static_cast<char>((hashes[i] >> (bitsPerByte * byte)) & 0xff));
    }
    return packed;
}

std::vector<RecordHash> unpackHashes(FieldReader& reader)
{
    const std::string packed = reader.bytes();
    if (packed.size() % hashBytes != 0)
        reader.fail("hash list length is not a multiple of the hash size");
    std::vector<RecordHash> hashes(packed.size() / hashBytes);
    for (std::size_t i = 0; i < hashes.size(); ++i) {
        for (std::size_t byte = 0; byte < hashBytes; ++byte)
            hashes[i] |= static_cast<RecordHash>(static_cast<unsigned char>(packed[i * hashBytes + byte])) << (bitsPerByte * byte);
    }
    return hashes;
}

std::string readName(FieldReader& reader)
{
    std::string name = reader.text();
    if (name.size() > maximumGossipNameBytes)
        reader.fail("name exceeds " + std::to_string(maximumGossipNameBytes) + " bytes");
    return name;
}

NodeId readNode(FieldReader& reader)
{
    NodeId node(readName(reader));
    if (node.value().empty())
        reader.fail("empty node name");
    return node;
}

SocketAddress readAddress(FieldReader& reader)
{
    const auto address = unpackAddress(reader.bytes());
    if (address.has_value())
        return address.value();
    reader.fail(address.error().detail);
    return {};
}

std::uint32_t readUnsigned32(FieldReader& reader)
{
    const std::uint64_t value = reader.unsignedInteger();
    if (value > UINT32_MAX)
        reader.fail("integer does not fit in 32 bits");
    return static_cast<std::uint32_t>(value);
}

template <typename Enum>
Enum readEnum(FieldReader& reader, Enum last)
{
    const std::uint64_t value = reader.unsignedInteger();
    if (value > static_cast<std::uint64_t>(last)) {
        reader.fail("enumerator " + std::to_string(value) + " is unknown");
        return Enum {};
    }
    return static_cast<Enum>(value);
}

std::uint64_t ageMilliseconds(TimePoint time, TimePoint now)
{
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - time);
    return static_cast<std::uint64_t>(std::clamp(age, std::chrono::milliseconds(0), maximumAge).count());
}

TimePoint readTime(FieldReader& reader, TimePoint now)
{
    const std::uint64_t age = std::min<std::uint64_t>(reader.unsignedInteger(), maximumAge.count());
    return now - std::chrono::milliseconds(age);
}

std::string encodeRecord(const MemberRecord& record, TimePoint now)
{
    const EndpointState& endpoint = record.endpoint;
    return encodeCbor(Json::array({
        record.node.value(),
        record.version.incarnation.value(),
        record.version.state,
        static_cast<std::uint8_t>(record.health),
        record.suspectedBy.value(),
        record.dataCentre.value(),
        cborBytes(packAddress(record.peerAddress)),
        cborBytes(packAddress(record.gossipAddress)),
        endpoint.service.value(),
        cborBytes(packAddress(endpoint.backendServer)),
        endpoint.slots,
        static_cast<std::uint8_t>(endpoint.lifecycle),
        ageMilliseconds(endpoint.announcedAt, now),
    }));
}

MemberRecord readRecord(FieldReader& reader, TimePoint now)
{
    MemberRecord record;
    record.node = readNode(reader);
    record.version.incarnation = Incarnation(reader.unsignedInteger());
    record.version.state = reader.unsignedInteger();
    record.health = readEnum(reader, MemberHealth::Dead);
    record.suspectedBy = NodeId(readName(reader));
    record.dataCentre = DataCentre(readName(reader));
    record.peerAddress = readAddress(reader);
    record.gossipAddress = readAddress(reader);
    record.endpoint.service = ServiceName(readName(reader));
    record.endpoint.backendServer = readAddress(reader);
    record.endpoint.slots = readUnsigned32(reader);
    record.endpoint.lifecycle = readEnum(reader, EndpointLifecycle::Left);
    record.endpoint.announcedAt = readTime(reader, now);
    return record;
}

Result<MemberRecord> decodeRecord(const std::string& bytes, TimePoint now)
{
    BOOST_OUTCOME_TRY(fields, decodeCbor(bytes, maximumGossipBytes));
    FieldReader reader(fields);
    const MemberRecord record = readRecord(reader, now);
    BOOST_OUTCOME_TRY(reader.finish());
    return record;
}

/// A time that may be missing is an array of at most one age.
Json encodeTime(const std::optional<TimePoint>& time, TimePoint now)
{
    Json fields = Json::array();
    if (time)
        fields.push_back(ageMilliseconds(*time, now));
    return fields;
}

std::optional<TimePoint> readOptionalTime(FieldReader& reader, TimePoint now)
{
    FieldReader fields(reader.array());
    std::optional<TimePoint> time;
    if (fields.remaining() > 0)
        time = readTime(fields, now);
    if (fields.finish().has_error())
        reader.fail("a time is not an array of at most one age");
    return time;
}

Json encodeEvidence(const CrashEvidence& evidence, TimePoint now)
{
    Json crashes = Json::array();
    for (const Crash& crash : evidence.crashes) {
        crashes.push_back(crash.id.value());
        crashes.push_back(ageMilliseconds(crash.at, now));
    }
    return Json::array({
        cborBytes(std::string(evidence.digest.bytes.begin(), evidence.digest.bytes.end())),
        evidence.service.value(),
        std::move(crashes),
        encodeTime(evidence.succeededAt, now),
        encodeTime(evidence.releasedAt, now),
        encodeTime(evidence.triedAt, now),
    });
}

CrashEvidence readEvidence(FieldReader& reader, TimePoint now)
{
    CrashEvidence evidence;
    const std::string digest = reader.bytes();
    if (digest.size() == evidence.digest.bytes.size())
        std::copy(digest.begin(), digest.end(), evidence.digest.bytes.begin());
    else
        reader.fail("digest of another size");
    evidence.service = ServiceName(readName(reader));
    FieldReader crashes(reader.array());
    while (!crashes.failed() && crashes.remaining() > 0) {
        const CrashId id(crashes.unsignedInteger());
        evidence.crashes.push_back({ id, readTime(crashes, now) });
    }
    if (crashes.failed() || evidence.crashes.size() > maximumCrashesOfRequest)
        reader.fail("crashes are not a bounded list of ids and ages");
    evidence.succeededAt = readOptionalTime(reader, now);
    evidence.releasedAt = readOptionalTime(reader, now);
    evidence.triedAt = readOptionalTime(reader, now);
    return evidence;
}

// Encodes each alternative of GossipBody as an array of its fields.
struct BodyEncoder {
    TimePoint now;

    Json operator()(const GossipPing& body) const { return Json::array({ body.sequence, body.target.value() }); }
    Json operator()(const GossipAck& body) const { return Json::array({ body.sequence, body.target.value() }); }
    Json operator()(const GossipIndirectPing& body) const
    {
        return Json::array({ body.sequence, body.target.value(), cborBytes(packAddress(body.targetAddress)) });
    }
    Json operator()(const GossipNack& body) const { return Json::array({ body.sequence }); }
    Json operator()(const GossipRumors&) const { return Json::array(); }
    Json operator()(const GossipDigest& body) const
    {
        return Json::array({ cborBytes(packHashes(body.buckets.data(), body.buckets.size())) });
    }
    Json operator()(const GossipSummary& body) const
    {
        std::vector<RecordHash> hashes;
        for (const RecordSummary& record : body.records) {
            hashes.push_back(record.node);
            hashes.push_back(record.content);
        }
        return Json::array({ cborBytes(packHashes(body.buckets.data(), body.buckets.size())), cborBytes(packHashes(hashes.data(), hashes.size())) });
    }
    Json operator()(const GossipRequest& body) const
    {
        return Json::array({ cborBytes(packHashes(body.nodes.data(), body.nodes.size())) });
    }
    Json operator()(const GossipDocuments& body) const { return Json::array({ body.isReply }); }
    Json operator()(const GossipCrashEvidence& body) const
    {
        Json fields = Json::array();
        for (const CrashEvidence& evidence : body.evidence)
            fields.push_back(encodeEvidence(evidence, now));
        return fields;
    }
};

GossipDigest readDigest(FieldReader& reader)
{
    GossipDigest digest;
    const std::vector<RecordHash> hashes = unpackHashes(reader);
    if (hashes.size() == digest.buckets.size())
        std::copy(hashes.begin(), hashes.end(), digest.buckets.begin());
    else
        reader.fail("digest has " + std::to_string(hashes.size()) + " buckets");
    return digest;
}

GossipSummary readSummary(FieldReader& reader)
{
    GossipSummary summary;
    summary.buckets = unpackHashes(reader);
    for (const std::uint32_t bucket : summary.buckets) {
        if (bucket >= digestBuckets)
            reader.fail("bucket index out of range: " + std::to_string(bucket));
    }
    const std::vector<RecordHash> hashes = unpackHashes(reader);
    if (hashes.size() % 2 != 0)
        reader.fail("summary has an odd number of hashes");
    for (std::size_t i = 0; i + 1 < hashes.size(); i += 2)
        summary.records.push_back({ hashes[i], hashes[i + 1] });
    return summary;
}

GossipCrashEvidence readCrashEvidence(FieldReader& reader, TimePoint now)
{
    GossipCrashEvidence body;
    while (!reader.failed() && reader.remaining() > 0) {
        FieldReader fields(reader.array());
        body.evidence.push_back(readEvidence(fields, now));
        if (fields.finish().has_error())
            reader.fail("crash evidence has other fields");
    }
    return body;
}

// Decodes the alternative of GossipBody with this index; the index is the message type on the wire.
GossipBody readBody(std::uint64_t type, FieldReader& reader, TimePoint now)
{
    switch (type) {
    case 0: {
        const std::uint64_t sequence = reader.unsignedInteger();
        return GossipPing { sequence, readNode(reader) };
    }
    case 1: {
        const std::uint64_t sequence = reader.unsignedInteger();
        return GossipAck { sequence, readNode(reader) };
    }
    case 2: {
        GossipIndirectPing ping;
        ping.sequence = reader.unsignedInteger();
        ping.target = readNode(reader);
        ping.targetAddress = readAddress(reader);
        return ping;
    }
    case 3:
        return GossipNack { reader.unsignedInteger() };
    case 4:
        return GossipRumors {};
    case 5:
        return readDigest(reader);
    case 6:
        return readSummary(reader);
    case 7:
        return GossipRequest { unpackHashes(reader) };
    case 8:
        return GossipDocuments { reader.boolean() };
    case 9:
        return readCrashEvidence(reader, now);
    default:
        reader.fail("message type " + std::to_string(type) + " is unknown");
        return GossipRumors {};
    }
}

Json encodeDocuments(const std::vector<DocumentHint>& documents)
{
    Json fields = Json::array();
    for (const DocumentHint& hint : documents) {
        fields.push_back(hint.service.value());
        fields.push_back(hint.version.value());
    }
    return fields;
}

std::vector<DocumentHint> readDocuments(FieldReader& reader)
{
    std::vector<DocumentHint> documents;
    while (!reader.failed() && reader.remaining() > 0) {
        const ServiceName service(readName(reader));
        documents.push_back({ service, DocumentVersion(reader.unsignedInteger()) });
    }
    return documents;
}

} // namespace

std::string encodeGossipMessage(const GossipMessage& message, TimePoint now)
{
    Json records = Json::array();
    for (const MemberRecord& record : message.records)
        records.push_back(cborBytes(encodeRecord(record, now)));
    return encodeCbor(Json::array({
        message.deployment,
        message.sender.value(),
        message.senderVersion.incarnation.value(),
        message.senderVersion.state,
        message.documentsHash,
        message.body.index(),
        std::visit(BodyEncoder { now }, message.body),
        std::move(records),
        encodeDocuments(message.documents),
    }));
}

Result<GossipMessage> decodeGossipMessage(std::string_view bytes, TimePoint now)
{
    BOOST_OUTCOME_TRY(fields, decodeCbor(bytes, maximumGossipBytes));
    FieldReader reader(fields);
    GossipMessage message;
    message.deployment = readUnsigned32(reader);
    message.sender = readNode(reader);
    message.senderVersion.incarnation = Incarnation(reader.unsignedInteger());
    message.senderVersion.state = reader.unsignedInteger();
    message.documentsHash = readUnsigned32(reader);
    const std::uint64_t type = reader.unsignedInteger();
    const Json& body = reader.array();
    const Json& records = reader.array();
    const Json& documents = reader.array();
    BOOST_OUTCOME_TRY(reader.finish());

    FieldReader bodyReader(body);
    message.body = readBody(type, bodyReader, now);
    BOOST_OUTCOME_TRY(bodyReader.finish());

    FieldReader recordsReader(records);
    while (!recordsReader.failed() && recordsReader.remaining() > 0) {
        BOOST_OUTCOME_TRY(record, decodeRecord(recordsReader.bytes(), now));
        message.records.push_back(std::move(record));
    }
    BOOST_OUTCOME_TRY(recordsReader.finish());

    FieldReader documentsReader(documents);
    message.documents = readDocuments(documentsReader);
    BOOST_OUTCOME_TRY(documentsReader.finish());
    return message;
}

std::size_t encodedSize(const MemberRecord& record, TimePoint now)
{
    return encodeRecord(record, now).size() + maximumStringHeaderBytes;
}

std::size_t encodedSize(const DocumentHint& hint)
{
    return hint.service.value().size() + maximumStringHeaderBytes + maximumIntegerBytes;
}

std::size_t encodedSize(const CrashEvidence& evidence, TimePoint now)
{
    return encodeCbor(encodeEvidence(evidence, now)).size();
}

} // namespace Knapweedquay
