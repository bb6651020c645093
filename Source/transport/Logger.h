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

enum class LogLayout {
    /// One line of text for each event.
    Plain = 0,
    /// One JSON object on a line for each event.
    Json = 1,
};

struct LogSettings {
    LogLayout layout = LogLayout::Plain;
    /// Events below this level are left out.
    LogLevel level = LogLevel::Info;
    /// File to append to; empty for the standard output stream.
    std::string file;
    /// Name of the node or replica, told in each line of JSON; set by the program, not by the file.
    std::string node;
    /// Bytes that are held for a reader of the standard output that is slow; what goes beyond is dropped and counted.
    std::size_t bufferBytes = 256 * 1024;
};

/// Reads the [log] section of a daemon's settings.
LogSettings readLogSettings(TomlReader&);

/// One detail of an event, such as node=node-7.
struct LogField {
    const char* name;
    std::string value;
};

/// Sets up the log of this process, by log4cxx. Until then events go to the standard error stream as plain text.
void startLog(const LogSettings&, const std::string& process);

/// Writes one event: its number, its text and its fields. Safe from every thread.
void log(LogEvent, std::initializer_list<LogField> = {});
void log(LogEvent, const std::vector<LogField>&);

/// Lines that were dropped because nobody read the standard output.
std::uint64_t droppedLogLines();

} // namespace Knapweedquay
