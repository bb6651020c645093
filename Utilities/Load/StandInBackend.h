#pragma once

#include "Load/BackendModes.h"
#include "Load/ExecutionRecord.h"
#include "Load/HttpClient.h"
#include "Load/HttpServer.h"
#include "Load/ServiceTimes.h"

#include <asio/steady_timer.hpp>

#include <deque>
#include <map>
#include <optional>
#include <set>

namespace Knapweedquay::Load {

/// Settings of a stand-in backend server.
struct BackendOptions {
    /// Port for requests; 0 selects a free one.
    std::uint16_t port = 0;
    /// Port for /modes, /executed, /stats and /arrivals; 0 selects a free one.
    std::uint16_t controlPort = 0;
    /// Admin address of the node to announce to; empty for none.
    std::string node;
    /// Service to announce.
    std::string service;
    /// Address to announce; empty for its own.
    std::string announcedAddress;
    /// Requests that run at the same time.
    std::size_t slots = 12;
    /// Requests that may wait for a slot; further ones get 503.
    std::size_t maximumQueue = 1000;
    /// Seed of the service times.
    std::uint64_t seed = 1;
    /// Rules as in ServiceTimes::add().
    std::vector<std::string> serviceTimes;
    /// File of the execution record; empty for none.
    std::string recordFile;
    /// Name of the instance, announced with a suffix that differs for each start; empty to announce none.
    std::string instance;
    /// Path of requests that end the process soon after they begin to run; empty for none.
    std::string crashPath;
    /// Only requests with this caller and this body do so, unless empty.
    std::string crashCaller;
    std::string crashBody;
    /// Time from the start of such a request to the end of the process.
    std::uint64_t crashDelayMs = 60;
};

/// A backend server for tests and measurement, with slots, a queue, random service times and fault injection.
///
/// The query parameter "id" holds the request's id, and "size" the number of filler bytes in the answer.
class StandInBackend {
public:
    StandInBackend(asio::io_context&, const BackendOptions&);

    std::uint16_t port() const { return m_server.port(); }
    std::uint16_t controlPort() const { return m_controlServer.port(); }
    /// Asks the node to send no more calls, finishes the accepted ones, and then calls the hook.
    void leave(const std::function<void()>& finished);

private:
    struct Call;
    using CallPointer = std::shared_ptr<Call>;
    using Clock = std::chrono::steady_clock;

    void handle(HttpMessage, const std::shared_ptr<HttpConnection>&);
    void handleControl(const HttpMessage&, const std::shared_ptr<HttpConnection>&);
    void answerHealthCheck(const std::shared_ptr<HttpConnection>&);
    /// True if the request ends the process when it runs.
    bool isCrashing(const HttpMessage&) const;
    void startQueued();
    void start(const CallPointer&);
    void finish(const CallPointer&);
    void releaseSlot(const CallPointer&);
    /// Drops a call whose connection has closed.
    void cancel(const CallPointer&);
    void sendAnswer(const CallPointer&);
    /// Refuses a request as the mode repeatsRefusals says; false if it is to run.
    bool refuseRepeatedly(const std::shared_ptr<HttpConnection>&);
    /// Adds the headers in which the backend server tells its state, as its modes say.
    HttpMessage withState(HttpMessage answer) const;
    /// Records the arrival of a request, for GET /arrivals.
    void countArrival(const HttpMessage&);
    std::string arrivals() const;
    void setModes(const BackendModes&);
    std::chrono::microseconds drawTime(const std::string& path);
    void announce();
    void finishWhenIdle(const std::function<void()>& finished);
    std::string stats() const;

    asio::io_context& m_context;
    BackendOptions m_options;
    BackendModes m_modes;
    Clock::time_point m_coldUntil;
    ServiceTimes m_times;
    ExecutionRecord m_record;
    HttpClient m_client;
    HttpServer m_server;
    HttpServer m_controlServer;
    asio::steady_timer m_announceTimer;
    asio::steady_timer m_idleTimer;
    /// Start of this process in milliseconds since 1970, which names the run in announcements.
    std::int64_t m_startedAt;
    /// Calls that wait for a slot, in the order of arrival.
    std::deque<CallPointer> m_queue;
    /// Calls that occupy a slot, which each keeps until its answer is sent.
    std::set<CallPointer> m_running;
    /// Calls that have finished while answers are frozen.
    std::vector<CallPointer> m_frozenCalls;
    /// Calls whose connection closed before they were answered.
    std::uint64_t m_cancelled = 0;
    /// Times at which requests arrived, by kind: "call", "repeat" or "health_check".
    std::map<std::string, std::deque<Clock::time_point>> m_arrivals;
    /// Calls that arrived since refusals are repeated.
    std::uint64_t m_offered = 0;
    /// Connections whose last request was refused.
    std::set<std::weak_ptr<HttpConnection>, std::owner_less<std::weak_ptr<HttpConnection>>> m_refusedConnections;
    /// When leave() was called.
    std::optional<Clock::time_point> m_leaveTime;
    /// When a call last started to run.
    Clock::time_point m_lastStart;
};

} // namespace Knapweedquay::Load
