#include "Load/Forwarder.h"

#include <asio/write.hpp>

#include <algorithm>
#include <array>

namespace Knapweedquay::Load {

/// The two connections of one forwarded connection.
class Forwarder::Pair : public std::enable_shared_from_this<Pair> {
public:
    Pair(asio::ip::tcp::socket near, asio::io_context& context, const bool& isCut)
        : m_near(std::move(near))
        , m_far(context)
        , m_isCut(isCut)
    {
    }

    void start(const asio::ip::tcp::endpoint& target)
    {
        m_far.async_connect(target, [self = shared_from_this()](const asio::error_code& error) {
            if (error)
                return self->close();
            asio::error_code ignored;
            self->m_near.set_option(asio::ip::tcp::no_delay(true), ignored);
            self->m_far.set_option(asio::ip::tcp::no_delay(true), ignored);
            self->pass(self->m_near, self->m_far, self->m_nearBuffer);
            self->pass(self->m_far, self->m_near, self->m_farBuffer);
        });
    }

    void silence() { m_isSilent = true; }
    void close()
    {
        asio::error_code ignored;
        m_near.close(ignored);
        m_far.close(ignored);
    }

private:
    using Buffer = std::array<char, 16384>;

    void pass(asio::ip::tcp::socket& from, asio::ip::tcp::socket& to, Buffer& buffer)
    {
        from.async_read_some(asio::buffer(buffer), [self = shared_from_this(), &from, &to, &buffer](const asio::error_code& error, std::size_t size) {
            self->m_isSilent = self->m_isSilent || self->m_isCut;
            if (self->m_isSilent)
                return error ? self->forget(from) : self->pass(from, to, buffer);
            if (error)
                return self->close();
            asio::async_write(to, asio::buffer(buffer, size), [self, &from, &to, &buffer](const asio::error_code& writeError, std::size_t) {
                if (writeError)
                    return self->close();
                self->pass(from, to, buffer);
            });
        });
    }

    /// One end gave up a silent connection; the other end is not told.
    static void forget(asio::ip::tcp::socket& socket)
    {
        asio::error_code ignored;
        socket.close(ignored);
    }

    asio::ip::tcp::socket m_near;
    asio::ip::tcp::socket m_far;
    const bool& m_isCut;
    bool m_isSilent = false;
    Buffer m_nearBuffer {};
    Buffer m_farBuffer {};
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

void Forwarder::silenceOpen()
{
    for (const auto& weak : m_pairs) {
        if (const auto pair = weak.lock())
            pair->silence();
    }
}

std::size_t Forwarder::openCount() const
{
    return static_cast<std::size_t>(std::count_if(m_pairs.begin(), m_pairs.end(), [](const auto& pair) { return !pair.expired(); }));
}

void Forwarder::accept()
{
    m_acceptor.async_accept([this](const asio::error_code& error, asio::ip::tcp::socket socket) {
        if (error == asio::error::operation_aborted)
            return;
        if (!error) {
            const auto pair = std::make_shared<Pair>(std::move(socket), m_context, m_isCut);
            m_pairs.erase(std::remove_if(m_pairs.begin(), m_pairs.end(), [](const auto& old) { return old.expired(); }), m_pairs.end());
            m_pairs.push_back(pair);
            pair->start(m_target);
        }
        accept();
    });
}

} // namespace Knapweedquay::Load
