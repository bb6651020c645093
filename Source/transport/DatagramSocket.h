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
    using ReceiveHook = std::function<void(const SocketAddress& from, std::string_view bytes)>;

    DatagramSocket(asio::io_context&, ReceiveHook);

    /// Port 0 picks a free one. Errors: ConnectionFailed.
    Result<void> open(const SocketAddress&);
    SocketAddress localAddress() const;
    /// Sends or drops; datagrams may be lost anyway.
    void send(const SocketAddress& to, std::string_view bytes);

private:
    static constexpr std::size_t receiveBufferBytes = 2048;

    void receiveNext();

    asio::ip::udp::socket m_socket;
    ReceiveHook m_hook;
    asio::ip::udp::endpoint m_sender;
    std::array<char, receiveBufferBytes> m_buffer {};
};

} // namespace Knapweedquay
