#pragma once

#include "protocol/Body.h"
#include "protocol/RequestDigest.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Knapweedquay {

/// A header field of an HTTP message.
struct HttpHeader {
    std::string name;
    std::string value;
};

using HttpHeaders = std::vector<HttpHeader>;

/// Headers of one message that a process accepts.
constexpr std::size_t maximumHeaders = 4096;

/// A complete HTTP request.
struct HttpRequest {
    std::string method;
    /// Path and query, as sent by the client.
    std::string target;
    HttpHeaders headers;
    Body body;
    /// Digest of the body, if it was computed while the body arrived.
    std::optional<RequestDigest> bodyDigest = std::nullopt;
};

/// A complete HTTP response.
struct HttpResponse {
    std::uint16_t status = 200;
    HttpHeaders headers;
    Body body;
};

/// Compares two header names, ignoring the case of ASCII letters (RFC 9110, 5.1).
bool equalHeaderNames(std::string_view, std::string_view);

/// Returns the value of the first header with this name; nullptr when there is none.
const std::string* findHeader(const HttpHeaders&, std::string_view name);

/// Parses a text that consists of one unsigned decimal integer. Returns nothing for any other text, also an empty one.
std::optional<std::uint64_t> parseNumber(std::string_view);

/// Parses digits with an optional decimal fraction, which may have whitespace around them. Returns nothing for any other
/// text, such as an empty one, a negative number or one with an exponent; infinity for a number that is too large.
std::optional<double> parseDecimal(std::string_view);

/// True for headers that apply to one connection and must not be forwarded (RFC 9110, 7.6.1), and for those that each
/// sender sets itself, such as Host and Content-Length.
bool isHopByHopHeader(std::string_view name);

} // namespace Knapweedquay
