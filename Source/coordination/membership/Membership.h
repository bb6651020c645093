#pragma once

#include "coordination/membership/DocumentGossip.h"
#include "coordination/membership/EvidenceGossip.h"
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
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Knapweedquay {

/// Membership of this node in its deployment: the nodes, the state of their backend servers, and which nodes are dead.
///
/// Decentralized gossip (SWIM, DSN '02, with Lifeguard's refinements, 2017), so that it keeps working inside a region
/// that is cut off from the control replicas: rumors are piggybacked on every message and pushed to a few random
/// members, anti-entropy corrects differences that remain, and dead members are pinged periodically, so that the sides
/// of a healed partition find each other. docs/design/MEMBERSHIP.md has the reasons and figures.
///
/// The class does no I/O: call handle() for each datagram and tick() at nextTick() or later, and carry out the actions
/// that each call returns. All calls must come from one thread, with times that never decrease.
class Membership {
public:
    /// Deterministic: the same settings, seed and calls return the same actions.
    Membership(MembershipSettings, std::uint64_t seed);
    Membership(const Membership&) = delete;
    Membership& operator=(const Membership&) = delete;

    /// Handles a received datagram. Ignores malformed datagrams and those of other deployments.
    MembershipActions handle(const SocketAddress& from, std::string_view bytes, TimePoint now);
    /// Runs the periodic work that is due.
    MembershipActions tick(TimePoint now);
    /// When tick() has work to do next.
    TimePoint nextTick() const;

    /// Announces the state of this node's backend server if it changed.
    MembershipActions updateSelf(const EndpointState&, TimePoint now);
    /// Announces that this node leaves. Keep calling tick() until hasSpreadLeave() returns true.
    MembershipActions leave(TimePoint now);
    /// True once this node has left and sent all transmissions of the announcement, or has no present member to send
    /// them to, so that the process may end.
    bool hasSpreadLeave() const;

    /// Replaces the gossip addresses of the seeds.
    void setSeeds(const std::vector<SocketAddress>& seeds) { m_settings.seeds = seeds; }

    /// Replaces the document versions that this node has in force.
    MembershipActions updateDocuments(const std::vector<DocumentHint>& inForce, TimePoint now);

    /// Passes on evidence that this node found about requests that were running in crashes. recipients: nodes that receive it at
    /// once, because their callers may send such a request again next.
    MembershipActions spreadEvidence(const std::vector<CrashEvidence>&, const std::vector<NodeId>& recipients, TimePoint now);

    const MembershipTable& table() const { return m_table; }
    const CrashEvidenceTable& crashEvidence() const { return m_evidence.table(); }
    /// This node's own record.
    const MemberRecord& self() const;

private:
    /// Sets the time of the call, starts the periods at the first call, and detects a freeze of the process.
    void beginCall(TimePoint now);
    /// Stores the next expected tick and returns the collected actions.
    MembershipActions finishCall();
    void recoverFromFreeze();

    // Handling of received messages.
    void dispatch(const GossipMessage&, const SocketAddress& from);
    void answer(const GossipPing&, const SocketAddress& from);
    void answer(const GossipDigest&, const SocketAddress& from);
    void answer(const GossipSummary&, const SocketAddress& from);
    void answer(const GossipRequest&, const SocketAddress& from);
    void answer(const GossipDocuments&, const GossipMessage&, const SocketAddress& from);
    void receive(const GossipCrashEvidence&);
    void compareDocuments(const GossipMessage&, const SocketAddress& from);
    void compareSenderVersion(const GossipMessage&, const SocketAddress& from);

    // Updates of the table.
    MergeResult mergeRecord(const MemberRecord&);
    void confirmSuspicion(const MemberRecord&);
    void refuteIfNeeded(const MemberRecord&);
    void announceSelf(MemberRecord);
    void suspect(const NodeId&);
    void handleRecordChange(const std::optional<MemberRecord>& before, const MemberRecord& after);
    /// Keeps the members of this data centre up to date.
    void updateLocalPeer(const std::optional<MemberRecord>& before, const MemberRecord& after);
    void expireSuspicions();

    // Sending.
    void spreadRumors();
    void spreadEvidenceRumors(const std::vector<NodeId>& targets);
    void sendEvidence(const SocketAddress&, std::vector<CrashEvidence>);
    /// Draws the members that receive rumors next, most of them in this data centre.
    std::vector<NodeId> drawRumorTargets();
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
    /// Hash of the deployment's name.
    const std::uint32_t m_deployment;
    PeerList::Random m_random;
    MembershipTable m_table;
    PeerList m_peers;
    /// The members of m_peers in this member's data centre.
    PeerList m_localPeers;
    std::set<SocketAddress> m_localAddresses;
    SuspicionTimers m_suspicions;
    FailureDetector m_failureDetector;
    RumorQueue<NodeId> m_rumors;
    DocumentGossip m_documents;
    EvidenceGossip m_evidence;
    GossipBudget m_budget;
    /// For the rumors of crash evidence, so that neither they nor those of members have to wait for the others.
    GossipBudget m_evidenceBudget;
    MembershipActions m_actions;
    TimePoint m_now;
    /// Value of nextTick() after the last call; a much later call shows that the process was frozen.
    TimePoint m_expectedTick;
    bool m_isStarted = false;

    /// When rumors are sent next.
    TimePoint m_nextGossipAt;
    /// When a digest is sent to a member next.
    TimePoint m_nextDigestAt;
    /// When a dead member is pinged next.
    TimePoint m_nextReconnectAt;
    /// When a digest is sent to a seed next.
    TimePoint m_nextSeedAt;
    /// Earliest time at which the document versions are sent again because a peer's hash of them differs.
    TimePoint m_nextDocumentsAt;
    /// Member that receives the next digest; empty for a random one.
    NodeId m_digestPartner;
};

} // namespace Knapweedquay
