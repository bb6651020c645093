#pragma once

#include "control/NodeSubscriptions.h"
#include "node/ControlSubscription.h"
#include "state/ControlService.h"
#include "state/FakeFileSystem.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Knapweedquay {

/// Messages in virtual time between one control replica and one node whose link has a limited bandwidth.
class NarrowNetwork {
public:
    /// bytesPerSecond: what the node's link carries each way.
    explicit NarrowNetwork(double bytesPerSecond)
        : m_bytesPerSecond(bytesPerSecond)
    {
    }

    /// While it is silent, the network loses all messages and opens no links.
    void setSilent(bool isSilent) { m_isSilent = isSilent; }

    using AcceptHook = std::function<void(const LinkPtr&)>;

    void setBytesPerSecond(double bytesPerSecond) { m_bytesPerSecond = bytesPerSecond; }
    /// Opens a link from the node to the replica, which is passed the other end.
    LinkPtr connect(Link::Hooks, AcceptHook);
    /// Runs an event after the latency of the network.
    void runSoon(std::function<void()>);
    /// Delivers all that is due until the given time.
    void runUntil(TimePoint);
    TimePoint now() const { return m_now; }
    /// Bytes sent to the node so far, also those that were lost with their link.
    std::size_t bytesToNode() const { return m_bytesToNode; }

private:
    class End;

    void schedule(TimePoint at, std::function<void()> event) { m_events.emplace(at, std::move(event)); }

    double m_bytesPerSecond;
    TimePoint m_now { Duration(100000000) };
    std::multimap<TimePoint, std::function<void()>> m_events;
    std::size_t m_bytesToNode = 0;
    bool m_isSilent = false;
    /// All ends ever opened, since messages in flight refer to them.
    std::vector<LinkPtr> m_ends;
};

/// A store of one replica and one node that is subscribed to it over a narrow link, in virtual time.
class DistributionSimulation {
public:
    explicit DistributionSimulation(double bytesPerSecond);

    void run(Duration);
    void setBytesPerSecond(double bytesPerSecond) { m_network.setBytesPerSecond(bytesPerSecond); }
    /// Commits a new text of the routing document, on the newest version.
    void commit(const std::string& text);
    /// Makes the replica ignore that nodes take updates, as one of an earlier release does.
    void setIgnoresUpdatesAccepted() { m_ignoresUpdatesAccepted = true; }
    /// Restarts the node, which has no document in force then.
    void restartNode();
    /// Passes the node a version, as another node would.
    void offerFromOtherNode(DocumentVersion);
    /// Tells the node that another node has the newest version in force, which is passed to it if it asks for it.
    void hintFromOtherNode();
    void setReplicaSilent(bool isSilent) { m_network.setSilent(isSilent); }
    /// How often the node asked another node for a document.
    std::size_t fetchCount() const { return m_fetchCount; }

    /// Version that was in force at the node last, and that it must not go back from.
    DocumentVersion inForce() const { return m_inForce; }
    std::size_t bytesToNode() const { return m_network.bytesToNode(); }
    /// How often the node gave up its replica and connected again.
    std::size_t connectionCount() const { return m_connectionCount; }
    /// Longest time from a commit until that version or a newer one was in force at the node.
    Duration longestDelay() const;
    /// True if each version in force had the text that was committed under it, and none was older than the one before.
    bool hasAppliedCorrectly() const { return m_hasAppliedCorrectly; }
    /// True if, whenever the node held proof of a time, all that was committed before that time was in force.
    bool hasProvedCorrectly() const { return m_hasProvedCorrectly; }

private:
    /// A committed version of the routing document.
    struct Commit {
        std::string text;
        TimePoint committedAt;
        TimePoint inForceAt = TimePoint::max();
    };

    void startReplica();
    void startNode();
    void receiveAtReplica(NodeSubscriptions::SubscriberId, const std::string& bytes);
    bool apply(const DocumentMessage&);
    void checkProof();

    NarrowNetwork m_network;
    FakeFileSystem m_files;
    std::unique_ptr<ControlService> m_service;
    std::unique_ptr<NodeSubscriptions> m_subscriptions;
    std::unique_ptr<ControlSubscription> m_node;
    LinkPtr m_nodeLink;
    TimePoint m_nextCheck;
    std::map<DocumentVersion, Commit> m_commits;
    DocumentVersion m_inForce;
    bool m_ignoresUpdatesAccepted = false;
    std::size_t m_connectionCount = 0;
    std::size_t m_fetchCount = 0;
    bool m_hasAppliedCorrectly = true;
    bool m_hasProvedCorrectly = true;
};

/// A routing document of the given number of routes, about 140 bytes each; a different `edit` changes one route.
std::string routingDocumentOf(std::size_t routes, std::size_t edit);

} // namespace Knapweedquay
