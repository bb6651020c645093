#include "cli/RequestStory.h"

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <utility>

namespace Knapweedquay::Cli {

namespace {

using Json = nlohmann::json;

std::int64_t wallTime(const Json& line)
{
    return std::strtoll(line["fields"].value("wall_us", std::string("0")).c_str(), nullptr, 10);
}

std::string details(const Json& line)
{
    std::string text;
    for (const auto& [name, value] : line["fields"].items()) {
        if (name != "request" && name != "wall_us" && value.is_string())
            text += (text.empty() ? "" : " ") + name + "=" + value.get<std::string>();
    }
    return text;
}

} // namespace

RequestStory::RequestStory(std::string request)
    : m_request(std::move(request))
{
}

void RequestStory::addLog(std::string_view text)
{
    for (std::size_t start = 0; start < text.size();) {
        const std::size_t end = std::min(text.find('\n', start), text.size());
        addLine(text.substr(start, end - start));
        start = end + 1;
    }
}

void RequestStory::addLine(std::string_view line)
{
    const std::size_t start = line.find('{');
    if (start == std::string_view::npos || line.find(m_request) == std::string_view::npos)
        return;
    Json json = Json::parse(line.substr(start), nullptr, false);
    const bool isEvent = json.is_object() && json.contains("event") && json.contains("fields") && json["fields"].is_object();
    if (isEvent && json["fields"].value("request", std::string()) == m_request)
        m_lines.push_back(std::move(json));
}

Json RequestStory::rows() const
{
    std::vector<Json> lines = m_lines;
    std::stable_sort(lines.begin(), lines.end(), [](const Json& a, const Json& b) { return wallTime(a) < wallTime(b); });
    Json rows = Json::array();
    for (const Json& line : lines) {
        rows.push_back({ { "time_us", wallTime(line) - wallTime(lines.front()) }, { "node", line.value("node", std::string()) }, { "event", line["event"] },
            { "text", line.value("text", std::string()) }, { "details", details(line) } });
    }
    return rows;
}

} // namespace Knapweedquay::Cli
