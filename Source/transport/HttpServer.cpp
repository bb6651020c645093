#include "transport/HttpServer.h"

#include "protocol/ProblemDetails.h"
#include "transport/HttpParser.h"
#include "transport/SocketOptions.h"
#include "transport/SteadyTime.h"

#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>

#include <algorithm>
#include <array>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

namespace Knapweedquay {

namespace {

constexpr std::size_t readBufferBytes = 8 * 1024;
/// Requests of one connection that are in progress at once; the rest stays unread.
constexpr std::size_t maximumPipelinedRequests = 16;
/// Bytes of all requests of a server that have no answer yet.
constexpr std::size_t maximumHeldBytes = 32 * 1024 * 1024;
constexpr Duration writeTimeout { 10000000 };
/// Time for a caller to read the last answer before the connection is closed under it.
constexpr Duration lingerTime { 1000000 };
constexpr Duration sweepInterval { 250000 };
/// After an accept that failed, mostly for want of descriptors.
constexpr Duration acceptRetryInterval { 100000 };
constexpr std::uint16_t statusContinue = 100;
constexpr std::uint16_t statusNoContent = 204;
constexpr std::uint16_t statusNotModified = 304;

const char* reasonOf(std::uint16_t status)
{
    return http_status_str(static_cast<http_status>(status));
}

bool hasBody(std::uint16_t status)
{
    return status >= 200 && status != statusNoContent && status != statusNotModified;
}

std::string serialize(const HttpResponse& response, bool isHead, bool closes)
{
    std::string text = "HTTP/1.1 " + std::to_string(response.status) + ' ' + reasonOf(response.status) + "\r\n";
    for (const HttpHeader& header : response.headers)
        text += header.name + ": " + header.value + "\r\n";
    if (hasBody(response.status))
        text += "Content-Length: " + std::to_string(response.body.size()) + "\r\n";
    if (closes)
        text += "Connection: close\r\n";
    text += "\r\n";
    if (hasBody(response.status) && !isHead)
        text += response.body;
    return text;
}

Error errorOf(HttpParser::Failure failure, const HttpServer::Limits& limits)
{
    if (failure == HttpParser::Failure::BodyTooLarge)
        return { ResultCode::RequestTooLarge, "request body of more than " + std::to_string(limits.bodyBytes) + " bytes" };
    if (failure == HttpParser::Failure::HeadersTooLarge)
        return { ResultCode::HeadersTooLarge, "request headers of more than " + std::to_string(limits.headerBytes) + " bytes" };
    return { ResultCode::MalformedRequest, "not a well-formed HTTP/1.1 request" };
}

} // namespace

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
        , m_life(std::make_shared<char>())
    {
    }
    ~Implementation();

    Result<void> start();
    void setLimits(const Limits& limits) { m_settings.limits = limits; }
    void closeAfterResponses() { m_isLeaving = true; }
    void stop();
    std::uint16_t port() const { return m_port; }

private:
    void accept();
    void adopt(asio::ip::tcp::socket);
    void sweep();

    Settings m_settings;
    Handler m_handler;
    asio::ip::tcp::acceptor m_acceptor;
    Timer m_sweepTimer;
    Timer m_acceptTimer;
    /// Ends with the server; handlers that come later find that out.
    std::shared_ptr<char> m_life;
    std::uint16_t m_port = 0;
    bool m_isLeaving = false;
    bool m_isStopped = false;
    std::size_t m_heldBytes = 0;
    std::vector<Connection*> m_connections;
};

/// One accepted connection; lives as long as an operation or an exchange refers to it.
class HttpServer::Implementation::Connection : public boost::intrusive_ref_counter<Connection, boost::thread_unsafe_counter> {
public:
    class Exchange;
    using ExchangePtr = boost::intrusive_ptr<Exchange>;

    Connection(Implementation& server, asio::ip::tcp::socket socket)
        : m_server(&server)
        , m_socket(std::move(socket))
        , m_parser(HttpParser::Kind::Requests, { server.m_settings.limits.headerBytes, server.m_settings.limits.bodyBytes })
        , m_stateSince(steadyNow())
    {
        server.m_connections.push_back(this);
    }

    ~Connection() { leaveServer(); }

    void read();
    void checkTime(TimePoint now);
    /// Ends the connection unless a request is in progress on it.
    void closeIfIdle();
    /// The server ends: nothing that comes later may touch it.
    void detach();
    void close();
    void flush();
    bool isClosed() const { return m_isClosed; }

private:
    void handleRead(const asio::error_code&, std::size_t length);
    void process();
    void addRequest();
    void refuse(const Error&);
    void write();
    void handleWritten(const asio::error_code&);
    void linger();
    void leaveServer();
    void abandonRequests();

    Implementation* m_server;
    asio::ip::tcp::socket m_socket;
    HttpParser m_parser;
    std::array<char, readBufferBytes> m_buffer {};
    /// Read and not parsed yet.
    std::string m_input;
    /// In the order of the requests.
    std::deque<ExchangePtr> m_exchanges;
    std::string m_output;
    std::string m_writing;
    TimePoint m_writeStartedAt;
    /// When the present wait for bytes began.
    TimePoint m_stateSince;
    std::size_t m_heldBytes = 0;
    bool m_isReading = false;
    bool m_isInRequest = false;
    bool m_isInBody = false;
    /// No further request is read.
    bool m_isLast = false;
    bool m_closesAfterWrite = false;
    bool m_isLingering = false;
    bool m_isClosed = false;
};

/// A request and its answer, or a refusal of bytes that are no request.
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

    void callerGone()
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
    bool m_isDone = false;
};

void HttpServer::Implementation::Connection::read()
{
    if (m_isReading || m_isClosed)
        return;
    const bool hasRoom = m_exchanges.size() < maximumPipelinedRequests && m_input.empty();
    if (!hasRoom && !m_isLingering)
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
    if (!m_isLingering && !m_isLast) {
        m_input.append(m_buffer.data(), length);
        process();
    }
    read();
}

void HttpServer::Implementation::Connection::process()
{
    while (!m_input.empty() && !m_isLast && !m_isClosed && m_exchanges.size() < maximumPipelinedRequests) {
        std::size_t consumed = 0;
        m_parser.setLimits({ m_server->m_settings.limits.headerBytes, m_server->m_settings.limits.bodyBytes });
        const HttpParser::Progress progress = m_parser.feed(m_input, consumed);
        m_input.erase(0, consumed);
        if (progress == HttpParser::Progress::Failed)
            return refuse(errorOf(m_parser.failure(), m_server->m_settings.limits));
        if (progress == HttpParser::Progress::Complete) {
            m_isInRequest = false;
            m_isInBody = false;
            addRequest();
            continue;
        }
        const bool isInBody = m_parser.hasHeaders();
        if (m_parser.isInMessage() && (!m_isInRequest || isInBody != m_isInBody))
            m_stateSince = steadyNow();
        m_isInRequest = m_parser.isInMessage();
        if (isInBody && !m_isInBody && findHeader(m_parser.headers(), "Expect") && m_exchanges.empty()) {
            m_output += serialize({ statusContinue, {}, {} }, false, false);
            write();
        }
        m_isInBody = isInBody;
        if (m_server->m_heldBytes + m_input.size() > maximumHeldBytes)
            return refuse({ ResultCode::Overloaded, "too many bytes of requests are waiting at this process" });
    }
}

void HttpServer::Implementation::Connection::addRequest()
{
    m_isLast = !m_parser.keepsConnection();
    const ExchangePtr exchange(new Exchange(ConnectionPtr(this), m_parser.takeRequest()));
    const std::size_t bytes = exchange->request().body.size();
    if (m_server->m_heldBytes + bytes > maximumHeldBytes)
        return refuse({ ResultCode::Overloaded, "too many bytes of requests are waiting at this process" });
    m_heldBytes += bytes;
    m_server->m_heldBytes += bytes;
    m_exchanges.push_back(exchange);
    m_server->m_handler(exchange);
}

void HttpServer::Implementation::Connection::refuse(const Error& error)
{
    m_isLast = true;
    m_input.clear();
    const ExchangePtr exchange(new Exchange(ConnectionPtr(this), {}));
    m_exchanges.push_back(exchange);
    exchange->respond(problemResponse(error, CallOutcomeKind::NotRun));
}

void HttpServer::Implementation::Connection::flush()
{
    if (m_isClosed)
        return;
    while (!m_exchanges.empty() && m_exchanges.front()->response()) {
        const ExchangePtr exchange = m_exchanges.front();
        m_exchanges.pop_front();
        const bool isLeaving = m_server && (m_server->m_isLeaving || m_server->m_isStopped);
        // Nothing may be in progress behind an answer that closes the connection.
        const bool closes = m_exchanges.empty() && (m_isLast || isLeaving);
        const std::size_t bytes = exchange->request().body.size();
        if (m_server && m_heldBytes >= bytes) {
            m_heldBytes -= bytes;
            m_server->m_heldBytes -= bytes;
        }
        m_output += serialize(*exchange->response(), exchange->request().method == "HEAD", closes);
        if (closes) {
            m_isLast = true;
            m_closesAfterWrite = true;
            m_input.clear();
        }
    }
    m_stateSince = steadyNow();
    write();
    if (!m_input.empty() && m_server)
        process();
    read();
}

void HttpServer::Implementation::Connection::write()
{
    if (!m_writing.empty() || m_output.empty() || m_isClosed)
        return;
    m_writing.swap(m_output);
    m_writeStartedAt = steadyNow();
    asio::async_write(m_socket, asio::buffer(m_writing), [self = ConnectionPtr(this)](const asio::error_code& error, std::size_t) {
        self->handleWritten(error);
    });
}

void HttpServer::Implementation::Connection::handleWritten(const asio::error_code& error)
{
    m_writing.clear();
    if (m_isClosed)
        return;
    if (error)
        return close();
    if (!m_output.empty())
        return write();
    if (m_closesAfterWrite)
        linger();
}

// Closing at once with unread bytes would reset the connection and might take the last answer with it.
void HttpServer::Implementation::Connection::linger()
{
    if (m_isLingering)
        return;
    m_isLingering = true;
    m_stateSince = steadyNow();
    asio::error_code error;
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, error);
    if (error)
        return close();
    read();
}

void HttpServer::Implementation::Connection::checkTime(TimePoint now)
{
    const Limits& limits = m_server->m_settings.limits;
    const Duration waited = now - m_stateSince;
    if (m_isLingering) {
        if (waited > lingerTime)
            close();
    } else if (!m_writing.empty()) {
        if (now - m_writeStartedAt > writeTimeout)
            close();
    } else if (m_isInRequest) {
        if (waited > (m_isInBody ? limits.bodyTimeout : limits.headerTimeout))
            refuse({ ResultCode::RequestTooSlow, "the request was not whole in time" });
    } else if (m_exchanges.empty() && waited > limits.idleTimeout) {
        close();
    }
}

void HttpServer::Implementation::Connection::closeIfIdle()
{
    if (m_exchanges.empty() && m_writing.empty() && m_output.empty())
        close();
}

void HttpServer::Implementation::Connection::close()
{
    if (std::exchange(m_isClosed, true))
        return;
    const ConnectionPtr keptAlive(this);
    asio::error_code ignored;
    m_socket.close(ignored);
    leaveServer();
    abandonRequests();
}

void HttpServer::Implementation::Connection::abandonRequests()
{
    const std::deque<ExchangePtr> exchanges = std::exchange(m_exchanges, {});
    for (const ExchangePtr& exchange : exchanges)
        exchange->callerGone();
}

void HttpServer::Implementation::Connection::leaveServer()
{
    if (!m_server)
        return;
    Implementation& server = *std::exchange(m_server, nullptr);
    server.m_heldBytes -= m_heldBytes;
    m_heldBytes = 0;
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
    m_acceptor.async_accept([this, life = std::weak_ptr<char>(m_life)](const asio::error_code& error, asio::ip::tcp::socket socket) {
        if (life.expired() || m_isStopped || error == asio::error::operation_aborted)
            return;
        if (error)
            return m_acceptTimer.setAfter(acceptRetryInterval);
        adopt(std::move(socket));
        accept();
    });
}

void HttpServer::Implementation::adopt(asio::ip::tcp::socket socket)
{
    // A connection beyond the bound is closed unread.
    if (m_connections.size() >= m_settings.maximumConnections)
        return;
    prepareStream(socket);
    const ConnectionPtr connection(new Connection(*this, std::move(socket)));
    connection->read();
}

void HttpServer::Implementation::sweep()
{
    const TimePoint now = steadyNow();
    const std::vector<Connection*> connections = m_connections;
    std::vector<ConnectionPtr> kept(connections.begin(), connections.end());
    for (const ConnectionPtr& connection : kept) {
        if (!connection->isClosed())
            connection->checkTime(now);
    }
    m_sweepTimer.setAfter(sweepInterval);
}

void HttpServer::Implementation::stop()
{
    m_isStopped = true;
    m_isLeaving = true;
    asio::error_code ignored;
    m_acceptor.close(ignored);
    const std::vector<ConnectionPtr> kept(m_connections.begin(), m_connections.end());
    for (const ConnectionPtr& connection : kept)
        connection->closeIfIdle();
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

std::uint16_t HttpServer::port() const
{
    return m_implementation->port();
}

} // namespace Knapweedquay
