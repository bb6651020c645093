#pragma once

#include "node/NodeControl.h"
#include "node/NodeSettings.h"
#include "node/NodeTraffic.h"

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>

#include <memory>
#include <string>

namespace Knapweedquay {

/// The node process: one thread for control state, one for traffic, and an orderly end.
class NodeDaemon {
public:
    /// What a program adds to the daemon. Both hooks run on the control thread and may be unset.
    struct Extension {
        /// All parts have started.
        std::function<Result<void>(asio::io_context&, NodeControl&)> started;
        /// SIGHUP: the settings may have changed.
        std::function<void(NodeControl&)> reload;
    };

    explicit NodeDaemon(const NodeSettings&, Extension = {});
    ~NodeDaemon();

    /// Runs until a signal ends it. Errors: ConnectionFailed when a port cannot be opened.
    Result<void> run();

private:
    NodeControl::Hooks controlHooks();
    CallGateway::ClaimHooks claimHooks();
    void waitForSignal();
    void stopGracefully();
    void reload();
    void stopWhenIdle();
    void stop();
    std::string trafficStatus();
    std::string metricsText();
    /// Runs a hook on the traffic thread and waits for its text; "null" when that thread is stuck.
    std::string askTraffic(std::function<std::string()> hook);

    NodeSettings m_settings;
    Extension m_extension;
    NodeIdentity m_self;
    asio::io_context m_controlContext;
    asio::io_context m_trafficContext;
    NodeMetrics m_metrics;
    std::unique_ptr<NodeTraffic> m_traffic;
    std::unique_ptr<NodeControl> m_control;
    asio::signal_set m_signals;
    Timer m_idleTimer;
    Timer m_drainTimer;
    TimePoint m_stopBy;
    bool m_isStopping = false;
};

} // namespace Knapweedquay
