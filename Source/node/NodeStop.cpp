#include "node/NodeStop.h"

#include "transport/StopLog.h"

#include <asio/post.hpp>

#include <string>
#include <utility>
#include <vector>

namespace Knapweedquay {

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
        logStep("notice");
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
                return m_checkTimer.setAfter(stopCheckInterval);
            m_end = step;
            m_ended();
        });
    });
}

void NodeStop::perform(GracefulStop::Step step)
{
    switch (step) {
    case GracefulStop::Step::Drain:
        logStep("drain");
        return m_traffic.drain();
    case GracefulStop::Step::EndWaitingWork:
        return m_traffic.endWaitingWork();
    case GracefulStop::Step::EndBlockingWork:
        return m_traffic.gateway().endBlockingCalls();
    case GracefulStop::Step::CloseConnections:
        return m_traffic.closeConnections();
    case GracefulStop::Step::Wait:
    case GracefulStop::Step::EndIdle:
    case GracefulStop::Step::EndLate:
        return;
    }
}

void NodeStop::logStep(const char* step) const
{
    logStopStep(step, m_traffic.stop().orderedAt(), m_traffic.pendingWork(), logDetails());
}

void NodeStop::logEnd(const char* reason) const
{
    if (m_isOrdered)
        logStopEnd(m_end, reason, m_traffic.stop().orderedAt(), m_traffic.pendingWork(), logDetails());
}

std::vector<LogField> NodeStop::logDetails() const
{
    const PendingWork work = m_traffic.pendingWork();
    return { { "calls", std::to_string(work.calls) }, { "attempts", std::to_string(work.attempts) }, { "unsent_peer_bytes", std::to_string(work.unsentPeerBytes) },
        { "late_calls_refused", std::to_string(m_traffic.gateway().counters().refusedLate) } };
}

} // namespace Knapweedquay
