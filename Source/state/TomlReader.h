#pragma once

#include "protocol/Time.h"
#include "state/ConfigurationProblem.h"

#include <toml++/toml.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Knapweedquay {

/// Maximum size of a document or settings file and of one line in it, in bytes. The TOML library recurses over dotted
/// keys, so the line length bounds the depth of the recursion.
constexpr std::size_t maximumTomlBytes = 65536;
constexpr std::size_t maximumTomlLineBytes = 1000;

/// Parses TOML within these bounds. Returns an empty result and adds a problem when the text is too long or not valid
/// TOML.
std::optional<toml::table> parseToml(std::string_view text, std::vector<ConfigurationProblem>&, std::size_t maximumBytes = maximumTomlBytes);

/// Reads a table with checks of types and ranges, and collects all problems instead of stopping at the first.
///
/// A missing or invalid value is replaced by the fallback, so the caller can read all keys and check for problems once
/// at the end. Keys that were not read are unknown; finish() reports them.
class TomlReader {
public:
    /// The table and the list of problems must outlive the reader. Problems name keys with the path of the table.
    TomlReader(const toml::table&, std::string path, std::vector<ConfigurationProblem>&);

    /// Checks a text. The expectation that is passed along with it describes valid texts in problems.
    using TextCheck = bool (*)(std::string_view);
    std::string text(std::string_view key, const std::string& fallback, TextCheck, std::string_view expectation);
    std::string requiredText(std::string_view key, TextCheck, std::string_view expectation);
    /// Whether problems show the values that were found; those of secrets never do.
    enum class Quoting {
        Always,
        Never,
    };
    /// Reads an array of texts and omits invalid entries.
    std::vector<std::string> texts(std::string_view key, TextCheck, std::string_view expectation, Quoting = Quoting::Always);
    std::uint64_t integer(std::string_view key, std::uint64_t fallback, std::uint64_t minimum, std::uint64_t maximum);
    /// Reads an array of integers within a range. The result is empty when an entry is invalid.
    std::vector<std::uint64_t> integers(std::string_view key, std::uint64_t minimum, std::uint64_t maximum);
    double real(std::string_view key, double fallback, double minimum, double maximum);
    bool boolean(std::string_view key, bool fallback);
    /// Reads an integer number of milliseconds.
    Duration milliseconds(std::string_view key, Duration fallback, Duration minimum, Duration maximum);

    /// True when the table has a value of this key.
    bool has(std::string_view key) const { return m_table->get(key) != nullptr; }
    /// Returns a reader of a subtable. It reads an empty table when the key is missing.
    TomlReader section(std::string_view key);
    /// Returns the readers of an array of tables, whose size must be within the bounds.
    std::vector<TomlReader> sections(std::string_view key, std::size_t minimum, std::size_t maximum);
    /// Returns all keys of this table, for tables whose keys are arbitrary names.
    std::vector<std::string> keys() const;

    /// Adds a problem at the position of the value of a key, or of this table when the key has no value.
    void problem(std::string_view key, const std::string& expected);
    /// Accepts keys that were not read, for files that may have further keys.
    void allowUnknown();
    /// Adds a problem for each key that was not read.
    void finish();

private:
    const toml::node* readNode(std::string_view key);
    std::string pathOf(std::string_view key) const;
    void addValueProblem(std::string_view key, const toml::node& node, std::string_view expected, Quoting = Quoting::Always);

    const toml::table* m_table;
    std::string m_path;
    std::vector<ConfigurationProblem>* m_problems;
    std::set<std::string, std::less<>> m_readKeys;
};

} // namespace Knapweedquay
