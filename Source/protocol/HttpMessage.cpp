#include "protocol/HttpMessage.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <system_error>

namespace Knapweedquay {

namespace {

char toLowerAscii(char character)
{
    constexpr char caseOffset = 'a' - 'A';
    return character >= 'A' && character <= 'Z' ? static_cast<char>(character + caseOffset) : character;
}

constexpr std::array hopByHopHeaders = {
    "Connection",
    "Keep-Alive",
    "Proxy-Connection",
    "Proxy-Authenticate",
    "Proxy-Authorization",
    "TE",
    "Trailer",
    "Transfer-Encoding",
    "Upgrade",
    "Content-Length",
    "Host",
    "Expect",
};

} // namespace

bool equalHeaderNames(std::string_view a, std::string_view b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](char x, char y) { return toLowerAscii(x) == toLowerAscii(y); });
}

const std::string* findHeader(const HttpHeaders& headers, std::string_view name)
{
    const auto header = std::find_if(headers.begin(), headers.end(), [name](const HttpHeader& candidate) { return equalHeaderNames(candidate.name, name); });
    return header == headers.end() ? nullptr : &header->value;
}

std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return number;
}

bool isHopByHopHeader(std::string_view name)
{
    return std::any_of(hopByHopHeaders.begin(), hopByHopHeaders.end(), [name](const char* hopByHop) { return equalHeaderNames(name, hopByHop); });
}

} // namespace Knapweedquay
