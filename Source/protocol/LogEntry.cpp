#include "protocol/LogEntry.h"

#include "protocol/Cbor.h"

namespace Knapweedquay {

namespace {

// 64 bytes per member are more than the other fields and the CBOR headers need.
constexpr std::size_t maximumMemberListBytes = maximumMembers * (maximumAddressBytes + 64);

} // namespace

std::string encodeMembers(const MemberList& members)
{
    nlohmann::json list = nlohmann::json::array();
    for (const Member& member : members)
        list.push_back({ member.id.value(), member.address, member.voter, member.replaces.value() });
    return encodeCbor(list);
}

Result<MemberList> decodeMembers(std::string_view bytes)
{
    BOOST_OUTCOME_TRY(list, decodeCbor(bytes, maximumMemberListBytes));
    if (!list.is_array() || list.size() > maximumMembers)
        return Error { ResultCode::MalformedMessage, "expected a list of at most " + std::to_string(maximumMembers) + " members" };
    MemberList members;
    for (const auto& fields : list) {
        FieldReader reader(fields);
        Member member;
        member.id = ReplicaId(reader.unsignedInteger());
        member.address = reader.text();
        member.voter = reader.boolean();
        member.replaces = ReplicaId(reader.unsignedInteger());
        if (member.address.size() > maximumAddressBytes)
            reader.fail("replica address too long");
        BOOST_OUTCOME_TRYV(reader.finish());
        members.push_back(std::move(member));
    }
    return members;
}

} // namespace Knapweedquay
