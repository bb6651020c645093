#pragma once

#include "coordination/routing/RoutingTable.h"
#include "coordination/routing/WeightedChoice.h"
#include "node/CallRequestParser.h"
#include "protocol/CallHeaders.h"
#include "protocol/Result.h"

#include <memory>
#include <string>

namespace Knapweedquay {

/// Reads callers' requests and finds the service that each goes to.
class CallIntake {
public:
    /// needsRouting: without a routing document, requests that name no service are refused as stale, not as unknown.
    /// callerService: the service beside whose backend server this node runs; told to other backend servers.
    CallIntake(CallHeaders, ServiceName callerService, bool needsRouting, double choiceStart);

    void setRouting(std::shared_ptr<const RoutingTable> routing) { m_routing = std::move(routing); }
    const std::shared_ptr<const RoutingTable>& routing() const { return m_routing; }
    void setCallerService(ServiceName service) { m_callerService = std::move(service); }

    /// Errors: as parseCall, and UnknownRoute; StaleConfiguration while no routing document is known.
    Result<ParsedCall> read(const HttpRequest&);

private:
    CallHeaders m_headers;
    ServiceName m_callerService;
    bool m_needsRouting;
    std::shared_ptr<const RoutingTable> m_routing;
    WeightedChoice m_choice;
};

} // namespace Knapweedquay
