#pragma once

#include "protocol/Result.h"
#include "protocol/SocketAddress.h"

#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>

#include <array>
#include <cstddef>
#include <functional>
#include <string_view>

namespace Knapweedquay {

/// UDP socket on one address; sends and receives whole datagrams.
class UdpSocket {
public:
    using ReceiveHook = std::function<void(const SocketAddress& from, std::string_view bytes)>;

    UdpSocket(asio::io_context&, ReceiveHook);

    /// Binds and starts to receive. Port 0 takes any free port. Errors: ConnectionFailed with the reason.
    Result<void> open(const SocketAddress&);
    void close();

    /// Sends without waiting. A datagram that cannot be sent now is lost, as any other may be.
    void send(const SocketAddress&, std::string_view bytes);

    /// The address that the socket is bound to.
    SocketAddress localAddress() const;

private:
    void receive();

    // Larger than any datagram of the protocol, so that one that is too large is seen as such.
    static constexpr std::size_t receiveBytes = 2048;

    asio::ip::udp::socket m_socket;
    ReceiveHook m_receiveHook;
    asio::ip::udp::endpoint m_sender;
    std::array<char, receiveBytes> m_buffer {};
};

} // namespace Knapweedquay
