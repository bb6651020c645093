#include "transport/DatagramSocket.h"

#include <asio/buffer.hpp>

namespace Knapweedquay {

DatagramSocket::DatagramSocket(asio::io_context& context, ReceiveHook hook)
    : m_socket(context)
    , m_hook(std::move(hook))
{
}

Result<void> DatagramSocket::open(const SocketAddress& address)
{
    asio::error_code error;
    const auto ip = asio::ip::make_address(address.ip, error);
    const asio::ip::udp::endpoint endpoint(ip, address.port);
    if (!error)
        m_socket.open(endpoint.protocol(), error);
    if (!error)
        m_socket.bind(endpoint, error);
    if (!error)
        m_socket.non_blocking(true, error);
    if (error)
        return Error { ResultCode::ConnectionFailed, "cannot bind UDP " + toText(address) + ": " + error.message() };
    receiveNext();
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

SocketAddress DatagramSocket::localAddress() const
{
    asio::error_code ignored;
    const auto endpoint = m_socket.local_endpoint(ignored);
    return { endpoint.address().to_string(), endpoint.port() };
}

void DatagramSocket::send(const SocketAddress& to, std::string_view bytes)
{
    asio::error_code ignored;
    const auto ip = asio::ip::make_address(to.ip, ignored);
    if (ignored)
        return;
    m_socket.send_to(asio::buffer(bytes.data(), bytes.size()), asio::ip::udp::endpoint(ip, to.port), 0, ignored);
}

void DatagramSocket::receiveNext()
{
    m_socket.async_receive_from(asio::buffer(m_buffer), m_sender, [this](const asio::error_code& error, std::size_t length) {
        if (error == asio::error::operation_aborted)
            return;
        // Other errors report earlier sends that failed, such as an unreachable port; the socket can still receive.
        if (!error)
            m_hook({ m_sender.address().to_string(), m_sender.port() }, std::string_view(m_buffer.data(), length));
        receiveNext();
    });
}

} // namespace Knapweedquay
