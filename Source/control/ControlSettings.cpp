#include "control/ControlSettings.h"

#include <toml++/toml.h>

namespace Knapweedquay {

Result<ControlSettings> loadControlSettings(const std::string& path)
{
    toml::table table;
    try {
        table = toml::parse_file(path);
    } catch (const toml::parse_error& error) {
        return Error { ResultCode::InvalidSettings, path + ": " + std::string(error.description()) };
    }
    ControlSettings settings;
    settings.folder = table["folder"].value_or(std::string());
    settings.bootstrap = table["store"]["bootstrap"].value_or(false);
    settings.minimumVoters = table["store"]["minimum_voters"].value_or(settings.minimumVoters);
    BOOST_OUTCOME_TRY(http, parseSocketAddress(table["listen"]["http"].value_or(std::string())));
    settings.http = http;
    BOOST_OUTCOME_TRY(links, parseSocketAddress(table["listen"]["links"].value_or(std::string())));
    settings.links = links;
    if (const toml::array* peers = table["store"]["peers"].as_array()) {
        for (const auto& peer : *peers)
            settings.peers.push_back(peer.value_or(std::string()));
    }
    if (const toml::table* credentials = table["credentials"].as_table()) {
        for (const auto& [team, secret] : *credentials)
            settings.credentials.emplace(team.str(), secret.value_or(std::string()));
    }
    if (settings.folder.empty())
        return Error { ResultCode::InvalidSettings, path + ": folder is needed" };
    return settings;
}

} // namespace Knapweedquay
