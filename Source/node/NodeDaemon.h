#pragma once

#include "node/NodeControl.h"
#include "node/NodeSettings.h"
#include "node/NodeStop.h"
#include "node/NodeTraffic.h"

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
    /// The first SIGTERM or SIGINT orders the graceful stop, and a SIGINT after it ends the process at once.
    void handleSignal(int signal);
    void reload();
    /// Ends run() now; the reason is for the log, if a graceful stop is cut short by it.
    void end(const char* reason);
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
    NodeStop m_stop;
    const char* m_endReason = "";
};

} // namespace Knapweedquay
