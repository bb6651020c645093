#pragma once

#include "coordination/stopping/GracefulStop.h"
#include "transport/HttpServer.h"
#include "transport/Logger.h"
#include "transport/SteadyTime.h"

#include <asio/io_context.hpp>

#include <cstddef>
#include <functional>
#include <vector>

namespace Knapweedquay {

/// Performs the steps of a control replica's graceful stop.
///
/// Operators send changes over connections that they opened before the order. From the order on a change is refused before
/// anything is proposed; those in flight are answered, and their answers handed over, before the process ends. So does the change of voters, if another replica waits to take
/// the place of this one: what ended without it would count as a lost voter until its silence is noticed.
class ControlStop {
public:
    struct Hooks {
        /// Number of changes of other replicas that wait for this one.
        std::function<std::size_t()> forwardedChanges;
        /// Called once, with the order to stop: asks for another replica to take the place of this one.
        std::function<void()> leave;
        /// True while another replica is taking the place of this one.
        std::function<bool()> isLeavePending;
        /// Called once, when the process may end.
        std::function<void()> ended;
    };

    /// maximum: time from the order to the end of the process, whatever is left then.
    ControlStop(asio::io_context&, HttpServer&, Duration maximum, Hooks);

    /// Handles the order to stop. A repeated order changes nothing.
    void order();
    bool isOrdered() const { return m_stop.isOrdered(); }
    /// Answers a change that arrived after the order; false if the request may be handled.
    bool refuse(const HttpExchangePtr&);
    /// Logs how the process ends. An unfinished stop was cut short for this reason.
    void logEnd(const char* reason) const;

private:
    /// Performs the next step, and asks again soon.
    void check();
    PendingWork pendingWork() const;
    /// Fields of the log that only control replicas have.
    std::vector<LogField> logDetails() const;

    HttpServer& m_server;
    Hooks m_hooks;
    GracefulStop m_stop;
    Timer m_checkTimer;
    std::size_t m_refusedChanges = 0;
    /// Set once GracefulStop lets the process end; Wait until then.
    GracefulStop::Step m_end = GracefulStop::Step::Wait;
};

} // namespace Knapweedquay
