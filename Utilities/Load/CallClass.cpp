#include "Load/CallClass.h"

#include <fmt/format.h>

#include <functional>
#include <map>
#include <sstream>
#include <stdexcept>

namespace Knapweedquay::Load {

CallClass parseCallClass(const std::string& text)
{
    CallClass result;
    const std::map<std::string, std::function<void(const std::string&)>> setters {
        { "name", [&](const std::string& value) { result.name = value; } },
        { "method", [&](const std::string& value) { result.method = value; } },
        { "path", [&](const std::string& value) { result.path = value; } },
        { "rate", [&](const std::string& value) { result.rate = std::stod(value); } },
        { "priority", [&](const std::string& value) { result.priority = value; } },
        { "deadline", [&](const std::string& value) { result.deadlineMs = std::stoul(value); } },
        { "target", [&](const std::string& value) { result.targetMs = std::stoul(value); } },
        { "keyed", [&](const std::string& value) { result.isKeyed = value == "1"; } },
        { "resend", [&](const std::string& value) { result.resendShare = std::stod(value); } },
        { "request-bytes", [&](const std::string& value) { result.requestBytes = std::stoul(value); } },
        { "answer-bytes", [&](const std::string& value) { result.answerBytes = std::stoul(value); } },
    };
    std::istringstream stream(text);
    for (std::string item; std::getline(stream, item, ',');) {
        const std::size_t equals = item.find('=');
        const auto setter = setters.find(item.substr(0, equals));
        if (equals == std::string::npos || setter == setters.end())
            throw std::invalid_argument(fmt::format("'{}' in the calls '{}' is not a known key=value", item, text));
        setter->second(item.substr(equals + 1));
    }
    if (result.name.empty() || result.path.empty() || !(result.rate > 0))
        throw std::invalid_argument("calls need a name, a path and a rate above 0: '" + text + "'");
    return result;
}

} // namespace Knapweedquay::Load
