#pragma once

#include "node/NodeControl.h"
#include "node/NodeTraffic.h"
#include "transport/Logger.h"
#include "transport/SteadyTime.h"

#include <asio/io_context.hpp>

#include <functional>
#include <vector>

namespace Knapweedquay {

/// Performs the steps of a node's graceful stop: what GracefulStop decides on the traffic thread, with what the control thread
/// knows of the other members.
class NodeStop {
public:
    /// ended: called once on the control thread, when the process may end.
    NodeStop(asio::io_context& control, asio::io_context& traffic, NodeControl&, NodeTraffic&, std::function<void()> ended);

    /// Handles the order to stop, on the control thread. A repeated order changes nothing.
    void order();
    bool isOrdered() const { return m_isOrdered; }
    /// Logs how the process ends, once both threads have ended. An unfinished stop was cut short for this reason.
    void logEnd(const char* reason) const;

private:
    /// Asks for the next step on the traffic thread, performs it there, and asks again soon.
    void check();
    void perform(GracefulStop::Step);
    void logStep(const char* step) const;
    /// Fields of the log that only nodes have.
    std::vector<LogField> logDetails() const;

    asio::io_context& m_controlContext;
    asio::io_context& m_trafficContext;
    NodeControl& m_control;
    NodeTraffic& m_traffic;
    std::function<void()> m_ended;
    Timer m_checkTimer;
    bool m_isOrdered = false;
    /// Set once GracefulStop lets the process end; Wait until then.
    GracefulStop::Step m_end = GracefulStop::Step::Wait;
};

} // namespace Knapweedquay
