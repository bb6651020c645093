#pragma once

#include "coordination/membership/OpeningTimeout.h"
#include "coordination/membership/ReplicaDirectory.h"
#include "node/DocumentReceiver.h"
#include "node/NodeIdentity.h"
#include "protocol/ControlMessages.h"
#include "transport/Link.h"

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Knapweedquay {

/// Keeps this node subscribed to one control replica whose documents are provably recent.
///
/// A replica proves freshness by the age of its last quorum round. If it cannot, because it is partitioned or frozen, the
/// node disconnects and connects to the next replica in the list. If a connection does not open soon, the node also tries the
/// next replica, and stays with the one that opens first (compare RFC 8305): after a power cut of all machines, some replicas
/// are up before others. Versions in force never decrease, whatever a replica sends. It has no clock, timer or socket of its
/// own.
class ControlSubscription {
public:
    /// Functions that provide clock and links, and that handle what the control replica sends.
    struct Hooks {
        std::function<TimePoint()> now;
        /// Starts to open a link to a replica; returns null if the address is invalid.
        std::function<LinkPtr(const std::string& address, Link::Hooks)> connect;
        /// Receives a version newer than the one in force; returns true if it was applied.
        DocumentReceiver::ApplyHook document;
        /// Requests a document from another node, which passes it to offer().
        std::function<void(const NodeId&, const ServiceName&)> fetchFromNode;
        /// Called with each proof: all that was committed at that time is in force.
        std::function<void(TimePoint provedAt)> proved;
        /// Receives the reply to requestClaim() or queryClaim(); ClaimUnavailable if there was none in time.
        std::function<void(const AttemptId& owner, ResultCode)> claimAnswered;
    };

    /// discoversReplicas: also connects to the replicas listed by the store, not only to those given here.
    ControlSubscription(NodeIdentity, std::vector<std::string> replicas, bool discoversReplicas, Hooks);

    /// Interval at which the owner calls check() once the node is subscribed.
    static constexpr Duration checkInterval { 100000 };
    /// Time until the owner next calls check().
    Duration nextCheck() const;

    /// Connects to the first replica.
    void start();
    /// Expires claims, replaces a replica without recent proof, and requests new proof.
    void check();
    /// Replaces the replicas of the settings file; those listed by the store are kept.
    void setReplicas(const std::vector<std::string>&);
    /// Requests a claim; it is sent again to each replica that the node connects to before the timeout.
    void requestClaim(const ClaimRequestMessage&, Duration timeout);
    /// Asks whether a key is claimed; otherwise as requestClaim().
    void queryClaim(const ClaimQueryMessage&, Duration timeout);
    /// Sends the end of a claim, or queues it until a link is open.
    void endClaim(const ClaimEndMessage&);
    /// Records that another node has this version in force. It is fetched from there only if no replica can be expected to
    /// send it soon.
    void hint(const NodeId&, const ServiceName&, DocumentVersion);
    /// Applies a document from any sender if it is newer than the one in force. Returns whether it was applied.
    bool offer(const DocumentMessage&, const DocumentSender&);

    /// Versions of the documents in force.
    const DocumentVersions& inForce() const { return m_documents.inForce(); }
    bool isFresh() const { return m_isFresh; }
    /// Time since the documents were last proved recent; the maximum value if they never were.
    Duration staleness(TimePoint now) const;
    const DocumentBytes& documentBytes() const { return m_documents.documentBytes(); }
    /// Address of the replica that the node is connected or last tried to connect to; empty if there is none.
    std::string currentReplica() const;

private:
    /// A claim, or a question for one, that the store has not replied to.
    struct PendingClaim {
        ControlMessage message;
        /// When the claim is answered with ClaimUnavailable if the store has not replied.
        TimePoint expiry;
    };

    /// A connection that is being opened.
    struct Opening {
        std::uint64_t id = 0;
        LinkPtr link;
        std::string replica;
    };

    /// Newer version of a document at another node.
    struct Hint {
        NodeId node;
        DocumentVersion version;
    };

    void connectNext();
    /// Connects to the next replica if none is connected and the openings under way had their time.
    void connectIfDue(TimePoint now);
    void disconnect();
    void handleOpened(std::uint64_t opening);
    void handleClosed(std::uint64_t opening);
    /// Removes an opening and returns it; its link is null if there is none with this number.
    Opening takeOpening(std::uint64_t id);
    /// Ends an opening without a report to handleClosed().
    static void abandon(const LinkPtr&);
    bool send(const ControlMessage&);
    void sendClaim(const AttemptId& owner, const ControlMessage&, Duration timeout);
    void handleReceived(std::string_view bytes);
    void handle(const DocumentMessage&);
    void handle(const DocumentUpdateMessage&);
    void handle(const UpdatesAcceptedMessage&) { }
    void handle(const FreshnessMessage&);
    void handle(const ClaimAnswerMessage&);
    void handle(const ReplicaListMessage&);
    void handle(const SubscribeMessage&) { }
    void handle(const FreshnessRequestMessage&) { }
    void handle(const InForceMessage&) { }
    void handle(const ClaimRequestMessage&) { }
    void handle(const ClaimEndMessage&) { }
    void handle(const ClaimQueryMessage&) { }
    void handle(const RoutingChangeMessage&) { }
    void handle(const RoutingChangeAnswerMessage&) { }
    void handle(const EvacuationOrderMessage&) { }
    void handle(const EvacuationAnswerMessage&) { }
    void requestFreshness();
    void expireClaims(TimePoint now);
    /// True if no connected replica has proved recently that it is up to date, and the connected one has had time to.
    bool lacksReplica(TimePoint now) const;
    /// Fetches the hinted versions from other nodes if they can't be expected from a replica.
    void fetchHinted(TimePoint now);

    NodeIdentity m_self;
    ReplicaDirectory m_replicas;
    bool m_discoversReplicas;
    Hooks m_hooks;
    /// The open connection; null while there is none.
    LinkPtr m_link;
    std::string m_currentReplica;
    /// Connections being opened, oldest first; at most one for each replica.
    std::vector<Opening> m_openings;
    std::uint64_t m_lastOpening = 0;
    /// When the last opening began.
    TimePoint m_openingAt;
    /// When the current connection was open.
    TimePoint m_connectedAt;
    OpeningTimeout m_openingTimeout;
    /// Latest time at which the documents are known to have been recent.
    TimePoint m_lastProvedAt;
    TimePoint m_freshnessRequestedAt;
    /// True once the documents were proved recent for the first time.
    bool m_isFresh = false;
    DocumentReceiver m_documents;
    /// When the last part of an update arrived.
    TimePoint m_lastPartAt;
    /// Newest hint for each document.
    std::map<ServiceName, Hint> m_hints;
    /// Claims without a reply, by owner.
    std::map<AttemptId, PendingClaim> m_pendingClaims;
    /// Ends of claims that could not be sent yet, because no link was open.
    std::vector<ClaimEndMessage> m_pendingClaimEnds;
};

} // namespace Knapweedquay
