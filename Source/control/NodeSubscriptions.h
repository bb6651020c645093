#pragma once

#include "protocol/ControlMessages.h"
#include "state/ControlService.h"
#include "transport/Link.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Knapweedquay {

/// Links from nodes to this replica. Sends subscribed nodes newer documents and proofs of freshness.
class NodeSubscriptions {
public:
    using SubscriberId = std::uint64_t;

    /// A link from a node; the other fields are set once the node subscribes.
    struct Subscriber {
        LinkPtr link;
        NodeId node;
        Incarnation incarnation;
        bool isSubscribed = false;
        /// Document versions in force at the node, as it last reported them.
        DocumentVersions inForce;
        /// Newest document versions sent over the link or reported when the node subscribed.
        DocumentVersions sent;
    };

    explicit NodeSubscriptions(const ControlService&);

    SubscriberId add(const LinkPtr&);
    void remove(SubscriberId);
    /// Subscribes the node and sends it each document that is newer than the version it reports.
    void subscribe(SubscriberId, const SubscribeMessage&);
    /// Records the document versions that the node reports as in force.
    void reportInForce(SubscriberId, const InForceMessage&);
    void send(SubscriberId, const ControlMessage&);
    /// Sends the newly applied version of a document to all subscribed nodes.
    void documentChanged(const StoredDocument&);
    /// Sends the replica's current proof of freshness. Without a proof no answer is sent, and the node switches to
    /// another replica.
    void answerFreshness(SubscriberId, const FreshnessRequestMessage&, TimePoint now);

    const std::map<SubscriberId, Subscriber>& subscribers() const { return m_subscribers; }

private:
    /// Sends the document if it is newer than the version sent last. Returns false when the link does not accept it;
    /// the caller must then abort the link, because a later proof of freshness on it would cover a document that was
    /// never received.
    static bool sendDocument(Subscriber&, const StoredDocument&);

    const ControlService& m_service;
    std::map<SubscriberId, Subscriber> m_subscribers;
    SubscriberId m_lastId = 0;
};

} // namespace Knapweedquay
