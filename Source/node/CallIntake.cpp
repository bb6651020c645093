#include "node/CallIntake.h"

#include "coordination/workspaces/CallerAuthentication.h"

namespace Knapweedquay {

CallIntake::CallIntake(CallHeaders headers, ServiceName callerService, bool needsRouting, double choiceStart)
    : m_headers(std::move(headers))
    , m_callerService(std::move(callerService))
    , m_needsRouting(needsRouting)
    , m_choice(choiceStart)
{
}

Result<ParsedCall> CallIntake::read(const HttpRequest& request, Duration proofAge, const RunningRequests& running)
{
    BOOST_OUTCOME_TRY(call, parse(request));
    BOOST_OUTCOME_TRYV(identifyCaller(request, proofAge, running, call));
    return call;
}

Result<void> CallIntake::identifyCaller(const HttpRequest& request, Duration proofAge, const RunningRequests& running, ParsedCall& call) const
{
    if (!m_routing || !m_routing->keys().isNeeded())
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    CallerRequest caller { request.headers };
    caller.allowsAnonymous = call.route && call.route->rule.allowsAnonymous;
    caller.isOwnBackendCall = running.parentOf(call.requestId).has_value();
    caller.proofAge = proofAge;
    BOOST_OUTCOME_TRY(authenticated, authenticate(m_routing->keys(), caller));
    call.workspace = authenticated.proof.workspace;
    call.callerKey = authenticated.proof.key;
    call.checkedByVersion = authenticated.proof.routingVersion;
    call.workspacePriority = authenticated.priority;
    removeCallerHeaders(call.request.headers, m_headers.workspace);
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

Result<ParsedCall> CallIntake::parse(const HttpRequest& request)
{
    const std::string* host = findHeader(request.headers, "Host");
    const RoutingTable::Entry* route = m_routing && host ? m_routing->find(*host, request.target) : nullptr;
    const bool canBeRouted = m_routing || m_needsRouting;
    if (!route && (namesService(request) || !canBeRouted))
        return parseCall(request, m_headers);
    if (!m_routing)
        return Error { ResultCode::StaleConfiguration, "this node knows no routing document yet" };
    if (!route)
        return Error { ResultCode::UnknownRoute, "no route for this host and path" };
    BOOST_OUTCOME_TRY(call, parseRoutedCall(request, m_headers, *route));
    call.service = m_choice.choose(route->rule);
    if (!m_callerService.value().empty())
        call.request.headers.push_back({ m_headers.callerService, m_callerService.value() });
    return call;
}

} // namespace Knapweedquay
