#pragma once

#include "coordination/membership/LocalHealth.h"
#include "coordination/membership/MembershipSettings.h"
#include "coordination/membership/MembershipTable.h"
#include "coordination/membership/PeerList.h"
#include "protocol/GossipMessages.h"

#include <functional>
#include <map>
#include <optional>

namespace Knapweedquay {

/// Probes one member after the other, directly and then through others, and reports those that do not answer.
///
/// SWIM's failure detector (DSN '02) with Lifeguard's local health and negative acknowledgements (2017). One
/// probe is under way at a time, so that the cost does not grow with the number of members.
class FailureDetector {
public:
    struct Hooks {
        std::function<void(const SocketAddress&, const GossipBody&)> send;
        /// The member answered neither directly nor through others.
        std::function<void(const NodeId&)> suspect;
    };

    FailureDetector(const MembershipSettings&, const MembershipTable&, PeerList&, PeerList::Random&, Hooks);

    void tick(TimePoint now);
    void handle(const GossipAck&);
    void handle(const GossipNack&);
    void handle(const GossipIndirectPing&, const SocketAddress& from, TimePoint now);
    /// Drops the probes under way: time in which the process was frozen is nobody's fault.
    void restart(TimePoint now);
    /// Counts against the local health: this member was suspected although it runs.
    void recordOwnRefutation() { m_localHealth.recordFailure(); }

    /// A sequence for a ping outside of the probe rounds, whose answer is not waited for.
    std::uint64_t nextSequence() { return ++m_sequence; }
    TimePoint nextTick() const;

private:
    struct Probe {
        std::uint64_t sequence = 0;
        NodeId target;
        SocketAddress targetAddress;
        TimePoint indirectAt;
        TimePoint endAt;
        bool isAnswered = false;
        bool isIndirect = false;
        std::size_t helpersAsked = 0;
        std::size_t nacksReceived = 0;
    };

    /// A ping made for another member.
    struct Relay {
        SocketAddress requester;
        std::uint64_t requesterSequence = 0;
        TimePoint deadline;
    };

    void startProbe(TimePoint now);
    void askHelpers();
    void finishProbe();
    void expireRelays(TimePoint now);

    const MembershipSettings& m_settings;
    const MembershipTable& m_table;
    PeerList& m_peers;
    PeerList::Random& m_random;
    const Hooks m_hooks;
    LocalHealth m_localHealth;
    std::optional<Probe> m_probe;
    std::map<std::uint64_t, Relay> m_relays;
    std::uint64_t m_sequence = 0;
    TimePoint m_nextProbeAt;
};

} // namespace Knapweedquay
