#include "transport/DaemonMain.h"

#include <boost/program_options.hpp>

#include <malloc.h>

#include <iostream>
#include <utility>

namespace Knapweedquay {

namespace {

namespace Options = boost::program_options;

Options::options_description describeOptions(const std::string& program)
{
    Options::options_description description(program + " options");
    description.add_options()("help", "print this text and exit");
    description.add_options()("version", "print the version and exit");
    description.add_options()("config", Options::value<std::string>(), "settings file (TOML)");
    description.add_options()("set", Options::value<std::vector<std::string>>()->composing(), "key=value, such as log.level=debug; overrides the setting in the file; may be repeated");
    description.add_options()("check-config", "check the settings and exit");
    return description;
}

Result<std::vector<SettingOverride>> readOverrides(const Options::variables_map& values)
{
    std::vector<SettingOverride> overrides;
    if (values.count("set") == 0)
        return overrides;
    for (const std::string& text : values["set"].as<std::vector<std::string>>()) {
        BOOST_OUTCOME_TRY(setting, parseSettingOverride(text));
        overrides.push_back(setting);
    }
    return overrides;
}

} // namespace

DaemonMain::DaemonMain(std::string program, Hooks hooks)
    : m_program(std::move(program))
    , m_hooks(std::move(hooks))
{
}

int DaemonMain::run(int argc, const char* const* argv)
{
    // Otherwise the allocator keeps the memory of large bodies once some were freed.
    constexpr int largestKeptBlock = 256 * 1024;
    mallopt(M_MMAP_THRESHOLD, largestKeptBlock);
    const Options::options_description description = describeOptions(m_program);
    Options::variables_map values;
    try {
        Options::store(Options::parse_command_line(argc, argv, description), values);
    } catch (const Options::error& error) {
        std::cerr << m_program << ": " << error.what() << '\n'
                  << description;
        return exitWrongUsage;
    }
    if (values.count("help") > 0) {
        std::cout << description;
        return exitOk;
    }
    if (values.count("version") > 0) {
        std::cout << m_program << ' ' << KNAPWEEDQUAY_VERSION << '\n';
        return exitOk;
    }
    if (values.count("config") == 0) {
        std::cerr << m_program << ": --config is required\n"
                  << description;
        return exitWrongUsage;
    }
    const auto overrides = readOverrides(values);
    if (overrides.has_error()) {
        std::cerr << overrides.error().detail << '\n';
        return exitWrongUsage;
    }
    const auto logSettings = m_hooks.load(values["config"].as<std::string>(), overrides.value());
    if (logSettings.has_error()) {
        std::cerr << logSettings.error().detail << '\n';
        log(LogEvent::SettingsRefused, { { "code", std::to_string(static_cast<int>(logSettings.error().code)) } });
        return exitWrongUsage;
    }
    if (values.count("check-config") > 0)
        return exitOk;
    startLog(logSettings.value(), m_program);
    const auto result = m_hooks.run();
    if (result.has_error()) {
        log(LogEvent::StartFailed, { { "code", std::to_string(static_cast<int>(result.error().code)) }, { "detail", result.error().detail } });
        return exitFailed;
    }
    log(LogEvent::Stopped);
    return exitOk;
}

} // namespace Knapweedquay
