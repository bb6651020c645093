#include "node/ControlSubscription.h"

#include "protocol/LinkChannel.h"
#include "transport/Logger.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace Knapweedquay {

namespace {

/// Interval between freshness requests. A replica without a proof answers once it has one, so more requests gain nothing.
constexpr Duration freshnessInterval { 300000 };
/// The node disconnects from a replica whose last proof, or last part of an update, is older than this. It is half the time
/// in which a change must be in force on all nodes.
constexpr Duration maximumStaleness { 1000000 };
/// Interval of the checks until the node is connected and its documents are proved recent.
constexpr Duration firstCheckInterval { 25000 };
/// Delay after a connection that was refused or lost, from the begin of its opening.
constexpr Duration reconnectInterval { 75000 };
/// Time in which a connected replica sends its first update, or the next part of one, before newer documents are sought from
/// other nodes.
constexpr Duration firstProofTime { 500000 };
constexpr std::size_t maximumPendingClaims = 4096;
constexpr std::size_t maximumPendingClaimEnds = 4096;
/// Bounds the memory for service names that other nodes send, which may be invalid.
constexpr std::size_t maximumHints = 1024;

} // namespace

ControlSubscription::ControlSubscription(NodeIdentity self, std::vector<std::string> replicas, bool discoversReplicas, Hooks hooks)
    : m_self(std::move(self))
    , m_replicas(std::move(replicas))
    , m_discoversReplicas(discoversReplicas)
    , m_hooks(std::move(hooks))
    , m_documents(m_hooks.document)
{
    // Nodes start at different replicas, so that subscriptions are distributed evenly.
    m_replicas.startAt(XXH3_64bits(m_self.node.value().data(), m_self.node.value().size()));
}

void ControlSubscription::start()
{
    connectNext();
}

void ControlSubscription::connectNext()
{
    if (m_replicas.isEmpty())
        return;
    m_openingAt = m_hooks.now();
    const std::uint64_t id = ++m_lastOpening;
    const std::string& replica = m_replicas.next();
    const auto earlier = std::find_if(m_openings.begin(), m_openings.end(), [&replica](const Opening& opening) { return opening.replica == replica; });
    if (earlier != m_openings.end()) {
        log(LogEvent::ControlDisconnected, { { "replica", replica }, { "reason", "connection not open in time" } });
        abandon(takeOpening(earlier->id).link);
    }
    Link::Hooks hooks;
    hooks.opened = [this, id] { handleOpened(id); };
    hooks.received = [this](std::string_view bytes) { handleReceived(bytes); };
    hooks.closed = [this, id] { handleClosed(id); };
    if (LinkPtr link = m_hooks.connect(replica, std::move(hooks)))
        m_openings.push_back({ id, std::move(link), replica });
}

void ControlSubscription::connectIfDue(TimePoint now)
{
    if (m_link)
        return;
    const Duration waited = now - m_openingAt;
    if (m_openings.empty()) {
        if (waited >= reconnectInterval)
            connectNext();
        return;
    }
    if (waited < m_openingTimeout.value(m_openings.back().link->isReached()))
        return;
    m_openingTimeout.expired();
    connectNext();
}

ControlSubscription::Opening ControlSubscription::takeOpening(std::uint64_t id)
{
    const auto entry = std::find_if(m_openings.begin(), m_openings.end(), [id](const Opening& opening) { return opening.id == id; });
    if (entry == m_openings.end())
        return {};
    Opening opening = std::move(*entry);
    m_openings.erase(entry);
    return opening;
}

void ControlSubscription::abandon(const LinkPtr& link)
{
    link->setHooks({});
    link->abort();
}

void ControlSubscription::handleClosed(std::uint64_t opening)
{
    const Opening failed = takeOpening(opening);
    log(LogEvent::ControlDisconnected, { { "replica", failed.link ? failed.replica : m_currentReplica }, { "reason", "connection closed" } });
    if (!failed.link)
        m_link.reset();
}

std::string ControlSubscription::currentReplica() const
{
    if (m_link)
        return m_currentReplica;
    return m_openings.empty() ? std::string() : m_openings.back().replica;
}

Duration ControlSubscription::nextCheck() const
{
    return m_link && m_isFresh ? checkInterval : firstCheckInterval;
}

void ControlSubscription::setReplicas(const std::vector<std::string>& replicas)
{
    m_replicas.setConfigured(replicas);
}

void ControlSubscription::handle(const ReplicaListMessage& message)
{
    if (m_discoversReplicas)
        m_replicas.setDiscovered(message.addresses);
}

void ControlSubscription::disconnect()
{
    if (const LinkPtr link = std::exchange(m_link, nullptr))
        abandon(link);
}

void ControlSubscription::handleOpened(std::uint64_t id)
{
    Opening opening = takeOpening(id);
    for (const Opening& other : std::exchange(m_openings, {}))
        abandon(other.link);
    m_link = std::move(opening.link);
    m_currentReplica = std::move(opening.replica);
    m_connectedAt = m_hooks.now();
    m_documents.startConnection();
    m_openingTimeout.opened();
    log(LogEvent::ControlConnected, { { "replica", m_currentReplica } });
    send(UpdatesAcceptedMessage());
    send(SubscribeMessage { m_self.node, m_self.incarnation, inForce() });
    requestFreshness();
    for (const auto& entry : m_pendingClaims)
        send(entry.second.message);
    for (const ClaimEndMessage& end : std::exchange(m_pendingClaimEnds, {}))
        send(end);
}

bool ControlSubscription::send(const ControlMessage& message)
{
    return m_link->send(LinkChannel::wrap(LinkChannel::node, encode(message)));
}

void ControlSubscription::handleReceived(std::string_view bytes)
{
    if (bytes.empty() || bytes.front() != LinkChannel::node)
        return disconnect();
    const auto message = decodeControlMessage(LinkChannel::unwrap(bytes));
    if (message.has_error())
        return disconnect();
    std::visit([this](const auto& typed) { handle(typed); }, message.value());
}

bool ControlSubscription::offer(const DocumentMessage& message, const DocumentSender& sender)
{
    if (!m_documents.offer(message, sender))
        return false;
    if (m_link)
        send(InForceMessage { inForce() });
    return true;
}

void ControlSubscription::hint(const NodeId& node, const ServiceName& service, DocumentVersion version)
{
    if (m_hints.size() >= maximumHints)
        m_hints.clear();
    Hint& hint = m_hints[service];
    if (version >= hint.version)
        hint = { node, version };
    fetchHinted(m_hooks.now());
}

bool ControlSubscription::lacksReplica(TimePoint now) const
{
    const bool sendsUpdates = m_link && now - std::max(m_connectedAt, m_lastPartAt) <= firstProofTime;
    return staleness(now) > maximumStaleness && !sendsUpdates;
}

void ControlSubscription::fetchHinted(TimePoint now)
{
    if (!lacksReplica(now))
        return;
    for (const auto& [service, hint] : std::exchange(m_hints, {})) {
        if (hint.version > m_documents.inForce(service))
            m_hooks.fetchFromNode(hint.node, service);
    }
}

void ControlSubscription::handle(const DocumentMessage& message)
{
    offer(message, { true, m_currentReplica, message.text.size() });
}

void ControlSubscription::handle(const DocumentUpdateMessage& message)
{
    m_lastPartAt = m_hooks.now();
    switch (m_documents.receive(message, m_currentReplica)) {
    case DocumentReceiver::Reply::Report:
        send(InForceMessage { inForce() });
        return;
    case DocumentReceiver::Reply::RequestWhole:
        send(SubscribeMessage { m_self.node, m_self.incarnation, m_documents.versionsToSubscribe() });
        return;
    case DocumentReceiver::Reply::Disconnect:
        return disconnect();
    }
}

void ControlSubscription::requestFreshness()
{
    m_freshnessRequestedAt = m_hooks.now();
    send(FreshnessRequestMessage { static_cast<std::uint64_t>(m_freshnessRequestedAt.time_since_epoch().count()) });
}

void ControlSubscription::handle(const FreshnessMessage& message)
{
    // The replica sent the proof in the belief that this node has all updates before it.
    if (m_documents.isMissingDocument())
        return;
    const TimePoint now = m_hooks.now();
    const TimePoint requestedAt { Duration(static_cast<std::int64_t>(message.echo)) };
    const TimePoint provedAt = requestedAt - message.age;
    if (requestedAt > now || message.age < Duration::zero() || now - provedAt > maximumStaleness)
        return;
    m_lastProvedAt = std::max(m_lastProvedAt, provedAt);
    m_isFresh = true;
    m_hooks.proved(m_lastProvedAt);
}

void ControlSubscription::handle(const ClaimAnswerMessage& message)
{
    if (m_pendingClaims.erase(message.owner) > 0)
        m_hooks.claimAnswered(message.owner, message.code);
}

void ControlSubscription::requestClaim(const ClaimRequestMessage& message, Duration timeout)
{
    sendClaim(message.owner, message, timeout);
}

void ControlSubscription::queryClaim(const ClaimQueryMessage& message, Duration timeout)
{
    sendClaim(message.owner, message, timeout);
}

void ControlSubscription::sendClaim(const AttemptId& owner, const ControlMessage& message, Duration timeout)
{
    if (m_pendingClaims.size() >= maximumPendingClaims) {
        m_hooks.claimAnswered(owner, ResultCode::ClaimUnavailable);
        return;
    }
    m_pendingClaims[owner] = { message, m_hooks.now() + timeout };
    if (m_link)
        send(message);
}

void ControlSubscription::endClaim(const ClaimEndMessage& message)
{
    if (m_link && send(message))
        return;
    // If the queue is full, the key stays claimed until it expires in the store.
    if (m_pendingClaimEnds.size() < maximumPendingClaimEnds)
        m_pendingClaimEnds.push_back(message);
}

Duration ControlSubscription::staleness(TimePoint now) const
{
    return m_isFresh ? now - m_lastProvedAt : Duration::max();
}

void ControlSubscription::expireClaims(TimePoint now)
{
    std::vector<AttemptId> expired;
    for (const auto& entry : m_pendingClaims) {
        if (entry.second.expiry <= now)
            expired.push_back(entry.first);
    }
    for (const AttemptId& owner : expired) {
        m_pendingClaims.erase(owner);
        m_hooks.claimAnswered(owner, ResultCode::ClaimUnavailable);
    }
}

void ControlSubscription::check()
{
    const TimePoint now = m_hooks.now();
    expireClaims(now);
    fetchHinted(now);
    if (m_link && now - std::max({ m_lastProvedAt, m_connectedAt, m_lastPartAt }) > maximumStaleness) {
        log(LogEvent::ControlDisconnected, { { "replica", m_currentReplica }, { "reason", "no recent proof that its documents are up to date" }, { "proof_age_ms", std::to_string(toMilliseconds(now - m_lastProvedAt)) } });
        disconnect();
    }
    connectIfDue(now);
    if (m_link && now - m_freshnessRequestedAt >= freshnessInterval)
        requestFreshness();
}

} // namespace Knapweedquay
