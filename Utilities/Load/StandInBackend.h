#pragma once

#include "Load/BackendModes.h"
#include "Load/ExecutionRecord.h"
#include "Load/HttpClient.h"
#include "Load/HttpServer.h"
#include "Load/ServiceTimes.h"

#include <asio/steady_timer.hpp>

#include <deque>
#include <optional>
#include <set>

namespace Knapweedquay::Load {

struct BackendOptions {
    std::uint16_t port = 0;
    std::uint16_t controlPort = 0;
    /// Admin address of its node; empty for a stand-in that announces itself to none.
    std::string node;
    std::string service;
    /// Address that it announces; empty for its own.
    std::string announcedAddress;
    std::size_t slots = 12;
    std::size_t maximumQueue = 1000;
    std::uint64_t seed = 1;
    std::vector<std::string> serviceTimes;
    std::string recordFile;
};

/// A backend server for tests and measurement: slots, a queue, drawn service times, and faults on command.
///
/// The request's id is the query parameter "id"; "size" asks for so many bytes of filler in the answer.
class StandInBackend {
public:
    StandInBackend(asio::io_context&, const BackendOptions&);

    std::uint16_t port() const { return m_server.port(); }
    std::uint16_t controlPort() const { return m_controlServer.port(); }
    /// Tells the node that it leaves, finishes what it has, and then calls the hook.
    void leave(const std::function<void()>& finished);

private:
    struct Call;
    using CallPointer = std::shared_ptr<Call>;
    using Clock = std::chrono::steady_clock;

    void handle(HttpMessage, const std::shared_ptr<HttpConnection>&);
    void handleControl(const HttpMessage&, const std::shared_ptr<HttpConnection>&);
    void startQueued();
    void start(const CallPointer&);
    void finish(const CallPointer&);
    void release(const CallPointer&);
    void cancel(const CallPointer&);
    void answer(const CallPointer&);
    void setModes(const BackendModes&);
    std::chrono::microseconds drawTime(const std::string& path);
    void announce();
    void endWhenIdle(const std::function<void()>& finished);
    std::string stats() const;

    asio::io_context& m_context;
    BackendOptions m_options;
    BackendModes m_modes;
    ServiceTimes m_times;
    ExecutionRecord m_record;
    HttpClient m_client;
    HttpServer m_server;
    HttpServer m_controlServer;
    asio::steady_timer m_announceTimer;
    asio::steady_timer m_idleTimer;
    std::deque<CallPointer> m_queue;
    std::set<CallPointer> m_running;
    std::vector<CallPointer> m_held;
    std::uint64_t m_cancelled = 0;
    std::optional<Clock::time_point> m_leftAt;
    Clock::time_point m_lastStart;
};

} // namespace Knapweedquay::Load
