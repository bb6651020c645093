#pragma once

#include "coordination/routing/RoutingTable.h"
#include "coordination/routing/WeightedChoice.h"
#include "protocol/HttpMessage.h"
#include "protocol/Result.h"
#include "protocol/Time.h"

#include <memory>
#include <string>
#include <string_view>

namespace Knapweedquay {

/// How callers address services.
enum class CallInterface {
    /// By routes and, where none matches, by targets that name their service; headers of docs/PROTOCOL.md apply.
    RoutesAndTargets,
    /// By the routes in force alone.
    RoutesOnly,
};

/// Beginning of targets that name their service: "/call/SERVICE/PATH".
constexpr std::string_view callTargetPrefix = "/call/";

/// The service of a call, and what determined it.
struct ResolvedCall {
    ServiceName service;
    /// Target for the backend server.
    std::string target;
    /// Null if the request itself named the service. Owned by the routing table in force.
    const RoutingTable::Entry* route = nullptr;
};

/// Determines the service of every request that arrives at a node; nothing else leads to one.
///
/// Load pattern: each call of each caller, so that a lookup must not depend on the number of routes. Callers that go on using
/// a route after it was dropped are refused without any work for a service.
class CallResolver {
public:
    /// choiceStart: initial position of the weighted choice between services, from 0 to 1.
    CallResolver(CallInterface, double choiceStart);

    void setRouting(std::shared_ptr<const RoutingTable> routing) { m_routing = std::move(routing); }
    const std::shared_ptr<const RoutingTable>& routing() const { return m_routing; }
    CallInterface callInterface() const { return m_interface; }

    /// proofAge: time since the routing document was proved to be the newest.
    ///
    /// Errors: UnknownRoute; StaleConfiguration if a newer routing document may have a route; UnknownResource for a target that
    /// neither routes nor its own text can resolve.
    Result<ResolvedCall> resolve(const HttpRequest&, Duration proofAge);

private:
    CallInterface m_interface;
    std::shared_ptr<const RoutingTable> m_routing;
    WeightedChoice m_choice;
};

} // namespace Knapweedquay
