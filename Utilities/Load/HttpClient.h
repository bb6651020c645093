#pragma once

#include "Load/HttpParser.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Knapweedquay::Load {

/// Why an exchange ended without a whole answer.
enum class ExchangeFailure {
    None,
    /// No connection could be opened, so nothing was sent.
    NotConnected,
    /// The connection ended before the answer was whole.
    CutShort,
    TimedOut,
};

/// Sends requests over kept connections, one exchange at a time on each.
///
/// A connection whose exchange failed is closed, so that a late answer meets no other request.
class HttpClient {
public:
    using AnswerHandler = std::function<void(ExchangeFailure, const HttpMessage&)>;

    explicit HttpClient(asio::io_context& context)
        : m_context(context)
    {
    }

    /// Address is "IP:port".
    void send(const std::string& address, HttpMessage request, std::chrono::milliseconds timeout, AnswerHandler);

private:
    class Exchange;
    using Socket = std::shared_ptr<asio::ip::tcp::socket>;

    Socket takeIdle(const std::string& address);

    asio::io_context& m_context;
    std::map<std::string, std::vector<Socket>> m_idle;
};

/// "127.0.0.1:8080" as an Asio endpoint. Throws asio::system_error or std::invalid_argument when it is none.
asio::ip::tcp::endpoint parseEndpoint(const std::string& address);

/// Sends one request over a new connection and waits for its answer; the failure stands in the status 0.
HttpMessage exchangeOnce(const std::string& address, HttpMessage request, std::chrono::milliseconds timeout);

} // namespace Knapweedquay::Load
