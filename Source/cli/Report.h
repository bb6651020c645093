#pragma once

#include "cli/CommandLine.h"

#include <nlohmann/json.hpp>

#include <ostream>
#include <string>
#include <vector>

namespace Knapweedquay::Cli {

/// Prints the results of a command, either as tables and text or as JSON.
class Report {
public:
    Report(std::ostream& output, std::ostream& errors, OutputFormat, bool hasColours);

    /// Prints an array of objects as a table with the given keys as columns, or the array itself as JSON.
    void table(const nlohmann::json& rows, const std::vector<std::string>& columns);
    /// Prints the text, or the value as JSON.
    void result(const std::string& text, const nlohmann::json& value);
    /// Prints an error to the error stream, in both formats as text.
    void error(const std::string& text);

private:
    std::ostream& m_output;
    std::ostream& m_errors;
    const OutputFormat m_format;
    const bool m_hasColours;
};

} // namespace Knapweedquay::Cli
