#include "Load/StandInBackend.h"

#include "Load/EchoAnswer.h"
#include "protocol/CallHeaders.h"

#include <algorithm>
#include <cstdlib>

namespace Knapweedquay::Load {

namespace {

/// Interval at which the backend server repeats its announcement to the node.
constexpr std::chrono::seconds announceInterval { 1 };
constexpr std::chrono::seconds announceTimeout { 1 };
/// Path of health checks, which take no slot.
constexpr const char* healthPath = "/health";
/// Arrivals of one kind that are remembered.
constexpr std::size_t maximumArrivals = 100000;
constexpr std::chrono::milliseconds idleCheckInterval { 20 };
/// Time after the leave during which calls may still arrive that the node sent before it processed the leave.
constexpr std::chrono::seconds leaveGrace { 1 };
constexpr int crashExitCode = 70;
/// Time after the begin of a request at which an earlier refusal is sent once more.
constexpr std::chrono::milliseconds repeatDelay { 20 };

HttpMessage jsonRequest(const std::string& target, const nlohmann::json& body)
{
    HttpMessage request;
    request.method = "POST";
    request.target = target;
    request.headers["content-type"] = "application/json";
    request.body = body.dump();
    return request;
}

} // namespace

/// A request and the connection on which to answer it.
struct StandInBackend::Call {
    Call(asio::io_context& context, HttpMessage message, std::shared_ptr<HttpConnection> owner)
        : request(std::move(message))
        , connection(std::move(owner))
        , timer(context)
    {
    }

    HttpMessage request;
    std::shared_ptr<HttpConnection> connection;
    /// Measures the service time, and then the delay of the answer.
    asio::steady_timer timer;
};

StandInBackend::StandInBackend(asio::io_context& context, const BackendOptions& options)
    : m_context(context)
    , m_options(options)
    , m_times(options.seed)
    , m_record(options.recordFile)
    , m_client(context)
    , m_server(context, options.port, [this](HttpMessage request, const std::shared_ptr<HttpConnection>& connection) { handle(std::move(request), connection); })
    , m_controlServer(context, options.controlPort, [this](const HttpMessage& request, const std::shared_ptr<HttpConnection>& connection) { handleControl(request, connection); })
    , m_announceTimer(context)
    , m_idleTimer(context)
    , m_startedAt(std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count())
{
    for (const std::string& rule : options.serviceTimes)
        m_times.add(rule);
    if (!m_options.node.empty())
        announce();
}

void StandInBackend::handle(HttpMessage request, const std::shared_ptr<HttpConnection>& connection)
{
    countArrival(request);
    if (request.path() == healthPath)
        return answerHealthCheck(connection);
    if (m_modes.refuse || m_queue.size() >= m_options.maximumQueue)
        return connection->send(serializeAnswer(withState(textAnswer(503, "refused\n"))));
    if (m_modes.repeatsRefusals && refuseRepeatedly(connection))
        return;
    if (m_modes.failFast) {
        m_record.add(request.query("id"));
        return connection->send(serializeAnswer(withState(textAnswer(500, "failed\n"))));
    }
    auto call = std::make_shared<Call>(m_context, std::move(request), connection);
    connection->onClosed = [this, weak = std::weak_ptr<Call>(call)] {
        if (const auto closed = weak.lock())
            cancel(closed);
    };
    m_queue.push_back(std::move(call));
    startQueued();
}

bool StandInBackend::refuseRepeatedly(const std::shared_ptr<HttpConnection>& connection)
{
    HttpMessage refusal = textAnswer(503, "refused\n");
    refusal.headers[CallHeaders().notRun] = "1";
    if (m_refusedConnections.erase(connection) > 0) {
        const auto timer = std::make_shared<asio::steady_timer>(m_context, repeatDelay);
        timer->async_wait([timer, weak = std::weak_ptr<HttpConnection>(connection), bytes = serializeAnswer(refusal)](const asio::error_code& error) {
            if (const auto open = weak.lock(); open && !error)
                open->send(bytes);
        });
        return false;
    }
    if (++m_offered % 3 != 0)
        return false;
    m_refusedConnections.insert(connection);
    connection->send(serializeAnswer(refusal));
    return true;
}

void StandInBackend::answerHealthCheck(const std::shared_ptr<HttpConnection>& connection)
{
    const auto timer = std::make_shared<asio::steady_timer>(m_context, std::chrono::milliseconds(m_modes.answerDelayMs));
    timer->async_wait([this, timer, connection](const asio::error_code& error) {
        if (error)
            return;
        HttpMessage answer = withState(textAnswer(200, "healthy\n"));
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(m_coldUntil - Clock::now()).count();
        if (m_modes.coldMs >= 0)
            answer.headers[CallHeaders().cold] = std::to_string(std::max<std::int64_t>(left, 0));
        connection->send(serializeAnswer(answer));
    });
}

void StandInBackend::startQueued()
{
    while (!m_queue.empty() && m_running.size() < m_options.slots) {
        const CallPointer call = m_queue.front();
        m_queue.pop_front();
        start(call);
    }
}

void StandInBackend::start(const CallPointer& call)
{
    m_running.insert(call);
    m_record.add(call->request.query("id"));
    m_lastStart = Clock::now();
    if (isCrashing(call->request)) {
        call->timer.expires_after(std::chrono::milliseconds(m_options.crashDelayMs));
        return call->timer.async_wait([](const asio::error_code& error) {
            if (!error)
                std::_Exit(crashExitCode);
        });
    }
    call->timer.expires_after(drawTime(call->request.path()));
    call->timer.async_wait([this, call](const asio::error_code& error) {
        if (!error)
            finish(call);
    });
}

bool StandInBackend::isCrashing(const HttpMessage& request) const
{
    if (m_options.crashPath.empty() || request.path() != m_options.crashPath)
        return false;
    const bool isCaller = m_options.crashCaller.empty() || request.header("knapweedquay-caller-service") == m_options.crashCaller;
    return isCaller && (m_options.crashBody.empty() || request.body == m_options.crashBody);
}

std::chrono::microseconds StandInBackend::drawTime(const std::string& path)
{
    double factor = m_modes.slowdown;
    if (m_modes.coldCalls > 0) {
        --m_modes.coldCalls;
        factor *= m_modes.coldFactor;
    }
    return std::chrono::duration_cast<std::chrono::microseconds>(m_times.draw(path) * factor);
}

void StandInBackend::finish(const CallPointer& call)
{
    if (m_modes.freezeAnswers) {
        m_frozenCalls.push_back(call);
        return;
    }
    if (m_modes.answerDelayMs == 0)
        return sendAnswer(call);
    call->timer.expires_after(std::chrono::milliseconds(m_modes.answerDelayMs));
    call->timer.async_wait([this, call](const asio::error_code& error) {
        if (!error)
            sendAnswer(call);
    });
}

void StandInBackend::sendAnswer(const CallPointer& call)
{
    const std::string size = call->request.query("size");
    const std::string body = echoAnswer(call->request.query("id"), call->request.body, size.empty() ? 0 : std::stoul(size));
    std::string bytes = serializeAnswer(withState(textAnswer(200, body)));
    call->connection->onClosed = nullptr;
    if (m_modes.endlessBody) {
        call->connection->sendEndless("HTTP/1.1 200 OK\r\n\r\n");
        return releaseSlot(call);
    }
    if (m_modes.shortBody)
        bytes.resize(bytes.size() - body.size() / 2);
    call->connection->send(std::move(bytes), m_modes.shortBody);
    releaseSlot(call);
}

HttpMessage StandInBackend::withState(HttpMessage answer) const
{
    const CallHeaders names;
    if (!m_modes.requestLimit.empty())
        answer.headers[names.requestLimit] = m_modes.requestLimit;
    if (!m_modes.leaving.empty())
        answer.headers[names.leaving] = m_modes.leaving;
    if (m_modes.reportsLoad)
        answer.headers[names.load] = std::to_string(m_running.size()) + "," + std::to_string(m_queue.size()) + "," + std::to_string(m_options.slots) + ",100";
    return answer;
}

void StandInBackend::countArrival(const HttpMessage& request)
{
    const std::string callKind = request.header("knapweedquay-attempt") == "1" ? "repeat" : "call";
    std::deque<Clock::time_point>& times = m_arrivals[request.path() == healthPath ? "health_check" : callKind];
    times.push_back(Clock::now());
    if (times.size() > maximumArrivals)
        times.pop_front();
}

std::string StandInBackend::arrivals() const
{
    // Ages in milliseconds, since the clocks of two processes need not agree.
    nlohmann::json values = nlohmann::json::object();
    const auto now = Clock::now();
    for (const auto& [kind, times] : m_arrivals) {
        for (const Clock::time_point time : times)
            values[kind].push_back(std::chrono::duration<double, std::milli>(now - time).count());
    }
    return values.dump() + "\n";
}

void StandInBackend::releaseSlot(const CallPointer& call)
{
    m_running.erase(call);
    startQueued();
}

void StandInBackend::cancel(const CallPointer& call)
{
    ++m_cancelled;
    call->timer.cancel();
    m_queue.erase(std::remove(m_queue.begin(), m_queue.end(), call), m_queue.end());
    m_frozenCalls.erase(std::remove(m_frozenCalls.begin(), m_frozenCalls.end(), call), m_frozenCalls.end());
    releaseSlot(call);
}

void StandInBackend::handleControl(const HttpMessage& request, const std::shared_ptr<HttpConnection>& connection)
{
    const auto reply = [&](unsigned status, const std::string& text) { connection->send(serializeAnswer(textAnswer(status, text))); };
    if (request.path() == "/executed")
        return reply(200, m_record.text());
    if (request.path() == "/stats")
        return reply(200, stats());
    if (request.path() == "/arrivals")
        return reply(200, arrivals());
    if (request.path() != "/modes")
        return reply(404, "unknown path; use /executed, /stats, /arrivals or /modes\n");
    if (request.method == "POST") {
        try {
            // Modes that the request does not name keep their values.
            nlohmann::json modes = m_modes;
            modes.update(nlohmann::json::parse(request.body));
            setModes(modes.get<BackendModes>());
        } catch (const nlohmann::json::exception& error) {
            return reply(400, std::string(error.what()) + "\n");
        }
    }
    reply(200, nlohmann::json(m_modes).dump() + "\n");
}

void StandInBackend::setModes(const BackendModes& modes)
{
    if (modes.coldMs != m_modes.coldMs)
        m_coldUntil = Clock::now() + std::chrono::milliseconds(modes.coldMs);
    m_modes = modes;
    if (m_modes.freezeAnswers)
        return;
    for (const CallPointer& call : std::exchange(m_frozenCalls, {}))
        finish(call);
}

std::string StandInBackend::stats() const
{
    nlohmann::json values;
    values["running"] = m_running.size();
    values["queued"] = m_queue.size();
    values["executed"] = m_record.total();
    values["cancelled"] = m_cancelled;
    values["leaving"] = m_leaveTime.has_value();
    // Milliseconds from the leave to the last start of a call; negative when none has started since the leave.
    if (m_leaveTime)
        values["lastStartAfterLeaveMs"] = std::chrono::duration<double, std::milli>(m_lastStart - *m_leaveTime).count();
    return values.dump() + "\n";
}

void StandInBackend::announce()
{
    if (m_leaveTime)
        return;
    const std::string address = m_options.announcedAddress.empty() ? "127.0.0.1:" + std::to_string(port()) : m_options.announcedAddress;
    nlohmann::json body { { "service", m_options.service }, { "address", address }, { "slots", m_options.slots }, { "started_at", m_startedAt } };
    if (!m_options.instance.empty())
        body["instance"] = m_options.instance + "-" + std::to_string(m_startedAt);
    m_client.send(m_options.node, jsonRequest("/announce", body), announceTimeout, [](ExchangeFailure, const HttpMessage&) {});
    m_announceTimer.expires_after(announceInterval);
    m_announceTimer.async_wait([this](const asio::error_code& error) {
        if (!error)
            announce();
    });
}

void StandInBackend::leave(const std::function<void()>& finished)
{
    if (m_leaveTime)
        return;
    m_leaveTime = Clock::now();
    m_announceTimer.cancel();
    if (m_options.node.empty())
        return finishWhenIdle(finished);
    m_client.send(m_options.node, jsonRequest("/leave", { { "service", m_options.service } }), announceTimeout, [this, finished](ExchangeFailure, const HttpMessage&) { finishWhenIdle(finished); });
}

void StandInBackend::finishWhenIdle(const std::function<void()>& finished)
{
    const bool isGraceOver = Clock::now() - *m_leaveTime > leaveGrace;
    if (isGraceOver && m_running.empty() && m_queue.empty())
        return finished();
    m_idleTimer.expires_after(idleCheckInterval);
    m_idleTimer.async_wait([this, finished](const asio::error_code&) { finishWhenIdle(finished); });
}

} // namespace Knapweedquay::Load
