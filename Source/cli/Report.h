#pragma once

#include "cli/CommandLine.h"

#include <nlohmann/json.hpp>

#include <ostream>
#include <string>
#include <vector>

namespace Knapweedquay::Cli {

/// Where a command writes its results: tables for people, or JSON for programs.
class Report {
public:
    Report(std::ostream& output, std::ostream& errors, OutputFormat, bool hasColours);

    /// The rows are arrays of objects with the same keys; the columns are those named. JSON output prints the value itself.
    void table(const nlohmann::json& rows, const std::vector<std::string>& columns);
    /// A text for people, and the value that JSON output prints instead.
    void result(const std::string& text, const nlohmann::json& value);
    void error(const std::string& text);

private:
    std::ostream& m_output;
    std::ostream& m_errors;
    const OutputFormat m_format;
    const bool m_hasColours;
};

} // namespace Knapweedquay::Cli
