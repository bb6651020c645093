#include "protocol/SocketAddress.h"

#include <arpa/inet.h>

#include <array>
#include <charconv>

namespace Knapweedquay {

namespace {

constexpr std::size_t portBytes = 2;
constexpr std::size_t ipv4Bytes = sizeof(in_addr);
constexpr std::size_t ipv6Bytes = sizeof(in6_addr);
constexpr unsigned bitsPerByte = 8;

bool isIpAddress(const std::string& ip)
{
    std::array<char, ipv6Bytes> buffer {};
    return inet_pton(AF_INET, ip.c_str(), buffer.data()) == 1 || inet_pton(AF_INET6, ip.c_str(), buffer.data()) == 1;
}

Error invalidAddress(std::string_view text)
{
    return Error { ResultCode::InvalidSettings, "expected an IP number and a port such as 127.0.0.1:7000, found \"" + std::string(text) + "\"" };
}

} // namespace

std::string toText(const SocketAddress& address)
{
    if (address.isEmpty())
        return {};
    const bool isIpv6 = address.ip.find(':') != std::string::npos;
    return (isIpv6 ? "[" + address.ip + "]" : address.ip) + ":" + std::to_string(address.port);
}

std::ostream& operator<<(std::ostream& stream, const SocketAddress& address)
{
    return stream << toText(address);
}

Result<SocketAddress> parseSocketAddress(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return invalidAddress(text);
    std::string_view ip = text.substr(0, colon);
    if (ip.size() >= 2 && ip.front() == '[' && ip.back() == ']')
        ip = ip.substr(1, ip.size() - 2);
    const std::string_view portText = text.substr(colon + 1);
    SocketAddress address { std::string(ip), 0 };
    const auto [end, failure] = std::from_chars(portText.data(), portText.data() + portText.size(), address.port);
    if (failure != std::errc() || end != portText.data() + portText.size() || !isIpAddress(address.ip))
        return invalidAddress(text);
    return address;
}

std::string packAddress(const SocketAddress& address)
{
    if (address.isEmpty())
        return {};
    std::array<char, ipv6Bytes> buffer {};
    std::size_t size = ipv4Bytes;
    if (inet_pton(AF_INET, address.ip.c_str(), buffer.data()) != 1) {
        size = ipv6Bytes;
        if (inet_pton(AF_INET6, address.ip.c_str(), buffer.data()) != 1)
            return {};
    }
    std::string packed(buffer.data(), size);
    packed.push_back(static_cast<char>(address.port >> bitsPerByte));
    packed.push_back(static_cast<char>(address.port & 0xff));
    return packed;
}

Result<SocketAddress> unpackAddress(std::string_view packed)
{
    if (packed.empty())
        return SocketAddress {};
    if (packed.size() != ipv4Bytes + portBytes && packed.size() != ipv6Bytes + portBytes)
        return Error { ResultCode::MalformedMessage, "packed address has " + std::to_string(packed.size()) + " bytes" };
    const std::size_t size = packed.size() - portBytes;
    std::array<char, INET6_ADDRSTRLEN> text {};
    inet_ntop(size == ipv4Bytes ? AF_INET : AF_INET6, packed.data(), text.data(), text.size());
    SocketAddress address { text.data(), 0 };
    address.port = static_cast<std::uint16_t>((static_cast<unsigned char>(packed[size]) << bitsPerByte) | static_cast<unsigned char>(packed[size + 1]));
    return address;
}

} // namespace Knapweedquay
