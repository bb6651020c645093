#pragma once

#include "protocol/Result.h"
#include "protocol/SocketAddress.h"
#include "state/TomlReader.h"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace Knapweedquay {

/// Setting given on the command line, such as listen.calls=127.0.0.1:7000. It overrides the one in the file.
struct SettingOverride {
    /// Path of the key, with its parts separated by dots.
    std::string key;
    /// TOML value, or a string without quotation marks.
    std::string value;
};

/// Parses a setting of the form key=value. Errors: InvalidSettings.
Result<SettingOverride> parseSettingOverride(std::string_view);

/// Parses a settings file, applies the overrides and passes the result to `read`.
///
/// Errors: FileUnreadable; InvalidSettings whose detail has one line "file:line:column: key: expected ..." per problem.
Result<void> readSettingsFile(const std::string& path, const std::vector<SettingOverride>&, const std::function<void(TomlReader&)>& read);

/// Reads settings from a text. The source is named in the problems.
Result<void> readSettings(std::string_view text, const std::string& source, const std::vector<SettingOverride>&, const std::function<void(TomlReader&)>& read);

/// Checks that a text is a name of 1 to 64 letters, digits, '-', '_' or '.'.
bool isPlainName(std::string_view);
constexpr std::string_view plainNameExpectation = "a name of 1 to 64 letters, digits, '-', '_' or '.'";

bool isSocketAddress(std::string_view);
constexpr std::string_view socketAddressExpectation = "an IP number and a port such as \"127.0.0.1:7000\"";

/// Reads one address. The fallback is returned when the key is missing or its value is invalid.
SocketAddress readAddress(TomlReader&, std::string_view key, const SocketAddress& fallback);
/// Reads a list of addresses.
std::vector<SocketAddress> readAddresses(TomlReader&, std::string_view key);

/// Reads one of the allowed texts and returns its index.
std::size_t readChoice(TomlReader&, std::string_view key, const std::vector<std::string>& allowed, std::size_t fallback);

} // namespace Knapweedquay
