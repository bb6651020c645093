#pragma once

#include "Load/HttpClient.h"
#include "transport/HttpParser.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>

#include <array>
#include <chrono>
#include <functional>
#include <string>
#include <vector>

namespace Knapweedquay::Load {

/// A connection to a process that is opened before its requests are sent.
class EarlyConnection {
public:
    explicit EarlyConnection(const std::string& address, int receiveBuffer = 0)
        : m_socket(m_context)
    {
        const auto endpoint = parseEndpoint(address);
        m_socket.open(endpoint.protocol());
        if (receiveBuffer > 0)
            m_socket.set_option(asio::socket_base::receive_buffer_size(receiveBuffer));
        m_socket.connect(endpoint);
    }

    /// False if the process has closed the connection.
    bool send(const std::string& bytes)
    {
        asio::error_code error;
        asio::write(m_socket, asio::buffer(bytes), error);
        return !error;
    }

    /// True until the end of the connection has arrived.
    bool isOpen()
    {
        std::array<char, 1> byte {};
        asio::error_code error;
        m_socket.non_blocking(true);
        m_socket.receive(asio::buffer(byte), asio::socket_base::message_peek, error);
        m_socket.non_blocking(false);
        return !error || error == asio::error::would_block;
    }

    /// Receives up to this number of responses, until the connection ends or the timeout expires.
    std::vector<HttpResponse> receive(std::size_t count)
    {
        std::vector<HttpResponse> responses;
        std::function<void()> read = [&] {
            m_socket.async_read_some(asio::buffer(m_buffer), [&](const asio::error_code& error, std::size_t size) {
                m_received.append(m_buffer.data(), size);
                takeResponses(responses);
                if (!error && responses.size() < count)
                    read();
            });
        };
        read();
        m_context.restart();
        constexpr std::chrono::seconds answerTimeout { 6 };
        m_context.run_for(answerTimeout);
        return responses;
    }

private:
    void takeResponses(std::vector<HttpResponse>& responses)
    {
        while (!m_received.empty()) {
            std::size_t consumed = 0;
            const auto progress = m_parser.feed(m_received, consumed);
            m_received.erase(0, consumed);
            if (progress != HttpParser::Progress::Complete)
                return;
            responses.push_back(m_parser.takeResponse());
        }
    }

    asio::io_context m_context;
    asio::ip::tcp::socket m_socket;
    HttpParser m_parser { HttpParser::Kind::Responses, {} };
    std::array<char, 8192> m_buffer {};
    std::string m_received;
};

} // namespace Knapweedquay::Load
