#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <cstdint>
#include <memory>
#include <vector>

namespace Knapweedquay::Load {

/// Passes TCP bytes between a port and a target, and stops doing so on command without telling either end.
///
/// It stands for whatever lies between two processes and may lose track of their connections.
class Forwarder {
public:
    /// Port 0 takes a free one.
    Forwarder(asio::io_context&, std::uint16_t port, asio::ip::tcp::endpoint target);
    ~Forwarder();

    std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }
    /// Connections that are open now pass nothing more, in either direction; later ones work.
    void silenceOpen();
    /// While set, no connection passes anything; new ones are accepted and stay mute for good.
    void setCut(bool isCut) { m_isCut = isCut; }
    std::size_t openCount() const;

private:
    class Pair;

    void accept();

    asio::io_context& m_context;
    asio::ip::tcp::acceptor m_acceptor;
    asio::ip::tcp::endpoint m_target;
    bool m_isCut = false;
    std::vector<std::weak_ptr<Pair>> m_pairs;
};

} // namespace Knapweedquay::Load
