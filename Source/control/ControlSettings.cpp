#include "control/ControlSettings.h"

namespace Knapweedquay {

namespace {

// Largest number of instances that a deployment may reserve for control replicas.
constexpr std::uint64_t largestReplicaCount = 8;

bool isPath(std::string_view text) { return !text.empty(); }
bool isSecret(std::string_view text)
{
    constexpr std::size_t longestSecret = 256;
    return !text.empty() && text.size() <= longestSecret;
}

void readStore(TomlReader store, ControlSettings& settings)
{
    settings.bootstrap = store.boolean("bootstrap", settings.bootstrap);
    settings.minimumVoters = store.integer("minimum_voters", settings.minimumVoters, 1, largestReplicaCount);
    settings.peers = store.texts("peers", isSocketAddress, socketAddressExpectation);
    settings.founders = store.texts("founders", isSocketAddress, socketAddressExpectation);
    settings.targetVoters = store.integer("voters", settings.targetVoters, 0, largestReplicaCount);
    store.finish();
}

void readMembership(TomlReader membership, ControlSettings& settings)
{
    settings.node = NodeId(membership.text("node", settings.node.value(), isPlainName, plainNameExpectation));
    settings.dataCentre = DataCentre(membership.text("data_centre", settings.dataCentre.value(), isPlainName, plainNameExpectation));
    settings.deployment = membership.text("deployment", settings.deployment, isPlainName, plainNameExpectation);
    settings.gossip = readAddress(membership, "gossip", settings.gossip);
    settings.seeds = readAddresses(membership, "seeds");
    for (std::string& name : membership.texts("data_centres", isPlainName, plainNameExpectation))
        settings.dataCentres.emplace_back(std::move(name));
    membership.finish();
    if (!settings.gossip.isEmpty() && settings.node.value().empty())
        membership.problem("node", "expected a name, since there is a gossip address");
}

void readCredentials(TomlReader credentials, ControlSettings& settings)
{
    for (const std::string& team : credentials.keys())
        settings.credentials[team] = credentials.text(team, {}, isSecret, "a secret of 1 to 256 bytes");
}

void readStop(TomlReader stop, ControlSettings& settings)
{
    constexpr Duration longestStop = std::chrono::minutes(10);
    settings.maximumStopTime = stop.milliseconds("maximum_ms", settings.maximumStopTime, Duration::zero(), longestStop);
    stop.finish();
}

void read(TomlReader& reader, ControlSettings& settings)
{
    settings.folder = reader.requiredText("folder", isPath, "the path of the data folder");
    TomlReader listen = reader.section("listen");
    settings.http = readAddress(listen, "http", settings.http);
    settings.links = readAddress(listen, "links", settings.links);
    listen.finish();
    readStore(reader.section("store"), settings);
    readMembership(reader.section("membership"), settings);
    readCredentials(reader.section("credentials"), settings);
    readStop(reader.section("stop"), settings);
    settings.log = readLogSettings(reader);
}

} // namespace

Result<ControlSettings> loadControlSettings(const std::string& path, const std::vector<SettingOverride>& overrides)
{
    ControlSettings settings;
    BOOST_OUTCOME_TRYV(readSettingsFile(path, overrides, [&settings](TomlReader& reader) { read(reader, settings); }));
    return settings;
}

} // namespace Knapweedquay
