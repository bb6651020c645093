#pragma once

#include <asio/ip/tcp.hpp>

#include <cstddef>

namespace Knapweedquay {

/// Sets the options of every TCP connection of the system: small segments are sent without delay, and the connection
/// fails within seconds when the peer has become unreachable.
void configureStream(asio::ip::tcp::socket&);

/// Number of sent bytes that the peer's system has not acknowledged; 0 where the system does not tell.
std::size_t unacknowledgedBytes(asio::ip::tcp::socket&);

} // namespace Knapweedquay
