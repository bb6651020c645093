#pragma once

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace Knapweedquay::Cli {

/// A key whose value differs between two documents.
struct Difference {
    /// Path of the key, such as "priorities/booking/target_ms".
    std::string key;
    /// JSON value in the first document; empty when the document does not have the key.
    std::string before;
    /// JSON value in the second document; empty when the document does not have the key.
    std::string after;
};

/// Compares two documents by key and returns the differences, sorted by key. Priorities are matched by name and routes
/// by method and path, so that an inserted one is not reported as a change of all that follow it.
std::vector<Difference> findDifferences(const nlohmann::json& before, const nlohmann::json& after);

} // namespace Knapweedquay::Cli
