#include "node/NodeSettings.h"

#include <toml++/toml.h>

namespace Knapweedquay {

namespace {

Result<void> readAddress(const toml::table& table, std::string_view key, SocketAddress& address)
{
    const auto text = table["listen"][key].value<std::string>();
    if (!text)
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    BOOST_OUTCOME_TRY(parsed, parseSocketAddress(*text));
    address = parsed;
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

Result<ChoicePolicy> readPolicy(const toml::table& table)
{
    const std::string name = table["choice"]["policy"].value_or(std::string("predicted"));
    if (name == "predicted")
        return ChoicePolicy::Predicted;
    if (name == "random")
        return ChoicePolicy::Random;
    if (name == "round_robin")
        return ChoicePolicy::RoundRobin;
    if (name == "least_reported_load")
        return ChoicePolicy::LeastReportedLoad;
    return Error { ResultCode::InvalidSettings, "choice.policy: expected predicted, random, round_robin or least_reported_load" };
}

} // namespace

Result<NodeSettings> loadNodeSettings(const std::string& path)
{
    toml::table table;
    try {
        table = toml::parse_file(path);
    } catch (const toml::parse_error& error) {
        return Error { ResultCode::InvalidSettings, path + ": " + std::string(error.description()) };
    }
    NodeSettings settings;
    settings.node = NodeId(table["node"].value_or(std::string()));
    settings.dataCentre = DataCentre(table["data_centre"].value_or(std::string()));
    settings.deployment = table["deployment"].value_or(settings.deployment);
    BOOST_OUTCOME_TRYV(readAddress(table, "calls", settings.calls));
    BOOST_OUTCOME_TRYV(readAddress(table, "admin", settings.admin));
    BOOST_OUTCOME_TRYV(readAddress(table, "peers", settings.peers));
    BOOST_OUTCOME_TRYV(readAddress(table, "gossip", settings.gossip));
    BOOST_OUTCOME_TRY(policy, readPolicy(table));
    settings.policy = policy;
    if (const toml::array* replicas = table["control"]["replicas"].as_array()) {
        for (const auto& replica : *replicas)
            settings.controlReplicas.push_back(replica.value_or(std::string()));
    }
    if (const toml::array* seeds = table["membership"]["seeds"].as_array()) {
        for (const auto& seed : *seeds) {
            BOOST_OUTCOME_TRY(address, parseSocketAddress(seed.value_or(std::string())));
            settings.seeds.push_back(address);
        }
    }
    if (settings.node.value().empty() || settings.dataCentre.value().empty())
        return Error { ResultCode::InvalidSettings, path + ": node and data_centre are needed" };
    return settings;
}

} // namespace Knapweedquay
