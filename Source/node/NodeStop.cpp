#include "node/NodeStop.h"

#include "transport/Logger.h"

#include <asio/post.hpp>

#include <chrono>
#include <string>
#include <utility>
#include <vector>

namespace Knapweedquay {

namespace {

constexpr Duration checkInterval { 20000 };

const char* reasonOf(GracefulStop::Step end, const char* otherwise)
{
    if (end == GracefulStop::Step::EndIdle)
        return "idle";
    return end == GracefulStop::Step::EndLate ? "time" : otherwise;
}

} // namespace

NodeStop::NodeStop(asio::io_context& control, asio::io_context& traffic, NodeControl& nodeControl, NodeTraffic& nodeTraffic, std::function<void()> ended)
    : m_controlContext(control)
    , m_trafficContext(traffic)
    , m_control(nodeControl)
    , m_traffic(nodeTraffic)
    , m_ended(std::move(ended))
    , m_checkTimer(control, [this] { check(); })
{
}

void NodeStop::order()
{
    if (std::exchange(m_isOrdered, true))
        return;
    log(LogEvent::Stopping);
    m_control.endReadiness();
    asio::post(m_trafficContext, [this, now = steadyNow()] {
        m_traffic.orderStop(now);
        logWork(LogEvent::StopProgress, "notice");
    });
    check();
}

void NodeStop::check()
{
    asio::post(m_trafficContext, [this, isLeaveSpread = m_control.hasSpreadLeave()] {
        const GracefulStop::Step step = m_traffic.stopStep(isLeaveSpread);
        perform(step);
        asio::post(m_controlContext, [this, step] {
            if (step == GracefulStop::Step::Drain)
                m_control.leave();
            if (step != GracefulStop::Step::EndIdle && step != GracefulStop::Step::EndLate)
                return m_checkTimer.setAfter(checkInterval);
            m_end = step;
            m_ended();
        });
    });
}

void NodeStop::perform(GracefulStop::Step step)
{
    switch (step) {
    case GracefulStop::Step::Drain:
        logWork(LogEvent::StopProgress, "drain");
        return m_traffic.drain();
    case GracefulStop::Step::EndWaitingWork:
        return m_traffic.endWaitingWork();
    case GracefulStop::Step::CloseConnections:
        return m_traffic.closeConnections();
    case GracefulStop::Step::Wait:
    case GracefulStop::Step::EndIdle:
    case GracefulStop::Step::EndLate:
        return;
    }
}

void NodeStop::logEnd(const char* reason) const
{
    if (m_isOrdered)
        logWork(m_traffic.pendingWork().isAnswered() ? LogEvent::StopProgress : LogEvent::StopIncomplete, "end", reasonOf(m_end, reason));
}

void NodeStop::logWork(LogEvent event, const char* step, const char* reason) const
{
    const PendingWork work = m_traffic.pendingWork();
    const auto since = std::chrono::duration_cast<std::chrono::milliseconds>(steadyNow() - m_traffic.stop().orderedAt());
    std::vector<LogField> fields { { "step", step }, { "since_ms", std::to_string(since.count()) }, { "connections", std::to_string(work.connections) },
        { "unused", std::to_string(work.unusedConnections) }, { "partial", std::to_string(work.partialRequests) }, { "calls", std::to_string(work.calls) },
        { "attempts", std::to_string(work.attempts) }, { "unsent_caller_bytes", std::to_string(work.unsentCallerBytes) },
        { "unsent_peer_bytes", std::to_string(work.unsentPeerBytes) }, { "lingering", std::to_string(work.lingeringConnections) },
        { "late_calls_refused", std::to_string(m_traffic.gateway().counters().refusedLate) } };
    if (*reason)
        fields.push_back({ "reason", reason });
    log(event, fields);
}

} // namespace Knapweedquay
