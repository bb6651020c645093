#pragma once

#include "protocol/Cbor.h"
#include "protocol/Ids.h"
#include "protocol/Result.h"

#include <cstddef>
#include <string_view>
#include <utility>
#include <variant>

namespace Knapweedquay {

// Codecs for fields that several message types share, and the decoder for variants of message types.

void append(nlohmann::json& fields, const AttemptId&);
AttemptId readAttempt(FieldReader&);
/// Reads a result code; records an error for a number that needs more than 16 bits.
ResultCode readCode(FieldReader&);
/// Reads an unsigned integer; records an error for a number that needs more than 32 bits.
std::uint32_t readUnsigned32(FieldReader&);

/// Sets the variant to a default value of the alternative with this index; false when there is no such alternative.
template <typename Variant, std::size_t... indices>
bool emplaceAlternative(Variant& message, std::uint64_t type, std::index_sequence<indices...>)
{
    return ((type == indices ? (message.template emplace<indices>(), true) : false) || ...);
}

/// Decodes [type, fields...], where the type is the index of the message in the variant.
///
/// readFields is called as readFields(FieldReader&, Message&) with the message of that type.
/// Errors: MalformedMessage, MessageTooLarge.
template <typename Variant, typename ReadFields>
Result<Variant> decodeVariant(std::string_view bytes, std::size_t maximumBytes, ReadFields readFields)
{
    const auto decoded = decodeCbor(bytes, maximumBytes);
    if (decoded.has_error())
        return decoded.error();
    FieldReader reader(decoded.value());
    const std::uint64_t type = reader.unsignedInteger();
    Variant message;
    const bool isKnown = emplaceAlternative(message, type, std::make_index_sequence<std::variant_size_v<Variant>>());
    if (reader.failed() || !isKnown)
        return Error { ResultCode::MalformedMessage, reader.failed() ? "missing message type" : "unknown message type" };
    std::visit([&reader, &readFields](auto& typed) { readFields(reader, typed); }, message);
    const auto finished = reader.finish();
    if (finished.has_error())
        return finished.error();
    return message;
}

} // namespace Knapweedquay
