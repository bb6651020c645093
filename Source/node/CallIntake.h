#pragma once

#include "coordination/routing/RoutingTable.h"
#include "coordination/routing/RunningRequests.h"
#include "coordination/routing/WeightedChoice.h"
#include "node/CallRequestParser.h"
#include "protocol/CallHeaders.h"
#include "protocol/Result.h"

#include <memory>
#include <string>

namespace Knapweedquay {

/// Parses callers' requests and determines the target service of each.
class CallIntake {
public:
    /// callerService: the service of the local backend server, sent to other backend servers in a request header.
    /// needsRouting: while there is no routing document, requests that name no service are refused with
    /// StaleConfiguration instead of UnknownResource.
    /// choiceStart: initial position of the weighted choice between services, from 0 to 1.
    CallIntake(CallHeaders, ServiceName callerService, bool needsRouting, double choiceStart);

    void setRouting(std::shared_ptr<const RoutingTable> routing) { m_routing = std::move(routing); }
    const std::shared_ptr<const RoutingTable>& routing() const { return m_routing; }
    void setCallerService(ServiceName service) { m_callerService = std::move(service); }

    /// proofAge: time since the routing document was proved to be the newest. running: the requests that the local backend
    /// server is running; the calls that it makes for them need no key.
    ///
    /// Errors: those of parseCall() and authenticate(); UnknownRoute; StaleConfiguration while routing is required and not yet
    /// known.
    Result<ParsedCall> read(const HttpRequest&, Duration proofAge, const RunningRequests& running);

private:
    Result<ParsedCall> parse(const HttpRequest&);
    /// Determines the workspace of the call, and removes the headers that only nodes may set.
    Result<void> identifyCaller(const HttpRequest&, Duration proofAge, const RunningRequests&, ParsedCall&) const;

    CallHeaders m_headers;
    ServiceName m_callerService;
    bool m_needsRouting;
    std::shared_ptr<const RoutingTable> m_routing;
    WeightedChoice m_choice;
};

} // namespace Knapweedquay
