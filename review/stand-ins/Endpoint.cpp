// Stand-in of an application endpoint: serves requests, answers health checks and sends heartbeats to its machine's node.
//
// --address IP:PORT --control IP:PORT --service NAME --id ID --record FILE [--slots N] [--work-ms N] [--bytes N]

#include "Wire.h"

#include <netinet/in.h>
#include <sys/socket.h>

#include <atomic>
#include <chrono>
#include <mutex>
#include <thread>

using namespace Review;

namespace {

constexpr std::chrono::milliseconds heartbeatInterval { 1500 };
constexpr std::chrono::milliseconds heartbeatTimeout { 1000 };

/// What the command line tells of the endpoint.
struct Settings {
    Address address;
    Address control;
    std::string service;
    std::string id;
    std::uint64_t slots = 12;
    std::chrono::milliseconds work { 0 };
    std::uint64_t answerBytes = 2;
};

/// The endpoint; each connection has a thread.
class Endpoint {
public:
    Endpoint(Settings settings, const Record& record)
        : m_settings(std::move(settings))
        , m_record(record)
        , m_born(std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count())
    {
    }

    void announce()
    {
        for (std::uint64_t sequence = 1;; ++sequence) {
            sendHeartbeat(sequence);
            std::this_thread::sleep_for(heartbeatInterval);
        }
    }

    void serve(Connection connection)
    {
        while (const auto request = connection.receive()) {
            if (!connection.send(answer(*request)))
                return;
        }
    }

private:
    void sendHeartbeat(std::uint64_t sequence) const
    {
        auto connection = Connection::open(m_settings.control);
        if (!connection)
            return;
        connection->setTimeout(heartbeatTimeout);
        const std::string body = "{\"Service\":\"" + m_settings.service + "\",\"Address\":\"" + m_settings.address.ip + ':' + std::to_string(m_settings.address.port)
            + R"(","Zone":"zone-a","Version":"v1","Slots":)" + std::to_string(m_settings.slots) + R"(,"State":"ready","ColdRemainingS":0,"Sequence":)"
            + std::to_string(sequence) + ",\"born\":" + std::to_string(m_born) + '}';
        connection->send("POST /v1/Instances.Heartbeat/" + m_settings.id + " HTTP/1.1\r\nHost: " + m_settings.control.ip
            + "\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
        connection->receive();
    }

    std::string answer(const Message& request)
    {
        const std::size_t methodEnd = request.startLine.find(' ');
        const std::string method = request.startLine.substr(0, methodEnd);
        const std::string path = request.startLine.substr(methodEnd + 1, request.startLine.find(' ', methodEnd + 1) - methodEnd - 1);
        if (path == "/health")
            return head("200 OK", {}) + "X-Instance-Id: " + m_settings.id + "\r\nContent-Length: 0\r\n\r\n";
        const std::string requestId = request.header("x-request-id");
        const std::string expected = request.header("x-expected-instance");
        if (!expected.empty() && expected != m_settings.id)
            return head("421 Misdirected Request", requestId) + "X-Instance-Id: " + m_settings.id + "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
        ++m_running;
        m_record.add("run " + requestId + " at " + m_settings.id + " service " + m_settings.service + ' ' + method + ' ' + path + " caller-service '" + request.header("x-caller-service") + "' body " + std::to_string(request.body.size()));
        std::this_thread::sleep_for(m_settings.work);
        m_record.add("done " + requestId + " at " + m_settings.id);
        --m_running;
        return head("200 OK", requestId) + "X-Response-Signature: " + m_settings.id + '.' + requestId + "\r\nContent-Length: " + std::to_string(m_settings.answerBytes)
            + "\r\n\r\n" + std::string(m_settings.answerBytes, 'y');
    }

    std::string head(const std::string& status, const std::string& requestId) const
    {
        std::string text = "HTTP/1.1 " + status + "\r\n";
        if (!requestId.empty())
            text += "X-Request-Id: " + requestId + "\r\n";
        return text + "X-Server-Load: " + std::to_string(m_running.load()) + ",0," + std::to_string(m_settings.slots) + ",100\r\n";
    }

    Settings m_settings;
    const Record& m_record;
    std::int64_t m_born;
    std::atomic<std::uint64_t> m_running { 0 };
};

} // namespace

int main(int argc, char** argv)
{
    const Options options(argc, argv);
    Settings settings;
    settings.address = parseAddress(options.text("address"));
    settings.control = parseAddress(options.text("control"));
    settings.service = options.text("service");
    settings.id = options.text("id");
    settings.slots = options.number("slots", settings.slots);
    settings.work = std::chrono::milliseconds(options.number("work-ms", 0));
    settings.answerBytes = options.number("bytes", settings.answerBytes);
    const Record record(options.text("record"));
    Endpoint endpoint(settings, record);
    const int listener = listenAt(settings.address);
    std::thread([&endpoint] { endpoint.announce(); }).detach();
    while (true) {
        const int descriptor = ::accept(listener, nullptr, nullptr);
        if (descriptor >= 0)
            std::thread([&endpoint, descriptor] { endpoint.serve(Connection(descriptor)); }).detach();
    }
}
