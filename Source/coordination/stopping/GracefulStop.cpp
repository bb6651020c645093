#include "coordination/stopping/GracefulStop.h"

namespace Knapweedquay {

void GracefulStop::order(TimePoint now)
{
    if (isOrdered())
        return;
    m_phase = Phase::Notice;
    m_orderedAt = now;
}

GracefulStop::Step GracefulStop::next(TimePoint now, const PendingWork& work)
{
    if (!isOrdered())
        return Step::Wait;
    if (now >= m_orderedAt + m_settings.maximum)
        return Step::EndLate;
    if (m_phase == Phase::Notice) {
        if (now < m_orderedAt + m_settings.notice)
            return Step::Wait;
        m_phase = Phase::Draining;
        m_drainedAt = now;
        return Step::Drain;
    }
    if (m_phase == Phase::Draining && now >= lastAnswersAt()) {
        m_phase = Phase::Delivering;
        return Step::EndWaitingWork;
    }
    if (m_phase == Phase::Delivering && now >= m_orderedAt + m_settings.maximum - m_settings.handOver) {
        m_phase = Phase::HandingOver;
        return Step::EndBlockingWork;
    }
    if (now < m_drainedAt + m_settings.settling || !work.isAnswered() || !work.isLeaveSpread)
        return Step::Wait;
    // A connection that is open may still bring a request, and a link the rest of an answer.
    return work.connections + work.links > 0 ? Step::CloseConnections : Step::EndIdle;
}

} // namespace Knapweedquay
