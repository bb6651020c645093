#pragma once

#include "node/NodeIdentity.h"
#include "node/PeerChannel.h"
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

/// Links from this node to the nodes that it sends calls to: one per node, opened on demand.
///
/// A link is only monitored while answers are pending, so that idle links cost nothing. A monitored link without
/// incoming data is pinged, and replaced if there is still no response. A link that is not used any more is closed. An attempt
/// whose link does not open soon is returned unsent, while it can still be answered in time by another node: it has certainly
/// not run.
class PeerLinks {
public:
    /// Handlers of messages and of changes of a link, with the node at its other end.
    struct Hooks {
        std::function<void(const NodeId&, const PeerMessage&)> received;
        /// The link was closed; messages sent over it may or may not have arrived.
        std::function<void(const NodeId&)> lost;
        /// A new link was established after one was lost.
        std::function<void(const NodeId&, Incarnation)> restored;
        /// A message of so many bytes was sent.
        std::function<void(const NodeId&, const PeerMessage&, std::size_t bytes)> sent;
        /// A message was not sent whole, because the link closed first, could not be opened or took too long to open, or because the
        /// other node refused it.
        std::function<void(const NodeId&, const PeerMessage&, ResultCode)> unsent;
        /// See PeerChannel::Hooks::announced.
        std::function<PeerChannel::Interest(const PeerMessage& head)> announced {};
    };

    /// Default of the time after which an unused link is closed.
    static constexpr Duration defaultMaximumIdle { 10000000 };

    /// maximumIdle: a link over which nothing was sent for this time is closed. Without this, a node would in time hold a link
    /// with its buffers to every node that it ever sent a retry to.
    PeerLinks(asio::io_context&, NodeIdentity self, BodyBudgets, Hooks, Duration maximumIdle = defaultMaximumIdle);

    /// Sets the address of the node's peer port, "ip:port"; a link to another address is closed.
    void setAddress(const NodeId&, const std::string& address);
    /// Sends the message now, or queues it until the link is open. A message that the other node doesn't understand is left out. False if the node's address is unknown, too many messages are
    /// queued, the open link has too many unsent bytes or the message is larger than the other node reads.
    bool send(const NodeId&, const PeerMessage&);
    /// Adds to the number of answers pending from a node; negative once answers have arrived.
    void addPendingAnswers(const NodeId&, int change);
    /// Ends the transfers of an attempt whose outcome is known or not needed. True if one of its copies was not sent whole, so that it
    /// certainly does not arrive.
    bool forget(const NodeId&, const AttemptId&);
    /// Closes the link to a node unless it received data recently, so that a new one is opened. False if the link
    /// stays.
    bool replaceIfSilent(const NodeId&);
    /// Links that are open or being opened.
    std::size_t openLinks() const;
    /// Incarnation of the node at the other end of the link; 0 if there is no open link.
    Incarnation incarnation(const NodeId&) const;

private:
    /// A message that waits for its link.
    struct QueuedMessage {
        PeerMessage message;
        TimePoint queuedAt;
    };

    /// Another node and the link to it.
    struct Peer {
        NodeId node;
        /// Address of the node's peer port, "ip:port".
        std::string address;
        /// Null while no link is open or being opened.
        LinkPtr link;
        /// Null if and only if the link is.
        PeerChannelPointer channel;
        /// True once the node at the other end identified itself.
        bool isReady = false;
        /// True if the node understands CallLimitMessage.
        bool takesLimits = false;
        /// True from the loss of a ready link until the next one is ready.
        bool wasLost = false;
        /// Incarnation of the node, as it last identified itself.
        Incarnation incarnation;
        /// Messages to send once the link is ready.
        std::deque<QueuedMessage> queuedMessages;
        /// When the opening of the link began.
        TimePoint openedAt;
        /// Number of attempts sent to the node that have not been answered.
        int pendingAnswers = 0;
        TimePoint lastPing;
        /// When a message for the node was last sent or queued.
        TimePoint lastSent;
        /// Earliest time at which checkLink() connects again.
        TimePoint reconnectAt;
        /// Delay after the last failed connection attempt; 0 once a link is ready.
        Duration backoff { 0 };
    };

    void connect(Peer&);
    void handleOpened(Peer&);
    PeerChannel::Hooks channelHooks(Peer&);
    void handleReceived(Peer&, const PeerMessage&);
    void handleHello(Peer&, const HelloMessage&);
    void handleClosed(Peer&);
    /// Reports all queued messages as unsent.
    void returnUnsentMessages(Peer&);
    /// Reports attempts as unsent that have waited too long for the link, and gives up a link to a machine that does not answer.
    void checkOpening(Peer&, TimePoint now);
    void checkLinks();
    /// Reconnects, pings or replaces the link of a node with pending answers.
    void checkLink(Peer&, TimePoint now);

    asio::io_context& m_context;
    NodeIdentity m_self;
    BodyBudgets m_budgets;
    Hooks m_hooks;
    Duration m_maximumIdle;
    LinkClient m_client;
    std::map<NodeId, std::unique_ptr<Peer>> m_peers;
    Timer m_checkTimer;
};

} // namespace Knapweedquay
