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

/// Probes the members in turn, first directly and then through other members, and reports those that do not answer.
///
/// SWIM's failure detector (DSN '02) with Lifeguard's local health and negative acknowledgements (2017). At most one
/// probe is in flight, so that the cost does not grow with the number of members.
class FailureDetector {
public:
    /// Functions that the failure detector calls.
    struct Hooks {
        /// Sends a message to a gossip address.
        std::function<void(const SocketAddress&, const GossipBody&)> send;
        /// Called when a member answered neither the direct probe nor the indirect ones.
        std::function<void(const NodeId&)> suspect;
    };

    FailureDetector(const MembershipSettings&, const MembershipTable&, PeerList&, PeerList::Random&, Hooks);

    void tick(TimePoint now);
    void handle(const GossipAck&);
    void handle(const GossipNack&);
    void handle(const GossipIndirectPing&, const SocketAddress& from, TimePoint now);
    /// Discards the probe in flight and all relays, since an answer that is missing after a freeze of this process
    /// does not show a failure of the target.
    void restart(TimePoint now);
    /// Records a failure in the local health score, since other members suspected this one although it runs.
    void recordOwnRefutation() { m_localHealth.recordFailure(); }

    /// Returns a sequence number for a ping outside of the probe rounds; its acknowledgement is ignored.
    std::uint64_t nextSequence() { return ++m_sequence; }
    /// When tick() has work to do next.
    TimePoint nextTick() const;

private:
    /// The probe of one member, with its direct and indirect pings.
    struct Probe {
        std::uint64_t sequence = 0;
        NodeId target;
        SocketAddress targetAddress;
        /// When the indirect probes are sent.
        TimePoint indirectAt;
        /// When the next probe starts; a target that has not answered by then is suspected.
        TimePoint endAt;
        bool isAnswered = false;
        /// True once the indirect probes were sent.
        bool isIndirect = false;
        /// Members that were asked to ping the target.
        std::size_t helpersAsked = 0;
        /// Negative acknowledgements from those members.
        std::size_t nacksReceived = 0;
    };

    /// A ping sent on behalf of another member.
    struct Relay {
        SocketAddress requester;
        /// Sequence number of the requester's indirect ping.
        std::uint64_t requesterSequence = 0;
        /// When a negative acknowledgement is sent to the requester, unless the target answered before.
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
    /// Pings sent for other members, by the sequence number of this node's ping.
    std::map<std::uint64_t, Relay> m_relays;
    std::uint64_t m_sequence = 0;
    TimePoint m_nextProbeAt;
};

} // namespace Knapweedquay
