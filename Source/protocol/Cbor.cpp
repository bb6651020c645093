#include "protocol/Cbor.h"

namespace Knapweedquay {

namespace {

using Json = nlohmann::json;

// Builds the value and stops beyond maximumCborDepth. The parser is recursive, so deeper input could exhaust the stack.
class DepthLimitedBuilder : public nlohmann::detail::json_sax_dom_parser<Json> {
public:
    explicit DepthLimitedBuilder(Json& target)
        : json_sax_dom_parser(target, false)
    {
    }

    bool start_object(std::size_t length)
    {
        return enterContainer() && json_sax_dom_parser::start_object(length);
    }

    bool start_array(std::size_t length)
    {
        return enterContainer() && json_sax_dom_parser::start_array(length);
    }

    bool end_object()
    {
        --m_depth;
        return json_sax_dom_parser::end_object();
    }

    bool end_array()
    {
        --m_depth;
        return json_sax_dom_parser::end_array();
    }

private:
    bool enterContainer() { return ++m_depth <= maximumCborDepth; }

    std::size_t m_depth = 0;
};

const Json nullValue;
const Json emptyArray = Json::array();

} // namespace

std::string encodeCbor(const Json& value)
{
    std::string bytes;
    Json::to_cbor(value, bytes);
    return bytes;
}

Result<Json> decodeCbor(std::string_view bytes, std::size_t maximumBytes)
{
    if (bytes.size() > maximumBytes)
        return Error { ResultCode::MessageTooLarge, "message has " + std::to_string(bytes.size()) + " bytes; the maximum is " + std::to_string(maximumBytes) };
    Json value;
    DepthLimitedBuilder builder(value);
    try {
        if (!Json::sax_parse(bytes.begin(), bytes.end(), &builder, Json::input_format_t::cbor))
            return Error { ResultCode::MalformedMessage, "expected exactly one complete CBOR value" };
    } catch (const std::exception& exception) {
        // The library throws on a length that it cannot allocate, even with parse exceptions turned off.
        return Error { ResultCode::MalformedMessage, exception.what() };
    }
    return value;
}

Json cborBytes(std::string_view bytes)
{
    return Json::binary(std::vector<std::uint8_t>(bytes.begin(), bytes.end()));
}

FieldReader::FieldReader(const Json& fields)
    : m_fields(fields)
{
    if (!fields.is_array())
        fail("expected an array of fields");
}

const Json* FieldReader::next()
{
    if (failed())
        return nullptr;
    if (m_position >= m_fields.size()) {
        fail("field " + std::to_string(m_position) + " is missing");
        return nullptr;
    }
    return &m_fields[m_position++];
}

std::uint64_t FieldReader::unsignedInteger()
{
    const Json* field = next();
    if (!field)
        return 0;
    if (!field->is_number_unsigned()) {
        fail("field " + std::to_string(m_position - 1) + ": expected an unsigned integer");
        return 0;
    }
    return field->get<std::uint64_t>();
}

std::int64_t FieldReader::signedInteger()
{
    const Json* field = next();
    if (!field)
        return 0;
    if (!field->is_number_integer()) {
        fail("field " + std::to_string(m_position - 1) + ": expected an integer");
        return 0;
    }
    return field->get<std::int64_t>();
}

double FieldReader::real()
{
    const Json* field = next();
    if (!field)
        return 0;
    if (!field->is_number()) {
        fail("field " + std::to_string(m_position - 1) + ": expected a number");
        return 0;
    }
    return field->get<double>();
}

bool FieldReader::boolean()
{
    const Json* field = next();
    if (!field)
        return false;
    if (!field->is_boolean()) {
        fail("field " + std::to_string(m_position - 1) + ": expected a boolean");
        return false;
    }
    return field->get<bool>();
}

std::string FieldReader::text()
{
    const Json* field = next();
    if (!field)
        return {};
    if (!field->is_string()) {
        fail("field " + std::to_string(m_position - 1) + ": expected a text string");
        return {};
    }
    return field->get<std::string>();
}

std::string FieldReader::bytes()
{
    const Json* field = next();
    if (!field)
        return {};
    if (!field->is_binary()) {
        fail("field " + std::to_string(m_position - 1) + ": expected a byte string");
        return {};
    }
    const auto& binary = field->get_binary();
    return std::string(binary.begin(), binary.end());
}

Duration FieldReader::duration()
{
    return Duration(signedInteger());
}

const Json& FieldReader::any()
{
    const Json* field = next();
    return field ? *field : nullValue;
}

const Json& FieldReader::array()
{
    const Json* field = next();
    if (!field)
        return emptyArray;
    if (!field->is_array()) {
        fail("field " + std::to_string(m_position - 1) + ": expected an array");
        return emptyArray;
    }
    return *field;
}

void FieldReader::fail(const std::string& reason)
{
    if (m_reason.empty())
        m_reason = reason;
}

std::size_t FieldReader::remaining() const
{
    return m_fields.is_array() ? m_fields.size() - m_position : 0;
}

Result<void> FieldReader::finish() const
{
    if (failed())
        return Error { ResultCode::MalformedMessage, m_reason };
    if (remaining() > 0)
        return Error { ResultCode::MalformedMessage, std::to_string(remaining()) + " unexpected fields at the end" };
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

} // namespace Knapweedquay
