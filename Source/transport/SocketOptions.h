#pragma once

#include <asio/ip/tcp.hpp>

namespace Knapweedquay {

/// Sets what every TCP connection of the system needs: no delay of small segments, and an end within seconds when
/// the other side has silently gone.
void prepareStream(asio::ip::tcp::socket&);

} // namespace Knapweedquay
