#pragma once

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace Knapweedquay::Cli {

/// Gathers what the logs of all processes say of one request.
class RequestStory {
public:
    explicit RequestStory(std::string request);

    /// Lines of JSON; other lines are passed over, also text before an object, as collectors of logs add it.
    void addLog(std::string_view text);
    /// Rows with time_us (since the first), node, event, text and details, in the order of their time.
    nlohmann::json rows() const;

private:
    void addLine(std::string_view line);

    std::string m_request;
    std::vector<nlohmann::json> m_lines;
};

} // namespace Knapweedquay::Cli
