#include "transport/HttpClient.h"

#include "protocol/SocketAddress.h"
#include "transport/HttpParser.h"
#include "transport/SocketOptions.h"
#include "transport/SteadyTime.h"

#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/write.hpp>

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <algorithm>
#include <array>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Knapweedquay {

namespace {

constexpr std::size_t readBufferBytes = 8 * 1024;
constexpr std::size_t maximumPooledPerServer = 256;
constexpr Duration connectTimeout { 1000000 };
/// Taken off the idle time that a server announces, for the way of the next request to it.
constexpr Duration keepAliveMargin { 700000 };
/// Deadlines that lie this close together share one wake-up.
constexpr Duration expiryGranularity { 5000 };
constexpr std::uint16_t firstFinalStatus = 200;

std::string serialize(const std::string& server, const HttpRequest& request)
{
    std::string text = request.method + ' ' + request.target + " HTTP/1.1\r\n";
    if (!findHeader(request.headers, "Host"))
        text += "Host: " + server + "\r\n";
    for (const HttpHeader& header : request.headers)
        text += header.name + ": " + header.value + "\r\n";
    const bool hasBody = !request.body.empty() || request.method == "POST" || request.method == "PUT" || request.method == "PATCH";
    if (hasBody)
        text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    return text + "\r\n" + request.body;
}

// Idle time that a Keep-Alive header allows; the largest value when it names none.
Duration announcedIdleTime(const HttpHeaders& headers)
{
    constexpr std::string_view parameter = "timeout=";
    const std::string* value = findHeader(headers, "Keep-Alive");
    const std::size_t start = value ? value->find(parameter) : std::string::npos;
    if (start == std::string::npos)
        return Duration::max();
    const std::string_view rest = std::string_view(*value).substr(start + parameter.size());
    const auto seconds = parseNumber(rest.substr(0, rest.find_first_not_of("0123456789")));
    if (!seconds)
        return Duration::max();
    return std::chrono::seconds(*seconds) - keepAliveMargin;
}

} // namespace

class HttpClient::Implementation {
public:
    class Connection;
    using ConnectionPtr = boost::intrusive_ptr<Connection>;

    struct Exchange {
        RequestId id = 0;
        std::string server;
        std::string bytes;
        bool isHead = false;
        Options options;
        Hook hook;
        TimePoint deadline;
        ConnectionPtr connection;
        bool hasRepeated = false;
    };

    explicit Implementation(asio::io_context& context)
        : m_context(context)
        , m_life(std::make_shared<char>())
        , m_timer(context, [this] { expire(); })
    {
    }
    ~Implementation();

    RequestId send(const std::string& server, const HttpRequest&, const Options&, Hook);
    void cancel(RequestId);
    void closeIdleConnections(const std::string& server);
    const Counters& counters() const { return m_counters; }

private:
    void begin(Exchange&);
    ConnectionPtr takeIdle(const std::string& server, Duration maximumIdle);
    void succeed(RequestId, HttpResponse);
    void fail(RequestId, Failure);
    void connectionFailed(Connection&, const Failure&);
    void finish(RequestId, Outcome);
    void keep(const ConnectionPtr&);
    void dropIdle(Connection&);
    void schedule(TimePoint);
    void expire();

    asio::io_context& m_context;
    std::shared_ptr<char> m_life;
    RequestId m_lastId = 0;
    std::unordered_map<RequestId, Exchange> m_exchanges;
    std::multimap<TimePoint, RequestId> m_deadlines;
    TimePoint m_timerAt = TimePoint::max();
    std::map<std::string, std::vector<ConnectionPtr>> m_idle;
    Counters m_counters;
    Timer m_timer;
};

/// One connection to a server: carries one exchange at a time, or waits in the pool.
class HttpClient::Implementation::Connection : public boost::intrusive_ref_counter<Connection, boost::thread_unsafe_counter> {
public:
    Connection(Implementation& client, std::string server)
        : m_client(&client)
        , m_life(client.m_life)
        , m_server(std::move(server))
        , m_socket(client.m_context)
        , m_parser(HttpParser::Kind::Responses, {})
    {
    }

    void start(Exchange&);
    void connect(Exchange&);
    void close();
    bool isClosed() const { return m_isClosed; }
    const std::string& server() const { return m_server; }
    RequestId exchange() const { return m_exchange; }
    bool wasPooled() const { return m_wasPooled; }
    bool hasSent() const { return m_hasSent; }
    bool hasReceived() const { return m_hasReceived; }
    Duration idleTime() const { return steadyNow() - m_idleSince; }
    Duration maximumIdleTime() const { return m_maximumIdleTime; }
    void becomeIdle() { m_idleSince = steadyNow(); }

private:
    bool isAlive() const { return !m_life.expired() && !m_isClosed; }
    void write();
    void read();
    void handleRead(const asio::error_code&, std::size_t length);
    void process();
    void handleResponse();
    void failExchange(ResultCode, const std::string& reason);

    Implementation* m_client;
    std::weak_ptr<char> m_life;
    std::string m_server;
    asio::ip::tcp::socket m_socket;
    HttpParser m_parser;
    std::array<char, readBufferBytes> m_buffer {};
    std::string m_input;
    std::string m_output;
    /// 0 while the connection is idle.
    RequestId m_exchange = 0;
    std::function<bool(const HttpResponse&)> m_matchesRequest;
    Duration m_maximumIdleTime = Duration::max();
    TimePoint m_idleSince;
    bool m_isReading = false;
    bool m_isWriting = false;
    bool m_hasSent = false;
    bool m_hasReceived = false;
    bool m_wasPooled = false;
    bool m_hadForeignResponse = false;
    bool m_isClosed = false;
};

void HttpClient::Implementation::Connection::connect(Exchange& exchange)
{
    m_exchange = exchange.id;
    const auto address = parseSocketAddress(m_server);
    asio::error_code error;
    const auto ip = asio::ip::make_address(address.has_value() ? address.value().ip : std::string(), error);
    if (error) {
        asio::post(m_client->m_context, [self = ConnectionPtr(this)] {
            if (self->isAlive())
                self->failExchange(ResultCode::ConnectionFailed, "'" + self->m_server + "' is no address");
        });
        return;
    }
    ++m_client->m_counters.connectionsOpened;
    m_socket.async_connect({ ip, address.value().port }, [self = ConnectionPtr(this)](const asio::error_code& failure) {
        if (!self->isAlive())
            return;
        if (failure)
            return self->failExchange(ResultCode::ConnectionFailed, "cannot connect to " + self->m_server + ": " + failure.message());
        prepareStream(self->m_socket);
        const auto entry = self->m_client->m_exchanges.find(self->m_exchange);
        if (entry != self->m_client->m_exchanges.end())
            self->start(entry->second);
    });
}

void HttpClient::Implementation::Connection::start(Exchange& exchange)
{
    m_wasPooled = m_exchange != exchange.id;
    m_exchange = exchange.id;
    m_matchesRequest = exchange.options.matchesRequest;
    m_hasSent = false;
    m_hasReceived = false;
    m_parser.setLimits({ HttpParser::Limits().headerBytes, exchange.options.maximumBodyBytes });
    m_parser.expectNoBody(exchange.isHead);
    m_output = exchange.bytes;
    write();
    read();
}

void HttpClient::Implementation::Connection::write()
{
    m_isWriting = true;
    m_hasSent = true;
    asio::async_write(m_socket, asio::buffer(m_output), [self = ConnectionPtr(this)](const asio::error_code& error, std::size_t) {
        self->m_isWriting = false;
        // A response that is there already may still be read; the end of reading tells the failure.
        if (error && self->isAlive())
            self->m_hadForeignResponse = true;
    });
}

void HttpClient::Implementation::Connection::read()
{
    if (std::exchange(m_isReading, true))
        return;
    m_socket.async_read_some(asio::buffer(m_buffer), [self = ConnectionPtr(this)](const asio::error_code& error, std::size_t length) {
        self->m_isReading = false;
        if (self->isAlive())
            self->handleRead(error, length);
    });
}

void HttpClient::Implementation::Connection::handleRead(const asio::error_code& error, std::size_t length)
{
    if (m_exchange == 0) {
        // The server ended the idle connection, or sent bytes that answer nothing.
        if (!error)
            ++m_client->m_counters.foreignResponses;
        m_client->dropIdle(*this);
        return;
    }
    if (error) {
        const bool isWhole = error == asio::error::eof && m_parser.isInMessage() && m_parser.finish() == HttpParser::Progress::Complete;
        if (isWhole)
            return handleResponse();
        return failExchange(ResultCode::AnswerIncomplete, "the connection ended before the answer was whole: " + error.message());
    }
    m_hasReceived = true;
    m_input.append(m_buffer.data(), length);
    process();
}

void HttpClient::Implementation::Connection::process()
{
    while (!m_input.empty() && m_exchange != 0 && !m_isClosed) {
        std::size_t consumed = 0;
        const HttpParser::Progress progress = m_parser.feed(m_input, consumed);
        m_input.erase(0, consumed);
        if (progress == HttpParser::Progress::Failed)
            return failExchange(ResultCode::AnswerIncomplete, "the answer is not well-formed HTTP/1.1, or too large");
        if (progress == HttpParser::Progress::Complete)
            handleResponse();
        else
            break;
    }
    if (!m_isClosed)
        read();
}

void HttpClient::Implementation::Connection::handleResponse()
{
    const bool keepsConnection = m_parser.keepsConnection();
    HttpResponse response = m_parser.takeResponse();
    if (response.status < firstFinalStatus)
        return;
    if (m_matchesRequest && !m_matchesRequest(response)) {
        ++m_client->m_counters.foreignResponses;
        m_hadForeignResponse = true;
        if (!keepsConnection)
            failExchange(ResultCode::AnswerIncomplete, "the connection ended behind an answer to another request");
        return;
    }
    const ConnectionPtr keptAlive(this);
    const RequestId exchange = std::exchange(m_exchange, 0);
    m_matchesRequest = nullptr;
    m_maximumIdleTime = announcedIdleTime(response.headers);
    if (keepsConnection && !m_isWriting && !m_hadForeignResponse && m_input.empty())
        m_client->keep(keptAlive);
    else
        close();
    m_client->succeed(exchange, std::move(response));
}

void HttpClient::Implementation::Connection::failExchange(ResultCode code, const std::string& reason)
{
    const ConnectionPtr keptAlive(this);
    close();
    m_client->connectionFailed(*this, { { code, reason }, m_hasSent });
}

void HttpClient::Implementation::Connection::close()
{
    if (std::exchange(m_isClosed, true))
        return;
    asio::error_code ignored;
    m_socket.close(ignored);
}

HttpClient::Implementation::~Implementation()
{
    m_life.reset();
    for (auto& [id, exchange] : m_exchanges) {
        if (exchange.connection)
            exchange.connection->close();
    }
    for (auto& [server, connections] : m_idle) {
        for (const ConnectionPtr& connection : connections)
            connection->close();
    }
}

HttpClient::RequestId HttpClient::Implementation::send(const std::string& server, const HttpRequest& request, const Options& options, Hook hook)
{
    const RequestId id = ++m_lastId;
    Exchange& exchange = m_exchanges[id];
    exchange.id = id;
    exchange.server = server;
    exchange.bytes = serialize(server, request);
    exchange.isHead = request.method == "HEAD";
    exchange.options = options;
    exchange.hook = std::move(hook);
    exchange.deadline = steadyNow() + options.timeout;
    m_deadlines.emplace(exchange.deadline, id);
    begin(exchange);
    schedule(exchange.deadline);
    return id;
}

void HttpClient::Implementation::begin(Exchange& exchange)
{
    exchange.connection = exchange.hasRepeated ? nullptr : takeIdle(exchange.server, exchange.options.maximumIdle);
    if (exchange.connection)
        return exchange.connection->start(exchange);
    exchange.connection = ConnectionPtr(new Connection(*this, exchange.server));
    exchange.connection->connect(exchange);
    const TimePoint connectBy = steadyNow() + connectTimeout;
    if (connectBy < exchange.deadline) {
        m_deadlines.emplace(connectBy, exchange.id);
        schedule(connectBy);
    }
}

HttpClient::Implementation::ConnectionPtr HttpClient::Implementation::takeIdle(const std::string& server, Duration maximumIdle)
{
    const auto entry = m_idle.find(server);
    if (entry == m_idle.end())
        return nullptr;
    std::vector<ConnectionPtr>& connections = entry->second;
    // The newest are used first; what lies longer than its server allows is closed.
    while (!connections.empty()) {
        ConnectionPtr connection = connections.back();
        const Duration idle = connection->idleTime();
        if (idle > maximumIdle && idle <= connection->maximumIdleTime())
            return nullptr;
        connections.pop_back();
        if (idle <= std::min(maximumIdle, connection->maximumIdleTime()))
            return connection;
        connection->close();
    }
    return nullptr;
}

void HttpClient::Implementation::keep(const ConnectionPtr& connection)
{
    std::vector<ConnectionPtr>& connections = m_idle[connection->server()];
    if (connections.size() >= maximumPooledPerServer)
        return connection->close();
    connection->becomeIdle();
    connections.push_back(connection);
}

void HttpClient::Implementation::dropIdle(Connection& connection)
{
    const ConnectionPtr keptAlive(&connection);
    connection.close();
    const auto entry = m_idle.find(connection.server());
    if (entry == m_idle.end())
        return;
    std::vector<ConnectionPtr>& connections = entry->second;
    connections.erase(std::remove(connections.begin(), connections.end(), keptAlive), connections.end());
}

void HttpClient::Implementation::closeIdleConnections(const std::string& server)
{
    const auto entry = m_idle.find(server);
    if (entry == m_idle.end())
        return;
    const std::vector<ConnectionPtr> connections = std::move(entry->second);
    m_idle.erase(entry);
    for (const ConnectionPtr& connection : connections)
        connection->close();
}

void HttpClient::Implementation::cancel(RequestId id)
{
    const auto entry = m_exchanges.find(id);
    if (entry == m_exchanges.end())
        return;
    const ConnectionPtr connection = std::move(entry->second.connection);
    m_exchanges.erase(entry);
    if (connection)
        connection->close();
}

void HttpClient::Implementation::succeed(RequestId id, HttpResponse response)
{
    Outcome outcome;
    outcome.succeeded = true;
    outcome.response = std::move(response);
    finish(id, std::move(outcome));
}

void HttpClient::Implementation::connectionFailed(Connection& connection, const Failure& failure)
{
    const auto entry = m_exchanges.find(connection.exchange());
    if (entry == m_exchanges.end() || entry->second.connection.get() != &connection)
        return;
    Exchange& exchange = entry->second;
    const bool isStalePooled = connection.wasPooled() && !connection.hasReceived();
    if (isStalePooled && exchange.options.mayRepeat && !exchange.hasRepeated) {
        exchange.hasRepeated = true;
        return begin(exchange);
    }
    fail(exchange.id, failure);
}

void HttpClient::Implementation::fail(RequestId id, Failure failure)
{
    Outcome outcome;
    outcome.failure = std::move(failure);
    finish(id, std::move(outcome));
}

void HttpClient::Implementation::finish(RequestId id, Outcome outcome)
{
    const auto entry = m_exchanges.find(id);
    if (entry == m_exchanges.end())
        return;
    const Hook hook = std::move(entry->second.hook);
    m_exchanges.erase(entry);
    hook(std::move(outcome));
}

void HttpClient::Implementation::schedule(TimePoint at)
{
    if (at >= m_timerAt)
        return;
    m_timerAt = at;
    m_timer.setAt(at);
}

void HttpClient::Implementation::expire()
{
    const TimePoint now = steadyNow();
    m_timerAt = TimePoint::max();
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
        const RequestId id = m_deadlines.begin()->second;
        m_deadlines.erase(m_deadlines.begin());
        const auto entry = m_exchanges.find(id);
        if (entry == m_exchanges.end())
            continue;
        const ConnectionPtr connection = entry->second.connection;
        const bool hasSent = connection && (connection->hasSent() || entry->second.hasRepeated);
        if (entry->second.deadline > now && (!connection || connection->hasSent()))
            continue;
        const bool isExpired = entry->second.deadline <= now;
        if (connection)
            connection->close();
        fail(id, { { isExpired ? ResultCode::TimedOut : ResultCode::ConnectionFailed, isExpired ? "no whole answer in time" : "no connection in time" }, hasSent });
    }
    if (!m_deadlines.empty())
        schedule(std::max(m_deadlines.begin()->first, now + expiryGranularity));
}

HttpClient::HttpClient(asio::io_context& context)
    : m_implementation(std::make_unique<Implementation>(context))
{
}

HttpClient::~HttpClient() = default;

HttpClient::RequestId HttpClient::send(const std::string& server, const HttpRequest& request, const Options& options, Hook hook)
{
    return m_implementation->send(server, request, options, std::move(hook));
}

void HttpClient::cancel(RequestId id)
{
    m_implementation->cancel(id);
}

void HttpClient::closeIdleConnections(const std::string& server)
{
    m_implementation->closeIdleConnections(server);
}

const HttpClient::Counters& HttpClient::counters() const
{
    return m_implementation->counters();
}

} // namespace Knapweedquay
