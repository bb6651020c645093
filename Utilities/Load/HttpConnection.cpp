#include "Load/HttpConnection.h"

#include <asio/write.hpp>

namespace Knapweedquay::Load {

HttpConnection::HttpConnection(asio::ip::tcp::socket socket, RequestHandler handler)
    : m_socket(std::move(socket))
    , m_handler(std::move(handler))
{
    asio::error_code ignored;
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
}

void HttpConnection::start()
{
    read();
}

void HttpConnection::send(std::string bytes, bool closeAfter)
{
    if (!isOpen())
        return;
    auto buffer = std::make_shared<std::string>(std::move(bytes));
    asio::async_write(m_socket, asio::buffer(*buffer), [self = shared_from_this(), buffer, closeAfter](const asio::error_code& error, std::size_t) {
        if (error || closeAfter)
            self->close();
    });
}

void HttpConnection::sendEndless(const std::string& start)
{
    constexpr std::size_t blockBytes = 64 * 1024;
    auto buffer = std::make_shared<std::string>(start + std::string(blockBytes, 'x'));
    asio::async_write(m_socket, asio::buffer(*buffer), [self = shared_from_this(), buffer](const asio::error_code& error, std::size_t) {
        if (error)
            self->close();
        else
            self->sendEndless({});
    });
}

void HttpConnection::close()
{
    asio::error_code ignored;
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
    m_socket.close(ignored);
    if (const auto closed = std::exchange(onClosed, nullptr))
        closed();
    m_handler = nullptr;
}

void HttpConnection::read()
{
    m_socket.async_read_some(asio::buffer(m_buffer), [self = shared_from_this()](const asio::error_code& error, std::size_t size) {
        if (error)
            self->close();
        else
            self->handleReceived(size);
    });
}

void HttpConnection::handleReceived(std::size_t size)
{
    std::string_view bytes(m_buffer.data(), size);
    while (!bytes.empty() && m_handler) {
        std::size_t consumed = 0;
        const HttpParser::Progress progress = m_parser.feed(bytes, consumed);
        bytes.remove_prefix(consumed);
        if (progress == HttpParser::Progress::Failed)
            return send(serializeAnswer(textAnswer(400, "malformed request\n")), true);
        if (progress == HttpParser::Progress::Complete)
            m_handler(toMessage(m_parser.takeRequest()), shared_from_this());
    }
    if (isOpen())
        read();
}

} // namespace Knapweedquay::Load
