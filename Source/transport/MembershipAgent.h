#pragma once

#include "coordination/membership/Membership.h"
#include "protocol/Result.h"
#include "protocol/SocketAddress.h"
#include "transport/DatagramSocket.h"
#include "transport/SteadyTime.h"

#include <asio/io_context.hpp>

#include <functional>
#include <memory>

namespace Knapweedquay {

/// Runs the membership protocol of one process with a datagram socket and a timer.
class MembershipAgent {
public:
    /// Called with every action. The agent has sent the datagrams itself.
    using ActionHook = std::function<void(const MembershipAction&)>;

    MembershipAgent(asio::io_context&, ActionHook);

    /// Opens the socket and starts the protocol with the address of the socket as the gossip address of this process.
    /// Errors: ConnectionFailed.
    Result<void> start(const SocketAddress& listen, MembershipSettings);
    bool isStarted() const { return m_membership != nullptr; }

    /// Performs the actions that a member function of membership() has returned, and schedules the next tick.
    void perform(const MembershipActions&);
    /// Valid only after a successful start().
    Membership& membership() { return *m_membership; }
    const Membership& membership() const { return *m_membership; }

private:
    void scheduleTick();

    DatagramSocket m_socket;
    ActionHook m_hook;
    /// Null until start() has succeeded.
    std::unique_ptr<Membership> m_membership;
    Timer m_tickTimer;
};

} // namespace Knapweedquay
