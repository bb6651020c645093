#include "state/TomlReader.h"

#include <algorithm>
#include <chrono>
#include <sstream>
#include <utility>

namespace Knapweedquay {

namespace {

const toml::table emptyTable;
constexpr std::size_t longestQuotedValue = 60;

std::optional<ConfigurationProblem> findSizeProblem(std::string_view text, std::size_t maximumBytes)
{
    if (text.size() > maximumBytes)
        return ConfigurationProblem { 1, 1, {}, "expected at most " + std::to_string(maximumBytes) + " bytes, found " + std::to_string(text.size()) };
    std::uint32_t line = 1;
    for (std::size_t start = 0; start < text.size(); ++line) {
        const std::size_t end = std::min(text.find('\n', start), text.size());
        if (end - start > maximumTomlLineBytes)
            return ConfigurationProblem { line, 1, {}, "expected at most " + std::to_string(maximumTomlLineBytes) + " bytes on one line" };
        start = end + 1;
    }
    return std::nullopt;
}

std::string describe(const toml::node& node)
{
    if (node.is_table())
        return "a table";
    if (node.is_array())
        return "an array";
    std::ostringstream stream;
    node.visit([&stream](const auto& value) { stream << value; });
    std::string text = stream.str();
    if (text.size() > longestQuotedValue)
        text = text.substr(0, longestQuotedValue) + "...";
    return text;
}

std::string foundText(const toml::node& node, TomlReader::Quoting quoting = TomlReader::Quoting::Always)
{
    return ", found " + (quoting == TomlReader::Quoting::Always ? describe(node) : "another value");
}

std::string numberText(double number)
{
    std::ostringstream stream;
    stream << number;
    return stream.str();
}

} // namespace

std::optional<toml::table> parseToml(std::string_view text, std::vector<ConfigurationProblem>& problems, std::size_t maximumBytes)
{
    if (const auto problem = findSizeProblem(text, maximumBytes)) {
        problems.push_back(*problem);
        return std::nullopt;
    }
    try {
        return toml::parse(text);
    } catch (const toml::parse_error& error) {
        const toml::source_position position = error.source().begin;
        problems.push_back({ position.line, position.column, {}, "expected TOML: " + std::string(error.description()) });
        return std::nullopt;
    }
}

TomlReader::TomlReader(const toml::table& table, std::string path, std::vector<ConfigurationProblem>& problems)
    : m_table(&table)
    , m_path(std::move(path))
    , m_problems(&problems)
{
}

const toml::node* TomlReader::readNode(std::string_view key)
{
    m_readKeys.emplace(key);
    return m_table->get(key);
}

std::string TomlReader::pathOf(std::string_view key) const
{
    if (key.empty() || m_path.empty())
        return m_path + std::string(key);
    return m_path + "." + std::string(key);
}

void TomlReader::problem(std::string_view key, const std::string& expected)
{
    const toml::node* node = m_table->get(key);
    const toml::source_position position = (node ? node->source() : m_table->source()).begin;
    m_problems->push_back({ position.line, position.column, pathOf(key), expected });
}

void TomlReader::addValueProblem(std::string_view key, const toml::node& node, std::string_view expected, Quoting quoting)
{
    problem(key, "expected " + std::string(expected) + foundText(node, quoting));
}

std::string TomlReader::text(std::string_view key, const std::string& fallback, TextCheck check, std::string_view expectation)
{
    const toml::node* node = readNode(key);
    if (!node)
        return fallback;
    const auto value = node->value_exact<std::string>();
    if (value && check(*value))
        return *value;
    addValueProblem(key, *node, expectation);
    return fallback;
}

std::string TomlReader::requiredText(std::string_view key, TextCheck check, std::string_view expectation)
{
    if (!m_table->get(key))
        problem(key, "expected " + std::string(expectation) + ", found nothing");
    return text(key, {}, check, expectation);
}

std::vector<std::string> TomlReader::texts(std::string_view key, TextCheck check, std::string_view expectation, Quoting quoting)
{
    std::vector<std::string> values;
    const toml::node* node = readNode(key);
    if (!node)
        return values;
    const toml::array* array = node->as_array();
    if (!array) {
        addValueProblem(key, *node, "an array, each entry " + std::string(expectation), quoting);
        return values;
    }
    for (std::size_t index = 0; index < array->size(); ++index) {
        const toml::node& entry = (*array)[index];
        const auto value = entry.value_exact<std::string>();
        if (value && check(*value)) {
            values.push_back(*value);
            continue;
        }
        const toml::source_position position = entry.source().begin;
        m_problems->push_back({ position.line, position.column, pathOf(key) + "[" + std::to_string(index) + "]", "expected " + std::string(expectation) + foundText(entry, quoting) });
    }
    return values;
}

std::vector<std::uint64_t> TomlReader::integers(std::string_view key, std::uint64_t minimum, std::uint64_t maximum)
{
    std::vector<std::uint64_t> values;
    const toml::node* node = readNode(key);
    if (!node)
        return values;
    const std::string expectation = "an array, each entry a whole number from " + std::to_string(minimum) + " to " + std::to_string(maximum);
    const toml::array* array = node->as_array();
    if (!array) {
        addValueProblem(key, *node, expectation);
        return values;
    }
    for (const toml::node& entry : *array) {
        const auto value = entry.value_exact<std::int64_t>();
        if (!value || *value < 0 || static_cast<std::uint64_t>(*value) < minimum || static_cast<std::uint64_t>(*value) > maximum) {
            addValueProblem(key, entry, expectation);
            return {};
        }
        values.push_back(static_cast<std::uint64_t>(*value));
    }
    return values;
}

std::uint64_t TomlReader::integer(std::string_view key, std::uint64_t fallback, std::uint64_t minimum, std::uint64_t maximum)
{
    const toml::node* node = readNode(key);
    if (!node)
        return fallback;
    const auto value = node->value_exact<std::int64_t>();
    if (value && *value >= 0 && static_cast<std::uint64_t>(*value) >= minimum && static_cast<std::uint64_t>(*value) <= maximum)
        return static_cast<std::uint64_t>(*value);
    addValueProblem(key, *node, "a whole number from " + std::to_string(minimum) + " to " + std::to_string(maximum));
    return fallback;
}

double TomlReader::real(std::string_view key, double fallback, double minimum, double maximum)
{
    const toml::node* node = readNode(key);
    if (!node)
        return fallback;
    const auto value = node->is_number() ? node->value<double>() : std::nullopt;
    // The comparisons also reject NaN.
    if (value && *value >= minimum && *value <= maximum)
        return *value;
    addValueProblem(key, *node, "a number from " + numberText(minimum) + " to " + numberText(maximum));
    return fallback;
}

bool TomlReader::boolean(std::string_view key, bool fallback)
{
    const toml::node* node = readNode(key);
    if (!node)
        return fallback;
    const auto value = node->value_exact<bool>();
    if (value)
        return *value;
    addValueProblem(key, *node, "true or false");
    return fallback;
}

Duration TomlReader::milliseconds(std::string_view key, Duration fallback, Duration minimum, Duration maximum)
{
    using std::chrono::duration_cast;
    using Milliseconds = std::chrono::milliseconds;
    const auto count = [](Duration duration) { return static_cast<std::uint64_t>(duration_cast<Milliseconds>(duration).count()); };
    return Milliseconds(integer(key, count(fallback), count(minimum), count(maximum)));
}

TomlReader TomlReader::section(std::string_view key)
{
    const toml::node* node = readNode(key);
    if (node && !node->is_table())
        addValueProblem(key, *node, "a table");
    const toml::table* table = node ? node->as_table() : nullptr;
    return { table ? *table : emptyTable, pathOf(key), *m_problems };
}

std::vector<TomlReader> TomlReader::sections(std::string_view key, std::size_t minimum, std::size_t maximum)
{
    std::vector<TomlReader> sections;
    const toml::node* node = readNode(key);
    const std::string expected = std::to_string(minimum) + " to " + std::to_string(maximum) + " tables [[" + pathOf(key) + "]]";
    if (!node) {
        if (minimum > 0)
            problem(key, "expected " + expected + ", found none");
        return sections;
    }
    const toml::array* array = node->as_array();
    if (!array || array->size() < minimum || array->size() > maximum) {
        problem(key, "expected " + expected + (array ? ", found " + std::to_string(array->size()) : foundText(*node)));
        return sections;
    }
    for (std::size_t index = 0; index < array->size(); ++index) {
        const std::string path = pathOf(key) + "[" + std::to_string(index) + "]";
        const toml::node& entry = (*array)[index];
        if (const toml::table* table = entry.as_table()) {
            sections.emplace_back(*table, path, *m_problems);
            continue;
        }
        const toml::source_position position = entry.source().begin;
        m_problems->push_back({ position.line, position.column, path, "expected a table" + foundText(entry) });
    }
    return sections;
}

std::vector<std::string> TomlReader::keys() const
{
    std::vector<std::string> keys;
    for (const auto& [key, value] : *m_table)
        keys.emplace_back(key.str());
    return keys;
}

void TomlReader::allowUnknown()
{
    for (const std::string& key : keys())
        m_readKeys.insert(key);
}

void TomlReader::finish()
{
    std::string known;
    for (const std::string& key : m_readKeys)
        known += (known.empty() ? "" : ", ") + key;
    for (const auto& [key, value] : *m_table) {
        if (m_readKeys.count(key.str()) > 0)
            continue;
        const toml::source_position position = key.source().begin;
        m_problems->push_back({ position.line, position.column, pathOf(key.str()), "unknown key; expected one of: " + known });
    }
}

} // namespace Knapweedquay
