#include "transport/Logger.h"

#include <log4cxx/consoleappender.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <nlohmann/json.hpp>

#include <atomic>
#include <iostream>

namespace Knapweedquay {

namespace {

std::atomic<LogLayout> layoutInUse { LogLayout::Plain };
std::atomic<bool> isStarted { false };
std::string processName;

bool isAnyPath(std::string_view) { return true; }

log4cxx::LevelPtr toLibraryLevel(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return log4cxx::Level::getDebug();
    case LogLevel::Info:
        return log4cxx::Level::getInfo();
    case LogLevel::Warning:
        return log4cxx::Level::getWarn();
    case LogLevel::Error:
        return log4cxx::Level::getError();
    }
    return log4cxx::Level::getInfo();
}

std::string plainLine(LogEvent event, std::initializer_list<LogField> fields)
{
    std::string line = std::to_string(static_cast<unsigned>(event)) + " " + text(event);
    for (const LogField& field : fields)
        line += std::string(" ") + field.name + "=" + nlohmann::json(field.value).dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
    return line;
}

// The members of a JSON object after those that the layout writes; log4cxx's own JSON layout has no place for fields.
std::string jsonMembers(LogEvent event, std::initializer_list<LogField> fields)
{
    nlohmann::json object = { { "event", static_cast<unsigned>(event) }, { "level", toText(level(event)) }, { "text", text(event) }, { "process", processName } };
    for (const LogField& field : fields)
        object["fields"][field.name] = field.value;
    return object.dump(-1, ' ', true, nlohmann::json::error_handler_t::replace).substr(1);
}

log4cxx::LayoutPtr makeLayout(const LogSettings& settings)
{
    constexpr const char* time = "%d{yyyy-MM-ddTHH:mm:ss.SSS}{UTC}Z";
    const std::string pattern = settings.layout == LogLayout::Json
        ? std::string("{\"time\":\"") + time + "\",%m%n"
        : std::string(time) + " %-5p " + processName + " %m%n";
    return std::make_shared<log4cxx::PatternLayout>(pattern);
}

log4cxx::AppenderPtr makeAppender(const LogSettings& settings)
{
    constexpr bool append = true;
    const log4cxx::LayoutPtr layout = makeLayout(settings);
    if (settings.file.empty())
        return std::make_shared<log4cxx::ConsoleAppender>(layout, log4cxx::ConsoleAppender::getSystemErr());
    return std::make_shared<log4cxx::FileAppender>(layout, settings.file, append);
}

} // namespace

LogSettings readLogSettings(TomlReader& reader)
{
    LogSettings settings;
    TomlReader section = reader.section("log");
    settings.layout = static_cast<LogLayout>(readChoice(section, "layout", { "plain", "json" }, static_cast<std::size_t>(settings.layout)));
    settings.level = static_cast<LogLevel>(readChoice(section, "level", { "debug", "info", "warning", "error" }, static_cast<std::size_t>(settings.level)));
    settings.file = section.text("file", settings.file, isAnyPath, "a path");
    section.finish();
    return settings;
}

void startLog(const LogSettings& settings, const std::string& process)
{
    processName = process;
    layoutInUse = settings.layout;
    const log4cxx::LoggerPtr root = log4cxx::Logger::getRootLogger();
    root->removeAllAppenders();
    root->addAppender(makeAppender(settings));
    root->setLevel(toLibraryLevel(settings.level));
    isStarted = true;
}

void log(LogEvent event, std::initializer_list<LogField> fields)
{
    if (!isStarted) {
        std::cerr << plainLine(event, fields) << '\n';
        return;
    }
    const std::string message = layoutInUse == LogLayout::Json ? jsonMembers(event, fields) : plainLine(event, fields);
    log4cxx::Logger::getRootLogger()->log(toLibraryLevel(level(event)), message);
}

} // namespace Knapweedquay
