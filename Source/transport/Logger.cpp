#include "transport/Logger.h"

#include "transport/BoundedOutput.h"

#include <log4cxx/appenderskeleton.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <nlohmann/json.hpp>

#include <atomic>
#include <iostream>
#include <memory>

#include <unistd.h>

namespace Knapweedquay {

namespace {

std::atomic<LogLayout> activeLayout { LogLayout::Plain };
/// False until startLog() was called.
std::atomic<bool> isStarted { false };
std::string processName;
std::string nodeName;

/// Permitted range of the setting log.buffer_bytes.
constexpr std::uint64_t minimumBufferBytes = 4096;
constexpr std::uint64_t maximumBufferBytes = 64 * 1024 * 1024;

bool acceptAnyPath(std::string_view) { return true; }

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

std::string plainLine(LogEvent event, const LogField* begin, const LogField* end)
{
    std::string line = std::to_string(static_cast<unsigned>(event)) + " " + text(event);
    for (const LogField* field = begin; field != end; ++field)
        line += std::string(" ") + field->name + "=" + nlohmann::json(field->value).dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
    return line;
}

// The rest of a JSON object that the layout has begun with the time; log4cxx's own JSON layout does not support fields.
std::string jsonMembers(LogEvent event, const LogField* begin, const LogField* end)
{
    nlohmann::json object = { { "event", static_cast<unsigned>(event) }, { "level", toText(level(event)) }, { "text", text(event) }, { "process", processName } };
    if (!nodeName.empty())
        object["node"] = nodeName;
    for (const LogField* field = begin; field != end; ++field)
        object["fields"][field->name] = field->value;
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

// The line that reports a number of dropped lines.
std::string droppedLinesNotice(std::uint64_t dropped)
{
    const LogField field { "lines", std::to_string(dropped) };
    const bool isJson = activeLayout == LogLayout::Json;
    return (isJson ? "{" + jsonMembers(LogEvent::LogLinesDropped, &field, &field + 1) : plainLine(LogEvent::LogLinesDropped, &field, &field + 1)) + '\n';
}

/// Writes log lines to the standard output; null unless the log is written there.
std::unique_ptr<BoundedOutput> standardOutput;

/// Passes formatted lines to the BoundedOutput, so that a reader that stops reading never blocks the process.
class StandardOutputAppender : public log4cxx::AppenderSkeleton {
public:
    explicit StandardOutputAppender(const log4cxx::LayoutPtr& lineLayout)
    {
        setLayout(lineLayout);
    }
    void close() override { standardOutput->flush(); }
    bool requiresLayout() const override { return true; }

protected:
    void append(const log4cxx::spi::LoggingEventPtr& event, log4cxx::helpers::Pool& pool) override
    {
        log4cxx::LogString line;
        getLayout()->format(line, event, pool);
        standardOutput->write(line);
    }
};

log4cxx::AppenderPtr makeAppender(const LogSettings& settings)
{
    constexpr bool append = true;
    const log4cxx::LayoutPtr layout = makeLayout(settings);
    if (!settings.file.empty())
        return std::make_shared<log4cxx::FileAppender>(layout, settings.file, append);
    if (!standardOutput)
        standardOutput = std::make_unique<BoundedOutput>(STDOUT_FILENO, settings.bufferBytes, droppedLinesNotice);
    return std::make_shared<StandardOutputAppender>(layout);
}

void writeEvent(LogEvent event, const LogField* begin, const LogField* end)
{
    if (!isStarted) {
        std::cerr << plainLine(event, begin, end) << '\n';
        return;
    }
    const std::string message = activeLayout == LogLayout::Json ? jsonMembers(event, begin, end) : plainLine(event, begin, end);
    log4cxx::Logger::getRootLogger()->log(toLibraryLevel(level(event)), message);
}

} // namespace

LogSettings readLogSettings(TomlReader& reader)
{
    LogSettings settings;
    TomlReader section = reader.section("log");
    settings.layout = static_cast<LogLayout>(readChoice(section, "layout", { "plain", "json" }, static_cast<std::size_t>(settings.layout)));
    settings.level = static_cast<LogLevel>(readChoice(section, "level", { "debug", "info", "warning", "error" }, static_cast<std::size_t>(settings.level)));
    settings.file = section.text("file", settings.file, acceptAnyPath, "a path");
    settings.bufferBytes = section.integer("buffer_bytes", settings.bufferBytes, minimumBufferBytes, maximumBufferBytes);
    section.finish();
    return settings;
}

void startLog(const LogSettings& settings, const std::string& process)
{
    processName = process;
    nodeName = settings.node;
    activeLayout = settings.layout;
    const log4cxx::LoggerPtr root = log4cxx::Logger::getRootLogger();
    root->removeAllAppenders();
    root->addAppender(makeAppender(settings));
    root->setLevel(toLibraryLevel(settings.level));
    isStarted = true;
}

void log(LogEvent event, std::initializer_list<LogField> fields)
{
    writeEvent(event, fields.begin(), fields.end());
}

void log(LogEvent event, const std::vector<LogField>& fields)
{
    writeEvent(event, fields.data(), fields.data() + fields.size());
}

std::uint64_t droppedLogLines()
{
    return standardOutput ? standardOutput->droppedLines() : 0;
}

} // namespace Knapweedquay
