#include "protocol/ReplicaMessages.h"

#include "protocol/Cbor.h"

namespace Knapweedquay {

namespace {

using Json = nlohmann::json;

// Message types on the wire.
enum class MessageType : std::uint8_t {
    VoteRequest = 1,
    VoteResponse = 2,
    AppendRequest = 3,
    AppendResponse = 4,
    SnapshotChunk = 5,
    SnapshotResponse = 6,
    JoinRequest = 7,
    JoinResponse = 8,
    LeaveRequest = 9,
    LeaveResponse = 10,
};

// An array of fields that starts with the message type.
Json beginMessage(MessageType type)
{
    return Json::array({ static_cast<std::uint64_t>(type) });
}

Json encodeEntry(const LogEntry& entry)
{
    return Json::array({ entry.index.value(), entry.term.value(), static_cast<std::uint64_t>(entry.kind), cborBytes(entry.payload) });
}

Json encodeBody(const VoteRequest& request)
{
    Json fields = beginMessage(MessageType::VoteRequest);
    fields.push_back(request.term.value());
    fields.push_back(request.preVote);
    fields.push_back(request.lastIndex.value());
    fields.push_back(request.lastTerm.value());
    return fields;
}

Json encodeBody(const VoteResponse& response)
{
    Json fields = beginMessage(MessageType::VoteResponse);
    fields.push_back(response.term.value());
    fields.push_back(response.preVote);
    fields.push_back(response.granted);
    return fields;
}

Json encodeBody(const AppendRequest& request)
{
    Json entries = Json::array();
    for (const LogEntry& entry : request.entries)
        entries.push_back(encodeEntry(entry));
    Json fields = beginMessage(MessageType::AppendRequest);
    fields.push_back(request.term.value());
    fields.push_back(request.previousIndex.value());
    fields.push_back(request.previousTerm.value());
    fields.push_back(request.commitIndex.value());
    fields.push_back(request.round.value());
    fields.push_back(request.confirmedRound.value());
    fields.push_back(request.echo);
    fields.push_back(std::move(entries));
    return fields;
}

Json encodeBody(const AppendResponse& response)
{
    Json fields = beginMessage(MessageType::AppendResponse);
    fields.push_back(response.term.value());
    fields.push_back(response.accepted);
    fields.push_back(response.index.value());
    fields.push_back(response.round.value());
    fields.push_back(response.clock);
    return fields;
}

Json encodeBody(const SnapshotChunk& chunk)
{
    Json fields = beginMessage(MessageType::SnapshotChunk);
    fields.push_back(chunk.term.value());
    fields.push_back(chunk.lastIndex.value());
    fields.push_back(chunk.lastTerm.value());
    fields.push_back(chunk.round.value());
    fields.push_back(chunk.totalBytes);
    fields.push_back(chunk.checksum);
    fields.push_back(chunk.offset);
    fields.push_back(cborBytes(encodeMembers(chunk.members)));
    fields.push_back(cborBytes(chunk.bytes));
    return fields;
}

Json encodeBody(const SnapshotResponse& response)
{
    Json fields = beginMessage(MessageType::SnapshotResponse);
    fields.push_back(response.term.value());
    fields.push_back(response.lastIndex.value());
    fields.push_back(response.round.value());
    fields.push_back(response.nextOffset);
    fields.push_back(response.clock);
    return fields;
}

Json encodeBody(const JoinRequest&)
{
    return beginMessage(MessageType::JoinRequest);
}

Json encodeBody(const JoinResponse& response)
{
    Json fields = beginMessage(MessageType::JoinResponse);
    fields.push_back(static_cast<std::uint64_t>(response.code));
    fields.push_back(response.cluster.value());
    return fields;
}

Json encodeBody(const LeaveRequest&)
{
    return beginMessage(MessageType::LeaveRequest);
}

Json encodeBody(const LeaveResponse& response)
{
    Json fields = beginMessage(MessageType::LeaveResponse);
    fields.push_back(static_cast<std::uint64_t>(response.progress));
    return fields;
}

LogEntry decodeEntry(const Json& fields, FieldReader& parent)
{
    FieldReader reader(fields);
    LogEntry entry;
    entry.index = LogIndex(reader.unsignedInteger());
    entry.term = Term(reader.unsignedInteger());
    const std::uint64_t kind = reader.unsignedInteger();
    entry.payload = reader.bytes();
    if (kind > static_cast<std::uint64_t>(LogEntryKind::Members))
        reader.fail("unknown log entry kind");
    if (entry.payload.size() > maximumEntryBytes)
        reader.fail("log entry too large");
    entry.kind = static_cast<LogEntryKind>(kind);
    if (reader.finish().has_error())
        parent.fail("malformed log entry");
    return entry;
}

VoteRequest decodeVoteRequest(FieldReader& reader)
{
    VoteRequest request;
    request.term = Term(reader.unsignedInteger());
    request.preVote = reader.boolean();
    request.lastIndex = LogIndex(reader.unsignedInteger());
    request.lastTerm = Term(reader.unsignedInteger());
    return request;
}

VoteResponse decodeVoteResponse(FieldReader& reader)
{
    VoteResponse response;
    response.term = Term(reader.unsignedInteger());
    response.preVote = reader.boolean();
    response.granted = reader.boolean();
    return response;
}

AppendRequest decodeAppendRequest(FieldReader& reader)
{
    AppendRequest request;
    request.term = Term(reader.unsignedInteger());
    request.previousIndex = LogIndex(reader.unsignedInteger());
    request.previousTerm = Term(reader.unsignedInteger());
    request.commitIndex = LogIndex(reader.unsignedInteger());
    request.round = QuorumRound(reader.unsignedInteger());
    request.confirmedRound = QuorumRound(reader.unsignedInteger());
    request.echo = reader.unsignedInteger();
    const Json& entries = reader.array();
    if (entries.size() > maximumEntriesPerAppend) {
        reader.fail("too many log entries");
        return request;
    }
    LogIndex expected = nextIndex(request.previousIndex);
    for (const Json& fields : entries) {
        request.entries.push_back(decodeEntry(fields, reader));
        if (request.entries.back().index != expected)
            reader.fail("log entries are not consecutive");
        expected = nextIndex(expected);
    }
    return request;
}

AppendResponse decodeAppendResponse(FieldReader& reader)
{
    AppendResponse response;
    response.term = Term(reader.unsignedInteger());
    response.accepted = reader.boolean();
    response.index = LogIndex(reader.unsignedInteger());
    response.round = QuorumRound(reader.unsignedInteger());
    response.clock = reader.unsignedInteger();
    return response;
}

SnapshotChunk decodeSnapshotChunk(FieldReader& reader)
{
    SnapshotChunk chunk;
    chunk.term = Term(reader.unsignedInteger());
    chunk.lastIndex = LogIndex(reader.unsignedInteger());
    chunk.lastTerm = Term(reader.unsignedInteger());
    chunk.round = QuorumRound(reader.unsignedInteger());
    chunk.totalBytes = reader.unsignedInteger();
    chunk.checksum = static_cast<std::uint32_t>(reader.unsignedInteger());
    chunk.offset = reader.unsignedInteger();
    const std::string members = reader.bytes();
    chunk.bytes = reader.bytes();
    if (reader.failed())
        return chunk;
    auto decodedMembers = decodeMembers(members);
    if (decodedMembers.has_error())
        reader.fail("malformed member list");
    else
        chunk.members = std::move(decodedMembers.value());
    if (chunk.totalBytes > maximumSnapshotBytes || chunk.bytes.size() > maximumSnapshotChunkBytes)
        reader.fail("snapshot too large");
    else if (chunk.offset > chunk.totalBytes || chunk.bytes.size() > chunk.totalBytes - chunk.offset)
        reader.fail("snapshot chunk out of range");
    return chunk;
}

SnapshotResponse decodeSnapshotResponse(FieldReader& reader)
{
    SnapshotResponse response;
    response.term = Term(reader.unsignedInteger());
    response.lastIndex = LogIndex(reader.unsignedInteger());
    response.round = QuorumRound(reader.unsignedInteger());
    response.nextOffset = reader.unsignedInteger();
    response.clock = reader.unsignedInteger();
    return response;
}

JoinResponse decodeJoinResponse(FieldReader& reader)
{
    JoinResponse response;
    response.code = static_cast<ResultCode>(reader.unsignedInteger());
    response.cluster = ClusterId(reader.unsignedInteger());
    return response;
}

LeaveResponse decodeLeaveResponse(FieldReader& reader)
{
    const std::uint64_t progress = reader.unsignedInteger();
    if (progress > static_cast<std::uint64_t>(LeaveProgress::Removed))
        reader.fail("unknown progress of a leave");
    return { static_cast<LeaveProgress>(progress) };
}

ReplicaMessageBody decodeBody(FieldReader& reader)
{
    switch (static_cast<MessageType>(reader.unsignedInteger())) {
    case MessageType::VoteRequest:
        return decodeVoteRequest(reader);
    case MessageType::VoteResponse:
        return decodeVoteResponse(reader);
    case MessageType::AppendRequest:
        return decodeAppendRequest(reader);
    case MessageType::AppendResponse:
        return decodeAppendResponse(reader);
    case MessageType::SnapshotChunk:
        return decodeSnapshotChunk(reader);
    case MessageType::SnapshotResponse:
        return decodeSnapshotResponse(reader);
    case MessageType::JoinRequest:
        return JoinRequest {};
    case MessageType::JoinResponse:
        return decodeJoinResponse(reader);
    case MessageType::LeaveRequest:
        return LeaveRequest {};
    case MessageType::LeaveResponse:
        return decodeLeaveResponse(reader);
    }
    reader.fail("unknown kind of message");
    return VoteRequest {};
}

} // namespace

std::string encodeReplicaMessage(const ReplicaMessage& message)
{
    Json body = std::visit([](const auto& typed) { return encodeBody(typed); }, message.body);
    return encodeCbor(Json::array({ message.cluster.value(), message.from.value(), message.to.value(), message.fromAddress, std::move(body) }));
}

Result<ReplicaMessage> decodeReplicaMessage(std::string_view bytes)
{
    BOOST_OUTCOME_TRY(fields, decodeCbor(bytes, maximumReplicaMessageBytes));
    FieldReader reader(fields);
    ReplicaMessage message;
    message.cluster = ClusterId(reader.unsignedInteger());
    message.from = ReplicaId(reader.unsignedInteger());
    message.to = ReplicaId(reader.unsignedInteger());
    message.fromAddress = reader.text();
    if (message.fromAddress.size() > maximumAddressBytes)
        reader.fail("sender address too long");
    const Json& body = reader.array();
    BOOST_OUTCOME_TRYV(reader.finish());
    FieldReader bodyReader(body);
    message.body = decodeBody(bodyReader);
    BOOST_OUTCOME_TRYV(bodyReader.finish());
    return message;
}

} // namespace Knapweedquay
