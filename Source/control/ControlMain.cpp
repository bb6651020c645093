#include "control/ControlDaemon.h"
#include "transport/DaemonMain.h"

using namespace Knapweedquay;

int main(int argc, char** argv)
{
    ControlSettings settings;
    const auto load = [&settings](const std::string& path, const std::vector<SettingOverride>& overrides) -> Result<LogSettings> {
        BOOST_OUTCOME_TRY(loaded, loadControlSettings(path, overrides));
        settings = loaded;
        return settings.log;
    };
    const auto run = [&settings]() -> Result<void> {
        log(LogEvent::Started, { { "folder", settings.folder }, { "http", toText(settings.http) }, { "links", toText(settings.links) } });
        ControlDaemon daemon(settings);
        return daemon.run();
    };
    return DaemonMain("knapweedquay-control", { load, run }).run(argc, argv);
}
