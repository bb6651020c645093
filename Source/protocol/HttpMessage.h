#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Knapweedquay {

struct HttpHeader {
    std::string name;
    std::string value;
};

using HttpHeaders = std::vector<HttpHeader>;

/// A whole HTTP request. The target is the path with its query, as sent.
struct HttpRequest {
    std::string method;
    std::string target;
    HttpHeaders headers;
    std::string body;
};

/// A whole HTTP response.
struct HttpResponse {
    std::uint16_t status = 200;
    HttpHeaders headers;
    std::string body;
};

/// True when both header names are the same but for the case of ASCII letters (RFC 9110, 5.1).
bool equalHeaderNames(std::string_view, std::string_view);

/// Value of the first header of that name; nullptr when there is none.
const std::string* findHeader(const HttpHeaders&, std::string_view name);

/// Whole decimal number that fills the text; nothing for any other text, the empty one included.
std::optional<std::uint64_t> parseNumber(std::string_view);

/// Headers that speak of one connection and must not be passed on (RFC 9110, 7.6.1), and those that a sender sets itself.
bool isHopByHopHeader(std::string_view name);

} // namespace Knapweedquay
