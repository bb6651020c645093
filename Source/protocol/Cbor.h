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

/// Deepest nesting of arrays and maps that a message may have.
constexpr std::size_t maximumCborDepth = 12;

/// Encodes a value as CBOR (RFC 8949).
std::string encodeCbor(const nlohmann::json&);

/// Decodes one CBOR value that fills the input exactly.
///
/// Errors: MessageTooLarge above maximumBytes, MalformedMessage for anything that is not one whole
/// value of at most maximumCborDepth levels.
Result<nlohmann::json> decodeCbor(std::string_view bytes, std::size_t maximumBytes);

/// A byte string for a field of a message.
nlohmann::json cborBytes(std::string_view);

/// Reads the fields of a message, an array, in order and with checked types.
///
/// The first wrong field latches an error; later reads return default values. So a decoder reads all
/// fields plainly and checks once at the end.
class FieldReader {
public:
    /// The fields must outlive the reader.
    explicit FieldReader(const nlohmann::json&);
    explicit FieldReader(const nlohmann::json&&) = delete;
    /// The fields are read in place, so they must outlive the reader.
    explicit FieldReader(nlohmann::json&&) = delete;

    std::uint64_t unsignedInteger();
    std::int64_t signedInteger();
    double real();
    bool boolean();
    std::string text();
    std::string bytes();
    Duration duration();
    /// The next field, of any type; a null value when there is none.
    const nlohmann::json& any();
    /// The next field, which must be an array; an empty array when it is not.
    const nlohmann::json& array();

    /// Latches an error that the decoder itself found.
    void fail(const std::string& reason);
    bool failed() const { return !m_reason.empty(); }
    std::size_t remaining() const;

    /// MalformedMessage with the reason of the first wrong field, or when fields are left over.
    Result<void> finish() const;

private:
    const nlohmann::json* next();

    const nlohmann::json& m_fields;
    std::size_t m_position = 0;
    std::string m_reason;
};

} // namespace Knapweedquay
