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
#include <deque>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Knapweedquay {

namespace {

/// Size of the buffer for one read of a connection.
constexpr std::size_t readBufferBytes = 8 * 1024;
/// Maximum number of idle connections that are kept for one server.
constexpr std::size_t maximumPooledPerServer = 256;
/// Interval between checks whether there is room for the bodies of responses that wait for it.
constexpr Duration roomInterval { 5000 };
/// A request fails when its connection is not open after this time.
constexpr Duration connectTimeout { 1000000 };
/// Subtracted from the idle timeout that a server advertises, to allow for the transit of the next request.
constexpr Duration keepAliveMargin { 700000 };
/// Shortest interval between two expiries of the timer; deadlines within it are handled together.
constexpr Duration expiryGranularity { 5000 };
/// A pooled connection that ends within this time after a request was sent on it was closed before the request arrived. Later
/// the server has probably ended while it ran the request, and another one is the better choice.
constexpr Duration staleConnectionWindow { 100000 };
/// Interim responses and responses to other requests that one request reads over; a server that sends more sends them without
/// end.
constexpr int maximumSkippedResponses = 16;
/// Lower statuses belong to interim responses, which the final response follows.
constexpr std::uint16_t firstFinalStatus = 200;

/// Serializes a request, without a large body, which is sent apart.
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
    text += "\r\n";
    if (!request.body.isLarge())
        text += request.body.bytes();
    return text;
}

// Idle time that a Keep-Alive header allows, less a margin; the largest Duration when it has no timeout parameter.
Duration advertisedIdleTime(const HttpHeaders& headers)
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

/// Holds the requests in progress, their deadlines and the pool of idle connections.
class HttpClient::Implementation {
public:
    class Connection;
    using ConnectionPtr = boost::intrusive_ptr<Connection>;

    /// A server and the name of one of its pools.
    using PoolName = std::pair<std::string, std::string>;

    /// A request without a result.
    struct Exchange {
        RequestId id = 0;
        std::string server;
        /// The serialized request.
        std::string text;
        /// A large body that follows the text.
        Body body;
        bool isHead = false;
        Options options;
        Hook hook;
        TimePoint deadline;
        /// Connection that the request is sent on, possibly still being opened.
        ConnectionPtr connection;
        /// True once the request was started again after a pooled connection had failed.
        bool wasResent = false;
    };

    Implementation(asio::io_context& context, BodyBudgetPointer bodies)
        : m_context(context)
        , m_bodies(std::move(bodies))
        , m_lifetime(std::make_shared<char>())
        , m_timer(context, [this] { expire(); })
        , m_roomTimer(context, [this] { continueWaitingBodies(); })
    {
    }
    ~Implementation();

    RequestId send(const std::string& server, const HttpRequest&, const Options&, Hook);
    void cancel(RequestId);
    void closeIdleConnections(const std::string& server);
    const Counters& counters() const { return m_counters; }

private:
    /// Fails the request with the largest response body of unknown length, among large bodies or small ones. Returns false if
    /// there is none.
    bool failLargestBody(bool isLarge);
    /// Reads on where there is room now for a body that waits for it.
    void continueWaitingBodies();
    /// Limits the wait of a request for another response to Options::maximumDoubt from now.
    void limitWait(RequestId);
    /// Sends the request on an idle connection, or opens a new one.
    void startExchange(Exchange&);
    /// Removes a usable connection from its pool; null when there is none.
    ConnectionPtr takeIdle(const PoolName&, Duration maximumIdle);
    void succeed(RequestId, HttpResponse);
    void fail(RequestId, Failure);
    /// Resends the request of a stale pooled connection if that is allowed, otherwise fails it.
    void handleConnectionFailure(Connection&, const Failure&);
    void finish(RequestId, Outcome);
    void returnToPool(const ConnectionPtr&);
    /// Closes a connection and removes it from the pool.
    void discardIdle(Connection&);
    /// Makes the timer expire at this time at the latest.
    void schedule(TimePoint);
    /// Fails the requests whose deadline or connect timeout has expired.
    void expire();

    asio::io_context& m_context;
    BodyBudgetPointer m_bodies;
    /// Connections that read on once there is room for the bodies of their responses, in the order of arrival.
    std::deque<ConnectionPtr> m_waitingForRoom;
    /// Destroyed with the client; pending Asio handlers detect by a weak reference that the client no longer exists.
    std::shared_ptr<char> m_lifetime;
    RequestId m_lastId = 0;
    std::unordered_map<RequestId, Exchange> m_exchanges;
    /// Deadlines and connect timeouts; entries of finished requests remain until they expire.
    std::multimap<TimePoint, RequestId> m_deadlines;
    /// When the timer expires next; the largest value when it isn't set.
    TimePoint m_timerExpiry = TimePoint::max();
    /// Idle connections by server and pool, the most recently used last.
    std::map<PoolName, std::vector<ConnectionPtr>> m_idle;
    Counters m_counters;
    Timer m_timer;
    Timer m_roomTimer;
};

/// One connection to a server; it carries one exchange at a time or is idle in the pool.
class HttpClient::Implementation::Connection : public boost::intrusive_ref_counter<Connection, boost::thread_unsafe_counter> {
public:
    Connection(Implementation& client, std::string server, std::string pool)
        : m_client(&client)
        , m_lifetime(client.m_lifetime)
        , m_server(std::move(server))
        , m_pool(std::move(pool))
        , m_socket(client.m_context)
        , m_parser(HttpParser::Kind::Responses, {})
    {
    }

    /// Sends the request of an exchange on the open connection.
    void start(Exchange&);
    /// Opens the connection, then sends the request of the exchange.
    void connect(Exchange&);
    void close();
    bool isClosed() const { return m_isClosed; }
    PoolName poolName() const { return { m_server, m_pool }; }
    RequestId exchange() const { return m_exchange; }
    /// Size of the response body that was received in part, if its length is not known.
    std::size_t unboundedBytes() const { return m_bodyReservation && !m_parser.announcedBodyBytes() ? m_bodyReservation->bytes() : 0; }
    /// Reads on if there is room for the body of the response. Returns false if there is none.
    bool continueWithRoom();
    /// Closes the connection, and fails its request since the responses in progress are too large.
    void failTooLarge() { failExchange(ResultCode::AnswerIncomplete, "the answers that are being received are too large", true); }
    /// True when the server had probably closed the connection before the request reached it.
    bool wasStale() const { return m_wasPooled && !m_hasReceived && steadyNow() - m_sentAt <= staleConnectionWindow; }
    bool hasSent() const { return m_hasSent; }
    Duration idleTime() const { return steadyNow() - m_idleSince; }
    /// Idle time after which the server may close the connection.
    Duration maximumIdleTime() const { return m_maximumIdleTime; }
    void becomeIdle() { m_idleSince = steadyNow(); }

private:
    /// False when the client no longer exists or the connection is closed.
    bool isAlive() const { return !m_lifetime.expired() && !m_isClosed; }
    void write();
    void read();
    void handleRead(const asio::error_code&, std::size_t length);
    /// Parses the buffered input and handles complete responses.
    void process();
    /// Reserves room for the response body that is being received. Returns false if it has to wait, or its request failed.
    bool reserveBody();
    void handleResponse();
    /// Closes the connection and reports the failure to the client.
    void failExchange(Failure);
    void failExchange(ResultCode, const std::string& reason, bool isTooLarge = false);

    Implementation* m_client;
    std::weak_ptr<char> m_lifetime;
    std::string m_server;
    std::string m_pool;
    asio::ip::tcp::socket m_socket;
    HttpParser m_parser;
    std::array<char, readBufferBytes> m_buffer {};
    /// Bytes that were received but not parsed yet.
    std::string m_input;
    /// The serialized request.
    std::string m_output;
    /// A large body that follows it.
    Body m_outputBody;
    /// The exchange in progress; 0 while the connection is idle.
    RequestId m_exchange = 0;
    std::function<Match(const HttpResponse&, bool isReused)> m_matchesRequest;
    std::function<bool(const HttpResponse&)> m_endsConnection;
    Duration m_maximumIdleTime = Duration::max();
    TimePoint m_idleSince;
    bool m_isReading = false;
    bool m_isWriting = false;
    /// True once a write of the current request was started.
    bool m_hasSent = false;
    /// When that write was started.
    TimePoint m_sentAt;
    /// True once a byte was received since that write was started.
    bool m_hasReceived = false;
    bool m_wasPooled = false;
    /// Of the response body that was received in part; null without one.
    BodyReservationPointer m_bodyReservation;
    /// Responses that were read over for the current request.
    int m_skippedResponses = 0;
    /// True after an unmatched response, after which the connection must not be reused.
    bool m_preventsReuse = false;
    bool m_hasWriteFailed = false;
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
        if (failure) {
            Failure reason { { ResultCode::ConnectionFailed, "cannot connect to " + self->m_server + ": " + failure.message() } };
            reason.isRefused = failure == asio::error::connection_refused;
            return self->failExchange(std::move(reason));
        }
        configureStream(self->m_socket);
        const auto entry = self->m_client->m_exchanges.find(self->m_exchange);
        if (entry == self->m_client->m_exchanges.end())
            return;
        if (entry->second.options.maySend && !entry->second.options.maySend())
            return self->failExchange({ { ResultCode::CancelledBeforeStart, "the sender no longer allows the request" }, false });
        self->start(entry->second);
    });
}

void HttpClient::Implementation::Connection::start(Exchange& exchange)
{
    m_wasPooled = m_exchange != exchange.id;
    m_exchange = exchange.id;
    m_matchesRequest = exchange.options.matchesRequest;
    m_endsConnection = exchange.options.endsConnection;
    m_hasSent = false;
    m_hasReceived = false;
    m_skippedResponses = 0;
    m_parser.setLimits({ HttpParser::Limits().headerBytes, exchange.options.maximumBodyBytes });
    m_parser.expectNoBody(exchange.isHead);
    m_output = exchange.text;
    m_outputBody = exchange.body;
    write();
    read();
}

void HttpClient::Implementation::Connection::write()
{
    m_isWriting = true;
    m_hasSent = true;
    m_sentAt = steadyNow();
    const std::array<asio::const_buffer, 2> buffers { asio::buffer(m_output), asio::buffer(m_outputBody.bytes()) };
    asio::async_write(m_socket, buffers, [self = ConnectionPtr(this)](const asio::error_code& error, std::size_t) {
        self->m_isWriting = false;
        // A response that has already arrived may still be read; the failure is reported when reading ends.
        if (error && self->isAlive())
            self->m_hasWriteFailed = true;
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
        // The server closed the idle connection, or sent bytes without a request.
        if (!error)
            ++m_client->m_counters.unmatchedResponses;
        m_client->discardIdle(*this);
        return;
    }
    if (error) {
        // A reset is reported to one of write and read; the other one sees an end in order.
        const bool isInOrder = error == asio::error::eof && !m_isWriting && !m_hasWriteFailed;
        const bool isComplete = isInOrder && m_parser.isInMessage() && m_parser.finish() == HttpParser::Progress::Complete;
        if (isComplete)
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
            return failExchange(ResultCode::AnswerIncomplete, "the answer is not well-formed HTTP/1.1, or too large", m_parser.failure() != HttpParser::Failure::Malformed);
        const ConnectionPtr keptAlive(this);
        if (progress != HttpParser::Progress::Complete) {
            if (!reserveBody())
                return;
            break;
        }
        handleResponse();
    }
    if (!m_isClosed)
        read();
}

void HttpClient::Implementation::Connection::handleResponse()
{
    const bool keepsConnection = m_parser.keepsConnection();
    // Small bodies count until they are whole: caches keep them for long.
    BodyReservationPointer reservation = std::exchange(m_bodyReservation, nullptr);
    if (m_parser.bodyBytes() <= largeBodyBytes)
        reservation.reset();
    HttpResponse response = m_parser.takeResponse(std::move(reservation));
    const bool isInterim = response.status < firstFinalStatus;
    const Match match = !isInterim && m_matchesRequest ? m_matchesRequest(response, m_wasPooled) : Match::Yes;
    const bool isUnmatched = match != Match::Yes;
    if ((isInterim || isUnmatched) && ++m_skippedResponses > maximumSkippedResponses)
        return failExchange(ResultCode::AnswerIncomplete, "too many responses before the one to this request", true);
    if (isInterim)
        return;
    if (isUnmatched) {
        ++m_client->m_counters.unmatchedResponses;
        m_preventsReuse = true;
        if (!keepsConnection)
            failExchange(ResultCode::AnswerIncomplete, "the connection ended behind an answer to another request");
        else if (match == Match::Doubtful)
            m_client->limitWait(m_exchange);
        return;
    }
    const ConnectionPtr keptAlive(this);
    const RequestId exchange = std::exchange(m_exchange, 0);
    const bool isEnd = m_endsConnection && m_endsConnection(response);
    m_matchesRequest = nullptr;
    m_endsConnection = nullptr;
    m_maximumIdleTime = advertisedIdleTime(response.headers);
    if (!m_isWriting)
        m_outputBody = Body();
    if (keepsConnection && !isEnd && !m_isWriting && !m_hasWriteFailed && !m_preventsReuse && m_input.empty())
        m_client->returnToPool(keptAlive);
    else
        close();
    m_client->succeed(exchange, std::move(response));
}

void HttpClient::Implementation::Connection::failExchange(ResultCode code, const std::string& reason, bool isTooLarge)
{
    Failure failure { { code, reason } };
    failure.isTooLarge = isTooLarge;
    failExchange(std::move(failure));
}

void HttpClient::Implementation::Connection::failExchange(Failure failure)
{
    const ConnectionPtr keptAlive(this);
    close();
    failure.mayHaveRun = m_hasSent;
    m_client->handleConnectionFailure(*this, failure);
}

bool HttpClient::Implementation::Connection::reserveBody()
{
    const std::size_t announced = m_parser.hasHeaders() ? static_cast<std::size_t>(m_parser.announcedBodyBytes().value_or(0)) : 0;
    const std::size_t expected = std::max(m_parser.bodyBytes(), announced);
    if (m_bodyReservation ? expected <= m_bodyReservation->bytes() : expected == 0)
        return true;
    if (!m_bodyReservation)
        m_bodyReservation = std::make_shared<BodyReservation>(m_client->m_bodies);
    if (m_bodyReservation->tryResize(expected)) {
        m_parser.reserveBody(announced);
        return true;
    }
    if (announced > 0) {
        m_client->m_waitingForRoom.emplace_back(this);
        m_client->m_roomTimer.setAfter(roomInterval);
        return false;
    }
    while (!m_isClosed && m_client->failLargestBody(expected > largeBodyBytes)) {
        if (!m_isClosed && m_bodyReservation->tryResize(expected))
            return true;
    }
    if (!m_isClosed)
        failTooLarge();
    return false;
}

bool HttpClient::Implementation::Connection::continueWithRoom()
{
    if (m_isClosed)
        return true;
    const auto announced = static_cast<std::size_t>(m_parser.announcedBodyBytes().value_or(0));
    if (!m_bodyReservation->tryResize(announced))
        return false;
    m_parser.reserveBody(announced);
    read();
    return true;
}

void HttpClient::Implementation::Connection::close()
{
    if (std::exchange(m_isClosed, true))
        return;
    m_bodyReservation.reset();
    m_parser.discardBody();
    asio::error_code ignored;
    m_socket.close(ignored);
}

HttpClient::Implementation::~Implementation()
{
    m_lifetime.reset();
    for (auto& [id, exchange] : m_exchanges) {
        if (exchange.connection)
            exchange.connection->close();
    }
    for (auto& [name, connections] : m_idle) {
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
    exchange.text = serialize(server, request);
    if (request.body.isLarge())
        exchange.body = request.body;
    exchange.isHead = request.method == "HEAD";
    exchange.options = options;
    exchange.hook = std::move(hook);
    exchange.deadline = steadyNow() + options.timeout;
    m_deadlines.emplace(exchange.deadline, id);
    startExchange(exchange);
    schedule(exchange.deadline);
    return id;
}

bool HttpClient::Implementation::failLargestBody(bool isLarge)
{
    ConnectionPtr largest;
    std::size_t bytes = 0;
    for (const auto& [id, exchange] : m_exchanges) {
        const std::size_t unbounded = exchange.connection ? exchange.connection->unboundedBytes() : 0;
        if (unbounded <= bytes || (unbounded > largeBodyBytes) != isLarge)
            continue;
        largest = exchange.connection;
        bytes = unbounded;
    }
    if (!largest)
        return false;
    largest->failTooLarge();
    return true;
}

void HttpClient::Implementation::continueWaitingBodies()
{
    while (!m_waitingForRoom.empty() && m_waitingForRoom.front()->continueWithRoom())
        m_waitingForRoom.pop_front();
    if (!m_waitingForRoom.empty())
        m_roomTimer.setAfter(roomInterval);
}

void HttpClient::Implementation::limitWait(RequestId id)
{
    Exchange& exchange = m_exchanges.at(id);
    exchange.deadline = std::min(exchange.deadline, steadyNow() + exchange.options.maximumDoubt);
    m_deadlines.emplace(exchange.deadline, id);
    schedule(exchange.deadline);
}

void HttpClient::Implementation::startExchange(Exchange& exchange)
{
    exchange.connection = exchange.wasResent ? nullptr : takeIdle({ exchange.server, exchange.options.pool }, exchange.options.maximumIdle);
    if (exchange.connection)
        return exchange.connection->start(exchange);
    exchange.connection = ConnectionPtr(new Connection(*this, exchange.server, exchange.options.pool));
    exchange.connection->connect(exchange);
    const TimePoint connectBy = steadyNow() + connectTimeout;
    if (connectBy < exchange.deadline) {
        m_deadlines.emplace(connectBy, exchange.id);
        schedule(connectBy);
    }
}

HttpClient::Implementation::ConnectionPtr HttpClient::Implementation::takeIdle(const PoolName& name, Duration maximumIdle)
{
    const auto entry = m_idle.find(name);
    if (entry == m_idle.end())
        return nullptr;
    std::vector<ConnectionPtr>& connections = entry->second;
    // The most recently used connection is taken first. One that was idle for longer than its server allows is closed.
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

void HttpClient::Implementation::returnToPool(const ConnectionPtr& connection)
{
    std::vector<ConnectionPtr>& connections = m_idle[connection->poolName()];
    if (connections.size() >= maximumPooledPerServer)
        return connection->close();
    connection->becomeIdle();
    connections.push_back(connection);
}

void HttpClient::Implementation::discardIdle(Connection& connection)
{
    const ConnectionPtr keptAlive(&connection);
    connection.close();
    const auto entry = m_idle.find(connection.poolName());
    if (entry == m_idle.end())
        return;
    std::vector<ConnectionPtr>& connections = entry->second;
    connections.erase(std::remove(connections.begin(), connections.end(), keptAlive), connections.end());
}

void HttpClient::Implementation::closeIdleConnections(const std::string& server)
{
    for (auto entry = m_idle.lower_bound({ server, {} }); entry != m_idle.end() && entry->first.first == server; entry = m_idle.erase(entry)) {
        for (const ConnectionPtr& connection : entry->second)
            connection->close();
    }
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

void HttpClient::Implementation::handleConnectionFailure(Connection& connection, const Failure& failure)
{
    const auto entry = m_exchanges.find(connection.exchange());
    if (entry == m_exchanges.end() || entry->second.connection.get() != &connection)
        return;
    Exchange& exchange = entry->second;
    if (connection.wasStale() && !exchange.wasResent && exchange.options.allowsResend && exchange.options.allowsResend()) {
        exchange.wasResent = true;
        return startExchange(exchange);
    }
    if (!exchange.wasResent || failure.mayHaveRun)
        return fail(exchange.id, failure);
    // The first connection ended after the request was sent on it, possibly because the server ended while it ran the request.
    Failure afterResend = failure;
    afterResend.mayHaveRun = true;
    afterResend.error = { ResultCode::AnswerIncomplete, "the connection ended before the answer, and no new one opened: " + failure.error.detail };
    fail(exchange.id, std::move(afterResend));
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
    outcome.wasResent = entry->second.wasResent;
    m_exchanges.erase(entry);
    hook(std::move(outcome));
}

void HttpClient::Implementation::schedule(TimePoint at)
{
    if (at >= m_timerExpiry)
        return;
    m_timerExpiry = at;
    m_timer.setAt(at);
}

void HttpClient::Implementation::expire()
{
    const TimePoint now = steadyNow();
    m_timerExpiry = TimePoint::max();
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
        const RequestId id = m_deadlines.begin()->second;
        m_deadlines.erase(m_deadlines.begin());
        const auto entry = m_exchanges.find(id);
        if (entry == m_exchanges.end())
            continue;
        const ConnectionPtr connection = entry->second.connection;
        const bool hasSent = connection && (connection->hasSent() || entry->second.wasResent);
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

HttpClient::HttpClient(asio::io_context& context, BodyBudgetPointer bodies)
    : m_implementation(std::make_unique<Implementation>(context, std::move(bodies)))
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
