#pragma once

#include "protocol/ControlMessages.h"
#include "state/ControlService.h"
#include "transport/Link.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Knapweedquay {

/// Links from nodes to this replica. Sends subscribed nodes newer documents and proofs of freshness.
///
/// A node gets the newest version of a document as its difference from the version that it has in force, and the next one
/// only once it has reported on that. Versions that were overtaken meanwhile are never sent, so the links of nodes carry
/// what changed, not each text. docs/design/DISTRIBUTION.md gives the bound on the time until a version is in force.
class NodeSubscriptions {
public:
    using SubscriberId = std::uint64_t;

    /// A link from a node; the other fields are set once the node subscribes.
    struct Subscriber {
        LinkPtr link;
        NodeId node;
        Incarnation incarnation;
        bool isSubscribed = false;
        /// True if the node takes DocumentUpdateMessage.
        bool acceptsUpdates = false;
        /// Document versions in force at the node, as it last reported them.
        DocumentVersions inForce;
        /// Newest document versions sent over the link or reported when the node subscribed.
        DocumentVersions sent;
        /// Services of the updates that the node has not reported on, oldest first. Nodes report in the same order.
        std::deque<ServiceName> unreported;
        /// Request for a proof that has to wait until the newest version of each document was sent.
        std::optional<FreshnessRequestMessage> waitingRequest;
    };

    explicit NodeSubscriptions(const ControlService&);

    SubscriberId add(const LinkPtr&);
    void remove(SubscriberId);
    /// Records that the node takes DocumentUpdateMessage.
    void acceptUpdates(SubscriberId);
    /// Subscribes the node and sends it each document that is newer than the version it reports.
    void subscribe(SubscriberId, const SubscribeMessage&);
    /// Records the document versions that the node reports as in force, and sends what was held back until this report.
    void reportInForce(SubscriberId, const InForceMessage&, TimePoint now);
    void send(SubscriberId, const ControlMessage&);
    /// Sends the newly applied version of a document to all subscribed nodes.
    void documentChanged(const StoredDocument&);
    /// Sends the replica's current proof of freshness, once the newest version of each document was sent. Without a proof
    /// no answer is sent, and the node switches to another replica.
    void answerFreshness(SubscriberId, const FreshnessRequestMessage&, TimePoint now);

    const std::map<SubscriberId, Subscriber>& subscribers() const { return m_subscribers; }

private:
    /// Sends the document if it is newer than the version sent last and no update of it is unreported. Returns false when
    /// the link does not accept it; the caller must then abort the link, because a later proof of freshness on it would
    /// cover a document that was never received.
    bool sendDocument(Subscriber&, const StoredDocument&);
    /// Sends each document that is newer than the version sent last. Returns false as sendDocument().
    bool sendDocuments(Subscriber&);
    /// True if the newest version of each document was sent.
    bool isComplete(const Subscriber&) const;
    /// The document as an encoded DocumentUpdateMessage for a node that has the given version in force.
    const std::string& encodedUpdate(const StoredDocument&, DocumentVersion inForce);

    /// Encoded updates to one version of a document, by the version that they are based on.
    struct EncodedUpdates {
        DocumentVersion version;
        std::map<DocumentVersion, std::string> byBase;
    };

    const ControlService& m_service;
    /// Updates to the newest version, since many nodes need the same one.
    std::map<ServiceName, EncodedUpdates> m_encodedUpdates;
    std::map<SubscriberId, Subscriber> m_subscribers;
    SubscriberId m_lastId = 0;
};

} // namespace Knapweedquay
