#pragma once

#include "coordination/routing/CallResolver.h"
#include "coordination/routing/RunningRequests.h"
#include "node/CallRequestParser.h"
#include "protocol/CallHeaders.h"
#include "protocol/Result.h"

#include <memory>
#include <string>

namespace Knapweedquay {

/// Parses callers' requests and determines the service and the workspace of each.
class CallIntake {
public:
    /// callerService: the service of the local backend server, sent to other backend servers in a request header.
    CallIntake(CallHeaders, ServiceName callerService, CallResolver);

    void setRouting(std::shared_ptr<const RoutingTable> routing) { m_resolver.setRouting(std::move(routing)); }
    const std::shared_ptr<const RoutingTable>& routing() const { return m_resolver.routing(); }
    void setCallerService(ServiceName service) { m_callerService = std::move(service); }

    /// proofAge: time since the routing document was proved to be the newest. running: the requests that the local backend
    /// server is running; the calls that it makes for them need no key.
    ///
    /// Errors: those of CallResolver::resolve(), parseCall() and authenticate().
    Result<ParsedCall> read(const HttpRequest&, Duration proofAge, const RunningRequests& running);

private:
    /// Determines the workspace of the call, and removes the headers that only nodes may set.
    Result<void> identifyCaller(const HttpRequest&, Duration proofAge, const RunningRequests&, ParsedCall&) const;

    CallHeaders m_headers;
    ServiceName m_callerService;
    CallResolver m_resolver;
};

} // namespace Knapweedquay
