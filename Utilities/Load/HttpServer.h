#pragma once

#include "Load/HttpConnection.h"

#include <asio/io_context.hpp>

#include <cstdint>

namespace Knapweedquay::Load {

/// Accepts HTTP connections on the loopback address and passes their requests to a handler.
class HttpServer {
public:
    /// Port 0 selects a free one. Throws asio::system_error when the port cannot be bound.
    HttpServer(asio::io_context&, std::uint16_t port, HttpConnection::RequestHandler);

    std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }

private:
    void accept();

    asio::ip::tcp::acceptor m_acceptor;
    HttpConnection::RequestHandler m_handler;
};

} // namespace Knapweedquay::Load
