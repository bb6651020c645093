#include "control/ControlStop.h"

#include "protocol/ProblemDetails.h"
#include "transport/Logger.h"

#include <chrono>
#include <string>
#include <utility>
#include <vector>

namespace Knapweedquay {

namespace {

constexpr Duration checkInterval { 20000 };

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
        break;
    case GracefulStop::Step::Drain:
        logWork(LogEvent::StopProgress, "drain");
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
    m_checkTimer.setAfter(checkInterval);
}

PendingWork ControlStop::pendingWork() const
{
    const HttpServer::Load load = m_server.load();
    PendingWork work;
    work.connections = load.connections;
    work.unusedConnections = load.unusedConnections;
    work.partialRequests = load.partialRequests;
    work.calls = load.unansweredRequests;
    work.attempts = m_hooks.forwardedChanges();
    work.unsentCallerBytes = load.unsentBytes;
    work.lingeringConnections = load.lingeringConnections;
    // Nodes and replicas detect by their links that this one has ended.
    work.isLeaveSpread = true;
    return work;
}

void ControlStop::logEnd(const char* reason) const
{
    if (!m_stop.isOrdered())
        return;
    const char* const late = m_end == GracefulStop::Step::EndLate ? "time" : reason;
    logWork(pendingWork().isAnswered() ? LogEvent::StopProgress : LogEvent::StopIncomplete, "end", m_end == GracefulStop::Step::EndIdle ? "idle" : late);
}

void ControlStop::logWork(LogEvent event, const char* step, const char* reason) const
{
    const PendingWork work = pendingWork();
    const auto since = std::chrono::duration_cast<std::chrono::milliseconds>(steadyNow() - m_stop.orderedAt());
    std::vector<LogField> fields { { "step", step }, { "since_ms", std::to_string(since.count()) }, { "connections", std::to_string(work.connections) },
        { "unused", std::to_string(work.unusedConnections) }, { "partial", std::to_string(work.partialRequests) }, { "requests", std::to_string(work.calls) },
        { "forwarded_changes", std::to_string(work.attempts) }, { "unsent_caller_bytes", std::to_string(work.unsentCallerBytes) },
        { "lingering", std::to_string(work.lingeringConnections) }, { "changes_refused", std::to_string(m_refusedChanges) } };
    if (*reason)
        fields.push_back({ "reason", reason });
    log(event, fields);
}

} // namespace Knapweedquay
