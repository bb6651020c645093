#pragma once

#include "coordination/Membership.h"
#include "protocol/Result.h"
#include "transport/SteadyTime.h"
#include "transport/UdpSocket.h"

#include <asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <vector>

namespace Knapweedquay {

/// Runs the membership core on an event loop: gives it datagrams and time, and carries out its actions.
class MembershipAgent {
public:
    struct Hooks {
        std::function<void(const MemberRecord&)> memberChanged;
        std::function<void(const NewerDocumentHint&)> newerDocument;
        /// Another process runs under this node's id: this one has to stop.
        std::function<void(Incarnation)> superseded;
    };

    MembershipAgent(asio::io_context&, const MembershipSettings&, std::uint64_t seed, Hooks);

    /// Binds the gossip address of the settings and joins. Errors: ConnectionFailed.
    Result<void> start();
    /// Closes the socket without a word to the others; leave() first for a planned stop.
    void stop();

    void updateSelf(const EndpointState&);
    void updateDocuments(const std::vector<DocumentHint>& inForce);
    /// Tells the others that this node leaves; left runs when they have been told.
    void leave(std::function<void()> left);

    std::vector<MemberRecord> members() const { return m_membership.table().records(); }
    const MemberRecord& self() const { return m_membership.self(); }
    /// Bytes sent and received since the start, IP and UDP headers included.
    std::uint64_t bytesSent() const { return m_bytesSent; }
    std::uint64_t bytesReceived() const { return m_bytesReceived; }

private:
    void carryOut(const MembershipActions&);
    void receive(const SocketAddress& from, std::string_view bytes);

    const Hooks m_hooks;
    Membership m_membership;
    UdpSocket m_socket;
    Timer m_timer;
    std::function<void()> m_left;
    bool m_isRunning = false;
    std::uint64_t m_bytesSent = 0;
    std::uint64_t m_bytesReceived = 0;
};

} // namespace Knapweedquay
