#pragma once

#include "protocol/Result.h"
#include "state/SettingsFile.h"
#include "transport/Logger.h"

#include <functional>
#include <string>
#include <vector>

namespace Knapweedquay {

/// Exit codes of the daemons: success, failure while starting or running, invalid command line or settings.
constexpr int exitOk = 0;
constexpr int exitFailed = 1;
constexpr int exitWrongUsage = 2;

/// The main function that both daemons share. It handles the options --config, --set, --check-config, --version and
/// --help, sets up the log and runs the daemon.
class DaemonMain {
public:
    /// The steps in which the daemons differ.
    struct Hooks {
        /// Reads and checks the settings, and returns those of the log.
        std::function<Result<LogSettings>(const std::string& path, const std::vector<SettingOverride>&)> load;
        /// Runs the daemon with the settings that load() has read, until the daemon stops.
        std::function<Result<void>()> run;
    };

    DaemonMain(std::string program, Hooks);

    /// Returns the exit code of the process.
    int run(int argc, const char* const* argv);

private:
    std::string m_program;
    Hooks m_hooks;
};

} // namespace Knapweedquay
