#include "cli/DocumentDifference.h"

#include <map>
#include <set>

namespace Knapweedquay::Cli {

namespace {

using Json = nlohmann::json;

std::string nameOf(const Json& entry, std::size_t index)
{
    if (entry.contains("name"))
        return entry["name"].get<std::string>();
    if (entry.contains("method"))
        return entry["method"].get<std::string>() + " " + entry["path"].get<std::string>();
    return std::to_string(index);
}

void flatten(const Json& value, const std::string& path, std::map<std::string, std::string>& values)
{
    if (!value.is_structured()) {
        values[path] = value.dump();
        return;
    }
    const std::string prefix = path.empty() ? "" : path + "/";
    if (value.is_object()) {
        for (const auto& [key, entry] : value.items())
            flatten(entry, prefix + key, values);
        return;
    }
    for (std::size_t index = 0; index < value.size(); ++index) {
        const std::string entryPath = prefix + nameOf(value[index], index);
        flatten(value[index], entryPath, values);
        // The order is the order of urgency.
        values[entryPath + "/position"] = std::to_string(index + 1);
    }
}

} // namespace

std::vector<Difference> findDifferences(const Json& before, const Json& after)
{
    std::map<std::string, std::string> first;
    std::map<std::string, std::string> second;
    flatten(before, {}, first);
    flatten(after, {}, second);
    std::set<std::string> keys;
    for (const auto& [key, value] : first)
        keys.insert(key);
    for (const auto& [key, value] : second)
        keys.insert(key);
    std::vector<Difference> differences;
    for (const std::string& key : keys) {
        const std::string old = first.count(key) ? first[key] : "";
        const std::string now = second.count(key) ? second[key] : "";
        if (old != now)
            differences.push_back({ key, old, now });
    }
    return differences;
}

} // namespace Knapweedquay::Cli
