#pragma once

#include "coordination/membership/DocumentGossip.h"
#include "coordination/membership/FailureDetector.h"
#include "coordination/membership/GossipBudget.h"
#include "coordination/membership/MembershipActions.h"
#include "coordination/membership/MembershipSettings.h"
#include "coordination/membership/MembershipTable.h"
#include "coordination/membership/PeerList.h"
#include "coordination/membership/RumorQueue.h"
#include "coordination/membership/SuspicionTimers.h"
#include "protocol/GossipMessages.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Knapweedquay {

/// Which nodes there are, what their backend servers do, and which of them are dead; one object per node.
///
/// Gossip without a centre (SWIM, DSN '02, with Lifeguard's refinements, 2017), so that it goes on inside a
/// region that is cut off from the control replicas: news rides on every message and is pushed to a few random
/// members, comparison of digests repairs what the pushes missed, and dead members are tried again now and then,
/// so that the sides of a healed partition find each other. docs/design/MEMBERSHIP.md has the reasons and figures.
///
/// No I/O: call handle() for each datagram and tick() at nextTick() or later, and carry out the actions that each
/// call returns. All calls come from one thread, with times that never go back.
class Membership {
public:
    /// The same settings, seed and calls give the same actions.
    Membership(MembershipSettings, std::uint64_t seed);
    Membership(const Membership&) = delete;
    Membership& operator=(const Membership&) = delete;

    /// A datagram has arrived. Malformed ones and those of other deployments change nothing.
    MembershipActions handle(const SocketAddress& from, std::string_view bytes, TimePoint now);
    MembershipActions tick(TimePoint now);
    /// When tick() has work to do next.
    TimePoint nextTick() const;

    /// Announces a change of the backend server beside this node; no change, no announcement.
    MembershipActions updateSelf(const EndpointState&, TimePoint now);
    /// Announces that this node leaves. Keep calling tick() until hasSpreadLeave().
    MembershipActions leave(TimePoint now);
    /// True when the members have been told often enough that the process may end.
    bool hasSpreadLeave() const;

    /// Seeds to be tried from now on.
    void setSeeds(const std::vector<SocketAddress>& seeds) { m_settings.seeds = seeds; }

    /// Document versions that this node has in force now.
    MembershipActions updateDocuments(const std::vector<DocumentHint>& inForce, TimePoint now);

    const MembershipTable& table() const { return m_table; }
    const MemberRecord& self() const;

private:
    void beginCall(TimePoint now);
    MembershipActions finishCall();
    void recoverFromFreeze();

    // Incoming.
    void dispatch(const GossipMessage&, const SocketAddress& from);
    void answer(const GossipPing&, const SocketAddress& from);
    void answer(const GossipDigest&, const SocketAddress& from);
    void answer(const GossipSummary&, const SocketAddress& from);
    void answer(const GossipRequest&, const SocketAddress& from);
    void answer(const GossipDocuments&, const GossipMessage&, const SocketAddress& from);
    void compareDocuments(const GossipMessage&, const SocketAddress& from);
    void compareSenderVersion(const GossipMessage&, const SocketAddress& from);

    // The table.
    MergeResult mergeRecord(const MemberRecord&);
    void confirmSuspicion(const MemberRecord&);
    void refuteIfNeeded(const MemberRecord&);
    void announceSelf(MemberRecord);
    void suspect(const NodeId&);
    void handleRecordChange(const std::optional<MemberRecord>& before, const MemberRecord& after);
    void expireSuspicions();

    // Outgoing.
    void spreadRumors();
    void exchangeDigest();
    void reconnectDead();
    void reconnectSeed();
    void sendInitialMembers(const SocketAddress&);
    void sendRecords(const SocketAddress&, const std::vector<MemberRecord>&, std::size_t maximumDatagrams);
    void sendDocuments(const SocketAddress&, bool isReply);
    void send(const SocketAddress&, const GossipBody&);
    void send(const SocketAddress&, GossipMessage);
    void piggybackRumors(GossipMessage&, std::size_t encodedBytes);
    GossipMessage message(const GossipBody&) const;
    std::uint32_t transmissionLimit() const;
    bool hasRumors() const;
    Duration jittered(Duration);

    MembershipSettings m_settings;
    const std::uint32_t m_deployment;
    PeerList::Random m_random;
    MembershipTable m_table;
    PeerList m_peers;
    SuspicionTimers m_suspicions;
    FailureDetector m_failureDetector;
    RumorQueue<NodeId> m_rumors;
    DocumentGossip m_documents;
    GossipBudget m_budget;
    MembershipActions m_actions;
    TimePoint m_now;
    /// What nextTick() was after the last call.
    TimePoint m_expectedTick;
    bool m_isStarted = false;

    TimePoint m_nextGossipAt;
    TimePoint m_nextDigestAt;
    TimePoint m_nextReconnectAt;
    TimePoint m_nextSeedAt;
    TimePoint m_nextDocumentsAt;
    /// The member to exchange digests with next; empty for any.
    NodeId m_digestPartner;
};

} // namespace Knapweedquay
