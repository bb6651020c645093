#pragma once

#include "coordination/admission/AdmissionQueue.h"
#include "coordination/admission/ColdPace.h"
#include "coordination/presence/BackendReachability.h"
#include "coordination/presence/BackendState.h"
#include "coordination/presence/CrashDetector.h"
#include "coordination/presence/UnreadHeaders.h"
#include "node/LocalBackend.h"
#include "node/NodeMetrics.h"
#include "protocol/CallHeaders.h"
#include "transport/HttpClient.h"
#include "transport/SteadyTime.h"

#include <asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace Knapweedquay {

/// Observes the local backend server: sends health checks, applies to the admission queue what its responses tell of it, and
/// logs that.
class BackendMonitor {
public:
    /// Functions that the owner provides.
    struct Hooks {
        /// The load, the limit or the reachability of the backend server may have changed.
        std::function<void()> changed;
        /// The present run told for the first time that it leaves.
        std::function<void()> leaving;
        /// Calls that waited for the first response may start.
        std::function<void()> resumed;
        /// The backend server crashed, or further requests are known to be lost in its latest crash.
        std::function<void(const CrashDetector::Crash&)> crashed;
        /// The backend server responded to a request.
        std::function<void()> responded;
        /// A backend server that has to be paced refuses connections, so what waits for it should not wait for the pace.
        std::function<void()> unreachable;
    };

    /// loadInterval: interval between health checks while no response reports the load.
    BackendMonitor(asio::io_context&, const CallHeaders&, Duration loadInterval, const ColdBound&, HttpClient&, NodeMetrics&, Hooks);

    /// Sets the local backend server after an announcement.
    void setBackend(const LocalBackend&);
    void removeBackend() { m_backend.reset(); }
    /// Sets the queue of the calls to the backend server, which must outlive the monitor.
    void setQueue(AdmissionQueue&);
    /// Path at which the backend server answers health checks; empty disables them.
    void setHealthPath(const std::string& path);
    /// Registers that all documents that were committed when the node started are in force.
    void configurationProved();

    /// Sets for how long after a start, and at which rate, backend servers of the service are cold.
    void setCold(Duration coldTime, std::optional<RequestRate> coldRate);
    /// Handles an announcement that the present run stays cold for this time.
    void announcedCold(Duration left);
    /// Time for which the backend server is held to be cold.
    Duration coldTimeLeft() const { return m_cold.timeLeft(steadyNow()); }

    /// Sends a health check on a new connection, which shows whether the backend server still runs.
    void checkForCrash();

    /// Number of the present run, to be given with the responses to the requests that are sent now.
    std::uint64_t run() const { return m_run; }
    /// Counts a call that is sent now.
    void requestSent(TimePoint now);
    /// Applies what the backend server tells of itself in the response to a call. Responses of earlier runs tell nothing of
    /// the present one.
    void responseReceived(const HttpResponse&, std::uint64_t run, TimePoint now);
    /// Updates the reachability of the backend server after any request.
    void requestEnded(const HttpClient::Outcome&, TimePoint now);
    /// Records a call whose connection ended before its response; call it before requestEnded().
    void requestLost(LostRequest, TimePoint now);

    bool isReachable() const { return m_reachability.isReachable(); }
    /// Returns whether a call may be sent, see BackendReachability.
    bool mayTry(TimePoint now) const { return m_reachability.mayTry(now); }
    bool isLeaving() const { return m_state.isLeaving(); }

private:
    /// sentAt: when the request was sent; only used for health checks.
    void apply(const HttpResponse&, BackendState::ResponseTo, std::uint64_t run, TimePoint sentAt, TimePoint now);
    void applyLoad(const BackendLoad&, bool isFirst, TimePoint now);
    /// Gives the queue the lower one of the limit that the backend server names and its rate while it is cold.
    void updateRate(TimePoint now);
    void logCold(TimePoint now);
    void logState(const BackendState::Report&, TimePoint now);
    /// Logs and counts the latest crash, or the requests that are now known to be lost in it.
    void reportCrash();
    /// Logs the names of headers that this node does not read, each once.
    void logUnreadHeaders(const HttpResponse&);
    /// Starts no calls until the backend server has told its state in a first response, which a health check asks for. A run
    /// that leaves or limits its requests may have begun before this process.
    void awaitFirstResponse();
    void resumeStarts();
    /// Sends a health check if one is due.
    void checkHealth();
    void sendHealthCheck(Duration maximumIdle);
    /// Sends no health check for a while.
    void pauseHealthChecks(const Error&, TimePoint now);

    Duration m_loadInterval;
    HttpClient& m_client;
    NodeMetrics& m_metrics;
    Hooks m_hooks;
    /// Null until the first document of the service is received.
    AdmissionQueue* m_queue = nullptr;
    /// Not set while no backend server is announced.
    std::optional<LocalBackend> m_backend;
    /// The backend server that was announced last, whose announcements may have timed out.
    LocalBackend m_lastBackend;
    std::uint64_t m_run = 0;
    std::string m_healthPath;
    /// False until it is known whether there is a health path.
    bool m_isConfigurationProved = false;
    BackendReachability m_reachability;
    BackendState m_state;
    ColdPace m_cold;
    /// True if the last line of the log told that the backend server is cold.
    bool m_isLoggedCold = false;
    CrashDetector m_crashDetector;
    /// Number of the latest crash that was reported.
    std::uint64_t m_reportedCrash = 0;
    UnreadHeaders m_unreadHeaders;
    /// Next times at which a change of the limit and an unreadable header may be logged.
    TimePoint m_limitLoggedUntil;
    TimePoint m_unreadableLoggedUntil;
    /// No health checks are sent before this time.
    TimePoint m_healthPausedUntil;
    Timer m_healthTimer;
    /// Ends the wait for a first response.
    Timer m_resumeTimer;
};

} // namespace Knapweedquay
