#pragma once

#include "protocol/Result.h"
#include "protocol/SocketAddress.h"

#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>

#include <array>
#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace Knapweedquay {

/// UDP socket on the event loop of its thread.
class DatagramSocket {
public:
    /// Called with each received datagram.
    using ReceiveHook = std::function<void(const SocketAddress& from, std::string_view bytes)>;

    DatagramSocket(asio::io_context&, ReceiveHook);

    /// Binds the socket and starts to receive; port 0 selects a free port. Errors: ConnectionFailed.
    Result<void> open(const SocketAddress&);
    /// Address that the socket is bound to.
    SocketAddress localAddress() const;
    /// Sends a datagram, and ignores errors, since datagrams may be lost anyway.
    void send(const SocketAddress& to, std::string_view bytes);

private:
    static constexpr std::size_t receiveBufferBytes = 2048;

    void receiveNext();

    asio::ip::udp::socket m_socket;
    ReceiveHook m_hook;
    /// Source address of the datagram received last.
    asio::ip::udp::endpoint m_sender;
    std::array<char, receiveBufferBytes> m_buffer {};
};

} // namespace Knapweedquay
