#include "cli/RequestTimeline.h"

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <utility>

namespace Knapweedquay::Cli {

namespace {

using Json = nlohmann::json;

// Wall-clock time of an event in microseconds.
std::int64_t wallTime(const Json& event)
{
    return std::strtoll(event["fields"].value("wall_us", std::string("0")).c_str(), nullptr, 10);
}

// The remaining fields of an event as name=value, separated by spaces.
std::string details(const Json& event)
{
    std::string text;
    for (const auto& [name, value] : event["fields"].items()) {
        if (name != "request" && name != "wall_us" && value.is_string())
            text += (text.empty() ? "" : " ") + name + "=" + value.get<std::string>();
    }
    return text;
}

} // namespace

RequestTimeline::RequestTimeline(std::string request)
    : m_request(std::move(request))
{
}

void RequestTimeline::addLog(std::string_view text)
{
    for (std::size_t start = 0; start < text.size();) {
        const std::size_t end = std::min(text.find('\n', start), text.size());
        addLine(text.substr(start, end - start));
        start = end + 1;
    }
}

void RequestTimeline::addLine(std::string_view line)
{
    const std::size_t start = line.find('{');
    if (start == std::string_view::npos || line.find(m_request) == std::string_view::npos)
        return;
    Json json = Json::parse(line.substr(start), nullptr, false);
    const bool isEvent = json.is_object() && json.contains("event") && json.contains("fields") && json["fields"].is_object();
    if (isEvent && json["fields"].value("request", std::string()) == m_request)
        m_events.push_back(std::move(json));
}

Json RequestTimeline::rows() const
{
    std::vector<Json> events = m_events;
    std::stable_sort(events.begin(), events.end(), [](const Json& a, const Json& b) { return wallTime(a) < wallTime(b); });
    Json rows = Json::array();
    for (const Json& event : events) {
        rows.push_back({ { "time_us", wallTime(event) - wallTime(events.front()) }, { "node", event.value("node", std::string()) }, { "event", event["event"] },
            { "text", event.value("text", std::string()) }, { "details", details(event) } });
    }
    return rows;
}

} // namespace Knapweedquay::Cli
