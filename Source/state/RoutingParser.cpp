#include "state/RoutingParser.h"

#include "state/SettingsFile.h"
#include "state/TomlReader.h"

#include <chrono>
#include <limits>

namespace Knapweedquay {

namespace {

constexpr std::size_t maximumRoutingBytes = 786432;
constexpr std::size_t maximumRoutes = 20000;
constexpr std::size_t maximumServices = 1024;
constexpr std::size_t maximumTargets = 64;
constexpr std::size_t maximumWorkspaces = 16384;
constexpr std::size_t longestTextBytes = 1024;
constexpr std::uint64_t largestHeaderBytes = 1024 * 1024;
constexpr std::uint64_t largestBodyBytes = 256 * 1024 * 1024;
constexpr std::uint64_t largestConnections = 1000000;
constexpr std::uint64_t largestWeight = 1000000;
constexpr std::uint64_t largestRank = 1000;
constexpr std::uint64_t largestAttempts = 10;
constexpr double largestQuota = 1e9;
constexpr Duration shortestTime = std::chrono::milliseconds(1);
constexpr Duration longestTime = std::chrono::minutes(10);

bool isTextWithoutBlanks(std::string_view text)
{
    return !text.empty() && text.size() <= longestTextBytes && text.find_first_of(" \t\r\n") == std::string_view::npos;
}
constexpr std::string_view textWithoutBlanksExpectation = "a text of 1 to 1024 bytes without blanks";

std::uint32_t readNumber(TomlReader& reader, std::string_view key, std::uint32_t fallback, std::uint64_t minimum, std::uint64_t maximum)
{
    return static_cast<std::uint32_t>(reader.integer(key, fallback, minimum, maximum));
}

void readLimits(TomlReader limits, CallerLimits& values)
{
    values.headerBytes = limits.integer("header_bytes", values.headerBytes, 1, largestHeaderBytes);
    values.bodyBytes = limits.integer("body_bytes", values.bodyBytes, 1, largestBodyBytes);
    values.headerTimeout = limits.milliseconds("header_timeout_ms", values.headerTimeout, shortestTime, longestTime);
    values.idleTimeout = limits.milliseconds("idle_timeout_ms", values.idleTimeout, shortestTime, longestTime);
    limits.finish();
}

RoutedService readService(TomlReader& section)
{
    RoutedService service;
    service.name = ServiceName(section.requiredText("name", isPlainName, plainNameExpectation));
    service.maximumConnections = readNumber(section, "maximum_connections", service.maximumConnections, 0, largestConnections);
    service.healthPath = section.text("health_path", service.healthPath, isTextWithoutBlanks, textWithoutBlanksExpectation);
    service.coldTime = section.milliseconds("cold_time_ms", service.coldTime, Duration(0), longestTime);
    const double coldRate = section.real("cold_requests_per_second", 0, 0, unlimitedRequestsPerSecond);
    if (coldRate > 0)
        service.coldRate = RequestRate(coldRate);
    section.finish();
    return service;
}

Workspace readWorkspace(TomlReader& section)
{
    Workspace workspace;
    workspace.name = WorkspaceName(section.requiredText("name", isTextWithoutBlanks, textWithoutBlanksExpectation));
    for (const std::string& key : section.texts("keys", isTextWithoutBlanks, textWithoutBlanksExpectation, TomlReader::Quoting::Never))
        workspace.keys.push_back(digestOfKey(key));
    if (section.has("rank"))
        workspace.rank = Rank(readNumber(section, "rank", 0, 0, largestRank));
    workspace.quota.requestsPerSecond = section.real("requests_per_second", 0, 0, largestQuota);
    workspace.quota.burst = section.real("burst", 0, 0, largestQuota);
    section.finish();
    return workspace;
}

RoutingRule readRule(TomlReader& section)
{
    RoutingRule rule;
    rule.name = section.text("name", rule.name, isTextWithoutBlanks, textWithoutBlanksExpectation);
    rule.host = section.requiredText("host", isTextWithoutBlanks, textWithoutBlanksExpectation);
    rule.pathPrefix = section.requiredText("path", isTextWithoutBlanks, textWithoutBlanksExpectation);
    rule.isIdempotent = section.boolean("idempotent", rule.isIdempotent);
    rule.timeout = section.milliseconds("timeout_ms", rule.timeout, shortestTime, longestTime);
    rule.target = section.milliseconds("target_ms", rule.target, shortestTime, longestTime);
    rule.rank = Rank(readNumber(section, "rank", 0, 0, largestRank));
    rule.maximumAttempts = readNumber(section, "maximum_attempts", rule.maximumAttempts, 1, largestAttempts);
    rule.allowsAnonymous = section.boolean("allow_anonymous", rule.allowsAnonymous);
    for (TomlReader& targetSection : section.sections("targets", 1, maximumTargets)) {
        RouteTarget target;
        target.service = ServiceName(targetSection.requiredText("service", isPlainName, plainNameExpectation));
        target.weight = readNumber(targetSection, "weight", target.weight, 0, largestWeight);
        targetSection.finish();
        rule.targets.push_back(target);
    }
    section.finish();
    return rule;
}

} // namespace

Result<RoutingDocument> parseRoutingToml(std::string_view text)
{
    std::vector<ConfigurationProblem> problems;
    RoutingDocument routing;
    if (const auto table = parseToml(text, problems, maximumRoutingBytes)) {
        TomlReader reader(*table, {}, problems);
        routing.version = reader.integer("version", 0, 1, std::numeric_limits<std::int64_t>::max());
        readLimits(reader.section("limits"), routing.limits);
        for (TomlReader& section : reader.sections("services", 1, maximumServices))
            routing.services.push_back(readService(section));
        for (TomlReader& section : reader.sections("routes", 0, maximumRoutes))
            routing.rules.push_back(readRule(section));
        routing.listsWorkspaces = reader.has("workspaces");
        for (TomlReader& section : reader.sections("workspaces", 0, maximumWorkspaces))
            routing.workspaces.push_back(readWorkspace(section));
        reader.finish();
    }
    if (!problems.empty())
        return Error { ResultCode::InvalidDocument, toText(problems, {}) };
    BOOST_OUTCOME_TRYV(checkRouting(routing));
    return routing;
}

} // namespace Knapweedquay
