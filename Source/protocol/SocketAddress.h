#pragma once

#include "protocol/Result.h"

#include <cstdint>
#include <ostream>
#include <string>
#include <string_view>
#include <tuple>

namespace Knapweedquay {

/// IP address and port of one socket. Host names are not supported.
struct SocketAddress {
    /// IPv4 or IPv6 address as text, without brackets; empty when there is none.
    std::string ip;
    std::uint16_t port = 0;

    bool isEmpty() const { return ip.empty(); }

    friend bool operator==(const SocketAddress& a, const SocketAddress& b) { return a.port == b.port && a.ip == b.ip; }
    friend bool operator!=(const SocketAddress& a, const SocketAddress& b) { return !(a == b); }
    friend bool operator<(const SocketAddress& a, const SocketAddress& b) { return std::tie(a.ip, a.port) < std::tie(b.ip, b.port); }
};

/// Formats an address as "127.0.0.1:7000" or "[::1]:7000"; an empty address as an empty text.
std::string toText(const SocketAddress&);
std::ostream& operator<<(std::ostream&, const SocketAddress&);

/// Parses the format that toText() writes. Errors: InvalidSettings with the expected format.
Result<SocketAddress> parseSocketAddress(std::string_view);

/// Encodes an address as 4 or 16 bytes of the IP address and 2 of the port, in network byte order; an empty or invalid
/// address as no bytes.
std::string packAddress(const SocketAddress&);

/// Decodes what packAddress() encodes. Errors: MalformedMessage for any length other than 0, 6 and 18.
Result<SocketAddress> unpackAddress(std::string_view);

} // namespace Knapweedquay
