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

/// Runs the membership protocol of one process over its datagram socket and timer.
class MembershipAgent {
public:
    /// Gets every action but the datagrams, which are sent here.
    using ActionHook = std::function<void(const MembershipAction&)>;

    MembershipAgent(asio::io_context&, ActionHook);

    /// Opens the socket and begins; the settings' own gossip address is filled in. Errors: ConnectionFailed.
    Result<void> start(const SocketAddress& listen, MembershipSettings);
    bool isStarted() const { return m_membership != nullptr; }

    /// Carries out what a call of the membership returned.
    void perform(const MembershipActions&);
    Membership& membership() { return *m_membership; }
    const Membership& membership() const { return *m_membership; }

private:
    void scheduleTick();

    DatagramSocket m_socket;
    ActionHook m_hook;
    std::unique_ptr<Membership> m_membership;
    Timer m_tickTimer;
};

} // namespace Knapweedquay
