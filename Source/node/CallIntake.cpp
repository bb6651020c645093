#include "node/CallIntake.h"

#include "coordination/workspaces/CallerAuthentication.h"

namespace Knapweedquay {

CallIntake::CallIntake(CallHeaders headers, ServiceName callerService, CallResolver resolver)
    : m_headers(std::move(headers))
    , m_callerService(std::move(callerService))
    , m_resolver(std::move(resolver))
{
}

Result<ParsedCall> CallIntake::read(const HttpRequest& request, Duration proofAge, const RunningRequests& running)
{
    BOOST_OUTCOME_TRY(resolved, m_resolver.resolve(request, proofAge));
    BOOST_OUTCOME_TRY(call, parseCall(request, std::move(resolved), m_resolver.callInterface(), m_headers));
    if (call.route && !m_callerService.value().empty())
        call.request.headers.push_back({ m_headers.callerService, m_callerService.value() });
    BOOST_OUTCOME_TRYV(identifyCaller(request, proofAge, running, call));
    return call;
}

Result<void> CallIntake::identifyCaller(const HttpRequest& request, Duration proofAge, const RunningRequests& running, ParsedCall& call) const
{
    if (!routing() || !routing()->keys().isNeeded())
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    CallerRequest caller { request.headers };
    caller.allowsAnonymous = call.route && call.route->rule.allowsAnonymous;
    caller.isOwnBackendCall = running.parentOf(call.requestId).has_value();
    caller.proofAge = proofAge;
    BOOST_OUTCOME_TRY(authenticated, authenticate(routing()->keys(), caller));
    call.workspace = authenticated.proof.workspace;
    call.callerKey = authenticated.proof.key;
    call.checkedByVersion = authenticated.proof.routingVersion;
    call.workspacePriority = authenticated.priority;
    removeCallerHeaders(call.request.headers, m_headers.workspace);
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

} // namespace Knapweedquay
