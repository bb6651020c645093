#include "protocol/BackendLoad.h"

#include "protocol/HttpMessage.h"

#include <algorithm>
#include <array>
#include <limits>

namespace Knapweedquay {

namespace {

constexpr std::size_t requiredFields = 3;
constexpr std::uint32_t minimumSlowdownPercent = 1;
constexpr std::uint32_t maximumSlowdownPercent = 100000;

} // namespace

std::optional<BackendLoad> parseBackendLoad(std::string_view text)
{
    std::array<std::uint32_t, requiredFields + 1> fields { 0, 0, 0, BackendLoad().slowdownPercent };
    std::size_t count = 0;
    for (bool isLast = false; !isLast && count < fields.size(); ++count) {
        const std::size_t comma = text.find(',');
        isLast = comma == std::string_view::npos;
        const auto number = parseNumber(text.substr(0, comma));
        if (!number || *number > std::numeric_limits<std::uint32_t>::max())
            return std::nullopt;
        fields[count] = static_cast<std::uint32_t>(*number);
        text = isLast ? std::string_view() : text.substr(comma + 1);
    }
    if (count < requiredFields || !text.empty())
        return std::nullopt;
    return BackendLoad { fields[0], fields[1], fields[2], std::clamp(fields[3], minimumSlowdownPercent, maximumSlowdownPercent) };
}

} // namespace Knapweedquay
