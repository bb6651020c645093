#pragma once

#include "Load/HttpMessage.h"
#include "transport/HttpParser.h"

#include <asio/ip/tcp.hpp>

#include <array>
#include <functional>
#include <memory>

namespace Knapweedquay::Load {

/// A connection accepted by a stand-in, which may answer late, with an incomplete body or not at all.
class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
public:
    using RequestHandler = std::function<void(HttpMessage, std::shared_ptr<HttpConnection>)>;

    HttpConnection(asio::ip::tcp::socket, RequestHandler);

    void start();
    /// Writes the bytes unchanged, and then closes the connection if closeAfter is set.
    void send(std::string bytes, bool closeAfter = false);
    /// Writes the bytes, and then others without end until the connection closes.
    void sendEndless(const std::string& start);
    void close();
    bool isOpen() const { return m_socket.is_open(); }
    /// Called once when the connection closes, whichever end closed it.
    std::function<void()> onClosed;

private:
    /// Largest body of a request, in bytes.
    static constexpr std::size_t maximumRequestBytes = 64 * 1024 * 1024;

    void read();
    void handleReceived(std::size_t size);

    asio::ip::tcp::socket m_socket;
    RequestHandler m_handler;
    HttpParser m_parser { HttpParser::Kind::Requests, { HttpParser::Limits().headerBytes, maximumRequestBytes } };
    std::array<char, 16384> m_buffer {};
};

} // namespace Knapweedquay::Load
