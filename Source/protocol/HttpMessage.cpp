#include "protocol/HttpMessage.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>
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

std::optional<double> parseDecimal(std::string_view text)
{
    constexpr std::string_view whitespace = " \t";
    constexpr std::string_view digits = "0123456789";
    const std::size_t first = text.find_first_not_of(whitespace);
    // std::from_chars would also accept a sign and the names of infinity and NaN.
    if (first == std::string_view::npos || digits.find(text[first]) == std::string_view::npos)
        return std::nullopt;
    text = text.substr(first, text.find_last_not_of(whitespace) + 1 - first);
    double value = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), value, std::chars_format::fixed);
    if (result.ec == std::errc::result_out_of_range)
        value = std::numeric_limits<double>::infinity();
    else if (result.ec != std::errc())
        return std::nullopt;
    if (result.ptr != text.data() + text.size())
        return std::nullopt;
    return value;
}

bool isHopByHopHeader(std::string_view name)
{
    return std::any_of(hopByHopHeaders.begin(), hopByHopHeaders.end(), [name](const char* hopByHop) { return equalHeaderNames(name, hopByHop); });
}

} // namespace Knapweedquay
