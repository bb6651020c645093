#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace Knapweedquay {

/// One thing that is wrong in a service document or in a settings file.
struct ConfigurationProblem {
    /// Line and column in the text, from 1; 0 when the value came from the command line.
    std::uint32_t line = 0;
    std::uint32_t column = 0;
    /// Path of the key, such as "priorities[0].target_ms"; empty when the text is not TOML.
    std::string key;
    /// What was expected, and what was found.
    std::string expected;
};

/// "source:line:column: key: expected ..."; without a source "line 3, column 5: key: expected ...".
std::string toText(const ConfigurationProblem&, const std::string& source);
/// One line for each problem.
std::string toText(const std::vector<ConfigurationProblem>&, const std::string& source);

} // namespace Knapweedquay
