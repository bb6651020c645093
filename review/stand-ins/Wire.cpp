#include "Wire.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdio>
#include <cstdlib>
#include <thread>
#include <utility>

namespace Review {

namespace {

constexpr int exitCannotRun = 2;
constexpr std::size_t readBytes = 64 * 1024;
const std::string endOfHead = "\r\n\r\n";

[[noreturn]] void fail(const std::string& reason)
{
    std::fprintf(stderr, "%s\n", reason.c_str());
    std::exit(exitCannotRun);
}

sockaddr_in socketAddress(const Address& address)
{
    sockaddr_in result {};
    result.sin_family = AF_INET;
    result.sin_port = htons(address.port);
    if (::inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr) != 1)
        fail("not an IP address: " + address.ip);
    return result;
}

Message parseHead(const std::string& head)
{
    Message message;
    std::size_t start = 0;
    while (start < head.size()) {
        const std::size_t end = std::min(head.find("\r\n", start), head.size());
        const std::string line = head.substr(start, end - start);
        start = end + 2;
        if (message.startLine.empty()) {
            message.startLine = line;
            continue;
        }
        const std::size_t colon = line.find(':');
        if (colon == std::string::npos)
            continue;
        std::string name = line.substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(), [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
        const std::size_t value = line.find_first_not_of(" \t", colon + 1);
        message.headers[name] = value == std::string::npos ? std::string() : line.substr(value);
    }
    return message;
}

} // namespace

Address parseAddress(const std::string& text)
{
    const std::size_t colon = text.find(':');
    if (colon == std::string::npos)
        fail("not an address: " + text);
    return { text.substr(0, colon), static_cast<std::uint16_t>(std::strtoul(text.c_str() + colon + 1, nullptr, 10)) };
}

std::string Message::header(const std::string& name) const
{
    const auto found = headers.find(name);
    return found == headers.end() ? std::string() : found->second;
}

std::uint64_t Message::length() const
{
    return std::strtoull(header("content-length").c_str(), nullptr, 10);
}

Connection::Connection(Connection&& other) noexcept
    : m_descriptor(std::exchange(other.m_descriptor, -1))
    , m_buffer(std::move(other.m_buffer))
    , m_hasReadHead(other.m_hasReadHead)
    , m_bodyBytes(other.m_bodyBytes)
{
}

Connection::~Connection()
{
    if (m_descriptor >= 0)
        ::close(m_descriptor);
}

std::optional<Connection> Connection::open(const Address& address, int receiveBufferBytes)
{
    Connection connection(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const int enabled = 1;
    ::setsockopt(connection.m_descriptor, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
    if (receiveBufferBytes > 0)
        ::setsockopt(connection.m_descriptor, SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes, sizeof receiveBufferBytes);
    const sockaddr_in to = socketAddress(address);
    if (::connect(connection.m_descriptor, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0)
        return std::nullopt;
    return connection;
}

bool Connection::send(const std::string& bytes) const
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t length = ::send(m_descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (length <= 0)
            return false;
        sent += static_cast<std::size_t>(length);
    }
    return true;
}

std::optional<Message> Connection::receive(std::uint64_t bytesPerSecond)
{
    m_hasReadHead = false;
    m_bodyBytes = 0;
    std::array<char, readBytes> block {};
    std::size_t end = m_buffer.find(endOfHead);
    while (end == std::string::npos) {
        const ssize_t length = ::recv(m_descriptor, block.data(), block.size(), 0);
        if (length <= 0)
            return std::nullopt;
        m_buffer.append(block.data(), static_cast<std::size_t>(length));
        end = m_buffer.find(endOfHead);
    }
    Message message = parseHead(m_buffer.substr(0, end));
    m_buffer.erase(0, end + endOfHead.size());
    m_hasReadHead = true;
    const std::uint64_t total = message.length();
    const auto startedAt = std::chrono::steady_clock::now();
    while (m_buffer.size() < total) {
        if (bytesPerSecond > 0)
            std::this_thread::sleep_until(startedAt + std::chrono::microseconds(m_buffer.size() * 1000000 / bytesPerSecond));
        const ssize_t length = ::recv(m_descriptor, block.data(), block.size(), 0);
        if (length <= 0) {
            m_bodyBytes = m_buffer.size();
            return std::nullopt;
        }
        m_buffer.append(block.data(), static_cast<std::size_t>(length));
    }
    m_bodyBytes = total;
    message.body = m_buffer.substr(0, total);
    m_buffer.erase(0, total);
    return message;
}

void Connection::setTimeout(std::chrono::milliseconds timeout) const
{
    constexpr int millisecondsPerSecond = 1000;
    timeval value {};
    value.tv_sec = static_cast<time_t>(timeout.count() / millisecondsPerSecond);
    value.tv_usec = static_cast<suseconds_t>(timeout.count() % millisecondsPerSecond * millisecondsPerSecond);
    ::setsockopt(m_descriptor, SOL_SOCKET, SO_RCVTIMEO, &value, sizeof value);
}

int listenAt(const Address& address)
{
    constexpr int queueLength = 512;
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int enabled = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
    const sockaddr_in at = socketAddress(address);
    if (::bind(descriptor, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0 || ::listen(descriptor, queueLength) != 0)
        fail("cannot listen at " + address.ip + ":" + std::to_string(address.port));
    return descriptor;
}

Record::Record(const std::string& path)
    : m_descriptor(::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644))
{
    if (m_descriptor < 0)
        fail("cannot write " + path);
}

void Record::add(const std::string& line) const
{
    const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    std::array<char, 32> time {};
    std::snprintf(time.data(), time.size(), "%lld.%03lld ", static_cast<long long>(now / 1000), static_cast<long long>(now % 1000));
    const std::string bytes = time.data() + line + '\n';
    if (::write(m_descriptor, bytes.data(), bytes.size()) < 0)
        fail("cannot write the record");
}

Options::Options(int argc, char** argv)
{
    for (int index = 1; index + 1 < argc; index += 2) {
        const std::string name = argv[index];
        if (name.compare(0, 2, "--") != 0)
            fail("expected --name value, not " + name);
        m_values[name.substr(2)] = argv[index + 1];
    }
}

std::string Options::text(const std::string& name, const std::string& missing) const
{
    const auto found = m_values.find(name);
    return found == m_values.end() ? missing : found->second;
}

std::uint64_t Options::number(const std::string& name, std::uint64_t missing) const
{
    const auto found = m_values.find(name);
    return found == m_values.end() ? missing : std::strtoull(found->second.c_str(), nullptr, 10);
}

} // namespace Review
