#pragma once

#include "protocol/ControlMessages.h"
#include "state/ControlService.h"
#include "transport/Link.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Knapweedquay {

/// Links from nodes to this replica. Sends subscribed nodes newer documents and proofs of freshness.
///
/// A node gets the newest version of a document as its difference from the version that it has in force, part by part, and
/// the next one only once it has reported on that. Versions that were overtaken meanwhile are never sent, so the links of
/// nodes carry what changed, not each text. docs/design/DISTRIBUTION.md gives the bound on the time until a version is in force.
class NodeSubscriptions {
public:
    using SubscriberId = std::uint64_t;

    /// An update that is being sent to a node.
    struct Transfer {
        ServiceName service;
        DocumentVersion version;
        /// Version that the node needs to restore the text; 0 when it needs none.
        DocumentVersion base;
        std::shared_ptr<const std::string> compressedText;
        std::size_t sentBytes = 0;

        bool isSent() const { return sentBytes == compressedText->size(); }
    };

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
        /// Newest document versions sent over the link, at least in part, or reported when the node subscribed.
        DocumentVersions sent;
        /// The update whose last part the node has not reported on.
        std::optional<Transfer> transfer;
        /// Request for a proof that has to wait until the newest version of each document was sent, or until there is a proof.
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
    /// Addresses of all members of the store, as this replica knows them; empty while it belongs to none.
    ReplicaListMessage replicas() const;
    /// Sends all subscribed nodes the addresses of the members if they have changed since the last call. A node that only knew members
    /// which were replaced would find no other.
    void spreadReplicas();
    /// Sends newly applied versions of documents to all subscribed nodes.
    void documentsChanged();
    /// Sends the replica's current proof of freshness, once the newest version of each document was sent and there is a proof.
    /// Without a proof no answer is sent, and in time the node switches to another replica.
    void answerFreshness(SubscriberId, const FreshnessRequestMessage&, TimePoint now);
    /// Answers the requests that waited for this replica's first proof. After a start of all replicas at once, nodes are
    /// connected before a leader is elected; a proof that comes later than its request is not older than it says.
    void answerWaiting(TimePoint now);

    const std::map<SubscriberId, Subscriber>& subscribers() const { return m_subscribers; }

private:
    /// Begins to send a document that the node lacks, if there is one; no other may be under way. Returns false when the link
    /// does not accept it; the caller must then abort the link, because a later proof of freshness on it would cover a
    /// document that was never received.
    bool sendNext(Subscriber&);
    /// Sends the whole texts of all newer documents, to a node that does not take updates. Returns false as sendNext().
    bool sendWhole(Subscriber&);
    /// Sends the next part of the update that is being sent. Returns false as sendNext().
    static bool sendPart(Subscriber&);
    /// A document that is newer than the version sent last; null when there is none.
    const StoredDocument* unsentDocument(const Subscriber&) const;
    Transfer transferOf(const StoredDocument&, DocumentVersion inForce);

    /// Compressed texts of one version of a document, by the version that they are based on.
    struct CompressedTexts {
        DocumentVersion version;
        std::map<DocumentVersion, std::shared_ptr<const std::string>> byBase;
    };

    const ControlService& m_service;
    /// Those of the newest version, since many nodes need the same one.
    std::map<ServiceName, CompressedTexts> m_compressedTexts;
    std::map<SubscriberId, Subscriber> m_subscribers;
    /// Addresses that were sent last.
    std::vector<std::string> m_spreadReplicas;
    SubscriberId m_lastId = 0;
    /// True while a request may wait for the first proof.
    bool m_lacksProof = false;
};

} // namespace Knapweedquay
