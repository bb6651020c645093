#include "control/ReplicaLinks.h"

#include <utility>

namespace Knapweedquay {

namespace {

/// Minimum delay from the loss of a link to the next attempt to open it.
constexpr Duration retryInterval { 50000 };
constexpr Duration checkInterval { 100000 };
/// The same while a link is being opened or a message waits for one.
constexpr Duration openingCheckInterval { 25000 };
/// A link that receives nothing for this time is closed; the next message opens a new one.
constexpr Duration staleLinkTimeout { 1000000 };
/// Time for which a message waits for its link. Later ones, or none, have replaced it by then.
constexpr Duration maximumPendingTime { 1000000 };

} // namespace

ReplicaLinks::ReplicaLinks(asio::io_context& context, std::size_t maximumMessageBytes, ReceiveHook receive)
    : m_client(context, maximumMessageBytes)
    , m_receive(std::move(receive))
    , m_checkTimer(context, [this] { checkLinks(); })
{
    m_checkTimer.setAfter(checkInterval);
}

void ReplicaLinks::send(const std::string& address, const std::string& bytes)
{
    Peer& peer = m_peers[address];
    if (peer.link && peer.link->isOpen()) {
        peer.link->send(bytes);
        return;
    }
    // Only the newest message is kept, since the protocols above repeat older ones.
    peer.pendingMessage = bytes;
    peer.pendingSince = steadyNow();
    if (!peer.link && steadyNow() >= peer.retryAt)
        connect(address, peer);
}

void ReplicaLinks::open(const std::string& address)
{
    Peer& peer = m_peers[address];
    peer.wantedUntil = steadyNow() + maximumPendingTime;
    if (!peer.link)
        connect(address, peer);
    m_checkTimer.setAfter(openingCheckInterval);
}

void ReplicaLinks::connect(const std::string& address, Peer& peer)
{
    Link::Hooks hooks;
    hooks.opened = [&peer] {
        peer.openingTimeout.opened();
        if (!peer.pendingMessage.empty())
            peer.link->send(peer.pendingMessage);
        peer.pendingMessage.clear();
    };
    hooks.received = m_receive;
    hooks.closed = [&peer] {
        peer.link.reset();
        peer.retryAt = steadyNow() + retryInterval;
    };
    peer.openedAt = steadyNow();
    peer.link = m_client.connect(address, std::move(hooks));
}

void ReplicaLinks::checkOpening(const std::string& address, Peer& peer, TimePoint now)
{
    // While a link is being opened, no other is opened to this address, so an attempt that stalls is aborted.
    if (peer.link && now - peer.openedAt >= peer.openingTimeout.value(peer.link->isReached())) {
        peer.openingTimeout.expired();
        const LinkPtr stalled = std::exchange(peer.link, nullptr);
        stalled->abort();
        peer.retryAt = now;
    }
    if (now - peer.pendingSince > maximumPendingTime)
        peer.pendingMessage.clear();
    if (!peer.link && peer.isWanted(now) && now >= peer.retryAt)
        connect(address, peer);
}

void ReplicaLinks::checkLinks()
{
    const TimePoint now = steadyNow();
    bool isOpening = false;
    for (auto& [address, peer] : m_peers) {
        if (!peer.link || !peer.link->isOpen()) {
            checkOpening(address, peer, now);
            isOpening = isOpening || peer.link || peer.isWanted(now);
            continue;
        }
        if (now - peer.lastPing < checkInterval)
            continue;
        if (now - peer.link->lastReceived() > staleLinkTimeout && peer.lastPing > peer.link->lastReceived())
            LinkPtr(peer.link)->abort();
        else {
            peer.lastPing = now;
            peer.link->ping();
        }
    }
    m_checkTimer.setAfter(isOpening ? openingCheckInterval : checkInterval);
}

} // namespace Knapweedquay
