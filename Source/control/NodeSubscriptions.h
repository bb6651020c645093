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

/// Nodes that are subscribed to this replica: sends them newer documents and proofs of freshness.
class NodeSubscriptions {
public:
    using SubscriberId = std::uint64_t;

    struct Subscriber {
        LinkPtr link;
        NodeId node;
        Incarnation incarnation;
        bool isSubscribed = false;
        /// Versions that the node reported last.
        DocumentVersions inForce;
        /// Versions that were sent to it.
        DocumentVersions sent;
    };

    explicit NodeSubscriptions(const ControlService&);

    SubscriberId add(const LinkPtr&);
    void remove(SubscriberId);
    void subscribe(SubscriberId, const SubscribeMessage&);
    void reportInForce(SubscriberId, const InForceMessage&);
    void send(SubscriberId, const ControlMessage&);
    /// A document of a newer version was applied.
    void documentChanged(const StoredDocument&);
    /// Answers with the proof that this replica has now; a replica without one stays silent, and the node leaves it.
    void answerFreshness(SubscriberId, const FreshnessRequestMessage&, TimePoint now);

    const std::map<SubscriberId, Subscriber>& subscribers() const { return m_subscribers; }

private:
    /// False when the link could not take the document. The link must end then, because a later proof of
    /// freshness on it would speak for a document that never arrived.
    static bool sendDocument(Subscriber&, const StoredDocument&);

    const ControlService& m_service;
    std::map<SubscriberId, Subscriber> m_subscribers;
    SubscriberId m_lastId = 0;
};

} // namespace Knapweedquay
