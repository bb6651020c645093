#pragma once

#include "protocol/Result.h"
#include "protocol/SocketAddress.h"
#include "state/TomlReader.h"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace Knapweedquay {

/// A setting given on the command line, such as listen.calls=127.0.0.1:7000. It goes before that of the file.
struct SettingOverride {
    /// Path of the key, its parts separated by dots.
    std::string key;
    /// A TOML value, or a text without quotation marks.
    std::string value;
};

/// Reads key=value. Errors: InvalidSettings.
Result<SettingOverride> parseSettingOverride(std::string_view);

/// Reads a settings file into one value.
///
/// Errors: FileUnreadable; InvalidSettings with one line "file:line:column: key: expected ..." for each problem.
Result<void> readSettingsFile(const std::string& path, const std::vector<SettingOverride>&, const std::function<void(TomlReader&)>& read);

/// The same for a text; source names it in the problems.
Result<void> readSettings(std::string_view text, const std::string& source, const std::vector<SettingOverride>&, const std::function<void(TomlReader&)>& read);

/// A name of 1 to 64 letters, digits, '-', '_' or '.'.
bool isPlainName(std::string_view);
constexpr std::string_view plainNameExpectation = "a name of 1 to 64 letters, digits, '-', '_' or '.'";

bool isSocketAddress(std::string_view);
constexpr std::string_view socketAddressExpectation = "an IP number and a port such as \"127.0.0.1:7000\"";

/// One address, and a list of them.
SocketAddress readAddress(TomlReader&, std::string_view key, const SocketAddress& fallback);
std::vector<SocketAddress> readAddresses(TomlReader&, std::string_view key);

/// The index of a text among the allowed ones.
std::size_t readChoice(TomlReader&, std::string_view key, const std::vector<std::string>& allowed, std::size_t fallback);

} // namespace Knapweedquay
