#pragma once

#include "protocol/Result.h"
#include "state/ConfigurationProblem.h"
#include "state/ServiceDocument.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Knapweedquay {

/// Largest number of priorities and routes in one document.
constexpr std::size_t maximumPriorities = 16;
constexpr std::size_t maximumRoutes = 256;

/// A document, or everything that is wrong with its text.
struct ParsedDocument {
    /// Empty when there are problems.
    std::optional<ServiceDocument> document;
    /// In the order of their lines.
    std::vector<ConfigurationProblem> problems;
};

/// Reads a service document from TOML and finds all of its problems. docs/CONFIGURATION.md has the keys.
ParsedDocument checkDocument(std::string_view text);

/// Reads a service document from TOML.
///
/// Errors: InvalidDocument with line, column, key and what was expected, one line for each problem.
Result<ServiceDocument> parseDocument(std::string_view text);

/// The TOML text with every key, from which parseDocument() reads an equal document.
std::string renderDocument(const ServiceDocument&);

/// The document under the keys of its TOML text.
nlohmann::json toJson(const ServiceDocument&);

} // namespace Knapweedquay
