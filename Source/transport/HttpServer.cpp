#include "transport/HttpServer.h"

#include "transport/GuardedSocket.h"

#include <restinio/all.hpp>

#include <chrono>
#include <unordered_map>

namespace Knapweedquay {

// RESTinio finds the two functions below by the type of the socket.

template <typename Connection, typename StartHook, typename FailureHook>
void prepare_connection_and_start_read(GuardedSocket&, Connection&, StartHook start, FailureHook)
{
    start();
}

static restinio::tls_socket_t* make_tls_socket_pointer_for_state_listener(GuardedSocket&) noexcept
{
    return nullptr;
}

namespace {

constexpr std::size_t readBufferBytes = 16 * 1024;
constexpr std::size_t maximumTargetBytes = 8 * 1024;
constexpr std::size_t maximumHeaderNameBytes = 256;
constexpr std::size_t maximumHeaderValueBytes = 8 * 1024;
constexpr std::size_t maximumHeaderCount = 100;
// Reading goes on while a request is answered, so that the end of the caller's connection is seen at once.
constexpr std::size_t pipelinedRequests = 2;
constexpr std::chrono::seconds writeTimeout { 10 };
// Calls have their own deadlines; the library's limit only has to be longer.
constexpr std::chrono::hours handlingTimeout { 1 };

class ConnectionListener;

struct ServerTraits : restinio::traits_t<restinio::asio_timer_manager_t, restinio::null_logger_t,
                          std::function<restinio::request_handling_status_t(restinio::request_handle_t)>,
                          restinio::noop_strand_t, GuardedSocket> {
    using connection_state_listener_t = ConnectionListener;
    static constexpr bool use_connection_count_limiter = true;
};

HttpRequest convert(const restinio::request_t& source)
{
    HttpRequest request;
    request.method = source.header().method().c_str();
    request.target = source.header().request_target();
    source.header().for_each_field([&request](const auto& field) { request.headers.push_back({ field.name(), field.value() }); });
    request.body = source.body();
    return request;
}

bool wantsClose(const HttpHeaders& headers)
{
    const std::string* connection = findHeader(headers, "Connection");
    return connection && equalHeaderNames(*connection, "close");
}

class RestinioExchange : public HttpExchange {
public:
    RestinioExchange(restinio::request_handle_t handle, RequestsInProgress& requests)
        : m_handle(std::move(handle))
        , m_requests(requests)
        , m_caller(m_handle->remote_endpoint())
        , m_request(convert(*m_handle))
    {
        m_requests.add(m_caller);
    }

    const HttpRequest& request() const override { return m_request; }

    void respond(const HttpResponse& response) override
    {
        if (!m_handle)
            return;
        auto builder = m_handle->create_response(restinio::http_status_line_t(restinio::http_status_code_t(response.status), reasonOf(response.status)));
        for (const HttpHeader& header : response.headers)
            builder.append_header(header.name, header.value);
        if (wantsClose(m_request.headers))
            builder.connection_close();
        builder.set_body(response.body);
        finish();
        builder.done();
    }

    void callerGone()
    {
        if (!m_handle)
            return;
        finish();
        if (m_disconnectHook)
            std::exchange(m_disconnectHook, nullptr)();
    }

private:
    static std::string reasonOf(std::uint16_t status)
    {
        constexpr std::uint16_t firstError = 400;
        return status < firstError ? "OK" : "Error";
    }

    void finish()
    {
        m_requests.remove(m_caller);
        m_handle.reset();
    }

    restinio::request_handle_t m_handle;
    RequestsInProgress& m_requests;
    asio::ip::tcp::endpoint m_caller;
    HttpRequest m_request;
};

// Finds the exchanges of a connection that has ended. RESTinio may hand out two of one connection.
class ConnectionListener {
public:
    void add(std::uint64_t connection, boost::intrusive_ptr<RestinioExchange> exchange)
    {
        m_exchanges.emplace(connection, std::move(exchange));
    }

    void remove(std::uint64_t connection, const RestinioExchange* exchange)
    {
        const auto range = m_exchanges.equal_range(connection);
        for (auto entry = range.first; entry != range.second; ++entry) {
            if (entry->second.get() == exchange) {
                m_exchanges.erase(entry);
                return;
            }
        }
    }

    void state_changed(const restinio::connection_state::notice_t& notice) noexcept
    {
        if (!restinio::holds_alternative<restinio::connection_state::closed_t>(notice.cause()))
            return;
        std::vector<boost::intrusive_ptr<RestinioExchange>> abandoned;
        const auto range = m_exchanges.equal_range(notice.connection_id());
        for (auto entry = range.first; entry != range.second; ++entry)
            abandoned.push_back(entry->second);
        m_exchanges.erase(range.first, range.second);
        for (const auto& exchange : abandoned)
            exchange->callerGone();
    }

private:
    std::unordered_multimap<std::uint64_t, boost::intrusive_ptr<RestinioExchange>> m_exchanges;
};

// The exchange that the application sees: leaves the listener's table when it is answered.
class ListedExchange : public RestinioExchange {
public:
    ListedExchange(const restinio::request_handle_t& handle, RequestsInProgress& requests, std::shared_ptr<ConnectionListener> listener)
        : RestinioExchange(handle, requests)
        , m_listener(std::move(listener))
        , m_connection(handle->connection_id())
    {
    }

    void respond(const HttpResponse& response) override
    {
        boost::intrusive_ptr<HttpExchange> keptAlive(this);
        m_listener->remove(m_connection, this);
        RestinioExchange::respond(response);
    }

private:
    std::shared_ptr<ConnectionListener> m_listener;
    std::uint64_t m_connection;
};

} // namespace

class HttpServer::Implementation {
public:
    Implementation(asio::io_context& context, Settings settings, Handler handler)
        : m_settings(std::move(settings))
        , m_handler(std::move(handler))
        , m_requests(asio::use_service<RequestsInProgress>(context))
        , m_listener(std::make_shared<ConnectionListener>())
        , m_server(restinio::external_io_context(context), [this](auto& options) { configure(options); })
    {
        m_requests.setMaximumRequestBytes(m_settings.maximumBodyBytes);
    }

    Result<void> start()
    {
        std::string failure;
        // With an external event loop of one thread the opening runs at once, in this call.
        m_server.open_async([] {}, [&failure](std::exception_ptr reason) { failure = messageOf(std::move(reason)); });
        restinio::asio_ns::io_context& context = m_server.io_context();
        context.restart();
        while (m_port == 0 && failure.empty() && context.poll_one() > 0) { }
        if (!failure.empty() || m_port == 0)
            return Error { ResultCode::ConnectionFailed, "cannot listen on " + m_settings.address + ":" + std::to_string(m_settings.port) + ": " + failure };
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    }

    void stop()
    {
        m_server.close_async([] {}, [](std::exception_ptr) {});
    }

    std::uint16_t port() const { return m_port; }

private:
    static std::string messageOf(std::exception_ptr reason)
    {
        try {
            std::rethrow_exception(std::move(reason));
        } catch (const std::exception& exception) {
            return exception.what();
        }
    }

    template <typename Options>
    void configure(Options& options)
    {
        options.address(m_settings.address)
            .port(m_settings.port)
            .buffer_size(readBufferBytes)
            .read_next_http_message_timelimit(m_settings.readTimeout)
            .write_http_response_timelimit(writeTimeout)
            .handle_request_timeout(handlingTimeout)
            .max_pipelined_requests(pipelinedRequests)
            .concurrent_accepts_count(4)
            .max_parallel_connections(m_settings.maximumConnections)
            .incoming_http_msg_limits(restinio::incoming_http_msg_limits_t {}
                                          .max_url_size(maximumTargetBytes)
                                          .max_field_name_size(maximumHeaderNameBytes)
                                          .max_field_value_size(maximumHeaderValueBytes)
                                          .max_field_count(maximumHeaderCount)
                                          .max_body_size(m_settings.maximumBodyBytes))
            .connection_state_listener(m_listener)
            .acceptor_options_setter([](auto& acceptorOptions) { acceptorOptions.set_option(asio::ip::tcp::acceptor::reuse_address(true)); })
            .socket_options_setter([](auto& socketOptions) { socketOptions.set_option(asio::ip::tcp::no_delay(true)); })
            .acceptor_post_bind_hook([this](asio::ip::tcp::acceptor& acceptor) { m_port = acceptor.local_endpoint().port(); })
            .request_handler([this](restinio::request_handle_t handle) { return handleRequest(std::move(handle)); });
    }

    restinio::request_handling_status_t handleRequest(restinio::request_handle_t handle)
    {
        const boost::intrusive_ptr<ListedExchange> exchange(new ListedExchange(handle, m_requests, m_listener));
        m_listener->add(handle->connection_id(), exchange);
        m_handler(exchange);
        return restinio::request_accepted();
    }

    Settings m_settings;
    Handler m_handler;
    RequestsInProgress& m_requests;
    std::shared_ptr<ConnectionListener> m_listener;
    std::uint16_t m_port = 0;
    restinio::http_server_t<ServerTraits> m_server;
};

HttpServer::HttpServer(asio::io_context& context, Settings settings, Handler handler)
    : m_implementation(std::make_unique<Implementation>(context, std::move(settings), std::move(handler)))
{
}

HttpServer::~HttpServer() = default;

Result<void> HttpServer::start()
{
    return m_implementation->start();
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
