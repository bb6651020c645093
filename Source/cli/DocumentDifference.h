#pragma once

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace Knapweedquay::Cli {

/// One key whose value differs between two documents.
struct Difference {
    /// Path of the key, such as "priorities/booking/target_ms".
    std::string key;
    /// Empty when the document lacks the key.
    std::string before;
    std::string after;
};

/// Differences by key, in the order of the keys. Priorities are compared by name, routes by method and path, so that
/// a new one shows as itself and not as a change of all that follow.
std::vector<Difference> findDifferences(const nlohmann::json& before, const nlohmann::json& after);

} // namespace Knapweedquay::Cli
