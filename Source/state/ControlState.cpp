#include "state/ControlState.h"

#include "protocol/Cbor.h"
#include "protocol/LogEntry.h"
#include "protocol/MessageFields.h"
#include "protocol/ReplicaMessages.h"

namespace Knapweedquay {

namespace {

using Json = nlohmann::json;

// Kind of an encoded command. The numbers are part of the stored log.
enum class Kind : std::uint8_t {
    DocumentEdit = 1,
    ClaimRequest = 2,
    ClaimUpdate = 3,
    ClaimQuery = 4,
};

// Version of the encoding of snapshots.
constexpr std::uint64_t snapshotFormat = 1;

Json encode(const DocumentEdit& edit)
{
    return Json::array({ static_cast<std::uint64_t>(Kind::DocumentEdit), edit.service.value(), edit.expected.value(), edit.change.value(),
        cborBytes(edit.text), edit.author, edit.authenticatedTeam, edit.time.value() });
}

Json encode(const ClaimRequest& request)
{
    Json fields = Json::array({ static_cast<std::uint64_t>(Kind::ClaimRequest), request.key.service.value(), request.key.key.value(), request.fingerprint });
    append(fields, request.attempt);
    fields.push_back(request.node.value());
    fields.push_back(request.expiry.value());
    fields.push_back(request.time.value());
    return fields;
}

Json encode(const ClaimUpdate& update)
{
    Json fields = Json::array({ static_cast<std::uint64_t>(Kind::ClaimUpdate), update.key.service.value(), update.key.key.value() });
    append(fields, update.attempt);
    fields.push_back(update.node.value());
    fields.push_back(static_cast<std::uint64_t>(update.change));
    fields.push_back(update.time.value());
    return fields;
}

Json encode(const ClaimQuery& query)
{
    return Json::array({ static_cast<std::uint64_t>(Kind::ClaimQuery), query.key.service.value(), query.key.key.value() });
}

DocumentEdit decodeEdit(FieldReader& reader)
{
    DocumentEdit edit;
    edit.service = ServiceName(reader.text());
    edit.expected = DocumentVersion(reader.unsignedInteger());
    edit.change = ChangeId(reader.text());
    edit.text = reader.bytes();
    edit.author = reader.text();
    edit.authenticatedTeam = reader.text();
    edit.time = WallTime(reader.unsignedInteger());
    return edit;
}

ClaimRequest decodeClaimRequest(FieldReader& reader)
{
    ClaimRequest request;
    request.key.service = ServiceName(reader.text());
    request.key.key = IdempotencyKey(reader.text());
    request.fingerprint = reader.unsignedInteger();
    request.attempt = readAttempt(reader);
    request.node = NodeId(reader.text());
    request.expiry = WallTime(reader.unsignedInteger());
    request.time = WallTime(reader.unsignedInteger());
    return request;
}

ClaimUpdate decodeClaimUpdate(FieldReader& reader)
{
    ClaimUpdate update;
    update.key.service = ServiceName(reader.text());
    update.key.key = IdempotencyKey(reader.text());
    update.attempt = readAttempt(reader);
    update.node = NodeId(reader.text());
    const std::uint64_t change = reader.unsignedInteger();
    update.time = WallTime(reader.unsignedInteger());
    if (change > static_cast<std::uint64_t>(ClaimChange::Complete))
        reader.fail("unknown change of a claim");
    update.change = static_cast<ClaimChange>(change);
    return update;
}

ClaimQuery decodeClaimQuery(FieldReader& reader)
{
    ClaimQuery query;
    query.key.service = ServiceName(reader.text());
    query.key.key = IdempotencyKey(reader.text());
    return query;
}

ControlCommand decodeKind(FieldReader& reader)
{
    switch (static_cast<Kind>(reader.unsignedInteger())) {
    case Kind::DocumentEdit:
        return decodeEdit(reader);
    case Kind::ClaimRequest:
        return decodeClaimRequest(reader);
    case Kind::ClaimUpdate:
        return decodeClaimUpdate(reader);
    case Kind::ClaimQuery:
        return decodeClaimQuery(reader);
    }
    reader.fail("unknown kind of command");
    return ClaimUpdate {};
}

} // namespace

std::string encodeCommand(const ControlCommand& command)
{
    return encodeCbor(std::visit([](const auto& typed) { return encode(typed); }, command));
}

Result<ControlCommand> decodeCommand(std::string_view bytes)
{
    BOOST_OUTCOME_TRY(fields, decodeCbor(bytes, maximumEntryBytes));
    FieldReader reader(fields);
    ControlCommand command = decodeKind(reader);
    BOOST_OUTCOME_TRYV(reader.finish());
    return command;
}

Result<ControlResult> ControlState::apply(std::string_view bytes)
{
    BOOST_OUTCOME_TRY(command, decodeCommand(bytes));
    if (const auto* edit = std::get_if<DocumentEdit>(&command))
        return ControlResult(m_documents.apply(*edit));
    if (const auto* request = std::get_if<ClaimRequest>(&command))
        return ControlResult(m_claims.apply(*request));
    if (const auto* query = std::get_if<ClaimQuery>(&command))
        return ControlResult(m_claims.apply(*query));
    return ControlResult(m_claims.apply(std::get<ClaimUpdate>(command)));
}

std::string ControlState::save() const
{
    return encodeCbor(Json::array({ snapshotFormat, m_documents.save(), m_claims.save() }));
}

Result<ControlState> ControlState::load(std::string_view bytes)
{
    // The initial snapshot of a new store is empty.
    if (bytes.empty())
        return ControlState();
    BOOST_OUTCOME_TRY(fields, decodeCbor(bytes, maximumSnapshotBytes));
    FieldReader reader(fields);
    if (reader.unsignedInteger() != snapshotFormat)
        reader.fail("unknown format of the state");
    const Json& documents = reader.array();
    const Json& claims = reader.array();
    BOOST_OUTCOME_TRYV(reader.finish());
    ControlState state;
    BOOST_OUTCOME_TRY(loadedDocuments, DocumentRegister::load(documents));
    BOOST_OUTCOME_TRY(loadedClaims, ClaimTable::load(claims));
    state.m_documents = std::move(loadedDocuments);
    state.m_claims = std::move(loadedClaims);
    return state;
}

} // namespace Knapweedquay
