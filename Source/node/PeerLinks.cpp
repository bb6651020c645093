#include "node/PeerLinks.h"

#include <algorithm>
#include <utility>
#include <variant>
#include <vector>

namespace Knapweedquay {

namespace {

constexpr Duration checkInterval { 100000 };
/// The same while messages wait for a link.
constexpr Duration openingCheckInterval { 25000 };
/// Longest time for which an attempt waits for its link; shorter than the time after which its call takes it for lost.
constexpr Duration maximumQueueTime { 125000 };
/// A link with pending answers is pinged after this time without incoming data.
constexpr Duration pingSilence { 400000 };
/// A link with pending answers is replaced after this time without incoming data.
constexpr Duration replacementSilence { 1200000 };
/// A link that received data within this time is considered alive.
constexpr Duration maximumAliveSilence { 150000 };
/// Limits of the exponential backoff between failed connection attempts.
constexpr Duration initialBackoff { 50000 };
constexpr Duration maximumBackoff { 1000000 };
/// Largest number of messages queued for one node while its link is not ready.
constexpr std::size_t maximumQueuedMessages = 1000;

/// What this node tells the others that it understands.
std::string linkFeatures()
{
    return std::string(extendedLoadFeature) + ' ' + bodyPartsFeature;
}

} // namespace

PeerLinks::PeerLinks(asio::io_context& context, NodeIdentity self, BodyBudgets budgets, Hooks hooks, Duration maximumIdle)
    : m_context(context)
    , m_self(std::move(self))
    , m_budgets(std::move(budgets))
    , m_hooks(std::move(hooks))
    , m_maximumIdle(maximumIdle)
    , m_client(context, maximumPeerMessageBytes, linkFeatures())
    , m_checkTimer(context, [this] { checkLinks(); })
{
    m_checkTimer.setAfter(checkInterval);
}

void PeerLinks::setAddress(const NodeId& node, const std::string& address)
{
    std::unique_ptr<Peer>& peer = m_peers[node];
    if (!peer) {
        peer = std::make_unique<Peer>();
        peer->node = node;
    }
    if (peer->address == address)
        return;
    peer->address = address;
    if (peer->link)
        LinkPtr(peer->link)->abort();
}

bool PeerLinks::send(const NodeId& node, const PeerMessage& message)
{
    const auto entry = m_peers.find(node);
    if (entry == m_peers.end())
        return false;
    Peer& peer = *entry->second;
    peer.lastSent = steadyNow();
    if (peer.isReady && !peer.takesLimits && std::holds_alternative<CallLimitMessage>(message))
        return true;
    if (peer.isReady)
        return peer.channel->send(message);
    if (peer.queuedMessages.size() >= maximumQueuedMessages)
        return false;
    if (peer.queuedMessages.empty())
        m_checkTimer.setAfter(openingCheckInterval);
    peer.queuedMessages.push_back({ message, peer.lastSent });
    if (!peer.link)
        connect(peer);
    return true;
}

void PeerLinks::addPendingAnswers(const NodeId& node, int change)
{
    const auto entry = m_peers.find(node);
    if (entry != m_peers.end())
        entry->second->pendingAnswers += change;
}

std::size_t PeerLinks::openLinks() const
{
    return static_cast<std::size_t>(std::count_if(m_peers.begin(), m_peers.end(), [](const auto& entry) { return entry.second->link != nullptr; }));
}

bool PeerLinks::forget(const NodeId& node, const AttemptId& attempt)
{
    const auto entry = m_peers.find(node);
    return entry != m_peers.end() && entry->second->channel && entry->second->channel->forget(attempt);
}

bool PeerLinks::replaceIfSilent(const NodeId& node)
{
    const auto entry = m_peers.find(node);
    if (entry == m_peers.end())
        return false;
    Peer& peer = *entry->second;
    if (!peer.isReady)
        return true;
    if (steadyNow() - peer.link->lastReceived() < maximumAliveSilence)
        return false;
    LinkPtr(peer.link)->abort();
    return true;
}

Incarnation PeerLinks::incarnation(const NodeId& node) const
{
    const auto entry = m_peers.find(node);
    return entry == m_peers.end() || !entry->second->isReady ? Incarnation() : entry->second->incarnation;
}

void PeerLinks::connect(Peer& peer)
{
    Link::Hooks hooks;
    hooks.opened = [this, &peer] { handleOpened(peer); };
    hooks.received = [&peer](std::string_view bytes) {
        const PeerChannelPointer keptAlive = peer.channel;
        if (!keptAlive->receive(bytes) && peer.link)
            LinkPtr(peer.link)->abort();
    };
    hooks.closed = [this, &peer] { handleClosed(peer); };
    peer.openedAt = steadyNow();
    peer.link = m_client.connect(peer.address, std::move(hooks));
    if (peer.link)
        peer.channel = std::make_shared<PeerChannel>(m_context, peer.link, m_budgets, channelHooks(peer));
    else
        returnUnsentMessages(peer);
}

PeerChannel::Hooks PeerLinks::channelHooks(Peer& peer)
{
    PeerChannel::Hooks hooks;
    hooks.received = [this, &peer](const PeerMessage& message) { handleReceived(peer, message); };
    hooks.announced = m_hooks.announced;
    hooks.sent = [this, &peer](const PeerMessage& message, std::size_t bytes) { m_hooks.sent(peer.node, message, bytes); };
    hooks.returned = [this, &peer](const PeerMessage& message, ResultCode code) { m_hooks.unsent(peer.node, message, code); };
    return hooks;
}

void PeerLinks::handleOpened(Peer& peer)
{
    peer.link->send(encode(HelloMessage { m_self.node, m_self.incarnation, steadyMicroseconds() }));
}

void PeerLinks::handleReceived(Peer& peer, const PeerMessage& message)
{
    if (const auto* hello = std::get_if<HelloMessage>(&message))
        handleHello(peer, *hello);
    else if (peer.isReady)
        m_hooks.received(peer.node, message);
}

void PeerLinks::handleHello(Peer& peer, const HelloMessage& hello)
{
    if (hello.node != peer.node) {
        // The address is now used by another node.
        LinkPtr(peer.link)->abort();
        return;
    }
    peer.isReady = true;
    peer.channel->setTakesParts(hasFeature(hello.features, bodyPartsFeature));
    peer.takesLimits = hasFeature(hello.features, answerLimitsFeature);
    peer.incarnation = hello.incarnation;
    peer.backoff = Duration::zero();
    const std::deque<QueuedMessage> queuedMessages = std::exchange(peer.queuedMessages, {});
    if (std::exchange(peer.wasLost, false))
        m_hooks.restored(peer.node, hello.incarnation);
    for (const QueuedMessage& queued : queuedMessages) {
        if (!send(peer.node, queued.message))
            m_hooks.unsent(peer.node, queued.message, ResultCode::PeerUnreachable);
    }
}

void PeerLinks::handleClosed(Peer& peer)
{
    peer.link.reset();
    const PeerChannelPointer channel = std::exchange(peer.channel, nullptr);
    const bool wasReady = std::exchange(peer.isReady, false);
    peer.wasLost = peer.wasLost || wasReady;
    peer.backoff = std::clamp(2 * peer.backoff, initialBackoff, maximumBackoff);
    // After the loss of an open link, the first reconnect is immediate; the backoff applies to failed connection
    // attempts.
    peer.reconnectAt = steadyNow() + (wasReady ? Duration::zero() : peer.backoff);
    returnUnsentMessages(peer);
    if (channel)
        channel->close();
    if (wasReady)
        m_hooks.lost(peer.node);
}

void PeerLinks::returnUnsentMessages(Peer& peer)
{
    const std::deque<QueuedMessage> queuedMessages = std::exchange(peer.queuedMessages, {});
    for (const QueuedMessage& queued : queuedMessages)
        m_hooks.unsent(peer.node, queued.message, ResultCode::PeerUnreachable);
}

void PeerLinks::checkOpening(Peer& peer, TimePoint now)
{
    if (!peer.link || peer.isReady)
        return;
    if (!peer.link->isReached() && now - peer.openedAt >= maximumQueueTime) {
        // Its system's next SYN would be sent a second after the first.
        LinkPtr(peer.link)->abort();
        return;
    }
    const auto isOverdue = [now](const QueuedMessage& queued) {
        return std::holds_alternative<CallRequestMessage>(queued.message) && now - queued.queuedAt >= maximumQueueTime;
    };
    const auto firstOverdue = std::stable_partition(peer.queuedMessages.begin(), peer.queuedMessages.end(), [&isOverdue](const QueuedMessage& queued) { return !isOverdue(queued); });
    const std::vector<QueuedMessage> overdue(firstOverdue, peer.queuedMessages.end());
    peer.queuedMessages.erase(firstOverdue, peer.queuedMessages.end());
    for (const QueuedMessage& queued : overdue)
        m_hooks.unsent(peer.node, queued.message, ResultCode::PeerUnreachable);
}

void PeerLinks::checkLinks()
{
    const TimePoint now = steadyNow();
    bool isOpening = false;
    for (auto& entry : m_peers) {
        checkOpening(*entry.second, now);
        checkLink(*entry.second, now);
        isOpening = isOpening || !entry.second->queuedMessages.empty();
    }
    m_checkTimer.setAfter(isOpening ? openingCheckInterval : checkInterval);
}

void PeerLinks::checkLink(Peer& peer, TimePoint now)
{
    if (peer.pendingAnswers <= 0) {
        if (peer.isReady && now - peer.lastSent > m_maximumIdle)
            LinkPtr(peer.link)->abort();
        return;
    }
    if (!peer.link) {
        if (now >= peer.reconnectAt)
            connect(peer);
        return;
    }
    if (!peer.isReady)
        return;
    const Duration silence = now - peer.link->lastReceived();
    if (silence > replacementSilence && peer.lastPing > peer.link->lastReceived()) {
        LinkPtr(peer.link)->abort();
        return;
    }
    if (silence > pingSilence && now - peer.lastPing > pingSilence) {
        peer.lastPing = now;
        peer.link->ping();
    }
}

} // namespace Knapweedquay
