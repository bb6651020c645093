#pragma once

#include <asio/ip/tcp.hpp>

namespace Knapweedquay {

/// Sets the options of every TCP connection of the system: small segments are sent without delay, and the connection
/// fails within seconds when the peer has become unreachable.
void configureStream(asio::ip::tcp::socket&);

} // namespace Knapweedquay
