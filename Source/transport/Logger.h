#pragma once

#include "protocol/LogEvent.h"
#include "state/SettingsFile.h"

#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

namespace Knapweedquay {

/// Format of the log lines.
enum class LogLayout {
    /// One line of text for each event.
    Plain = 0,
    /// One line with a JSON object for each event.
    Json = 1,
};

/// The [log] section of a daemon's settings.
struct LogSettings {
    LogLayout layout = LogLayout::Plain;
    /// Events below this level are not logged.
    LogLevel level = LogLevel::Info;
    /// File to append to; empty for the standard output stream.
    std::string file;
    /// Name of the node or replica, added to each JSON line; set by the program, not by the settings file.
    std::string node;
    /// Maximum number of bytes buffered for a slow reader of the standard output; lines beyond it are dropped and
    /// counted.
    std::size_t bufferBytes = 256 * 1024;
};

/// Reads the [log] section of a daemon's settings.
LogSettings readLogSettings(TomlReader&);

/// A named value of an event, such as node=node-7.
struct LogField {
    const char* name;
    std::string value;
};

/// Sets up the log of this process with log4cxx. Earlier events are written to the standard error stream as plain text.
void startLog(const LogSettings&, const std::string& process);

/// Logs one event: its number, its text and its fields. Thread-safe.
void log(LogEvent, std::initializer_list<LogField> = {});
void log(LogEvent, const std::vector<LogField>&);

/// Number of lines that were dropped because the standard output was not read fast enough.
std::uint64_t droppedLogLines();

} // namespace Knapweedquay
