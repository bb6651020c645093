#include "transport/UdpSocket.h"

#include <asio/buffer.hpp>

#include <utility>

namespace Knapweedquay {

namespace {

SocketAddress addressOf(const asio::ip::udp::endpoint& endpoint)
{
    return { endpoint.address().to_string(), endpoint.port() };
}

} // namespace

UdpSocket::UdpSocket(asio::io_context& context, ReceiveHook hook)
    : m_socket(context)
    , m_receiveHook(std::move(hook))
{
}

Result<void> UdpSocket::open(const SocketAddress& address)
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
        return Error { ResultCode::ConnectionFailed, "cannot open UDP address " + toText(address) + ": " + error.message() };
    receive();
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void UdpSocket::close()
{
    asio::error_code ignored;
    m_socket.close(ignored);
}

void UdpSocket::send(const SocketAddress& address, std::string_view bytes)
{
    asio::error_code error;
    const auto ip = asio::ip::make_address(address.ip, error);
    if (!error)
        m_socket.send_to(asio::buffer(bytes.data(), bytes.size()), { ip, address.port }, 0, error);
}

SocketAddress UdpSocket::localAddress() const
{
    asio::error_code ignored;
    return addressOf(m_socket.local_endpoint(ignored));
}

void UdpSocket::receive()
{
    m_socket.async_receive_from(asio::buffer(m_buffer), m_sender, [this](const asio::error_code& error, std::size_t length) {
        if (error == asio::error::operation_aborted || !m_socket.is_open())
            return;
        // Other errors tell of an earlier datagram that its target refused.
        if (!error)
            m_receiveHook(addressOf(m_sender), { m_buffer.data(), length });
        receive();
    });
}

} // namespace Knapweedquay
