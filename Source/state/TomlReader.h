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

/// Largest document or settings file, and its longest line, in bytes. The parser of the library recurses over
/// dotted keys, so that the length of a line bounds the depth of the recursion.
constexpr std::size_t maximumTomlBytes = 65536;
constexpr std::size_t maximumTomlLineBytes = 1000;

/// Parses TOML within these bounds. Nothing, and one more problem, when the text is not TOML.
std::optional<toml::table> parseToml(std::string_view text, std::vector<ConfigurationProblem>&, std::size_t maximumBytes = maximumTomlBytes);

/// Reads one table with checked types and ranges, and notes every problem instead of stopping at the first.
///
/// A value that is missing or wrong reads as the fallback, so the caller reads all keys plainly and looks at the
/// problems once. Keys that nobody read are unknown; finish() notes them.
class TomlReader {
public:
    TomlReader(const toml::table&, std::string path, std::vector<ConfigurationProblem>&);

    /// A text that satisfies the check; expectation tells a person what the check wants.
    using TextCheck = bool (*)(std::string_view);
    std::string text(std::string_view key, const std::string& fallback, TextCheck, std::string_view expectation);
    std::string requiredText(std::string_view key, TextCheck, std::string_view expectation);
    std::vector<std::string> texts(std::string_view key, TextCheck, std::string_view expectation);
    std::uint64_t integer(std::string_view key, std::uint64_t fallback, std::uint64_t minimum, std::uint64_t maximum);
    /// An array of whole numbers within a range.
    std::vector<std::uint64_t> integers(std::string_view key, std::uint64_t minimum, std::uint64_t maximum);
    double real(std::string_view key, double fallback, double minimum, double maximum);
    bool boolean(std::string_view key, bool fallback);
    /// A whole number of milliseconds.
    Duration milliseconds(std::string_view key, Duration fallback, Duration minimum, Duration maximum);

    /// A table below this one; an empty one when it is missing.
    TomlReader section(std::string_view key);
    /// An array of tables; each may be missing.
    std::vector<TomlReader> sections(std::string_view key, std::size_t minimum, std::size_t maximum);
    /// All keys of this table, for tables whose keys are names.
    std::vector<std::string> keys() const;

    /// Notes a problem of the value of a key, or of this table when the key has none.
    void problem(std::string_view key, const std::string& expected);
    /// Keys that are not read are no problem, for files that others extend.
    void allowUnknown();
    /// Notes the keys that were not read.
    void finish();

private:
    const toml::node* read(std::string_view key);
    std::string pathOf(std::string_view key) const;
    void wrongType(std::string_view key, const toml::node& found, std::string_view expected);

    const toml::table* m_table;
    std::string m_path;
    std::vector<ConfigurationProblem>* m_problems;
    std::set<std::string, std::less<>> m_read;
};

} // namespace Knapweedquay
