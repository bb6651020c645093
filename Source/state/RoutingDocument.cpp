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
/// Part of the capacity that each less urgent priority keeps while more urgent ones flood.
constexpr double floodShare = 0.05;
/// Retries and hedges of one node, per call: together three quarters of what a service takes over all its callers, since
/// the calls of a repeated run are repeats as well.
constexpr double retryShare = 0.06;
constexpr double hedgeShare = 0.08;
/// Probes keep a node told of endpoints that it does not call at the moment.
constexpr double probesPerCall = 0.5;
constexpr double probeBytesPerSecond = 4096;

Error invalid(const std::string& reason)
{
    return { ResultCode::InvalidDocument, reason };
}

Result<void> checkRule(const RoutingRule& rule, const std::set<ServiceName>& services)
{
    const std::string where = "route " + rule.host + rule.pathPrefix + ": ";
    if (rule.host.empty() || rule.pathPrefix.empty() || rule.pathPrefix.front() != '/' || rule.pathPrefix.back() != '/')
        return invalid(where + "needs a host, and a prefix that begins and ends with a slash");
    if (rule.timeout <= Duration::zero() || rule.timeout > longestTimeout)
        return invalid(where + "the timeout must be more than 0 and at most ten minutes");
    if (rule.target <= Duration::zero())
        return invalid(where + "the target must be more than 0");
    if (rule.maximumAttempts == 0)
        return invalid(where + "at least one attempt is needed");
    std::uint64_t weights = 0;
    for (const RouteTarget& target : rule.targets) {
        if (services.count(target.service) == 0)
            return invalid(where + "unknown service '" + target.service.value() + "'");
        weights += target.weight;
    }
    if (weights == 0)
        return invalid(where + "no service with a weight");
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
        return invalid("the version must be more than 0");
    if (routing.rules.size() > maximumRules || routing.services.size() > maximumServices)
        return invalid("more than " + std::to_string(maximumRules) + " routes or " + std::to_string(maximumServices) + " services");
    std::set<ServiceName> services;
    for (const RoutedService& service : routing.services) {
        if (service.name.value().empty() || !services.insert(service.name).second)
            return invalid("a service without a name, or two with the name '" + service.name.value() + "'");
    }
    std::set<std::pair<std::string_view, std::string_view>> places;
    for (const RoutingRule& rule : routing.rules) {
        BOOST_OUTCOME_TRYV(checkRule(rule, services));
        if (!places.emplace(rule.host, rule.pathPrefix).second)
            return invalid("two routes for " + rule.host + rule.pathPrefix);
    }
    if (ranksOf(routing).size() > maximumRanks)
        return invalid("more than " + std::to_string(maximumRanks) + " priorities");
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

PriorityIndex priorityOfRank(const std::vector<Rank>& ranks, Rank rank)
{
    const auto place = std::lower_bound(ranks.begin(), ranks.end(), rank);
    return PriorityIndex(static_cast<std::uint32_t>(place - ranks.begin()));
}

ServiceDocument documentFromRoutes(const RoutingDocument& routing, const ServiceName& service)
{
    struct Times {
        Duration target = Duration::max();
        Duration timeout { 0 };
    };
    std::map<Rank, Times> timesOfRanks;
    ServiceDocument document;
    document.service = service;
    for (const RoutingRule& rule : routing.rules) {
        Times& times = timesOfRanks[rule.rank];
        const bool isOurs = std::any_of(rule.targets.begin(), rule.targets.end(), [&service](const RouteTarget& target) { return target.service == service; });
        if (!isOurs)
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
        priority.minimumShare = document.priorities.empty() ? 0 : floodShare;
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
