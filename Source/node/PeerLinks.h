#pragma once

#include "node/NodeIdentity.h"
#include "protocol/PeerMessages.h"
#include "transport/Link.h"
#include "transport/SteadyTime.h"

#include <asio/io_context.hpp>

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace Knapweedquay {

/// Links from this node to the nodes that it sends calls to: one for each, opened when needed.
///
/// A link is only watched while answers are due, so that idle links cost nothing. A link that stays silent
/// then is pinged, and replaced when nothing comes back.
class PeerLinks {
public:
    struct Hooks {
        std::function<void(const NodeId&, const PeerMessage&)> received;
        /// The link is gone; what was sent over it may or may not have arrived.
        std::function<void(const NodeId&)> lost;
        /// A new link stands after a loss.
        std::function<void(const NodeId&, Incarnation)> restored;
        /// The message certainly never left this process.
        std::function<void(const NodeId&, const PeerMessage&)> unsent;
    };

    PeerLinks(asio::io_context&, NodeIdentity self, Hooks);

    /// Address of the node's peer port, "ip:port".
    void setAddress(const NodeId&, const std::string& address);
    /// Sends now, or once the link is open. False when the node has no known address.
    bool send(const NodeId&, const PeerMessage&);
    /// Counts the answers that are due from a node; negative when some have come.
    void addDueAnswers(const NodeId&, int change);
    /// Replaces the link of a node unless it proved alive lately. True when it was replaced.
    bool replaceIfSilent(const NodeId&);
    /// Run of the node at the other end; 0 when there is no link.
    Incarnation incarnation(const NodeId&) const;

private:
    struct Peer {
        NodeId node;
        std::string address;
        LinkPtr link;
        bool isReady = false;
        bool wasLost = false;
        Incarnation incarnation;
        std::deque<PeerMessage> waiting;
        int dueAnswers = 0;
        TimePoint lastPing;
        TimePoint reconnectAt;
        Duration backoff { 0 };
    };

    void connect(Peer&);
    void handleOpened(Peer&);
    void handleReceived(Peer&, std::string_view bytes);
    void handleHello(Peer&, const HelloMessage&);
    void handleClosed(Peer&);
    void returnWaiting(Peer&);
    void checkLinks();
    void check(Peer&, TimePoint now);

    NodeIdentity m_self;
    Hooks m_hooks;
    LinkClient m_client;
    std::map<NodeId, std::unique_ptr<Peer>> m_peers;
    Timer m_checkTimer;
};

} // namespace Knapweedquay
