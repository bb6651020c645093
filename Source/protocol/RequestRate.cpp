#include "protocol/RequestRate.h"

#include <charconv>

namespace Knapweedquay {

std::optional<RequestRate> parseRequestRate(std::string_view text)
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
        value = unlimitedRequestsPerSecond;
    else if (result.ec != std::errc())
        return std::nullopt;
    if (result.ptr != text.data() + text.size())
        return std::nullopt;
    return RequestRate(value);
}

} // namespace Knapweedquay
