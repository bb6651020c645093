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

/// Maximum number of priorities and of routes in one document.
constexpr std::size_t maximumPriorities = 16;
constexpr std::size_t maximumRoutes = 256;

/// Result of parsing a document: the document or all problems of its text.
struct ParsedDocument {
    /// Empty when there are problems.
    std::optional<ServiceDocument> document;
    /// Ordered by line and column.
    std::vector<ConfigurationProblem> problems;
};

/// Parses and validates a service document in TOML and reports all of its problems. docs/CONFIGURATION.md lists the
/// keys.
ParsedDocument checkDocument(std::string_view text);

/// Parses and validates a service document in TOML.
///
/// Errors: InvalidDocument whose detail has one line per problem, with its position, key and expected value.
Result<ServiceDocument> parseDocument(std::string_view text);

/// Renders a document as TOML with all keys. parseDocument() reads an equal document from it.
std::string renderDocument(const ServiceDocument&);

/// Converts a document to JSON with the same keys as in TOML.
nlohmann::json toJson(const ServiceDocument&);

} // namespace Knapweedquay
