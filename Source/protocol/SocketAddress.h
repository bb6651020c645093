#pragma once

#include "protocol/Result.h"

#include <cstdint>
#include <ostream>
#include <string>
#include <string_view>
#include <tuple>

namespace Knapweedquay {

/// IP number and port of one socket. Names are never resolved.
struct SocketAddress {
    /// IPv4 or IPv6 number as text, without brackets; empty when there is none.
    std::string ip;
    std::uint16_t port = 0;

    bool isEmpty() const { return ip.empty(); }

    friend bool operator==(const SocketAddress& a, const SocketAddress& b) { return a.port == b.port && a.ip == b.ip; }
    friend bool operator!=(const SocketAddress& a, const SocketAddress& b) { return !(a == b); }
    friend bool operator<(const SocketAddress& a, const SocketAddress& b) { return std::tie(a.ip, a.port) < std::tie(b.ip, b.port); }
};

/// "127.0.0.1:7000" or "[::1]:7000".
std::string toText(const SocketAddress&);
std::ostream& operator<<(std::ostream&, const SocketAddress&);

/// Reads the form that toText() writes. Errors: InvalidSettings with what was expected.
Result<SocketAddress> parseSocketAddress(std::string_view);

/// Packed form: 4 or 16 bytes of the IP number and 2 of the port, network byte order; empty for no address.
std::string packAddress(const SocketAddress&);

/// Errors: MalformedMessage for any length other than 0, 6 and 18.
Result<SocketAddress> unpackAddress(std::string_view);

} // namespace Knapweedquay
