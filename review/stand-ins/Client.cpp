// Stand-in of clients: sends requests to a node and records the answers.
//
// --to IP:PORT --record FILE --method M --host H --path P --id PREFIX [--deadline-ms N] [--body N] [--count N] [--per-second N]
// [--kept N] [--read-rate BYTES] [--buffer BYTES] [--header "NAME: VALUE"]
//
// Without --kept each request has a connection of its own. With --kept that many connections each carry one request after the
// other, and --count is the number of requests on each.

#include "Wire.h"

#include <thread>
#include <vector>

using namespace Review;

namespace {

constexpr std::chrono::milliseconds spareTime { 2000 };

/// What the command line tells of the requests.
struct Settings {
    Address to;
    std::string method;
    std::string host;
    std::string path;
    std::string prefix;
    std::string header;
    std::uint64_t deadlineMs = 2500;
    std::uint64_t bodyBytes = 0;
    std::uint64_t readRate = 0;
    int bufferBytes = 0;
};

/// Sends requests and records what becomes of them.
class Client {
public:
    Client(Settings settings, const Record& record)
        : m_settings(std::move(settings))
        , m_record(record)
    {
    }

    std::optional<Connection> connect() const
    {
        auto connection = Connection::open(m_settings.to, m_settings.bufferBytes);
        if (connection)
            connection->setTimeout(std::chrono::milliseconds(m_settings.deadlineMs) + spareTime);
        return connection;
    }

    /// False when the connection can't be used for another request.
    bool exchange(Connection& connection, const std::string& id, bool isKept) const
    {
        m_record.add("sent " + id + ' ' + m_settings.method + ' ' + m_settings.path + " host " + m_settings.host + " body " + std::to_string(m_settings.bodyBytes) + (isKept ? " kept" : " fresh"));
        std::string request = m_settings.method + ' ' + m_settings.path + " HTTP/1.1\r\nHost: " + m_settings.host + "\r\nX-Request-Id: " + id
            + "\r\nX-Deadline-Ms: " + std::to_string(m_settings.deadlineMs) + "\r\n";
        if (!m_settings.header.empty())
            request += m_settings.header + "\r\n";
        if (m_settings.method != "GET")
            request += "Content-Length: " + std::to_string(m_settings.bodyBytes) + "\r\n";
        request += "\r\n" + std::string(m_settings.bodyBytes, 'x');
        connection.send(request);
        const auto response = connection.receive(m_settings.readRate);
        if (!response) {
            m_record.add(connection.hasReadHead() ? "cut " + id + " after " + std::to_string(connection.bodyBytes()) + " bytes of the body" : "cut " + id + " without an answer");
            return false;
        }
        const std::string status = response->startLine.substr(response->startLine.find(' ') + 1, 3);
        const std::string signature = response->header("x-response-signature");
        m_record.add("answered " + id + ' ' + status + " signature '" + signature + "' for '" + response->header("x-request-id") + "' body " + std::to_string(response->body.size())
            + (signature.empty() ? ' ' + response->body.substr(0, 160) : std::string()));
        return response->header("connection") != "close";
    }

    void fresh(const std::string& id) const
    {
        auto connection = connect();
        if (connection)
            exchange(*connection, id, false);
        else
            m_record.add("unconnected " + id);
    }

    void kept(const std::string& id, std::uint64_t count) const
    {
        auto connection = connect();
        for (std::uint64_t index = 0; connection && index < count; ++index) {
            if (!exchange(*connection, id + '-' + std::to_string(index), true))
                return;
        }
    }

private:
    Settings m_settings;
    const Record& m_record;
};

} // namespace

int main(int argc, char** argv)
{
    const Options options(argc, argv);
    Settings settings;
    settings.to = parseAddress(options.text("to"));
    settings.method = options.text("method", "GET");
    settings.host = options.text("host");
    settings.path = options.text("path");
    settings.prefix = options.text("id");
    settings.header = options.text("header");
    settings.deadlineMs = options.number("deadline-ms", settings.deadlineMs);
    settings.bodyBytes = options.number("body", 0);
    settings.readRate = options.number("read-rate", 0);
    settings.bufferBytes = static_cast<int>(options.number("buffer", 0));
    const std::uint64_t count = options.number("count", 1);
    const std::uint64_t perSecond = options.number("per-second", 0);
    const std::uint64_t keptConnections = options.number("kept", 0);
    const Record record(options.text("record"));
    const Client client(settings, record);
    std::vector<std::thread> threads;
    const auto startedAt = std::chrono::steady_clock::now();
    const std::uint64_t senders = keptConnections > 0 ? keptConnections : count;
    for (std::uint64_t index = 0; index < senders; ++index) {
        if (perSecond > 0)
            std::this_thread::sleep_until(startedAt + std::chrono::microseconds(index * 1000000 / perSecond));
        const std::string id = settings.prefix + std::to_string(index);
        threads.emplace_back([&client, id, count, keptConnections] { keptConnections > 0 ? client.kept(id, count) : client.fresh(id); });
    }
    for (std::thread& thread : threads)
        thread.join();
}
