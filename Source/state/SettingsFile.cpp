#include "state/SettingsFile.h"

#include <algorithm>
#include <fstream>
#include <sstream>

namespace Knapweedquay {

namespace {

constexpr std::size_t longestNameBytes = 64;

bool isAnyText(std::string_view) { return true; }

// Copied TOML nodes have no position, so problems with them are reported as problems of the command line.
void insertValue(toml::table& table, std::string_view key, const std::string& value)
{
    std::vector<ConfigurationProblem> ignored;
    const auto parsed = parseToml("value = " + value, ignored);
    const toml::node* node = parsed && parsed->size() == 1 ? parsed->get("value") : nullptr;
    if (node)
        node->visit([&table, key](const auto& typed) { table.insert_or_assign(key, typed); });
    else
        table.insert_or_assign(key, value);
}

void applyOverride(toml::table& root, const SettingOverride& setting, std::vector<ConfigurationProblem>& problems)
{
    toml::table* table = &root;
    std::string_view rest = setting.key;
    for (auto dot = rest.find('.'); dot != std::string_view::npos; dot = rest.find('.')) {
        const auto [entry, isNew] = table->insert(rest.substr(0, dot), toml::table {});
        table = entry->second.as_table();
        if (!table) {
            problems.push_back({ 0, 0, setting.key, "expected a table at \"" + std::string(rest.substr(0, dot)) + "\"" });
            return;
        }
        rest.remove_prefix(dot + 1);
    }
    insertValue(*table, rest, setting.value);
}

Result<std::string> readFile(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    text << file.rdbuf();
    if (!file)
        return Error { ResultCode::FileUnreadable, path + ": cannot be read" };
    return text.str();
}

} // namespace

Result<SettingOverride> parseSettingOverride(std::string_view text)
{
    const auto equals = text.find('=');
    if (equals == std::string_view::npos || equals == 0)
        return Error { ResultCode::InvalidSettings, "command line: expected key=value, found \"" + std::string(text) + "\"" };
    return SettingOverride { std::string(text.substr(0, equals)), std::string(text.substr(equals + 1)) };
}

Result<void> readSettings(std::string_view text, const std::string& source, const std::vector<SettingOverride>& overrides, const std::function<void(TomlReader&)>& read)
{
    std::vector<ConfigurationProblem> problems;
    auto table = parseToml(text, problems);
    if (table) {
        for (const SettingOverride& setting : overrides)
            applyOverride(*table, setting, problems);
        TomlReader reader(*table, {}, problems);
        read(reader);
        reader.finish();
    }
    if (!problems.empty())
        return Error { ResultCode::InvalidSettings, toText(problems, source) };
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

Result<void> readSettingsFile(const std::string& path, const std::vector<SettingOverride>& overrides, const std::function<void(TomlReader&)>& read)
{
    BOOST_OUTCOME_TRY(text, readFile(path));
    return readSettings(text, path, overrides, read);
}

bool isPlainName(std::string_view text)
{
    return !text.empty() && text.size() <= longestNameBytes && std::all_of(text.begin(), text.end(), [](char character) {
        const bool isLetter = (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z');
        return isLetter || (character >= '0' && character <= '9') || character == '-' || character == '_' || character == '.';
    });
}

bool isSocketAddress(std::string_view text)
{
    return parseSocketAddress(text).has_value();
}

SocketAddress readAddress(TomlReader& reader, std::string_view key, const SocketAddress& fallback)
{
    const auto address = parseSocketAddress(reader.text(key, toText(fallback), isSocketAddress, socketAddressExpectation));
    // The fallback may be an unset address, whose text form cannot be parsed.
    return address.has_value() ? address.value() : fallback;
}

std::vector<SocketAddress> readAddresses(TomlReader& reader, std::string_view key)
{
    std::vector<SocketAddress> addresses;
    for (const std::string& text : reader.texts(key, isSocketAddress, socketAddressExpectation))
        addresses.push_back(parseSocketAddress(text).value());
    return addresses;
}

std::size_t readChoice(TomlReader& reader, std::string_view key, const std::vector<std::string>& allowed, std::size_t fallback)
{
    const std::string text = reader.text(key, allowed.at(fallback), isAnyText, "a text");
    const auto found = std::find(allowed.begin(), allowed.end(), text);
    if (found != allowed.end())
        return static_cast<std::size_t>(found - allowed.begin());
    std::string expected;
    for (const std::string& name : allowed)
        expected += (expected.empty() ? "" : ", ") + name;
    reader.problem(key, "expected one of " + expected + ", found \"" + text + "\"");
    return fallback;
}

} // namespace Knapweedquay
