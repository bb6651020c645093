#pragma once

#include "protocol/Result.h"
#include "state/SettingsFile.h"
#include "transport/Logger.h"

#include <functional>
#include <string>
#include <vector>

namespace Knapweedquay {

/// Exit codes of the daemons.
constexpr int exitOk = 0;
constexpr int exitFailed = 1;
constexpr int exitWrongUsage = 2;

/// The command line that both daemons share: --config, --set, --check-config, --version and --help.
class DaemonMain {
public:
    struct Hooks {
        /// Reads and checks the settings, and gives those of the log.
        std::function<Result<LogSettings>(const std::string& path, const std::vector<SettingOverride>&)> load;
        /// Runs the daemon with the settings that were read.
        std::function<Result<void>()> run;
    };

    DaemonMain(std::string program, Hooks);

    /// The exit code of the process.
    int run(int argc, const char* const* argv);

private:
    std::string m_program;
    Hooks m_hooks;
};

} // namespace Knapweedquay
