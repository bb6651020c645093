#include "Load/HttpServer.h"

namespace Knapweedquay::Load {

HttpServer::HttpServer(asio::io_context& context, std::uint16_t port, HttpConnection::RequestHandler handler)
    : m_acceptor(context, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), port))
    , m_handler(std::move(handler))
{
    accept();
}

void HttpServer::accept()
{
    m_acceptor.async_accept([this](const asio::error_code& error, asio::ip::tcp::socket socket) {
        if (error == asio::error::operation_aborted)
            return;
        if (!error)
            std::make_shared<HttpConnection>(std::move(socket), m_handler)->start();
        accept();
    });
}

} // namespace Knapweedquay::Load
