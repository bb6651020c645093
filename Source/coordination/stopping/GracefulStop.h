#pragma once

#include "coordination/stopping/PendingWork.h"
#include "protocol/Time.h"

#include <cstdint>

namespace Knapweedquay {

/// Time after which a process that stops asks for its next step again.
constexpr Duration stopCheckInterval { 20000 };

/// Decides how a node or a control replica stops: which calls it still takes, and when its process may end.
///
/// Load pattern: callers that go on sending while the process stops, over connections that they opened before. What is taken must
/// be answered before the platform kills the process, so a call is only taken if its deadline and the delivery of its answer
/// lie before the end. Any other call is refused before it is passed on.
class GracefulStop {
public:
    struct Settings {
        /// Time for which all calls are taken, since callers learn of the stop with a delay.
        Duration notice { 0 };
        /// Time from the order to the end of the process, whatever is left then.
        Duration maximum { 30000000 };
        /// Part of the maximum that is kept for the delivery of the last answers.
        Duration delivery { 400000 };
        /// Part of this in which answers that wait for a slower one of their connection are delivered without it.
        Duration handOver { 200000 };
        /// Least time from the drain to the end, for requests that are on their way on open connections.
        Duration settling { 250000 };
    };

    /// What the node does next.
    enum class Step : std::uint8_t {
        /// Goes on; asks again soon.
        Wait,
        /// Closes its listening sockets and idle connections.
        Drain,
        /// Ends what can't end in time any more: refuses the requests that it received only in part, and answers the calls that
        /// no endpoint's node has in hand.
        EndWaitingWork,
        /// Ends the calls that hold back the answers of others: their own answers can't come in time any more.
        EndBlockingWork,
        /// Closes the connections without a request, and the links to other nodes.
        CloseConnections,
        /// Ends: nothing is left, and nothing can arrive.
        EndIdle,
        /// Ends although work is left.
        EndLate,
    };

    explicit GracefulStop(Settings settings)
        : m_settings(settings)
    {
    }

    /// Handles the order to stop. A repeated order changes nothing.
    void order(TimePoint now);
    bool isOrdered() const { return m_phase != Phase::Running; }
    TimePoint orderedAt() const { return m_orderedAt; }

    /// True if a call that arrives now and ends by its deadline may be passed on. This depends on the times alone, since a
    /// process that was suspended may receive calls before it takes its next step.
    bool mayTake(TimePoint now, TimePoint deadline) const { return !isOrdered() || now < m_orderedAt + m_settings.notice || deadline <= lastAnswersAt(); }

    /// Time by which the endpoints' nodes have to answer or refuse what they hold for this node, so that the last answers are
    /// delivered. Only set once the stop is ordered.
    TimePoint lastAnswersAt() const { return m_orderedAt + m_settings.maximum - m_settings.delivery; }
    /// True if a call with this deadline may last longer than this process, so that no answer should have to wait for it.
    bool mayOutlast(TimePoint deadline) const { return isOrdered() && deadline > lastAnswersAt(); }

    /// Returns the next step; Drain, EndWaitingWork and EndBlockingWork are returned once each.
    Step next(TimePoint now, const PendingWork&);

private:
    enum class Phase : std::uint8_t {
        Running,
        Notice,
        Draining,
        /// Like Draining, and what could not end in time was ended.
        Delivering,
        /// Like Delivering, and no answer waits for a slower one.
        HandingOver,
    };

    Settings m_settings;
    Phase m_phase = Phase::Running;
    TimePoint m_orderedAt;
    TimePoint m_drainedAt;
};

} // namespace Knapweedquay
