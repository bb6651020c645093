#include "Http.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdlib>
#include <cstring>

namespace Knapweedquay::Review {

namespace {

constexpr int listenBacklog = 128;
constexpr std::size_t readBufferBytes = 16384;
constexpr Milliseconds acceptInterval { 50 };

sockaddr_in socketAddress(const Address& address)
{
    sockaddr_in result {};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(address.port));
    inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
    return result;
}

int millisecondsUntil(Clock::time_point deadline)
{
    const auto left = std::chrono::duration_cast<Milliseconds>(deadline - Clock::now()).count();
    return static_cast<int>(std::max<std::int64_t>(left, 0));
}

std::string headerText(const Headers& headers)
{
    std::string text;
    for (const auto& [name, value] : headers)
        text.append(name).append(": ").append(value).append("\r\n");
    return text;
}

} // namespace

std::string headerValue(const Headers& headers, const std::string& name)
{
    for (const auto& header : headers) {
        if (strcasecmp(header.first.c_str(), name.c_str()) == 0)
            return header.second;
    }
    return {};
}

Stream::Stream(int descriptor)
    : m_descriptor(descriptor)
{
    const int enabled = 1;
    setsockopt(m_descriptor, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
}

Stream::~Stream()
{
    ::close(m_descriptor);
}

std::unique_ptr<Stream> Stream::connect(const Address& address, Milliseconds timeout)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (descriptor < 0)
        return nullptr;
    const sockaddr_in target = socketAddress(address);
    int result = ::connect(descriptor, reinterpret_cast<const sockaddr*>(&target), sizeof target);
    if (result != 0 && errno == EINPROGRESS) {
        pollfd waiting { descriptor, POLLOUT, 0 };
        int error = 0;
        socklen_t size = sizeof error;
        const bool isDone = ::poll(&waiting, 1, static_cast<int>(timeout.count())) == 1 && getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size) == 0 && error == 0;
        result = isDone ? 0 : -1;
    }
    if (result != 0) {
        ::close(descriptor);
        return nullptr;
    }
    fcntl(descriptor, F_SETFL, fcntl(descriptor, F_GETFL) & ~O_NONBLOCK);
    return std::make_unique<Stream>(descriptor);
}

bool Stream::write(const std::string& bytes)
{
    std::size_t written = 0;
    while (written < bytes.size()) {
        const ssize_t length = ::send(m_descriptor, bytes.data() + written, bytes.size() - written, MSG_NOSIGNAL);
        if (length < 0 && errno == EINTR)
            continue;
        if (length <= 0)
            return false;
        written += static_cast<std::size_t>(length);
    }
    return true;
}

bool Stream::readAvailable(std::string& bytes, Milliseconds timeout)
{
    pollfd waiting { m_descriptor, POLLIN, 0 };
    if (::poll(&waiting, 1, static_cast<int>(timeout.count())) != 1)
        return true;
    std::array<char, readBufferBytes> buffer {};
    const ssize_t length = ::recv(m_descriptor, buffer.data(), buffer.size(), 0);
    if (length <= 0)
        return false;
    bytes.append(buffer.data(), static_cast<std::size_t>(length));
    return true;
}

void Stream::shutDown()
{
    ::shutdown(m_descriptor, SHUT_RDWR);
}

bool Stream::readMore(Clock::time_point deadline)
{
    pollfd waiting { m_descriptor, POLLIN, 0 };
    if (::poll(&waiting, 1, millisecondsUntil(deadline)) != 1) {
        m_failure = "nothing came in time";
        return false;
    }
    std::array<char, readBufferBytes> bytes {};
    const ssize_t length = ::recv(m_descriptor, bytes.data(), bytes.size(), 0);
    if (length <= 0) {
        m_failure = length == 0 ? "the connection was closed" : std::string("the connection failed: ") + std::strerror(errno);
        return false;
    }
    m_buffer.append(bytes.data(), static_cast<std::size_t>(length));
    return true;
}

bool Stream::readMessage(std::string& startLine, Headers& headers, std::string& body, Clock::time_point deadline)
{
    std::size_t end = std::string::npos;
    while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!readMore(deadline))
            return false;
    }
    std::string head = m_buffer.substr(0, end + 2);
    m_buffer.erase(0, end + 4);
    const std::size_t lineEnd = head.find("\r\n");
    startLine = head.substr(0, lineEnd);
    head.erase(0, lineEnd + 2);
    while (!head.empty()) {
        const std::size_t next = head.find("\r\n");
        const std::string line = head.substr(0, next);
        head.erase(0, next + 2);
        const std::size_t colon = line.find(':');
        const std::size_t value = line.find_first_not_of(" \t", colon + 1);
        headers.emplace_back(line.substr(0, colon), value == std::string::npos ? std::string() : line.substr(value));
    }
    const std::string length = headerValue(headers, "Content-Length");
    const std::size_t bodyBytes = length.empty() ? 0 : std::strtoull(length.c_str(), nullptr, 10);
    while (m_buffer.size() < bodyBytes) {
        if (!readMore(deadline))
            return false;
    }
    body = m_buffer.substr(0, bodyBytes);
    m_buffer.erase(0, bodyBytes);
    return true;
}

bool Stream::readRequest(Request& request, Clock::time_point deadline)
{
    request = {};
    std::string line;
    if (!readMessage(line, request.headers, request.body, deadline))
        return false;
    const std::size_t first = line.find(' ');
    const std::size_t last = line.rfind(' ');
    request.method = line.substr(0, first);
    request.target = line.substr(first + 1, last - first - 1);
    return true;
}

bool Stream::readResponse(Response& response, Clock::time_point deadline)
{
    response = {};
    std::string line;
    if (!readMessage(line, response.headers, response.body, deadline)) {
        response.failure = m_failure;
        return false;
    }
    const std::size_t space = line.find(' ');
    response.status = space == std::string::npos ? 0 : std::atoi(line.c_str() + space + 1);
    return response.status != 0;
}

std::string serialize(const Request& request)
{
    std::string text = request.method + ' ' + request.target + " HTTP/1.1\r\n" + headerText(request.headers);
    if (!request.body.empty() || request.method == "POST")
        text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    return text + "\r\n" + request.body;
}

std::string serialize(const Response& response)
{
    return "HTTP/1.1 " + std::to_string(response.status) + " Status\r\n" + headerText(response.headers) + "Content-Length: " + std::to_string(response.body.size()) + "\r\n\r\n" + response.body;
}

Response exchange(const Address& address, const Request& request, Milliseconds timeout)
{
    const Clock::time_point deadline = Clock::now() + timeout;
    Response response;
    const auto stream = Stream::connect(address, timeout);
    if (!stream || !stream->write(serialize(request))) {
        response.failure = "no connection";
        return response;
    }
    stream->readResponse(response, deadline);
    return response;
}

Server::Server(const Address& address, Handler handler)
    : m_handler(std::move(handler))
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int enabled = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
    const sockaddr_in local = socketAddress(address);
    if (::bind(descriptor, reinterpret_cast<const sockaddr*>(&local), sizeof local) != 0 || ::listen(descriptor, listenBacklog) != 0) {
        ::close(descriptor);
        return;
    }
    m_descriptor = descriptor;
    m_acceptor = std::thread([this] { accept(); });
}

Server::~Server()
{
    m_isStopping = true;
    if (m_acceptor.joinable())
        m_acceptor.join();
    if (m_descriptor >= 0)
        ::close(m_descriptor);
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        for (const auto& stream : m_streams)
            stream->shutDown();
    }
    for (std::thread& thread : m_threads)
        thread.join();
}

void Server::accept()
{
    while (!m_isStopping) {
        pollfd waiting { m_descriptor, POLLIN, 0 };
        if (::poll(&waiting, 1, static_cast<int>(acceptInterval.count())) != 1)
            continue;
        const int descriptor = ::accept4(m_descriptor, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0)
            continue;
        const auto stream = std::make_shared<Stream>(descriptor);
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_streams.push_back(stream);
        m_threads.emplace_back([this, stream] {
            m_handler(*stream);
            stream->shutDown();
            const std::lock_guard<std::mutex> ended(m_mutex);
            m_streams.erase(std::find(m_streams.begin(), m_streams.end(), stream));
        });
    }
}

} // namespace Knapweedquay::Review
