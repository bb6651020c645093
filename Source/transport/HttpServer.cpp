#include "transport/HttpServer.h"

#include "protocol/ProblemDetails.h"
#include "transport/HttpParser.h"
#include "transport/SocketOptions.h"
#include "transport/SteadyTime.h"

#include <asio/ip/tcp.hpp>

#include <algorithm>
#include <array>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

namespace Knapweedquay {

namespace {

/// Size of the buffer for one read of a connection.
constexpr std::size_t readBufferBytes = 8 * 1024;
/// Maximum number of requests of one connection in progress; further ones stay unread.
constexpr std::size_t maximumPipelinedRequests = 16;
/// No further request of a connection is read while it has this many bytes of responses to write.
constexpr std::size_t maximumUnsentBytesPerConnection = 1024 * 1024;
/// Longest time for one write without progress, after which the connection is closed.
constexpr Duration writeTimeout { 10000000 };
/// Time that a caller has to close the connection after it has received the last response.
constexpr Duration lingerTimeout { 1000000 };
/// Largest part of a response that is passed to the system at once, so that other connections don't wait for its copying.
constexpr std::size_t maximumWriteBytes = 256 * 1024;
/// Interval at which the timeouts of all connections are checked.
constexpr Duration sweepInterval { 250000 };
/// Retry-After of requests that are refused for lack of room or because of a stop.
constexpr Duration refusalRetryAfter { 200000 };
/// Delay after a failed accept, most often for lack of file descriptors.
constexpr Duration acceptRetryInterval { 100000 };
constexpr std::uint16_t statusContinue = 100;
constexpr std::uint16_t statusNoContent = 204;
constexpr std::uint16_t statusNotModified = 304;

const char* reasonPhrase(std::uint16_t status)
{
    return http_status_str(static_cast<http_status>(status));
}

bool hasBody(std::uint16_t status)
{
    return status >= 200 && status != statusNoContent && status != statusNotModified;
}

bool sendsBodyApart(const HttpResponse& response, bool isHead)
{
    return hasBody(response.status) && !isHead && response.body.isLarge();
}

/// Serializes a response, without a body that is sent apart.
std::string serialize(const HttpResponse& response, bool isHead, bool closes)
{
    std::string text = "HTTP/1.1 " + std::to_string(response.status) + ' ' + reasonPhrase(response.status) + "\r\n";
    for (const HttpHeader& header : response.headers)
        text += header.name + ": " + header.value + "\r\n";
    if (hasBody(response.status))
        text += "Content-Length: " + std::to_string(response.body.size()) + "\r\n";
    if (closes)
        text += "Connection: close\r\n";
    text += "\r\n";
    if (hasBody(response.status) && !isHead && !sendsBodyApart(response, isHead))
        text += response.body.bytes();
    return text;
}

Error toError(HttpParser::Failure failure, const HttpServer::Limits& limits)
{
    if (failure == HttpParser::Failure::BodyTooLarge)
        return { ResultCode::RequestTooLarge, "request body of more than " + std::to_string(limits.bodyBytes) + " bytes" };
    if (failure == HttpParser::Failure::HeadersTooLarge)
        return { ResultCode::HeadersTooLarge, "request headers of more than " + std::to_string(limits.headerBytes) + " bytes" };
    return { ResultCode::MalformedRequest, "not a well-formed HTTP/1.1 request" };
}

} // namespace

/// Accepts connections, holds the list of open ones and checks their timeouts.
class HttpServer::Implementation {
public:
    class Connection;
    using ConnectionPtr = boost::intrusive_ptr<Connection>;

    Implementation(asio::io_context& context, Settings settings, Handler handler)
        : m_settings(std::move(settings))
        , m_handler(std::move(handler))
        , m_acceptor(context)
        , m_sweepTimer(context, [this] { sweep(); })
        , m_acceptTimer(context, [this] { accept(); })
        , m_lifetime(std::make_shared<char>())
    {
    }
    ~Implementation();

    Result<void> start();
    void setLimits(const Limits& limits) { m_settings.limits = limits; }
    void closeAfterResponses() { m_closesAfterResponses = true; }
    void stop();
    void closeIdleConnections();
    void refusePartialRequests(const Error&);
    Load load() const;
    std::uint16_t port() const { return m_port; }

private:
    /// Accepts connections until the server is stopped.
    void accept();
    /// Accepts the connections that the system has established already.
    void acceptEstablished();
    /// Starts to read an accepted connection, or drops it when there are too many.
    void addConnection(asio::ip::tcp::socket);
    /// Checks the timeouts of all connections.
    void sweep();
    /// Calls the action with each connection that is open then; it may close any of them.
    template <typename Action>
    void forEachConnection(Action);

    Settings m_settings;
    Handler m_handler;
    asio::ip::tcp::acceptor m_acceptor;
    Timer m_sweepTimer;
    Timer m_acceptTimer;
    /// Destroyed with the server; pending Asio handlers detect by a weak reference that the server no longer exists.
    std::shared_ptr<char> m_lifetime;
    std::uint16_t m_port = 0;
    /// True once connections close after the responses to their requests in progress.
    bool m_closesAfterResponses = false;
    bool m_isStopped = false;
    /// Bytes of responses that the system has not taken yet, of all connections, without large bodies that a budget counts.
    std::size_t m_unsentBytes = 0;
    std::vector<Connection*> m_connections;
};

/// One accepted connection; it exists as long as an asynchronous operation or an exchange refers to it.
class HttpServer::Implementation::Connection : public boost::intrusive_ref_counter<Connection, boost::thread_unsafe_counter> {
public:
    class Exchange;
    using ExchangePtr = boost::intrusive_ptr<Exchange>;

    Connection(Implementation& server, asio::ip::tcp::socket socket)
        : m_server(&server)
        , m_socket(std::move(socket))
        , m_parser(HttpParser::Kind::Requests, { server.m_settings.limits.headerBytes, server.m_settings.limits.bodyBytes })
        , m_waitStartedAt(steadyNow())
    {
        server.m_connections.push_back(this);
    }

    ~Connection() { unregister(); }

    /// Starts an asynchronous read if none is pending and there is room for another request.
    void read();
    /// Closes the connection or refuses the request when a timeout has expired.
    void checkTimeouts(TimePoint now);
    /// Closes the connection if its requests are answered and no byte of another one has arrived.
    void closeIfIdle();
    bool hasRequested() const { return m_hasRequested; }
    /// Answers a request that was received only in part with a problem document.
    void refuseIfPartial(const Error&);
    /// Closes the connection without access to the server, which is being destroyed.
    void detach();
    void close();
    /// Sends the responses that are ready, in the order of the requests.
    void flush();
    bool isClosed() const { return m_isClosed; }
    /// True if the response to a later request than this one is ready.
    bool isResponseReadyBehind(const Exchange&) const;
    /// Adds this connection to the totals of the server.
    void addTo(Load&) const;

private:
    /// Bytes that are written one after the other.
    struct OutputPart {
        std::string text;
        /// A large body that follows the text.
        Body body;

        std::size_t bytes() const { return text.size() + body.size(); }
        /// Bytes that no budget counts.
        std::size_t countedBytes() const { return text.size() + (body.isReserved() ? 0 : body.size()); }
    };

    void handleRead(const asio::error_code&, std::size_t length);
    /// Parses the buffered input and passes complete requests to the handler.
    void process();
    /// True if another request may be read.
    bool hasRoom() const { return m_exchanges.size() < maximumPipelinedRequests && unsentBytes() < maximumUnsentBytesPerConnection; }
    /// True if a request in progress holds those behind it.
    bool isHeld() const;
    /// Bytes of responses that the system has not taken yet.
    std::size_t unsentBytes() const { return m_unsentBytes; }
    /// Reserves room for the body of the request that is being received, of which so many bytes have arrived. Returns why the request has
    /// to be refused if there is none.
    std::optional<Error> reserveBody(std::size_t);
    /// Adds a response to those that are to be written: its text, and the body if that is sent apart.
    void addOutput(std::string text, const Body& = {});
    /// Passes the request that the parser has completed to the handler.
    void addRequest();
    /// Answers with a problem document and reads no further request.
    void refuse(const Error&);
    void write();
    /// Writes what is left of the write in progress.
    void continueWrite();
    void handleWritten(const asio::error_code&);
    /// Shuts down the sending side and waits for the caller to close the connection.
    void linger();
    /// Removes this connection from the server's list and from its count of pending bytes.
    void unregister();
    /// Runs the disconnect hooks of the unanswered requests.
    void notifyDisconnected();

    /// Null once the connection is closed or the server is being destroyed.
    Implementation* m_server;
    asio::ip::tcp::socket m_socket;
    HttpParser m_parser;
    std::array<char, readBufferBytes> m_buffer {};
    /// Bytes that were received but not parsed yet.
    std::string m_input;
    /// Requests without a sent response, in the order of arrival.
    std::deque<ExchangePtr> m_exchanges;
    /// Serialized responses; the first part is being written.
    std::deque<OutputPart> m_output;
    /// Number of bytes of the first part that the system has taken.
    std::size_t m_writtenBytes = 0;
    std::size_t m_unsentBytes = 0;
    /// Start of the write in progress, or of the latest progress.
    TimePoint m_writeStartedAt;
    /// Start of the current wait: for a request, for its headers, for its body, or for the caller to close.
    TimePoint m_waitStartedAt;
    /// Of the body of the request that was received in part; null without one.
    BodyReservationPointer m_bodyReservation;
    bool m_isReading = false;
    bool m_isWriting = false;
    /// True once a request was received.
    bool m_hasRequested = false;
    /// True while a request has been received only in part.
    bool m_isInRequest = false;
    /// True while the headers of that request are complete but its body is not.
    bool m_isInBody = false;
    /// True once no further request is read from the connection.
    bool m_isLastRequest = false;
    /// True once a response with "Connection: close" was serialized.
    bool m_closesAfterWrite = false;
    /// True from the shutdown of the sending side until the connection is closed.
    bool m_isLingering = false;
    /// While lingering: sent bytes that the caller had not received at the last check.
    std::size_t m_unacknowledgedBytes = 0;
    bool m_isClosed = false;
};

/// A request and its response; the request is empty when the received bytes were refused.
class HttpServer::Implementation::Connection::Exchange : public HttpExchange {
public:
    Exchange(ConnectionPtr connection, HttpRequest request)
        : m_connection(std::move(connection))
        , m_request(std::move(request))
    {
    }

    const HttpRequest& request() const override { return m_request; }

    void respond(const HttpResponse& response) override
    {
        if (m_isDone)
            return;
        m_isDone = true;
        m_response = response;
        m_disconnectHook = nullptr;
        const ConnectionPtr connection = std::move(m_connection);
        if (connection)
            connection->flush();
    }

    void holdFollowing() override { m_holdsFollowing = true; }
    bool doesHoldFollowing() const { return m_holdsFollowing; }

    bool holdsBackResponse() const override { return m_connection && m_connection->isResponseReadyBehind(*this); }

    void handleDisconnect()
    {
        if (m_isDone)
            return;
        m_isDone = true;
        m_connection.reset();
        if (m_disconnectHook)
            std::exchange(m_disconnectHook, nullptr)();
    }

    const std::optional<HttpResponse>& response() const { return m_response; }

private:
    ConnectionPtr m_connection;
    HttpRequest m_request;
    std::optional<HttpResponse> m_response;
    bool m_holdsFollowing = false;
    /// True once respond() was called or the caller has disconnected.
    bool m_isDone = false;
};

bool HttpServer::Implementation::Connection::isHeld() const
{
    return std::any_of(m_exchanges.begin(), m_exchanges.end(), [](const ExchangePtr& exchange) { return exchange->doesHoldFollowing(); });
}

bool HttpServer::Implementation::Connection::isResponseReadyBehind(const Exchange& exchange) const
{
    const auto position = std::find_if(m_exchanges.begin(), m_exchanges.end(), [&exchange](const ExchangePtr& other) { return other.get() == &exchange; });
    return std::any_of(position, m_exchanges.end(), [](const ExchangePtr& other) { return other->response().has_value(); });
}

void HttpServer::Implementation::Connection::read()
{
    if (m_isReading || m_isClosed)
        return;
    if ((!hasRoom() || !m_input.empty()) && !m_isLingering)
        return;
    m_isReading = true;
    m_socket.async_read_some(asio::buffer(m_buffer), [self = ConnectionPtr(this)](const asio::error_code& error, std::size_t length) {
        self->m_isReading = false;
        self->handleRead(error, length);
    });
}

void HttpServer::Implementation::Connection::handleRead(const asio::error_code& error, std::size_t length)
{
    if (m_isClosed || !m_server)
        return;
    if (error)
        return close();
    if (!m_isLingering && !m_isLastRequest) {
        m_input.append(m_buffer.data(), length);
        process();
    }
    read();
}

void HttpServer::Implementation::Connection::process()
{
    while (!m_input.empty() && !m_isLastRequest && !m_isClosed && hasRoom() && !isHeld()) {
        std::size_t consumed = 0;
        m_parser.setLimits({ m_server->m_settings.limits.headerBytes, m_server->m_settings.limits.bodyBytes });
        const HttpParser::Progress progress = m_parser.feed(m_input, consumed);
        m_input.erase(0, consumed);
        if (progress == HttpParser::Progress::Failed)
            return refuse(toError(m_parser.failure(), m_server->m_settings.limits));
        if (progress == HttpParser::Progress::Complete) {
            m_isInRequest = false;
            m_isInBody = false;
            addRequest();
            continue;
        }
        const bool isInBody = m_parser.hasHeaders();
        if (m_parser.isInMessage() && (!m_isInRequest || isInBody != m_isInBody))
            m_waitStartedAt = steadyNow();
        m_isInRequest = m_parser.isInMessage();
        const bool hasBegunBody = isInBody && !m_isInBody;
        m_isInBody = isInBody;
        if (const auto error = reserveBody(m_parser.bodyBytes()))
            return refuse(*error);
        if (hasBegunBody && findHeader(m_parser.headers(), "Expect") && m_exchanges.empty()) {
            addOutput(serialize({ statusContinue, {}, {} }, false, false));
            write();
        }
    }
}

void HttpServer::Implementation::Connection::addRequest()
{
    m_hasRequested = true;
    m_isLastRequest = !m_parser.keepsConnection();
    if (const auto error = reserveBody(m_parser.bodyBytes()))
        return refuse(*error);
    if (m_server->m_unsentBytes > m_server->m_settings.maximumUnsentBytes)
        return refuse({ ResultCode::Overloaded, "callers have not read too many bytes of their responses" });
    const ExchangePtr exchange(new Exchange(ConnectionPtr(this), m_parser.takeRequest(std::exchange(m_bodyReservation, nullptr))));
    m_exchanges.push_back(exchange);
    m_server->m_handler(exchange);
}

void HttpServer::Implementation::Connection::refuse(const Error& error)
{
    m_isLastRequest = true;
    m_isInRequest = false;
    m_isInBody = false;
    m_input.clear();
    m_parser.discardBody();
    m_bodyReservation.reset();
    const ExchangePtr exchange(new Exchange(ConnectionPtr(this), {}));
    m_exchanges.push_back(exchange);
    const bool mayReturn = error.code == ResultCode::Overloaded || error.code == ResultCode::Draining;
    exchange->respond(problemResponse(error, CallOutcomeKind::NotRun, mayReturn ? refusalRetryAfter : Duration::zero()));
}

void HttpServer::Implementation::Connection::flush()
{
    if (m_isClosed)
        return;
    while (!m_exchanges.empty() && m_exchanges.front()->response()) {
        const ExchangePtr exchange = m_exchanges.front();
        m_exchanges.pop_front();
        const bool serverCloses = m_server && (m_server->m_closesAfterResponses || m_server->m_isStopped);
        // The connection may only close after the response to its last request in progress.
        const bool closes = m_exchanges.empty() && (m_isLastRequest || serverCloses);
        const bool isHead = exchange->request().method == "HEAD";
        const HttpResponse& response = *exchange->response();
        addOutput(serialize(response, isHead, closes), sendsBodyApart(response, isHead) ? response.body : Body());
        if (closes) {
            m_isLastRequest = true;
            m_closesAfterWrite = true;
            m_input.clear();
        }
    }
    m_waitStartedAt = steadyNow();
    write();
    if (!m_input.empty() && m_server)
        process();
    read();
}

void HttpServer::Implementation::Connection::write()
{
    if (m_isWriting || m_output.empty() || m_isClosed)
        return;
    m_isWriting = true;
    continueWrite();
}

void HttpServer::Implementation::Connection::continueWrite()
{
    m_writeStartedAt = steadyNow();
    const OutputPart& part = m_output.front();
    const asio::const_buffer text = asio::buffer(part.text) + m_writtenBytes;
    const asio::const_buffer body = asio::buffer(part.body.bytes()) + (m_writtenBytes - (part.text.size() - text.size()));
    const std::array<asio::const_buffer, 2> buffers { asio::buffer(text, maximumWriteBytes), asio::buffer(body, text.size() < maximumWriteBytes ? maximumWriteBytes : 0) };
    m_socket.async_write_some(buffers, [self = ConnectionPtr(this)](const asio::error_code& error, std::size_t length) {
        self->m_writtenBytes += length;
        self->m_unsentBytes -= self->m_isClosed ? 0 : length;
        self->handleWritten(error);
    });
}

void HttpServer::Implementation::Connection::handleWritten(const asio::error_code& error)
{
    if (m_isClosed)
        return;
    if (error)
        return close();
    if (m_writtenBytes < m_output.front().bytes())
        return continueWrite();
    if (m_server)
        m_server->m_unsentBytes -= m_output.front().countedBytes();
    m_output.pop_front();
    m_writtenBytes = 0;
    m_isWriting = false;
    if (!m_isInRequest)
        m_waitStartedAt = steadyNow();
    if (!m_output.empty())
        write();
    else if (m_closesAfterWrite)
        return linger();
    // Requests may have waited for room.
    if (!m_input.empty() && m_server)
        process();
    read();
}

std::optional<Error> HttpServer::Implementation::Connection::reserveBody(std::size_t received)
{
    // Room for all of it, so that no two bodies that arrive wait for each other's end.
    const std::size_t expected = std::max(received, m_isInBody ? static_cast<std::size_t>(m_parser.announcedBodyBytes().value_or(0)) : 0);
    if (expected == 0 || !m_server)
        return std::nullopt;
    const BodyBudgetPointer& budget = m_server->m_settings.bodies;
    if (expected > largeBodyBytes && expected > budget->limits().largeBytes)
        return Error { ResultCode::RequestTooLarge, "this process has no room for a body of " + std::to_string(expected) + " bytes" };
    if (!m_bodyReservation)
        m_bodyReservation = std::make_shared<BodyReservation>(budget);
    if (!m_bodyReservation->tryResize(std::max(expected, m_bodyReservation->bytes())))
        return Error { ResultCode::Overloaded, "too many bytes of requests are waiting at this process" };
    if (expected > received)
        m_parser.reserveBody(expected);
    return std::nullopt;
}

void HttpServer::Implementation::Connection::addOutput(std::string text, const Body& body)
{
    const OutputPart part { std::move(text), body };
    m_unsentBytes += part.bytes();
    if (m_server)
        m_server->m_unsentBytes += part.countedBytes();
    const std::size_t beingWritten = m_isWriting ? 1 : 0;
    if (m_output.size() > beingWritten && m_output.back().body.empty()) {
        m_output.back().text += part.text;
        m_output.back().body = body;
    } else
        m_output.push_back(part);
}

// Closing a socket with unread bytes resets the connection, so that the caller might lose the last response.
void HttpServer::Implementation::Connection::linger()
{
    if (m_isLingering)
        return;
    m_isLingering = true;
    m_waitStartedAt = steadyNow();
    asio::error_code error;
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, error);
    if (error)
        return close();
    read();
}

void HttpServer::Implementation::Connection::checkTimeouts(TimePoint now)
{
    const Limits& limits = m_server->m_settings.limits;
    const Duration waited = now - m_waitStartedAt;
    if (m_isLingering) {
        const std::size_t unacknowledged = unacknowledgedBytes(m_socket);
        if (std::exchange(m_unacknowledgedBytes, unacknowledged) != unacknowledged)
            m_waitStartedAt = now;
        else if (waited > (unacknowledged > 0 ? writeTimeout : lingerTimeout))
            close();
    } else if (m_isWriting) {
        if (now - m_writeStartedAt > writeTimeout)
            close();
    } else if (m_isInRequest) {
        if (waited > (m_isInBody ? limits.bodyTimeout : limits.headerTimeout))
            refuse({ ResultCode::RequestTooSlow, "the request was not whole in time" });
    } else if (waited > limits.idleTimeout) {
        closeIfIdle();
    }
}

void HttpServer::Implementation::Connection::closeIfIdle()
{
    asio::error_code error;
    const bool hasUnreadBytes = m_socket.available(error) > 0 || !m_input.empty() || m_isInRequest;
    if (!m_exchanges.empty() || !m_output.empty() || m_isLingering || hasUnreadBytes)
        return;
    if (unacknowledgedBytes(m_socket) > 0)
        linger();
    else
        close();
}

void HttpServer::Implementation::Connection::refuseIfPartial(const Error& error)
{
    if (m_isInRequest && !m_isLastRequest)
        refuse(error);
}

void HttpServer::Implementation::Connection::addTo(Load& load) const
{
    ++load.connections;
    load.unusedConnections += !m_hasRequested && !m_isInRequest ? 1 : 0;
    load.partialRequests += m_isInRequest && !m_isLastRequest ? 1 : 0;
    load.unansweredRequests += m_exchanges.size();
    load.unsentBytes += unsentBytes();
    load.lingeringConnections += m_isLingering ? 1 : 0;
}

void HttpServer::Implementation::Connection::close()
{
    if (std::exchange(m_isClosed, true))
        return;
    const ConnectionPtr keptAlive(this);
    asio::error_code ignored;
    m_socket.close(ignored);
    unregister();
    notifyDisconnected();
}

void HttpServer::Implementation::Connection::notifyDisconnected()
{
    const std::deque<ExchangePtr> exchanges = std::exchange(m_exchanges, {});
    for (const ExchangePtr& exchange : exchanges)
        exchange->handleDisconnect();
}

void HttpServer::Implementation::Connection::unregister()
{
    if (!m_server)
        return;
    Implementation& server = *std::exchange(m_server, nullptr);
    for (const OutputPart& part : m_output)
        server.m_unsentBytes -= part.countedBytes();
    m_unsentBytes = 0;
    m_bodyReservation.reset();
    server.m_connections.erase(std::remove(server.m_connections.begin(), server.m_connections.end(), this), server.m_connections.end());
}

void HttpServer::Implementation::Connection::detach()
{
    m_server = nullptr;
    m_isClosed = true;
    asio::error_code ignored;
    m_socket.close(ignored);
}

HttpServer::Implementation::~Implementation()
{
    const std::vector<Connection*> connections = std::exchange(m_connections, {});
    for (Connection* connection : connections)
        connection->detach();
}

Result<void> HttpServer::Implementation::start()
{
    asio::error_code error;
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(m_settings.address, error), m_settings.port);
    if (!error)
        m_acceptor.open(endpoint.protocol(), error);
    if (!error)
        m_acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true), error);
    if (!error)
        m_acceptor.bind(endpoint, error);
    if (!error)
        m_acceptor.listen(asio::socket_base::max_listen_connections, error);
    if (error)
        return Error { ResultCode::ConnectionFailed, "cannot listen on " + m_settings.address + ":" + std::to_string(m_settings.port) + ": " + error.message() };
    m_port = m_acceptor.local_endpoint().port();
    accept();
    m_sweepTimer.setAfter(sweepInterval);
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void HttpServer::Implementation::accept()
{
    m_acceptor.async_accept([this, lifetime = std::weak_ptr<char>(m_lifetime)](const asio::error_code& error, asio::ip::tcp::socket socket) {
        if (lifetime.expired() || error == asio::error::operation_aborted)
            return;
        // The system may have accepted a connection just before stop(), which this handler did not run before.
        if (!error)
            addConnection(std::move(socket));
        if (m_isStopped)
            return;
        if (error)
            return m_acceptTimer.setAfter(acceptRetryInterval);
        accept();
    });
}

void HttpServer::Implementation::acceptEstablished()
{
    asio::error_code error;
    m_acceptor.non_blocking(true, error);
    while (!error) {
        asio::ip::tcp::socket socket = m_acceptor.accept(error);
        if (!error)
            addConnection(std::move(socket));
    }
}

void HttpServer::Implementation::addConnection(asio::ip::tcp::socket socket)
{
    // The socket is closed on return when the server has its maximum number of connections.
    if (m_connections.size() >= m_settings.maximumConnections)
        return;
    configureStream(socket);
    const ConnectionPtr connection(new Connection(*this, std::move(socket)));
    connection->read();
}

template <typename Action>
void HttpServer::Implementation::forEachConnection(Action action)
{
    const std::vector<ConnectionPtr> keptAlive(m_connections.begin(), m_connections.end());
    for (const ConnectionPtr& connection : keptAlive) {
        if (!connection->isClosed())
            action(*connection);
    }
}

void HttpServer::Implementation::sweep()
{
    const TimePoint now = steadyNow();
    forEachConnection([now](Connection& connection) { connection.checkTimeouts(now); });
    m_sweepTimer.setAfter(sweepInterval);
}

void HttpServer::Implementation::stop()
{
    m_isStopped = true;
    m_closesAfterResponses = true;
    // The system resets the connections that it has established but the process has not accepted.
    acceptEstablished();
    asio::error_code ignored;
    m_acceptor.close(ignored);
    forEachConnection([](Connection& connection) {
        if (connection.hasRequested())
            connection.closeIfIdle();
    });
}

void HttpServer::Implementation::closeIdleConnections()
{
    forEachConnection([](Connection& connection) { connection.closeIfIdle(); });
}

void HttpServer::Implementation::refusePartialRequests(const Error& error)
{
    forEachConnection([&error](Connection& connection) { connection.refuseIfPartial(error); });
}

HttpServer::Load HttpServer::Implementation::load() const
{
    Load load;
    for (const Connection* connection : m_connections)
        connection->addTo(load);
    return load;
}

HttpServer::HttpServer(asio::io_context& context, Settings settings, Handler handler)
    : m_implementation(std::make_unique<Implementation>(context, std::move(settings), std::move(handler)))
{
}

HttpServer::~HttpServer() = default;

Result<void> HttpServer::start()
{
    return m_implementation->start();
}

void HttpServer::setLimits(const Limits& limits)
{
    m_implementation->setLimits(limits);
}

void HttpServer::closeAfterResponses()
{
    m_implementation->closeAfterResponses();
}

void HttpServer::stop()
{
    m_implementation->stop();
}

void HttpServer::closeIdleConnections()
{
    m_implementation->closeIdleConnections();
}

void HttpServer::refusePartialRequests(const Error& error)
{
    m_implementation->refusePartialRequests(error);
}

HttpServer::Load HttpServer::load() const
{
    return m_implementation->load();
}

std::uint16_t HttpServer::port() const
{
    return m_implementation->port();
}

} // namespace Knapweedquay
