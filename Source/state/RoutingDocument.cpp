#include "state/RoutingDocument.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>

namespace Knapweedquay {

namespace {

constexpr Duration longestTimeout = std::chrono::minutes(10);
constexpr std::size_t maximumRules = 20000;
constexpr std::size_t maximumServices = 1024;
constexpr std::size_t maximumRanks = 32;
constexpr std::size_t maximumWorkspaces = 16384;
constexpr std::size_t maximumKeys = 65536;
/// The name of a workspace is sent in a header.
constexpr std::size_t longestWorkspaceNameBytes = 255;
/// Minimum share of the capacity that each priority except the most urgent keeps under load from more urgent ones.
constexpr double reservedShare = 0.05;
/// Retries and hedges of one node per call. Together they use nine tenths of what a service accepts from all its callers; the
/// calls that a repeated run makes are taken from the same budget.
constexpr double retryShare = 0.06;
constexpr double hedgeShare = 0.12;
/// Probes provide a node with the load of endpoints that it does not currently call.
constexpr double probesPerCall = 0.5;
constexpr double probeBytesPerSecond = 4096;

Error invalidDocument(const std::string& reason)
{
    return { ResultCode::InvalidDocument, reason };
}

Result<void> checkRule(const RoutingRule& rule, const std::set<ServiceName>& services)
{
    const std::string where = "route " + rule.host + rule.pathPrefix + ": ";
    if (rule.host.empty() || rule.pathPrefix.empty() || rule.pathPrefix.front() != '/' || rule.pathPrefix.back() != '/')
        return invalidDocument(where + "needs a host, and a prefix that begins and ends with a slash");
    if (rule.timeout <= Duration::zero() || rule.timeout > longestTimeout)
        return invalidDocument(where + "the timeout must be more than 0 and at most ten minutes");
    if (rule.target <= Duration::zero())
        return invalidDocument(where + "the target must be more than 0");
    if (rule.maximumAttempts == 0)
        return invalidDocument(where + "at least one attempt is needed");
    std::uint64_t weights = 0;
    for (const RouteTarget& target : rule.targets) {
        if (services.count(target.service) == 0)
            return invalidDocument(where + "unknown service '" + target.service.value() + "'");
        weights += target.weight;
    }
    if (weights == 0)
        return invalidDocument(where + "no service with a weight");
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

bool isAmount(double value)
{
    return std::isfinite(value) && value >= 0;
}

Result<void> checkService(const RoutedService& service)
{
    if (service.coldTime < Duration::zero() || (service.coldRate && !isAmount(service.coldRate->value())))
        return invalidDocument("service " + service.name.value() + ": the time and the rate of cold backend servers must be 0 or more");
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

/// True for a text that can be the value of a header and arrives there unchanged.
bool isWorkspaceName(const std::string& name)
{
    constexpr char firstPrintable = 0x20;
    constexpr char deleteCharacter = 0x7f;
    if (name.empty() || name.size() > longestWorkspaceNameBytes || name.front() == ' ' || name.back() == ' ')
        return false;
    return std::none_of(name.begin(), name.end(), [](char letter) { return (letter >= 0 && letter < firstPrintable) || letter == deleteCharacter; });
}

// The problems name workspaces, never a key or its digest.
Result<void> checkWorkspaces(const std::vector<Workspace>& workspaces)
{
    if (workspaces.size() > maximumWorkspaces)
        return invalidDocument("more than " + std::to_string(maximumWorkspaces) + " workspaces");
    const KeyDigest emptyKey = digestOfKey({});
    std::set<WorkspaceName> names;
    std::unordered_map<KeyDigest, const Workspace*> holders;
    for (const Workspace& workspace : workspaces) {
        const std::string where = "workspace '" + workspace.name.value() + "': ";
        if (!isWorkspaceName(workspace.name.value()))
            return invalidDocument("a workspace needs a name of 1 to " + std::to_string(longestWorkspaceNameBytes) + " bytes without control characters, and without blanks at its ends");
        if (!names.insert(workspace.name).second)
            return invalidDocument("two workspaces with the name '" + workspace.name.value() + "'");
        if (!isAmount(workspace.quota.requestsPerSecond) || !isAmount(workspace.quota.burst))
            return invalidDocument(where + "its rate and its burst must be 0 or more");
        for (const KeyDigest& key : workspace.keys) {
            if (key == emptyKey)
                return invalidDocument(where + "a key is empty");
            const auto [holder, isNew] = holders.emplace(key, &workspace);
            if (!isNew && holder->second == &workspace)
                return invalidDocument(where + "it has one key twice");
            if (!isNew)
                return invalidDocument(where + "it shares a key with workspace '" + holder->second->name.value() + "'");
        }
        if (holders.size() > maximumKeys)
            return invalidDocument("more than " + std::to_string(maximumKeys) + " keys of workspaces");
    }
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

} // namespace

std::vector<Rank> ranksOf(const RoutingDocument& routing)
{
    std::set<Rank> ranks;
    for (const RoutingRule& rule : routing.rules)
        ranks.insert(rule.rank);
    for (const Workspace& workspace : routing.workspaces) {
        if (workspace.rank)
            ranks.insert(*workspace.rank);
    }
    return { ranks.begin(), ranks.end() };
}

Result<void> checkRouting(const RoutingDocument& routing)
{
    if (routing.version == 0)
        return invalidDocument("the version must be more than 0");
    if (routing.rules.size() > maximumRules || routing.services.size() > maximumServices)
        return invalidDocument("more than " + std::to_string(maximumRules) + " routes or " + std::to_string(maximumServices) + " services");
    std::set<ServiceName> services;
    for (const RoutedService& service : routing.services) {
        if (service.name.value().empty() || !services.insert(service.name).second)
            return invalidDocument("a service without a name, or two with the name '" + service.name.value() + "'");
        BOOST_OUTCOME_TRYV(checkService(service));
    }
    std::set<std::pair<std::string_view, std::string_view>> seenPrefixes;
    for (const RoutingRule& rule : routing.rules) {
        BOOST_OUTCOME_TRYV(checkRule(rule, services));
        if (!seenPrefixes.emplace(rule.host, rule.pathPrefix).second)
            return invalidDocument("two routes for " + rule.host + rule.pathPrefix);
    }
    BOOST_OUTCOME_TRYV(checkWorkspaces(routing.workspaces));
    if (ranksOf(routing).size() > maximumRanks)
        return invalidDocument("more than " + std::to_string(maximumRanks) + " priorities");
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

std::string normalizedHost(std::string_view host)
{
    const std::size_t addressEnd = host.substr(0, 1) == "[" ? host.find(']') : std::string_view::npos;
    const std::size_t portSeparator = host.find(':', addressEnd == std::string_view::npos ? 0 : addressEnd);
    std::string normalized(host.substr(0, portSeparator));
    std::transform(normalized.begin(), normalized.end(), normalized.begin(), [](char letter) {
        return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
    });
    return normalized;
}

Result<void> checkHosts(const RoutingDocument& routing)
{
    std::map<std::pair<std::string, std::string_view>, const RoutingRule*> seen;
    for (const RoutingRule& rule : routing.rules) {
        const std::string host = normalizedHost(rule.host);
        if (host.empty())
            return invalidDocument("route " + rule.host + rule.pathPrefix + ": needs a host");
        const auto [other, isNew] = seen.emplace(std::make_pair(host, std::string_view(rule.pathPrefix)), &rule);
        if (!isNew)
            return invalidDocument("routes " + other->second->host + rule.pathPrefix + " and " + rule.host + rule.pathPrefix + " are one: ports of hosts and capitals don't count");
    }
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

PriorityIndex priorityOfRank(const RoutingDocument& routing, const std::vector<Rank>& ranks, Rank rank)
{
    const auto position = std::lower_bound(ranks.begin(), ranks.end(), rank);
    const std::uint32_t first = routing.workspaces.empty() ? 0 : runPriorityIndex + 1;
    return PriorityIndex(first + static_cast<std::uint32_t>(position - ranks.begin()));
}

ServiceDocument documentFromRoutes(const RoutingDocument& routing, const ServiceName& service)
{
    // Shortest target and longest timeout of routes to the service.
    struct Times {
        Duration target = Duration::max();
        Duration timeout { 0 };

        void add(const RoutingRule& rule)
        {
            target = std::min(target, rule.target);
            timeout = std::max(timeout, rule.timeout);
        }
    };
    std::map<Rank, Times> timesOfRanks;
    Times timesOfAllRoutes;
    ServiceDocument document;
    document.service = service;
    for (const RoutingRule& rule : routing.rules) {
        Times& times = timesOfRanks[rule.rank];
        const bool leadsToService = std::any_of(rule.targets.begin(), rule.targets.end(), [&service](const RouteTarget& target) { return target.service == service; });
        if (!leadsToService)
            continue;
        times.add(rule);
        timesOfAllRoutes.add(rule);
    }
    // Calls of a workspace with a rank of its own may come by any route.
    for (const Workspace& workspace : routing.workspaces) {
        if (workspace.rank)
            timesOfRanks[*workspace.rank] = timesOfAllRoutes;
    }
    if (!routing.workspaces.empty()) {
        Priority runs;
        runs.name = "runs";
        // They are short, and wait for the next slot only.
        runs.reservesSlots = false;
        if (timesOfAllRoutes.timeout > Duration::zero()) {
            runs.target = timesOfAllRoutes.timeout;
            runs.maximumQueueTime = timesOfAllRoutes.timeout;
        }
        document.priorities.push_back(runs);
    }
    const std::size_t firstRank = document.priorities.size();
    for (const auto& [rank, times] : timesOfRanks) {
        Priority priority;
        priority.name = "rank-" + std::to_string(rank.value());
        if (times.timeout > Duration::zero()) {
            priority.target = times.target;
            priority.maximumQueueTime = times.timeout;
        }
        priority.minimumShare = document.priorities.size() == firstRank ? 0 : reservedShare;
        document.priorities.push_back(priority);
    }
    document.defaultDeadline = longestTimeout;
    document.maximumDeadline = longestTimeout;
    document.maximumBodyBytes = routing.limits.bodyBytes;
    document.measurement.probesPerCall = probesPerCall;
    document.measurement.bytesPerSecond = probeBytesPerSecond;
    document.retries.retryShare = retryShare;
    document.retries.hedgeShare = hedgeShare;
    return document;
}

} // namespace Knapweedquay
