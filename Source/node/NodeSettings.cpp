#include "node/NodeSettings.h"

#include <algorithm>
#include <chrono>

namespace Knapweedquay {

namespace {

/// Names of the values of ChoicePolicy, in the same order.
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

constexpr std::uint64_t maximumCandidates = 1000;
constexpr double maximumPenalty = 10;
constexpr double maximumRetryBurst = 1e6;

bool isHeaderName(std::string_view text)
{
    const auto isPlain = [](char letter) { return letter > ' ' && letter < '\x7f' && letter != ':'; };
    return !text.empty() && text.size() <= 64 && std::all_of(text.begin(), text.end(), isPlain);
}

void readHeaders(TomlReader headers, CallHeaders& names)
{
    constexpr std::string_view expectation = "the name of an HTTP header";
    names.requestId = headers.text("request_id", names.requestId, isHeaderName, expectation);
    names.deadline = headers.text("deadline", names.deadline, isHeaderName, expectation);
    names.expectedInstance = headers.text("expected_instance", names.expectedInstance, isHeaderName, expectation);
    names.callerService = headers.text("caller_service", names.callerService, isHeaderName, expectation);
    names.workspace = headers.text("workspace", names.workspace, isHeaderName, expectation);
    names.notRun = headers.text("not_run", names.notRun, isHeaderName, expectation);
    names.load = headers.text("load", names.load, isHeaderName, expectation);
    names.requestLimit = headers.text("request_limit", names.requestLimit, isHeaderName, expectation);
    names.leaving = headers.text("leaving", names.leaving, isHeaderName, expectation);
    names.cold = headers.text("cold", names.cold, isHeaderName, expectation);
    names.isRequestIdAlwaysRepeated = headers.boolean("request_id_repeated", names.isRequestIdAlwaysRepeated);
    names.sendsNodeHeaders = headers.boolean("send_levels", names.sendsNodeHeaders);
    names.hasFractionalRetryAfter = headers.boolean("fractional_retry_after", names.hasFractionalRetryAfter);
    headers.finish();
}

void readRouting(TomlReader routing, NodeSettings& settings)
{
    if (routing.boolean("required", settings.callInterface == CallInterface::RoutesOnly))
        settings.callInterface = CallInterface::RoutesOnly;
    routing.finish();
}

void readWorkspaces(TomlReader workspaces, NodeSettings& settings)
{
    constexpr Duration maximumRevocationTime = std::chrono::hours(1);
    if (workspaces.has("key_revocation_ms"))
        settings.keyRevocationTime = workspaces.milliseconds("key_revocation_ms", Duration::zero(), std::chrono::milliseconds(1), maximumRevocationTime);
    workspaces.finish();
}

void readTraces(TomlReader traces, NodeSettings& settings)
{
    constexpr std::uint64_t maximumRate = 1000000;
    settings.traces.linesPerSecond = static_cast<std::uint32_t>(traces.integer("lines_per_second", settings.traces.linesPerSecond, 0, maximumRate));
    settings.traces.sampleOneIn = static_cast<std::uint32_t>(traces.integer("sample_one_in", settings.traces.sampleOneIn, 0, maximumRate));
    traces.finish();
}

void readStop(TomlReader stop, NodeSettings& settings)
{
    constexpr Duration maximumStopDuration = std::chrono::minutes(10);
    settings.stopNotice = stop.milliseconds("notice_ms", settings.stopNotice, Duration::zero(), maximumStopDuration);
    settings.maximumStopTime = stop.milliseconds("maximum_ms", settings.maximumStopTime, Duration::zero(), maximumStopDuration);
    stop.finish();
}

void readMemory(TomlReader memory, NodeSettings& settings)
{
    constexpr std::uint64_t bytesPerMegabyte = 1024 * 1024;
    constexpr std::uint64_t minimumMegabytes = 64;
    constexpr std::uint64_t maximumMegabytes = 1024 * 1024;
    settings.memoryBytes = memory.integer("maximum_mb", settings.memoryBytes / bytesPerMegabyte, minimumMegabytes, maximumMegabytes) * bytesPerMegabyte;
    memory.finish();
}

void readDescriptors(TomlReader descriptors, NodeSettings& settings)
{
    constexpr std::uint64_t minimum = 256;
    constexpr std::uint64_t maximum = 1024 * 1024;
    settings.descriptors = descriptors.integer("maximum", settings.descriptors, minimum, maximum);
    descriptors.finish();
}

void readBackend(TomlReader backend, NodeSettings& settings)
{
    constexpr Duration maximumInterval = std::chrono::minutes(10);
    constexpr Duration minimumLoadInterval = std::chrono::milliseconds(5);
    constexpr Duration minimumAnnouncementTimeout = std::chrono::milliseconds(100);
    settings.callerService = ServiceName(backend.text("service", settings.callerService.value(), isPlainName, plainNameExpectation));
    settings.backendLoadInterval = backend.milliseconds("load_interval_ms", settings.backendLoadInterval, minimumLoadInterval, maximumInterval);
    settings.announcementTimeout = backend.milliseconds("announcement_timeout_ms", settings.announcementTimeout, minimumAnnouncementTimeout, maximumInterval);
    backend.finish();
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
    settings.discoversReplicas = control.boolean("discover", settings.discoversReplicas);
    control.finish();
    TomlReader membership = reader.section("membership");
    settings.seeds = readAddresses(membership, "seeds");
    membership.finish();
    TomlReader choice = reader.section("choice");
    settings.choice.policy = static_cast<ChoicePolicy>(readChoice(choice, "policy", policyNames, static_cast<std::size_t>(settings.choice.policy)));
    settings.choice.candidates = choice.integer("candidates", settings.choice.candidates, 1, maximumCandidates);
    settings.choice.subset = choice.integer("subset", settings.choice.subset, 0, maximumCandidates);
    settings.choice.remotePenalty = choice.real("remote_penalty", settings.choice.remotePenalty, 0, maximumPenalty);
    choice.finish();
    TomlReader retries = reader.section("retries");
    settings.fleetRetryBurst = retries.real("fleet_burst", settings.fleetRetryBurst, 0, maximumRetryBurst);
    retries.finish();
    readRouting(reader.section("routing"), settings);
    readWorkspaces(reader.section("workspaces"), settings);
    readHeaders(reader.section("headers"), settings.headers);
    readBackend(reader.section("backend"), settings);
    readTraces(reader.section("trails"), settings);
    readStop(reader.section("stop"), settings);
    readMemory(reader.section("memory"), settings);
    readDescriptors(reader.section("descriptors"), settings);
    settings.log = readLogSettings(reader);
    settings.log.node = settings.node.value();
}

} // namespace

Result<NodeSettings> loadNodeSettings(const std::string& path, const std::vector<SettingOverride>& overrides)
{
    NodeSettings settings;
    BOOST_OUTCOME_TRYV(readSettingsFile(path, overrides, [&settings](TomlReader& reader) { read(reader, settings); }));
    return settings;
}

} // namespace Knapweedquay
