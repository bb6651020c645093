#include "transport/Link.h"

#include "transport/SocketOptions.h"
#include "transport/SteadyTime.h"
#include "transport/StreamProgress.h"

#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

#include <type_traits>
#include <utility>

namespace Knapweedquay {

namespace {

/// Size of the buffer for one read of a link; most messages are far smaller, and a node has many links.
constexpr std::size_t linkReadBufferBytes = 4 * 1024;

struct ServerConfig : public websocketpp::config::asio {
    static constexpr std::size_t connection_read_buffer_size = linkReadBufferBytes;
};

struct ClientConfig : public websocketpp::config::asio_client {
    static constexpr std::size_t connection_read_buffer_size = linkReadBufferBytes;
};

using ServerEndpoint = websocketpp::server<ServerConfig>;
using ClientEndpoint = websocketpp::client<ClientConfig>;

/// A link refuses further messages while more bytes than this wait to be sent.
constexpr std::size_t maximumSendBufferBytes = 20 * 1024 * 1024;
/// The connection is asked for progress only after this time without a message.
constexpr Duration progressInterval { 100000 };
/// Longest time for the WebSocket opening handshake.
constexpr long openTimeoutMilliseconds = 1000;
/// Longest time for the WebSocket closing handshake.
constexpr long closeTimeoutMilliseconds = 500;
/// Header of the opening handshake.
constexpr const char* featuresHeader = "Knapweedquay-Features";

/// A Link over a connection of websocketpp, accepted or opened by Endpoint.
template <typename Endpoint>
class WebsocketLink : public Link {
public:
    using Connection = typename Endpoint::connection_ptr;

    explicit WebsocketLink(Connection connection)
        : m_connection(std::move(connection))
        , m_lastReceived(steadyNow())
        , m_self(std::make_shared<WebsocketLink*>(this))
    {
        m_connection->set_open_handler([weak = std::weak_ptr<WebsocketLink*>(m_self)](websocketpp::connection_hdl handle) {
            const auto link = lock(weak);
            if (link && !link->m_isClosed)
                return link->handleOpened();
            // It was aborted before its socket was open.
            asio::error_code ignored;
            if (const auto connection = std::static_pointer_cast<typename Connection::element_type>(handle.lock()))
                connection->get_raw_socket().close(ignored);
        });
        m_connection->set_close_handler(ifAlive([](WebsocketLink& link) { link.handleClosed(); }));
        m_connection->set_fail_handler(ifAlive([](WebsocketLink& link) { link.handleClosed(); }));
        m_connection->set_message_handler([weak = std::weak_ptr<WebsocketLink*>(m_self)](websocketpp::connection_hdl, typename Endpoint::message_ptr message) {
            if (const auto link = lock(weak))
                link->handleReceived(message->get_payload());
        });
        m_connection->set_pong_handler([weak = std::weak_ptr<WebsocketLink*>(m_self)](websocketpp::connection_hdl, const std::string&) {
            if (const auto link = lock(weak))
                link->m_lastReceived = steadyNow();
        });
    }

    ~WebsocketLink() override
    {
        asio::error_code ignored;
        m_connection->get_raw_socket().close(ignored);
    }

    bool send(const std::string& message) override
    {
        if (!m_isOpen || m_connection->get_buffered_amount() > maximumSendBufferBytes)
            return false;
        return !m_connection->send(message, websocketpp::frame::opcode::binary);
    }

    void ping() override
    {
        websocketpp::lib::error_code ignored;
        m_connection->ping("", ignored);
    }

    void abort() override
    {
        if (m_isClosed)
            return;
        asio::error_code ignored;
        m_connection->get_raw_socket().close(ignored);
        handleClosed();
    }

    void finish() override
    {
        if (!std::exchange(m_isOpen, false))
            return;
        websocketpp::lib::error_code error;
        m_connection->close(websocketpp::close::status::going_away, {}, error);
        if (error)
            abort();
    }

    bool isOpen() const override { return m_isOpen; }
    bool isReached() const override
    {
        asio::error_code error;
        m_connection->get_raw_socket().remote_endpoint(error);
        return m_isOpen || !error;
    }
    TimePoint lastReceived() override
    {
        const TimePoint now = steadyNow();
        if (m_isOpen && now - m_lastReceived > progressInterval && m_progress.hasAdvanced(m_connection->get_raw_socket().native_handle()))
            m_lastReceived = now;
        return m_lastReceived;
    }
    std::size_t unsentBytes() const override { return m_connection->get_buffered_amount(); }
    void setHooks(Hooks hooks) override { m_hooks = std::move(hooks); }
    std::string peerFeatures() const override
    {
        if constexpr (std::is_same_v<Endpoint, ServerEndpoint>)
            return m_connection->get_request_header(featuresHeader);
        return {};
    }

    void handleOpened()
    {
        if (m_isClosed)
            return;
        configureStream(m_connection->get_raw_socket());
        m_isOpen = true;
        m_lastReceived = steadyNow();
        if (m_hooks.opened)
            m_hooks.opened();
    }

    void handleClosed()
    {
        if (std::exchange(m_isClosed, true))
            return;
        m_isOpen = false;
        const LinkPtr keptAlive(this);
        const Hooks hooks = std::exchange(m_hooks, {});
        if (hooks.closed)
            hooks.closed();
    }

private:
    void handleReceived(const std::string& payload)
    {
        if (m_isClosed)
            return;
        const LinkPtr keptAlive(this);
        m_lastReceived = steadyNow();
        if (m_hooks.received)
            m_hooks.received(payload);
    }

    /// The link, or null when it no longer exists.
    static boost::intrusive_ptr<WebsocketLink> lock(const std::weak_ptr<WebsocketLink*>& weak)
    {
        const auto self = weak.lock();
        return boost::intrusive_ptr<WebsocketLink>(self ? *self : nullptr);
    }

    /// Wraps an action into a handler that does nothing once the link no longer exists.
    template <typename Action>
    std::function<void(websocketpp::connection_hdl)> ifAlive(Action action)
    {
        return [weak = std::weak_ptr<WebsocketLink*>(m_self), action](websocketpp::connection_hdl) {
            if (const auto link = lock(weak))
                action(*link);
        };
    }

    Connection m_connection;
    Hooks m_hooks;
    TimePoint m_lastReceived;
    StreamProgress m_progress;
    /// The connection's handlers hold a weak reference to this, since the link and the connection would otherwise keep
    /// each other alive.
    std::shared_ptr<WebsocketLink*> m_self;
    bool m_isOpen = false;
    bool m_isClosed = false;
};

/// Turns off the endpoint's own logging and sets its event loop and limits.
template <typename Endpoint>
void configure(Endpoint& endpoint, asio::io_context& context, std::size_t maximumMessageBytes)
{
    endpoint.clear_access_channels(websocketpp::log::alevel::all);
    endpoint.clear_error_channels(websocketpp::log::elevel::all);
    endpoint.init_asio(&context);
    endpoint.set_max_message_size(maximumMessageBytes);
    endpoint.set_open_handshake_timeout(openTimeoutMilliseconds);
    endpoint.set_close_handshake_timeout(closeTimeoutMilliseconds);
}

} // namespace

/// Accepts the connections of websocketpp and wraps each into a Link.
class LinkServer::Implementation {
public:
    Implementation(asio::io_context& context, std::size_t maximumMessageBytes, AcceptHook acceptHook)
        : m_acceptHook(std::move(acceptHook))
    {
        configure(m_endpoint, context, maximumMessageBytes);
        m_endpoint.set_reuse_addr(true);
        m_endpoint.set_open_handler([this](websocketpp::connection_hdl handle) { accept(m_endpoint.get_con_from_hdl(handle)); });
    }

    Result<void> start(const std::string& address, std::uint16_t port)
    {
        websocketpp::lib::error_code error;
        m_endpoint.listen(asio::ip::tcp::endpoint(asio::ip::make_address(address), port), error);
        if (!error)
            m_endpoint.start_accept(error);
        if (error)
            return Error { ResultCode::ConnectionFailed, "cannot listen on " + address + ":" + std::to_string(port) + ": " + error.message() };
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    }

    void stop()
    {
        websocketpp::lib::error_code ignored;
        m_endpoint.stop_listening(ignored);
    }

    std::uint16_t port()
    {
        asio::error_code ignored;
        return m_endpoint.get_local_endpoint(ignored).port();
    }

private:
    void accept(const ServerEndpoint::connection_ptr& connection)
    {
        const boost::intrusive_ptr<WebsocketLink<ServerEndpoint>> link(new WebsocketLink<ServerEndpoint>(connection));
        m_acceptHook(link);
        link->handleOpened();
    }

    AcceptHook m_acceptHook;
    ServerEndpoint m_endpoint;
};

LinkServer::LinkServer(asio::io_context& context, std::size_t maximumMessageBytes, AcceptHook acceptHook)
    : m_implementation(std::make_unique<Implementation>(context, maximumMessageBytes, std::move(acceptHook)))
{
}

LinkServer::~LinkServer() = default;

Result<void> LinkServer::start(const std::string& address, std::uint16_t port)
{
    return m_implementation->start(address, port);
}

void LinkServer::stop()
{
    m_implementation->stop();
}

std::uint16_t LinkServer::port() const
{
    return m_implementation->port();
}

/// Opens connections of websocketpp and wraps each into a Link.
class LinkClient::Implementation {
public:
    Implementation(asio::io_context& context, std::size_t maximumMessageBytes, std::string features)
        : m_features(std::move(features))
    {
        configure(m_endpoint, context, maximumMessageBytes);
    }

    LinkPtr connect(const std::string& peer, Link::Hooks hooks)
    {
        websocketpp::lib::error_code error;
        const auto connection = m_endpoint.get_connection("ws://" + peer + "/", error);
        if (error)
            return nullptr;
        if (!m_features.empty())
            connection->append_header(featuresHeader, m_features);
        const boost::intrusive_ptr<WebsocketLink<ClientEndpoint>> link(new WebsocketLink<ClientEndpoint>(connection));
        link->setHooks(std::move(hooks));
        m_endpoint.connect(connection);
        return link;
    }

private:
    std::string m_features;
    ClientEndpoint m_endpoint;
};

LinkClient::LinkClient(asio::io_context& context, std::size_t maximumMessageBytes, std::string features)
    : m_implementation(std::make_unique<Implementation>(context, maximumMessageBytes, std::move(features)))
{
}

LinkClient::~LinkClient() = default;

LinkPtr LinkClient::connect(const std::string& peer, Link::Hooks hooks)
{
    return m_implementation->connect(peer, std::move(hooks));
}

} // namespace Knapweedquay
