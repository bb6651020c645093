#pragma once

#include "node/NodeControl.h"
#include "node/NodeSettings.h"
#include "node/NodeTraffic.h"
#include "transport/Logger.h"

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>

#include <memory>
#include <string>

namespace Knapweedquay {

/// The node process, with a control thread, a traffic thread and a graceful shutdown.
class NodeDaemon {
public:
    /// Hooks of the program that runs the daemon. Both are called on the control thread and may be unset.
    struct Extension {
        /// Called after all components have started; an error ends run().
        std::function<Result<void>(asio::io_context&, NodeControl&)> started;
        /// Called on SIGHUP, to reload the settings.
        std::function<void(NodeControl&)> reload;
    };

    explicit NodeDaemon(const NodeSettings&, Extension = {});
    ~NodeDaemon();

    /// Runs until a signal stops it, or another process takes over its node id. Errors: ConnectionFailed if a port
    /// cannot be opened.
    Result<void> run();

private:
    NodeControl::Hooks controlHooks();
    CallGateway::ClaimHooks claimHooks();
    void waitForSignal();
    /// Starts the graceful shutdown: notice to callers, drain, then stop once idle.
    void stopGracefully();
    void reload();
    /// Stops if no calls are in progress and the leave was announced, or the maximum stop time has passed.
    void stopWhenIdle();
    /// Stops immediately; the reason is for the log.
    void stop(const char* reason);
    /// Logs what the node holds at a step of its stop. Runs on the traffic thread, or once that has ended.
    void logStop(LogEvent, const char* step, const char* reason = "") const;
    std::string trafficStatus();
    std::string metricsText();
    /// Runs a function on the traffic thread and waits for its result; returns "null" if that thread does not respond.
    std::string queryTrafficThread(std::function<std::string()> hook);

    NodeSettings m_settings;
    Extension m_extension;
    NodeIdentity m_self;
    asio::io_context m_controlContext;
    asio::io_context m_trafficContext;
    NodeMetrics m_metrics;
    std::unique_ptr<NodeTraffic> m_traffic;
    std::unique_ptr<NodeControl> m_control;
    asio::signal_set m_signals;
    /// Triggers checks for calls in progress after the drain began.
    Timer m_idleTimer;
    /// Fires at the end of the stop notice.
    Timer m_drainTimer;
    TimePoint m_stopOrderedAt;
    const char* m_stopReason = "";
    /// Time at which the process stops even if calls are in progress.
    TimePoint m_stopBy;
    /// True after the first stop signal; a second one stops the process immediately.
    bool m_isStopping = false;
};

} // namespace Knapweedquay
