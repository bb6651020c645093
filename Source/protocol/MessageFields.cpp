#include "protocol/MessageFields.h"

#include <limits>

namespace Knapweedquay {

void append(nlohmann::json& fields, const AttemptId& attempt)
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

ResultCode readCode(FieldReader& reader)
{
    const std::uint64_t value = reader.unsignedInteger();
    if (value > std::numeric_limits<std::uint16_t>::max())
        reader.fail("result code does not fit in 16 bits");
    return static_cast<ResultCode>(value);
}

std::uint32_t readUnsigned32(FieldReader& reader)
{
    const std::uint64_t value = reader.unsignedInteger();
    if (value > std::numeric_limits<std::uint32_t>::max())
        reader.fail("integer does not fit in 32 bits");
    return static_cast<std::uint32_t>(value);
}

} // namespace Knapweedquay
