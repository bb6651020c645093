#pragma once

#include "protocol/LogEvent.h"
#include "state/SettingsFile.h"

#include <initializer_list>
#include <string>
#include <string_view>

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
    /// File to append to; empty for the standard error stream.
    std::string file;
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

} // namespace Knapweedquay
