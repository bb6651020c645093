#include "node/NodeSettings.h"

namespace Knapweedquay {

namespace {

// In the order of ChoicePolicy.
const std::vector<std::string> policyNames { "predicted", "random", "round_robin", "least_reported_load" };

std::vector<std::string> readAddressTexts(TomlReader& reader, std::string_view key)
{
    return reader.texts(key, isSocketAddress, socketAddressExpectation);
}

void readListen(TomlReader listen, NodeSettings& settings)
{
    settings.calls = readAddress(listen, "calls", settings.calls);
    settings.admin = readAddress(listen, "admin", settings.admin);
    settings.peers = readAddress(listen, "peers", settings.peers);
    settings.gossip = readAddress(listen, "gossip", settings.gossip);
    listen.finish();
}

void read(TomlReader& reader, NodeSettings& settings)
{
    settings.node = NodeId(reader.requiredText("node", isPlainName, plainNameExpectation));
    settings.dataCentre = DataCentre(reader.requiredText("data_centre", isPlainName, plainNameExpectation));
    settings.deployment = reader.text("deployment", settings.deployment, isPlainName, plainNameExpectation);
    readListen(reader.section("listen"), settings);
    TomlReader advertise = reader.section("advertise");
    settings.advertisedPeers = readAddress(advertise, "peers", settings.advertisedPeers);
    advertise.finish();
    TomlReader control = reader.section("control");
    settings.controlReplicas = readAddressTexts(control, "replicas");
    control.finish();
    TomlReader membership = reader.section("membership");
    settings.seeds = readAddresses(membership, "seeds");
    membership.finish();
    TomlReader choice = reader.section("choice");
    settings.policy = static_cast<ChoicePolicy>(readChoice(choice, "policy", policyNames, static_cast<std::size_t>(settings.policy)));
    choice.finish();
    settings.log = readLogSettings(reader);
}

} // namespace

Result<NodeSettings> loadNodeSettings(const std::string& path, const std::vector<SettingOverride>& overrides)
{
    NodeSettings settings;
    BOOST_OUTCOME_TRYV(readSettingsFile(path, overrides, [&settings](TomlReader& reader) { read(reader, settings); }));
    return settings;
}

} // namespace Knapweedquay
