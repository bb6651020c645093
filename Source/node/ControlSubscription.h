#pragma once

#include "coordination/membership/ReplicaDirectory.h"
#include "node/NodeIdentity.h"
#include "protocol/ControlMessages.h"
#include "transport/Link.h"
#include "transport/SteadyTime.h"

#include <asio/io_context.hpp>

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Knapweedquay {

/// Keeps this node subscribed to one control replica whose documents are provably recent.
///
/// Freshness comes as the age of a quorum round of the store. A replica that cannot prove it, because it is cut off
/// or frozen, is left for the next one of the list. Versions only go up, whatever a replica sends.
class ControlSubscription {
public:
    struct Hooks {
        /// A version newer than the one in force; true when it was put in force.
        std::function<bool(const DocumentMessage&)> document;
        /// All documents were proved recent for the first time.
        std::function<void()> fresh;
        std::function<void(const AttemptId& owner, ResultCode)> claimAnswered;
    };

    /// discovers: also turns to the replicas that the store names.
    ControlSubscription(asio::io_context&, NodeIdentity, std::vector<std::string> replicas, bool discovers, Hooks);

    void start();
    /// Replicas of a newer settings file. Those that the store itself named are kept as well.
    void setReplicas(const std::vector<std::string>&);
    void requestClaim(const ClaimRequestMessage&, Duration timeout);
    void endClaim(const ClaimEndMessage&);
    /// Puts a document in force if it is newer than the one in force, whoever sent it; false otherwise.
    bool offer(const DocumentMessage&);

    const DocumentVersions& inForce() const { return m_inForce; }
    bool isFresh() const { return m_isFresh; }
    /// Time since the documents were last proved recent; the largest value when never.
    Duration staleness(TimePoint now) const;
    std::string currentReplica() const { return m_link ? m_currentReplica : std::string(); }

private:
    struct PendingClaim {
        ClaimRequestMessage message;
        TimePoint expiry;
    };

    void connectNext();
    void leave();
    void handleOpened();
    bool send(const ControlMessage&);
    void handleReceived(std::string_view bytes);
    void handle(const DocumentMessage&);
    void handle(const FreshnessMessage&);
    void handle(const ClaimAnswerMessage&);
    void handle(const ReplicaListMessage&);
    void handle(const SubscribeMessage&) { }
    void handle(const FreshnessRequestMessage&) { }
    void handle(const InForceMessage&) { }
    void handle(const ClaimRequestMessage&) { }
    void handle(const ClaimEndMessage&) { }
    void requestFreshness();
    void expireClaims(TimePoint now);
    void check();

    NodeIdentity m_self;
    ReplicaDirectory m_replicas;
    bool m_discovers;
    Hooks m_hooks;
    LinkClient m_client;
    LinkPtr m_link;
    std::string m_currentReplica;
    TimePoint m_connectedAt;
    TimePoint m_provedAt;
    TimePoint m_askedAt;
    bool m_isFresh = false;
    DocumentVersions m_inForce;
    std::map<AttemptId, PendingClaim> m_claims;
    /// Ends of claims that no replica has got yet.
    std::vector<ClaimEndMessage> m_claimEnds;
    Timer m_checkTimer;
};

} // namespace Knapweedquay
