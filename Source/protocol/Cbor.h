#pragma once

#include "protocol/Result.h"
#include "protocol/Time.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Knapweedquay {

/// Maximum nesting depth of arrays and maps in a message.
constexpr std::size_t maximumCborDepth = 12;

/// Encodes a value as CBOR (RFC 8949).
std::string encodeCbor(const nlohmann::json&);

/// Decodes one CBOR value that spans the whole input.
///
/// Errors: MessageTooLarge above maximumBytes; MalformedMessage for anything other than one complete value of at most
/// maximumCborDepth levels.
Result<nlohmann::json> decodeCbor(std::string_view bytes, std::size_t maximumBytes);

/// Returns the bytes as a CBOR byte string, for use as a message field.
nlohmann::json cborBytes(std::string_view);

/// Reads the fields of a message, which is an array, in order and checks their types.
///
/// The reader keeps the first error, and later reads return default values. A decoder can therefore read all fields
/// without checks in between and call finish() once at the end.
class FieldReader {
public:
    /// The fields are read in place, so they must outlive the reader.
    explicit FieldReader(const nlohmann::json&);
    explicit FieldReader(const nlohmann::json&&) = delete;
    explicit FieldReader(nlohmann::json&&) = delete;

    std::uint64_t unsignedInteger();
    std::int64_t signedInteger();
    double real();
    bool boolean();
    std::string text();
    std::string bytes();
    Duration duration();
    /// Returns the next field, of any type; a null value when no field is left.
    const nlohmann::json& any();
    /// Returns the next field, which must be an array; an empty array when it is not one.
    const nlohmann::json& array();

    /// Records an error found by the decoder, unless there is one already.
    void fail(const std::string& reason);
    bool failed() const { return !m_reason.empty(); }
    /// Number of fields not read yet.
    std::size_t remaining() const;

    /// Errors: MalformedMessage with the first recorded error, or when there are unread fields.
    Result<void> finish() const;

private:
    const nlohmann::json* next();

    const nlohmann::json& m_fields;
    std::size_t m_position = 0;
    std::string m_reason;
};

} // namespace Knapweedquay
