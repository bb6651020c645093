#include "state/RoutingDocument.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <set>
#include <utility>

namespace Knapweedquay {

namespace {

constexpr Duration longestTimeout = std::chrono::minutes(10);
constexpr std::size_t maximumRules = 20000;
constexpr std::size_t maximumServices = 1024;
constexpr std::size_t maximumRanks = 32;
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

} // namespace

std::vector<Rank> ranksOf(const RoutingDocument& routing)
{
    std::set<Rank> ranks;
    for (const RoutingRule& rule : routing.rules)
        ranks.insert(rule.rank);
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
    }
    std::set<std::pair<std::string_view, std::string_view>> seenPrefixes;
    for (const RoutingRule& rule : routing.rules) {
        BOOST_OUTCOME_TRYV(checkRule(rule, services));
        if (!seenPrefixes.emplace(rule.host, rule.pathPrefix).second)
            return invalidDocument("two routes for " + rule.host + rule.pathPrefix);
    }
    if (ranksOf(routing).size() > maximumRanks)
        return invalidDocument("more than " + std::to_string(maximumRanks) + " priorities");
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

PriorityIndex priorityOfRank(const std::vector<Rank>& ranks, Rank rank)
{
    const auto position = std::lower_bound(ranks.begin(), ranks.end(), rank);
    return PriorityIndex(static_cast<std::uint32_t>(position - ranks.begin()));
}

ServiceDocument documentFromRoutes(const RoutingDocument& routing, const ServiceName& service)
{
    // Shortest target and longest timeout of the routes of one rank to the service.
    struct Times {
        Duration target = Duration::max();
        Duration timeout { 0 };
    };
    std::map<Rank, Times> timesOfRanks;
    ServiceDocument document;
    document.service = service;
    for (const RoutingRule& rule : routing.rules) {
        Times& times = timesOfRanks[rule.rank];
        const bool leadsToService = std::any_of(rule.targets.begin(), rule.targets.end(), [&service](const RouteTarget& target) { return target.service == service; });
        if (!leadsToService)
            continue;
        times.target = std::min(times.target, rule.target);
        times.timeout = std::max(times.timeout, rule.timeout);
    }
    for (const auto& [rank, times] : timesOfRanks) {
        Priority priority;
        priority.name = "rank-" + std::to_string(rank.value());
        if (times.timeout > Duration::zero()) {
            priority.target = times.target;
            priority.maximumQueueTime = times.timeout;
        }
        priority.minimumShare = document.priorities.empty() ? 0 : reservedShare;
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
