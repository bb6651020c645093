#pragma once

#include "protocol/Ids.h"
#include "protocol/Result.h"
#include "protocol/Time.h"
#include "state/ServiceDocument.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace Knapweedquay {

/// Name under which the control store keeps the routing document, beside the documents of the services.
inline ServiceName routingDocumentName() { return ServiceName("@routing"); }

/// Urgency of a route; 0 is the most urgent.
using Rank = StrongType<struct RankTag, std::uint32_t>;

/// One service that a route may lead to, and its part of the route's calls.
struct RouteTarget {
    ServiceName service;
    std::uint32_t weight = 1;
};

/// Where the calls of one host below one path prefix go, and how they are to be treated.
struct RoutingRule {
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string pathPrefix;
    /// True when a call may run more than once without harm.
    bool isIdempotent = false;
    /// Longest time that a caller is kept waiting.
    Duration timeout { 1000000 };
    /// A call answered within this time counts as within target.
    Duration target { 100000 };
    Rank rank;
    /// Endpoints that one call may be sent to, the first included.
    std::uint32_t maximumAttempts = 1;
    /// One service, or several that share the calls by weight.
    std::vector<RouteTarget> targets;
};

struct RoutedService {
    ServiceName name;
    /// Connections that each of its backend servers accepts from all callers together; 0 when not bounded.
    std::uint32_t maximumConnections = 0;
    std::string healthPath;
};

/// What callers may send, and how long they may take.
struct CallerLimits {
    std::size_t headerBytes = 16 * 1024;
    std::size_t bodyBytes = 16 * 1024 * 1024;
    Duration headerTimeout { 30000000 };
    Duration idleTimeout { 30000000 };
};

/// The routes of a whole deployment, changed as one.
struct RoutingDocument {
    /// Number that the operator gave it; each change has a greater one.
    std::uint64_t version = 0;
    std::vector<RoutedService> services;
    std::vector<RoutingRule> rules;
    CallerLimits limits;
};

/// Reads the text of a routing document. Errors: InvalidDocument.
using RoutingParser = std::function<Result<RoutingDocument>(std::string_view text)>;

/// What every routing document must hold, however it was written. Errors: InvalidDocument with the first problem.
Result<void> checkRouting(const RoutingDocument&);

/// The document of a service that has routes and none of its own team: one priority for each rank of the routing
/// document, in the order of urgency, so that a rank has the same index at every service.
ServiceDocument documentFromRoutes(const RoutingDocument&, const ServiceName&);

/// All ranks of the routes, the most urgent first.
std::vector<Rank> ranksOf(const RoutingDocument&);

/// Index of one of these ranks in the documents made from routes.
PriorityIndex priorityOfRank(const std::vector<Rank>&, Rank);

} // namespace Knapweedquay
