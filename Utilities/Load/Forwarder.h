#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <cstdint>
#include <memory>
#include <vector>

namespace Knapweedquay::Load {

/// Forwards TCP connections from a port to a target, and on command drops their bytes without closing them.
///
/// It simulates a network or a middlebox that loses connections silently, such as a firewall that drops their state.
class Forwarder {
public:
    /// Listens on the loopback address; port 0 selects a free one.
    Forwarder(asio::io_context&, std::uint16_t port, asio::ip::tcp::endpoint target);
    ~Forwarder();

    std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }
    /// Stops forwarding, in both directions, on the connections that are open now; later connections work.
    void silenceOpenConnections();
    /// While set, connections are accepted but no bytes are forwarded; a connection that receives bytes meanwhile
    /// stays silent after the cut ends.
    void setCut(bool isCut) { m_isCut = isCut; }
    /// Number of forwarded connections that are open.
    std::size_t openConnectionCount() const;

private:
    class ConnectionPair;

    void accept();

    asio::io_context& m_context;
    asio::ip::tcp::acceptor m_acceptor;
    asio::ip::tcp::endpoint m_target;
    bool m_isCut = false;
    /// Includes pairs that have ended; accept() removes them.
    std::vector<std::weak_ptr<ConnectionPair>> m_pairs;
};

} // namespace Knapweedquay::Load
