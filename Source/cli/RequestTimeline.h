#pragma once

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace Knapweedquay::Cli {

/// Collects the logged events of one request from the logs of several processes.
class RequestTimeline {
public:
    explicit RequestTimeline(std::string request);

    /// Adds the JSON lines of a log that belong to the request. Other lines are ignored, and so is text before the JSON
    /// object, as log collectors add it.
    void addLog(std::string_view text);
    /// Returns one row per event, sorted by time, with time_us (since the first event), node, event, text and details.
    nlohmann::json rows() const;

private:
    void addLine(std::string_view line);

    std::string m_request;
    std::vector<nlohmann::json> m_events;
};

} // namespace Knapweedquay::Cli
