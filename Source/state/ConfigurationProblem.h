#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace Knapweedquay {

/// A validation error in a service document or a settings file.
struct ConfigurationProblem {
    /// Line and column in the text, counted from 1. Both are 0 when the value was given on the command line.
    std::uint32_t line = 0;
    std::uint32_t column = 0;
    /// Path of the key, such as "priorities[0].target_ms"; empty when the text is not TOML.
    std::string key;
    /// Message that describes the expected value and the actual one.
    std::string expected;
};

/// Formats a problem as "source:line:column: key: expected ...", or without a source as
/// "line 3, column 5: key: expected ...".
std::string toText(const ConfigurationProblem&, const std::string& source);
/// Formats the problems, one per line.
std::string toText(const std::vector<ConfigurationProblem>&, const std::string& source);

} // namespace Knapweedquay
