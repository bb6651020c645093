#include "Load/Forwarder.h"

#include <asio/write.hpp>

#include <algorithm>
#include <array>

namespace Knapweedquay::Load {

/// The connection that was accepted from a client, and the one that was opened to the target for it.
class Forwarder::ConnectionPair : public std::enable_shared_from_this<ConnectionPair> {
public:
    ConnectionPair(asio::ip::tcp::socket clientSocket, asio::io_context& context, const bool& isCut)
        : m_clientSocket(std::move(clientSocket))
        , m_targetSocket(context)
        , m_isCut(isCut)
    {
    }

    void start(const asio::ip::tcp::endpoint& target)
    {
        m_targetSocket.async_connect(target, [self = shared_from_this()](const asio::error_code& error) {
            if (error)
                return self->close();
            asio::error_code ignored;
            self->m_clientSocket.set_option(asio::ip::tcp::no_delay(true), ignored);
            self->m_targetSocket.set_option(asio::ip::tcp::no_delay(true), ignored);
            self->forward(self->m_clientSocket, self->m_targetSocket, self->m_clientBuffer);
            self->forward(self->m_targetSocket, self->m_clientSocket, self->m_targetBuffer);
        });
    }

    void silence() { m_isSilent = true; }
    void close()
    {
        asio::error_code ignored;
        m_clientSocket.close(ignored);
        m_targetSocket.close(ignored);
    }

private:
    using Buffer = std::array<char, 16384>;

    void forward(asio::ip::tcp::socket& from, asio::ip::tcp::socket& to, Buffer& buffer)
    {
        from.async_read_some(asio::buffer(buffer), [self = shared_from_this(), &from, &to, &buffer](const asio::error_code& error, std::size_t size) {
            self->m_isSilent = self->m_isSilent || self->m_isCut;
            if (self->m_isSilent)
                return error ? self->closeSocket(from) : self->forward(from, to, buffer);
            if (error)
                return self->close();
            asio::async_write(to, asio::buffer(buffer, size), [self, &from, &to, &buffer](const asio::error_code& writeError, std::size_t) {
                if (writeError)
                    return self->close();
                self->forward(from, to, buffer);
            });
        });
    }

    /// Closes one end of a silent connection after its peer closed it; the other end stays open.
    static void closeSocket(asio::ip::tcp::socket& socket)
    {
        asio::error_code ignored;
        socket.close(ignored);
    }

    asio::ip::tcp::socket m_clientSocket;
    asio::ip::tcp::socket m_targetSocket;
    const bool& m_isCut;
    bool m_isSilent = false;
    Buffer m_clientBuffer {};
    Buffer m_targetBuffer {};
};

Forwarder::Forwarder(asio::io_context& context, std::uint16_t port, asio::ip::tcp::endpoint target)
    : m_context(context)
    , m_acceptor(context, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), port))
    , m_target(std::move(target))
{
    accept();
}

Forwarder::~Forwarder()
{
    for (const auto& weak : m_pairs) {
        if (const auto pair = weak.lock())
            pair->close();
    }
}

void Forwarder::silenceOpenConnections()
{
    for (const auto& weak : m_pairs) {
        if (const auto pair = weak.lock())
            pair->silence();
    }
}

std::size_t Forwarder::openConnectionCount() const
{
    return static_cast<std::size_t>(std::count_if(m_pairs.begin(), m_pairs.end(), [](const auto& pair) { return !pair.expired(); }));
}

void Forwarder::accept()
{
    m_acceptor.async_accept([this](const asio::error_code& error, asio::ip::tcp::socket socket) {
        if (error == asio::error::operation_aborted)
            return;
        if (!error) {
            const auto pair = std::make_shared<ConnectionPair>(std::move(socket), m_context, m_isCut);
            m_pairs.erase(std::remove_if(m_pairs.begin(), m_pairs.end(), [](const auto& old) { return old.expired(); }), m_pairs.end());
            m_pairs.push_back(pair);
            pair->start(m_target);
        }
        accept();
    });
}

} // namespace Knapweedquay::Load
