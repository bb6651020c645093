#include "control/ControlStop.h"

#include "protocol/ProblemDetails.h"
#include "transport/StopLog.h"

#include <string>
#include <utility>
#include <vector>

namespace Knapweedquay {

namespace {

GracefulStop::Settings stopSettings(Duration maximum)
{
    GracefulStop::Settings settings;
    settings.maximum = maximum;
    return settings;
}

Error refusal()
{
    return { ResultCode::Draining, "this replica stops; nothing was changed, send it to another replica" };
}

} // namespace

ControlStop::ControlStop(asio::io_context& context, HttpServer& server, Duration maximum, Hooks hooks)
    : m_server(server)
    , m_hooks(std::move(hooks))
    , m_stop(stopSettings(maximum))
    , m_checkTimer(context, [this] { check(); })
{
}

void ControlStop::order()
{
    if (m_stop.isOrdered())
        return;
    log(LogEvent::Stopping);
    m_stop.order(steadyNow());
    m_hooks.leave();
    check();
}

bool ControlStop::refuse(const HttpExchangePtr& exchange)
{
    const std::string& method = exchange->request().method;
    if (!m_stop.isOrdered() || method == "GET" || method == "HEAD")
        return false;
    ++m_refusedChanges;
    exchange->respond(problemResponse(refusal(), CallOutcomeKind::NotRun));
    return true;
}

void ControlStop::check()
{
    const GracefulStop::Step step = m_stop.next(steadyNow(), pendingWork());
    switch (step) {
    case GracefulStop::Step::Wait:
    case GracefulStop::Step::EndBlockingWork:
        break;
    case GracefulStop::Step::Drain:
        logStopStep("drain", m_stop.orderedAt(), pendingWork(), logDetails());
        m_server.stop();
        break;
    case GracefulStop::Step::EndWaitingWork:
        m_server.refusePartialRequests(refusal());
        break;
    case GracefulStop::Step::CloseConnections:
        m_server.closeIdleConnections();
        break;
    case GracefulStop::Step::EndIdle:
    case GracefulStop::Step::EndLate:
        m_end = step;
        return m_hooks.ended();
    }
    m_checkTimer.setAfter(stopCheckInterval);
}

PendingWork ControlStop::pendingWork() const
{
    const HttpServer::Load load = m_server.load();
    PendingWork work = pendingWorkOf(load);
    work.calls = load.unansweredRequests;
    work.attempts = m_hooks.forwardedChanges();
    // Nodes detect by their links that this replica has ended.
    work.isLeaveSpread = !m_hooks.isLeavePending();
    return work;
}

void ControlStop::logEnd(const char* reason) const
{
    if (m_stop.isOrdered())
        logStopEnd(m_end, reason, m_stop.orderedAt(), pendingWork(), logDetails());
}

std::vector<LogField> ControlStop::logDetails() const
{
    const PendingWork work = pendingWork();
    return { { "requests", std::to_string(work.calls) }, { "forwarded_changes", std::to_string(work.attempts) }, { "changes_refused", std::to_string(m_refusedChanges) }, { "leave_pending", m_hooks.isLeavePending() ? "1" : "0" } };
}

} // namespace Knapweedquay
