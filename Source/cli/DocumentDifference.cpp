#include "cli/DocumentDifference.h"

#include <map>
#include <set>

namespace Knapweedquay::Cli {

namespace {

using Json = nlohmann::json;

// The part of a key that identifies an array entry: its name, its method and path, or else its index.
std::string entryName(const Json& entry, std::size_t index)
{
    if (entry.contains("name"))
        return entry["name"].get<std::string>();
    if (entry.contains("method"))
        return entry["method"].get<std::string>() + " " + entry["path"].get<std::string>();
    return std::to_string(index);
}

// Adds each scalar of a JSON value to values, under its path.
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
        const std::string entryPath = prefix + entryName(value[index], index);
        flatten(value[index], entryPath, values);
        // The position is compared too, since the order of the priorities is their order of urgency.
        values[entryPath + "/position"] = std::to_string(index + 1);
    }
}

} // namespace

std::vector<Difference> findDifferences(const Json& before, const Json& after)
{
    std::map<std::string, std::string> oldValues;
    std::map<std::string, std::string> newValues;
    flatten(before, {}, oldValues);
    flatten(after, {}, newValues);
    std::set<std::string> keys;
    for (const auto& [key, value] : oldValues)
        keys.insert(key);
    for (const auto& [key, value] : newValues)
        keys.insert(key);
    std::vector<Difference> differences;
    for (const std::string& key : keys) {
        const std::string oldValue = oldValues.count(key) ? oldValues[key] : "";
        const std::string newValue = newValues.count(key) ? newValues[key] : "";
        if (oldValue != newValue)
            differences.push_back({ key, oldValue, newValue });
    }
    return differences;
}

} // namespace Knapweedquay::Cli
