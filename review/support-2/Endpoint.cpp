#include "Endpoint.h"

#include <utility>

namespace Knapweedquay::Review {

namespace {

constexpr Milliseconds heartbeatInterval { 1500 };
constexpr std::chrono::seconds connectionTimeout { 120 };
constexpr int statusOk = 200;
constexpr int statusMisdirected = 421;
constexpr int statusUnavailable = 503;

} // namespace

std::string expectedBody(const std::string& requestId)
{
    return "the endpoint's answer to " + requestId + "\n";
}

std::string expectedSignature(const std::string& instance, const std::string& requestId)
{
    return "signed." + instance + '.' + requestId;
}

Endpoint::Endpoint(Record& record, const Address& control, const Address& announced, const Address& listens, const std::string& service, const std::string& id, int slots, Run run)
    : m_record(record)
    , m_control(control)
    , m_run(std::move(run))
{
    m_beat.id = id;
    m_beat.service = service;
    m_beat.address = announced.text();
    m_beat.born = unixMilliseconds();
    m_beat.slots = slots;
    m_server = std::make_unique<Server>(listens, [this](Stream& stream) { serve(stream); });
    if (!m_server->isListening())
        throw SetupError("cannot listen on " + listens.text());
    m_record.write("endpoint " + id + " of " + service + " starts at " + announced.text());
}

Endpoint::~Endpoint()
{
    stopHeartbeats();
    m_server.reset();
}

void Endpoint::startHeartbeats()
{
    m_beats = std::thread([this] { beat(); });
}

void Endpoint::stopHeartbeats()
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_isStopping = true;
    }
    m_stopped.notify_all();
    if (m_beats.joinable())
        m_beats.join();
}

Beat Endpoint::makeBeat()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    ++m_beat.sequence;
    return m_beat;
}

void Endpoint::beat()
{
    std::unique_lock<std::mutex> lock(m_mutex);
    bool wasAcknowledged = false;
    while (!m_isStopping) {
        ++m_beat.sequence;
        const Beat now = m_beat;
        lock.unlock();
        const bool isAcknowledged = sendHeartbeat(m_control, now);
        if (std::exchange(wasAcknowledged, isAcknowledged) != isAcknowledged)
            m_record.write("endpoint " + now.id + ": heartbeat " + std::to_string(now.sequence) + (isAcknowledged ? " is acknowledged" : " gets no acknowledgement"));
        lock.lock();
        m_stopped.wait_for(lock, heartbeatInterval, [this] { return m_isStopping; });
    }
}

Response Endpoint::soundAnswer(const Request& request) const
{
    const std::string id = headerValue(request.headers, "X-Request-Id");
    Response answer;
    answer.status = statusOk;
    answer.headers = { { "X-Request-Id", id }, { "X-Response-Signature", expectedSignature(m_beat.id, id) }, { "X-Server-Load", "1,0," + std::to_string(m_beat.slots) } };
    answer.body = expectedBody(id);
    return answer;
}

void Endpoint::serve(Stream& stream)
{
    Request request;
    while (stream.readRequest(request, Clock::now() + connectionTimeout)) {
        Response answer;
        const std::string expected = headerValue(request.headers, "X-Expected-Instance");
        if (request.target == "/health") {
            answer.status = m_isHealthy ? statusOk : statusUnavailable;
            answer.headers = { { "X-Instance-Id", m_beat.id }, { "X-Server-Load", "0,0," + std::to_string(m_beat.slots) } };
            answer.body = "health\n";
        } else if (!expected.empty() && expected != m_beat.id) {
            answer.status = statusMisdirected;
            answer.headers = { { "X-Instance-Id", m_beat.id } };
            m_record.write("endpoint " + m_beat.id + " rejects " + headerValue(request.headers, "X-Request-Id") + ", which expects " + expected);
        } else {
            if (!m_run(stream, request))
                return;
            continue;
        }
        if (!stream.write(serialize(answer)))
            return;
    }
}

} // namespace Knapweedquay::Review
