#pragma once

#include "protocol/Ids.h"
#include "protocol/RequestRate.h"
#include "protocol/Result.h"
#include "protocol/Time.h"
#include "state/ServiceDocument.h"
#include "state/Workspace.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Knapweedquay {

/// Name under which the control store keeps the routing document, next to the service documents.
inline ServiceName routingDocumentName() { return ServiceName("@routing"); }

/// Service that a route sends calls to, and the weight of its share of these calls.
struct RouteTarget {
    ServiceName service;
    std::uint32_t weight = 1;
};

/// Target services, priority and limits of the calls to a host with a path prefix.
struct RoutingRule {
    std::string name;
    /// Host name that a call must have.
    std::string host;
    /// Path prefix that a call must have. It begins and ends with a slash.
    std::string pathPrefix;
    /// Whether a call may run more than once without harm.
    bool isIdempotent = false;
    /// Maximum time until the caller gets a response.
    Duration timeout { 1000000 };
    /// A call answered within this time counts as within target.
    Duration target { 100000 };
    Rank rank;
    /// Maximum number of attempts of one call, including the first.
    std::uint32_t maximumAttempts = 1;
    /// Whether calls need no key although the deployment has workspaces.
    bool allowsAnonymous = false;
    /// One service, or several that share the calls according to their weights.
    std::vector<RouteTarget> targets;
};

/// Service that routes may refer to.
struct RoutedService {
    ServiceName name;
    /// Maximum number of connections that each of its backend servers accepts from all callers together; 0 when
    /// unlimited.
    std::uint32_t maximumConnections = 0;
    /// Path of the health check of its backend servers; empty when they have none.
    std::string healthPath;
    /// Time for which a backend server is cold after its start; 0 where it never is.
    Duration coldTime { 0 };
    /// Requests per second that a cold backend server bears; not set where it bears as many as a warm one.
    std::optional<RequestRate> coldRate {};
};

/// Limits on the size and duration of requests from callers.
struct CallerLimits {
    std::size_t headerBytes = 16 * 1024;
    std::size_t bodyBytes = 16 * 1024 * 1024;
    Duration headerTimeout { 30000000 };
    Duration idleTimeout { 30000000 };
};

/// All routes and services of a deployment, which are changed together.
struct RoutingDocument {
    /// Version assigned by the operator; each change has a greater one.
    std::uint64_t version = 0;
    std::vector<RoutedService> services;
    std::vector<RoutingRule> rules;
    CallerLimits limits;
    std::vector<Workspace> workspaces;
    /// True if the document lists workspaces, also if the list is empty; see needsKeys().
    bool listsWorkspaces = false;

    /// True if calls need a key. An empty list leaves none that is valid, as after the last one was withdrawn.
    bool needsKeys() const { return listsWorkspaces || !workspaces.empty(); }
};

/// Function that parses a routing document. Errors: InvalidDocument.
using RoutingParser = std::function<Result<RoutingDocument>(std::string_view text)>;

/// Validates a routing document, independently of its text format. Errors: InvalidDocument with the first problem.
Result<void> checkRouting(const RoutingDocument&);

/// Host by which routes are found: without a port, with lower-case letters. An IPv6 address keeps its brackets.
std::string normalizedHost(std::string_view);

/// Checks that no two routes have the same normalized host and prefix, for a document that is to come into force; one that an older
/// release accepted stays in force without. Errors: InvalidDocument.
Result<void> checkHosts(const RoutingDocument&);

/// Priority index, in service documents derived from routes, of the calls that running requests make, where the routing document
/// has workspaces. Work that has begun is finished before new work: all that its callers wait for, and all that was spent
/// on it, depends on these calls.
constexpr std::uint32_t runPriorityIndex = 0;

/// Derives a service document from the routes, for a service without a document of its own team. It has one priority
/// for each rank of the routing document, most urgent first, so that a rank has the same index at every service. Where there
/// are workspaces, they follow that of the calls that running requests make.
ServiceDocument documentFromRoutes(const RoutingDocument&, const ServiceName&);

/// Returns the distinct ranks of all routes and workspaces, most urgent first.
std::vector<Rank> ranksOf(const RoutingDocument&);

/// Returns the priority index of a rank in service documents derived from routes. ranks: those of the routing document.
PriorityIndex priorityOfRank(const RoutingDocument&, const std::vector<Rank>& ranks, Rank);

} // namespace Knapweedquay
