#pragma once

#include "Load/HttpMessage.h"
#include "transport/HttpClient.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <chrono>
#include <functional>
#include <string>

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

/// The product's HTTP client, with the messages of the stand-ins.
class HttpClient {
public:
    using AnswerHandler = std::function<void(ExchangeFailure, const HttpMessage&)>;

    explicit HttpClient(asio::io_context& context)
        : m_client(context)
    {
    }

    /// Address is "IP:port".
    void send(const std::string& address, const HttpMessage& request, std::chrono::milliseconds timeout, AnswerHandler);

private:
    Knapweedquay::HttpClient m_client;
};

/// "127.0.0.1:8080" as an Asio endpoint. Throws asio::system_error or std::invalid_argument when it is none.
asio::ip::tcp::endpoint parseEndpoint(const std::string& address);

/// Sends one request over a new connection and waits for its answer; the failure stands in the status 0.
HttpMessage exchangeOnce(const std::string& address, const HttpMessage& request, std::chrono::milliseconds timeout);

} // namespace Knapweedquay::Load
