#pragma once

#include "Load/HttpMessage.h"
#include "transport/HttpClient.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <chrono>
#include <functional>
#include <string>

namespace Knapweedquay::Load {

/// Why an exchange ended without a complete answer.
enum class ExchangeFailure {
    None,
    /// No connection could be opened, so nothing was sent.
    NotConnected,
    /// The connection ended before the answer was complete.
    IncompleteAnswer,
    /// No complete answer arrived within the timeout.
    TimedOut,
};

/// Adapts the HTTP client of the transport layer to HttpMessage.
class HttpClient {
public:
    using AnswerHandler = std::function<void(ExchangeFailure, const HttpMessage&)>;

    explicit HttpClient(asio::io_context&);

    /// Sends a request to an address, "IP:port", and calls the handler when the exchange has ended.
    void send(const std::string& address, const HttpMessage& request, std::chrono::milliseconds timeout, AnswerHandler);

private:
    Knapweedquay::HttpClient m_client;
};

/// Parses an address such as "127.0.0.1:8080". Throws asio::system_error or std::invalid_argument when it is invalid.
asio::ip::tcp::endpoint parseEndpoint(const std::string& address);

/// Sends one request over a new connection and waits for its answer; the status is 0 when there was none.
HttpMessage exchangeOnce(const std::string& address, const HttpMessage& request, std::chrono::milliseconds timeout);

} // namespace Knapweedquay::Load
