#pragma once

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace Knapweedquay::Review {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

struct Address {
    std::string ip;
    int port = 0;

    std::string text() const { return ip + ":" + std::to_string(port); }
};

using Headers = std::vector<std::pair<std::string, std::string>>;

/// The first header of this name; empty if there is none.
std::string headerValue(const Headers&, const std::string& name);

struct Request {
    std::string method;
    std::string target;
    Headers headers;
    std::string body;
};

struct Response {
    /// 0 if no complete response arrived.
    int status = 0;
    Headers headers;
    std::string body;
    /// Why there is none.
    std::string failure;
};

/// A TCP connection with blocking calls that end at a deadline.
class Stream {
public:
    explicit Stream(int descriptor);
    ~Stream();
    Stream(const Stream&) = delete;
    Stream& operator=(const Stream&) = delete;

    /// Null if no connection opened in time.
    static std::unique_ptr<Stream> connect(const Address&, Milliseconds timeout);

    bool write(const std::string& bytes);
    /// Reads until a whole message is in the buffer and removes it from there. False at the end of the connection, or at the deadline.
    bool readRequest(Request&, Clock::time_point deadline);
    bool readResponse(Response&, Clock::time_point deadline);
    /// Appends what arrives within this time. False at the end of the connection.
    bool readAvailable(std::string& bytes, Milliseconds timeout);
    /// Makes reads of another thread end.
    void shutDown();

private:
    /// Reads the start line, the headers and a body with a length.
    bool readMessage(std::string& startLine, Headers&, std::string& body, Clock::time_point deadline);
    bool readMore(Clock::time_point deadline);

    int m_descriptor;
    std::string m_buffer;
    std::string m_failure;
};

/// Sends one request on a connection of its own.
Response exchange(const Address&, const Request&, Milliseconds timeout);

std::string serialize(const Request&);
std::string serialize(const Response&);

/// Accepts connections and runs a handler for each, in a thread of its own.
class Server {
public:
    using Handler = std::function<void(Stream&)>;

    Server(const Address&, Handler);
    ~Server();
    Server(const Server&) = delete;
    Server& operator=(const Server&) = delete;

    bool isListening() const { return m_descriptor >= 0; }

private:
    void accept();

    Handler m_handler;
    int m_descriptor = -1;
    std::atomic<bool> m_isStopping { false };
    std::mutex m_mutex;
    std::vector<std::shared_ptr<Stream>> m_streams;
    std::vector<std::thread> m_threads;
    std::thread m_acceptor;
};

} // namespace Knapweedquay::Review
