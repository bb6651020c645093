#include "coordination/routing/CallResolver.h"

#include <algorithm>
#include <utility>

namespace Knapweedquay {

namespace {

/// With an older proof, no route is denied: callers do not retry after that.
constexpr Duration maximumProofAgeToDenyRoutes { 1000000 };

bool namesService(std::string_view target)
{
    return target.substr(0, callTargetPrefix.size()) == callTargetPrefix;
}

/// Resolves a target "/call/SERVICE/PATH".
Result<ResolvedCall> resolveTarget(std::string_view target)
{
    const std::string_view rest = namesService(target) ? target.substr(callTargetPrefix.size()) : std::string_view();
    const std::size_t end = std::min(rest.find_first_of("/?"), rest.size());
    if (end == 0)
        return Error { ResultCode::UnknownResource, "calls go to " + std::string(callTargetPrefix) + "SERVICE/PATH" };
    ResolvedCall call;
    call.service = ServiceName(std::string(rest.substr(0, end)));
    call.target = std::string(rest.substr(end));
    if (call.target.empty() || call.target.front() != '/')
        call.target.insert(0, 1, '/');
    return call;
}

} // namespace

CallResolver::CallResolver(CallInterface callInterface, double choiceStart)
    : m_interface(callInterface)
    , m_choice(choiceStart)
{
}

Result<ResolvedCall> CallResolver::resolve(const HttpRequest& request, Duration proofAge)
{
    const std::string* host = findHeader(request.headers, "Host");
    if (const RoutingTable::Entry* route = m_routing && host ? m_routing->find(*host, request.target) : nullptr)
        return ResolvedCall { m_choice.choose(route->rule), request.target, route };
    if (m_interface == CallInterface::RoutesAndTargets && (namesService(request.target) || !m_routing))
        return resolveTarget(request.target);
    if (!m_routing)
        return Error { ResultCode::StaleConfiguration, "this node knows no routing document yet" };
    if (proofAge > maximumProofAgeToDenyRoutes)
        return Error { ResultCode::StaleConfiguration, "no route, but newer routes may exist" };
    return Error { ResultCode::UnknownRoute, "no route for this host and path" };
}

} // namespace Knapweedquay
