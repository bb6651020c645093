#pragma once

#include "Load/HttpMessage.h"
#include "transport/HttpParser.h"

#include <asio/ip/tcp.hpp>

#include <array>
#include <functional>
#include <memory>

namespace Knapweedquay::Load {

/// One accepted connection of a stand-in, which may answer late, short or not at all, as the product's server never does.
class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
public:
    using RequestHandler = std::function<void(HttpMessage, std::shared_ptr<HttpConnection>)>;

    HttpConnection(asio::ip::tcp::socket, RequestHandler);

    void start();
    /// Writes bytes as they are; closes the connection behind them when asked to.
    void send(std::string bytes, bool closeAfter = false);
    void close();
    bool isOpen() const { return m_socket.is_open(); }
    /// Called once when the other end goes away.
    std::function<void()> onClosed;

private:
    void read();
    void deliver(std::size_t size);

    asio::ip::tcp::socket m_socket;
    RequestHandler m_handler;
    HttpParser m_parser { HttpParser::Kind::Requests, {} };
    std::array<char, 16384> m_buffer {};
};

} // namespace Knapweedquay::Load
