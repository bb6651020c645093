#include "Load/HttpClient.h"

#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

#include <array>

namespace Knapweedquay::Load {

/// One request on its way: connects if need be, writes, reads the answer, and hands the connection back.
class HttpClient::Exchange : public std::enable_shared_from_this<Exchange> {
public:
    Exchange(HttpClient& client, std::string address, const HttpMessage& request, AnswerHandler handler)
        : m_client(client)
        , m_address(std::move(address))
        , m_bytes(serializeRequest(request))
        , m_handler(std::move(handler))
        , m_timer(client.m_context)
    {
    }

    void start(std::chrono::milliseconds timeout)
    {
        m_timer.expires_after(timeout);
        m_timer.async_wait([self = shared_from_this()](const asio::error_code& error) {
            if (!error)
                self->fail(ExchangeFailure::TimedOut);
        });
        m_socket = m_client.takeIdle(m_address);
        if (m_socket)
            return write();
        connect();
    }

private:
    void connect()
    {
        m_socket = std::make_shared<asio::ip::tcp::socket>(m_client.m_context);
        m_socket->async_connect(parseEndpoint(m_address), [self = shared_from_this()](const asio::error_code& error) {
            if (error)
                return self->fail(ExchangeFailure::NotConnected);
            asio::error_code ignored;
            self->m_socket->set_option(asio::ip::tcp::no_delay(true), ignored);
            self->write();
        });
    }

    void write()
    {
        asio::async_write(*m_socket, asio::buffer(m_bytes), [self = shared_from_this()](const asio::error_code& error, std::size_t) {
            // An answer may come before the request is written whole, so only the reader ends the exchange.
            (void)error;
        });
        read();
    }

    void read()
    {
        m_socket->async_read_some(asio::buffer(m_buffer), [self = shared_from_this()](const asio::error_code& error, std::size_t size) {
            if (!self->m_handler)
                return;
            const bool isHttp = self->m_parser.feed({ self->m_buffer.data(), error ? 0 : size });
            if (const auto answer = self->m_parser.next())
                return self->succeed(*answer, error || !isHttp);
            if (error || !isHttp)
                return self->fail(ExchangeFailure::CutShort);
            self->read();
        });
    }

    void succeed(const HttpMessage& answer, bool isConnectionSpent)
    {
        if (!m_handler)
            return;
        m_timer.cancel();
        if (answer.keepAlive && !isConnectionSpent)
            m_client.m_idle[m_address].push_back(m_socket);
        std::exchange(m_handler, nullptr)(ExchangeFailure::None, answer);
    }

    void fail(ExchangeFailure failure)
    {
        if (!m_handler)
            return;
        m_timer.cancel();
        asio::error_code ignored;
        m_socket->close(ignored);
        std::exchange(m_handler, nullptr)(failure, HttpMessage());
    }

    HttpClient& m_client;
    std::string m_address;
    std::string m_bytes;
    AnswerHandler m_handler;
    asio::steady_timer m_timer;
    Socket m_socket;
    HttpParser m_parser { HttpParser::Kind::Answers };
    std::array<char, 16384> m_buffer {};
};

void HttpClient::send(const std::string& address, HttpMessage request, std::chrono::milliseconds timeout, AnswerHandler handler)
{
    request.headers.emplace("host", address);
    std::make_shared<Exchange>(*this, address, request, std::move(handler))->start(timeout);
}

HttpClient::Socket HttpClient::takeIdle(const std::string& address)
{
    auto& idle = m_idle[address];
    while (!idle.empty()) {
        Socket socket = std::move(idle.back());
        idle.pop_back();
        // Bytes or an end of stream on an idle connection mean that it is spent.
        asio::error_code error;
        socket->non_blocking(true, error);
        char byte = 0;
        socket->receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
        if (error == asio::error::would_block)
            return socket;
    }
    return nullptr;
}

asio::ip::tcp::endpoint parseEndpoint(const std::string& address)
{
    const std::size_t colon = address.rfind(':');
    if (colon == std::string::npos)
        throw std::invalid_argument("'" + address + "' is not IP:port");
    const int port = std::stoi(address.substr(colon + 1));
    return { asio::ip::make_address(address.substr(0, colon)), static_cast<std::uint16_t>(port) };
}

HttpMessage exchangeOnce(const std::string& address, HttpMessage request, std::chrono::milliseconds timeout)
{
    asio::io_context context;
    HttpClient client(context);
    HttpMessage received;
    client.send(address, std::move(request), timeout, [&](ExchangeFailure, const HttpMessage& answer) { received = answer; });
    context.run();
    return received;
}

} // namespace Knapweedquay::Load
