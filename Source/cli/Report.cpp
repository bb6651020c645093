#include "cli/Report.h"

#include <algorithm>

namespace Knapweedquay::Cli {

namespace {

// Escape sequences of the terminal.
constexpr const char* boldStyle = "\x1b[1m";
constexpr const char* redStyle = "\x1b[31m";
constexpr const char* resetStyle = "\x1b[0m";
constexpr int jsonIndent = 2;

// Replaces control characters, so that texts from servers and documents cannot send escape sequences to the terminal.
std::string printable(std::string text)
{
    std::replace_if(
        text.begin(), text.end(), [](unsigned char character) { return character < ' ' || character == 0x7f; }, ' ');
    return text;
}

// The text of one table cell; "-" when the row has no value for the column.
std::string cellText(const nlohmann::json& row, const std::string& column)
{
    if (!row.contains(column) || row[column].is_null())
        return "-";
    const nlohmann::json& value = row[column];
    return printable(value.is_string() ? value.get<std::string>() : value.dump());
}

std::string padded(std::string text, std::size_t width)
{
    if (text.size() < width)
        text.resize(width, ' ');
    return text;
}

} // namespace

Report::Report(std::ostream& output, std::ostream& errors, OutputFormat format, bool hasColours)
    : m_output(output)
    , m_errors(errors)
    , m_format(format)
    , m_hasColours(hasColours)
{
}

void Report::table(const nlohmann::json& rows, const std::vector<std::string>& columns)
{
    if (m_format == OutputFormat::Json) {
        m_output << rows.dump(jsonIndent) << '\n';
        return;
    }
    std::vector<std::size_t> widths;
    for (const std::string& column : columns) {
        std::size_t width = column.size();
        for (const nlohmann::json& row : rows)
            width = std::max(width, cellText(row, column).size());
        widths.push_back(width);
    }
    m_output << (m_hasColours ? boldStyle : "");
    for (std::size_t index = 0; index < columns.size(); ++index)
        m_output << (index ? "  " : "") << padded(columns[index], widths[index]);
    m_output << (m_hasColours ? resetStyle : "") << '\n';
    for (const nlohmann::json& row : rows) {
        for (std::size_t index = 0; index < columns.size(); ++index)
            m_output << (index ? "  " : "") << padded(cellText(row, columns[index]), widths[index]);
        m_output << '\n';
    }
}

void Report::result(const std::string& text, const nlohmann::json& value)
{
    if (m_format == OutputFormat::Json)
        m_output << value.dump(jsonIndent) << '\n';
    else
        m_output << text << '\n';
}

void Report::error(const std::string& text)
{
    m_errors << (m_hasColours ? redStyle : "") << text << (m_hasColours ? resetStyle : "") << '\n';
}

} // namespace Knapweedquay::Cli
