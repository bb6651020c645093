#include "node/NodeDaemon.h"
#include "transport/DaemonMain.h"

using namespace Knapweedquay;

int main(int argc, char** argv)
{
    NodeSettings settings;
    const auto load = [&settings](const std::string& path, const std::vector<SettingOverride>& overrides) -> Result<LogSettings> {
        BOOST_OUTCOME_TRY(loaded, loadNodeSettings(path, overrides));
        settings = loaded;
        return settings.log;
    };
    const auto run = [&settings]() -> Result<void> {
        log(LogEvent::Started, { { "node", settings.node.value() }, { "data_centre", settings.dataCentre.value() }, { "calls", toText(settings.calls) } });
        NodeDaemon daemon(settings);
        return daemon.run();
    };
    return DaemonMain("knapweedquay-node", { load, run }).run(argc, argv);
}
