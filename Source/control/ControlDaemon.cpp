#include "control/ControlDaemon.h"

#include "transport/Logger.h"
#include "transport/StopDeadline.h"

#include "protocol/LinkChannel.h"

#include <asio/post.hpp>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <random>
#include <utility>

namespace Knapweedquay {

namespace {

constexpr Duration tickInterval { 20000 };
constexpr std::uint64_t microsecondsPerMillisecond = 1000;
/// Bounds the memory for claims that wait for the leader's answer.
constexpr std::size_t maximumForwardedClaims = 10000;
/// Forwarded claims without an answer are removed after this time, which is longer than a node waits for an answer.
constexpr Duration forwardedClaimTimeout { 10000000 };
/// Retention of an idempotency key; callers resend within minutes.
constexpr std::uint64_t claimRetentionMicroseconds = 600ULL * 1000 * 1000;

std::uint64_t randomId()
{
    std::random_device device;
    return std::uniform_int_distribution<std::uint64_t>(1)(device);
}

HttpServer::Settings httpSettings(const ControlSettings& settings)
{
    constexpr std::size_t maximumBodyBytes = 2 * 1024 * 1024;
    constexpr std::size_t maximumConnections = 200;
    HttpServer::Settings server;
    server.address = settings.http.ip;
    server.port = settings.http.port;
    server.limits.bodyBytes = maximumBodyBytes;
    server.maximumConnections = maximumConnections;
    return server;
}

} // namespace

ControlDaemon::ControlDaemon(const ControlSettings& settings, Extension extension)
    : m_settings(settings)
    , m_extension(std::move(extension))
    , m_membership(m_context, [](const MembershipAction&) {})
    , m_replicaLinks(m_context, maximumReplicaMessageBytes + 1, [this](std::string_view bytes) { receiveFromReplica(bytes); })
    , m_linkServer(m_context, maximumReplicaMessageBytes + 1, [this](const LinkPtr& link) { accept(link); })
    , m_httpServer(m_context, httpSettings(settings), [this](const HttpExchangePtr& exchange) { handleHttp(exchange); })
    , m_stop(m_context, m_httpServer, settings.maximumStopTime, { [this] { return m_forwardedChanges; }, [this] { m_service->leave(steadyNow()); }, [this] { return m_service->isLeavePending(steadyNow()); }, [this] { m_context.stop(); } })
    , m_signals(m_context, SIGINT, SIGTERM, SIGHUP)
    , m_tickTimer(m_context, [this] { tick(); })
{
}

ControlDaemon::~ControlDaemon() = default;

Result<void> ControlDaemon::run()
{
    BOOST_OUTCOME_TRYV(openStore());
    BOOST_OUTCOME_TRYV(m_linkServer.start(m_settings.links.ip, m_settings.links.port));
    for (const std::string& address : m_subscriptions->replicas().addresses) {
        if (address != toText(m_settings.links))
            m_replicaLinks.open(address);
    }
    BOOST_OUTCOME_TRYV(m_httpServer.start());
    BOOST_OUTCOME_TRYV(startMembership());
    if (m_extension.started)
        m_extension.started(m_context, *this);
    waitForSignal();
    // restart() would undo the end that a failure in the first tick asks for.
    m_context.restart();
    tick();
    m_context.run();
    m_stop.logEnd(m_runResult.has_error() ? "storage" : "signal");
    return m_runResult;
}

void ControlDaemon::waitForSignal()
{
    m_signals.async_wait([this](const asio::error_code& error, int signal) {
        if (error)
            return;
        handleSignal(signal);
        waitForSignal();
    });
}

void ControlDaemon::handleSignal(int signal)
{
    if (signal == SIGHUP) {
        if (!m_extension.reload)
            return log(LogEvent::SettingsNeedRestart, { { "fields", "all" } });
        log(LogEvent::Reloaded);
        return m_extension.reload(*this);
    }
    if (m_stop.isOrdered()) {
        // Platforms repeat SIGTERM; only a person at a terminal means it literally.
        if (signal == SIGINT)
            m_context.stop();
        return;
    }
    endProcessAfter(m_settings.maximumStopTime + blockedStopTime);
    m_stop.order();
}

Result<void> ControlDaemon::startMembership()
{
    if (m_settings.gossip.isEmpty())
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    MembershipSettings membership;
    membership.deployment = m_settings.deployment;
    membership.node = m_settings.node;
    membership.incarnation = Incarnation(wallNow().value() / microsecondsPerMillisecond);
    membership.dataCentre = m_settings.dataCentre;
    membership.peerAddress = m_settings.links;
    membership.seeds = m_settings.seeds;
    membership.bytesPerSecond = seedGossipBytesPerSecond;
    membership.burstBytes = seedGossipBurstBytes;
    return m_membership.start(m_settings.gossip, membership);
}

void ControlDaemon::setContacts(const std::vector<std::string>& peers, const std::vector<SocketAddress>& seeds)
{
    m_service->setPeers(peers);
    if (m_membership.isStarted())
        m_membership.membership().setSeeds(seeds);
}

void ControlDaemon::handleHttp(const HttpExchangePtr& exchange)
{
    if (m_stop.refuse(exchange))
        return;
    if (!m_extension.handle || !m_extension.handle(exchange, { *m_routing, *m_evacuations }))
        m_operators->handle(exchange);
}

Result<void> ControlDaemon::openStore()
{
    BOOST_OUTCOME_TRY(folderLock, FolderLock::acquire(m_settings.folder));
    m_folderLock = std::move(folderLock);
    ControlServiceSettings settings;
    settings.folder = m_settings.folder;
    settings.address = toText(m_settings.links);
    settings.peers = m_settings.peers;
    settings.bootstrap = m_settings.bootstrap;
    settings.founders = m_settings.founders;
    settings.log.targetVoters = m_settings.targetVoters;
    settings.log.replaceAfter = m_settings.replaceAfter;
    settings.newReplica = ReplicaId(randomId());
    settings.newCluster = ClusterId(randomId());
    settings.minimumVoters = m_settings.minimumVoters;
    settings.log.seed = randomId();
    ControlServiceHooks hooks;
    hooks.send = [this](const std::string& address, const ReplicaMessage& message) {
        m_replicaLinks.send(address, LinkChannel::wrap(LinkChannel::replica, encodeReplicaMessage(message)));
    };
    hooks.runStorageJob = [this](std::function<Result<void>()> job, std::function<void(Result<void>, TimePoint)> done) {
        asio::post(m_storageThread, [this, job = std::move(job), done = std::move(done)] {
            asio::post(m_context, [this, done, result = job()] {
                done(result, steadyNow());
                m_service->flush(steadyNow());
                m_subscriptions->answerWaiting(steadyNow());
            });
        });
    };
    hooks.documentChanged = [this](const StoredDocument&) {
        if (m_subscriptions)
            m_subscriptions->documentsChanged();
    };
    hooks.stopped = [this](const Error& error) {
        m_runResult = error;
        log(LogEvent::StorageStopped, { { "code", std::to_string(static_cast<int>(error.code)) }, { "detail", error.detail } });
        m_context.stop();
    };
    auto service = ControlService::open(settings, m_files, std::move(hooks), steadyNow());
    if (service.has_error())
        return service.error();
    m_service = std::move(service.value());
    m_subscriptions = std::make_unique<NodeSubscriptions>(*m_service);
    RoutingStore::Hooks routingHooks;
    routingHooks.now = steadyNow;
    routingHooks.flush = [this] { scheduleFlush(); };
    routingHooks.forward = [this](const std::string& leader, const ControlMessage& message) { sendToReplica(leader, message); };
    m_routing = std::make_unique<RoutingStore>(*m_service, m_settings.parseRouting, std::move(routingHooks));
    EvacuationStore::Hooks evacuationHooks;
    evacuationHooks.now = steadyNow;
    evacuationHooks.flush = [this] { scheduleFlush(); };
    evacuationHooks.forward = [this](const std::string& leader, const ControlMessage& message) { sendToReplica(leader, message); };
    m_evacuations = std::make_unique<EvacuationStore>(*m_service, m_settings.dataCentres, std::move(evacuationHooks));
    m_quotaHolders = std::make_unique<QuotaHolderStore>(*m_service, m_settings.parseRouting, m_settings.quotaBound,
        QuotaHolderStore::Hooks { [this] { return m_membership.membership().table().records(); }, [this] { scheduleFlush(); } });
    m_operators = std::make_unique<OperatorInterface>(*m_service, *m_subscriptions, *m_evacuations, m_settings, [this] { scheduleFlush(); });
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void ControlDaemon::tick()
{
    const TimePoint now = steadyNow();
    m_service->tick(now);
    m_service->flush(now);
    m_subscriptions->answerWaiting(now);
    m_subscriptions->spreadReplicas();
    m_routing->tick(now);
    m_evacuations->tick(now);
    if (m_membership.isStarted())
        m_quotaHolders->tick(now);
    m_observer.observe(*m_service);
    for (auto entry = m_forwardedClaims.begin(); entry != m_forwardedClaims.end();)
        entry = entry->second.expiry <= now ? m_forwardedClaims.erase(entry) : std::next(entry);
    m_tickTimer.setAfter(tickInterval);
}

// Posts one flush for all messages that are ready to be handled, so that concurrent edits share one sync.
void ControlDaemon::scheduleFlush()
{
    if (std::exchange(m_isFlushScheduled, true))
        return;
    asio::post(m_context, [this] {
        m_isFlushScheduled = false;
        m_service->flush(steadyNow());
        m_subscriptions->answerWaiting(steadyNow());
    });
}

void ControlDaemon::accept(const LinkPtr& link)
{
    const NodeSubscriptions::SubscriberId id = m_subscriptions->add(link);
    Link::Hooks hooks;
    hooks.received = [this, id](std::string_view bytes) {
        if (bytes.empty())
            return;
        if (bytes.front() == LinkChannel::replica)
            receiveFromReplica(bytes);
        else
            receiveNodeMessage(id, LinkChannel::unwrap(bytes));
    };
    hooks.closed = [this, id] { m_subscriptions->remove(id); };
    link->setHooks(std::move(hooks));
}

void ControlDaemon::receiveNodeMessage(NodeSubscriptions::SubscriberId id, std::string_view bytes)
{
    const auto decoded = decodeControlMessage(bytes);
    if (decoded.has_error())
        return;
    const ControlMessage& message = decoded.value();
    if (const auto* subscribe = std::get_if<SubscribeMessage>(&message)) {
        m_subscriptions->send(id, m_subscriptions->replicas());
        m_subscriptions->subscribe(id, *subscribe);
    } else if (const auto* request = std::get_if<FreshnessRequestMessage>(&message))
        m_subscriptions->answerFreshness(id, *request, steadyNow());
    else if (const auto* inForce = std::get_if<InForceMessage>(&message))
        m_subscriptions->reportInForce(id, *inForce, steadyNow());
    else if (std::holds_alternative<UpdatesAcceptedMessage>(message))
        m_subscriptions->acceptUpdates(id);
    else if (const auto* claim = std::get_if<ClaimRequestMessage>(&message))
        handleClaim(id, *claim);
    else if (const auto* query = std::get_if<ClaimQueryMessage>(&message))
        handleClaimQuery(id, *query);
    else if (const auto* end = std::get_if<ClaimEndMessage>(&message))
        handleClaimEnd(*end);
    else if (const auto* change = std::get_if<RoutingChangeMessage>(&message))
        handleForwardedChange(id, *change);
    else if (const auto* order = std::get_if<EvacuationOrderMessage>(&message))
        handleForwardedOrder(id, *order);
}

void ControlDaemon::receiveFromReplica(std::string_view bytes)
{
    if (bytes.empty())
        return;
    if (bytes.front() == LinkChannel::replica) {
        const auto message = decodeReplicaMessage(LinkChannel::unwrap(bytes));
        if (message.has_error())
            return;
        m_service->receive(message.value(), steadyNow());
        scheduleFlush();
        return;
    }
    const auto message = decodeControlMessage(LinkChannel::unwrap(bytes));
    if (message.has_error())
        return;
    if (const auto* answer = std::get_if<ClaimAnswerMessage>(&message.value()))
        handleForwardedAnswer(*answer);
    else if (const auto* changeAnswer = std::get_if<RoutingChangeAnswerMessage>(&message.value()))
        m_routing->leaderAnswered(*changeAnswer);
    else if (const auto* orderAnswer = std::get_if<EvacuationAnswerMessage>(&message.value()))
        m_evacuations->leaderAnswered(*orderAnswer);
}

void ControlDaemon::handleClaim(NodeSubscriptions::SubscriberId id, const ClaimRequestMessage& message)
{
    if (!m_service->isLeading())
        return forwardClaim(id, message.owner, message);
    ClaimRequest request;
    request.key = { message.service, message.key };
    request.fingerprint = message.fingerprint;
    request.attempt = message.owner;
    request.node = message.owner.node;
    request.time = wallNow();
    request.expiry = WallTime(request.time.value() + claimRetentionMicroseconds);
    m_service->claim(request, answerClaim(id, message.owner), steadyNow());
    scheduleFlush();
}

void ControlDaemon::handleClaimQuery(NodeSubscriptions::SubscriberId id, const ClaimQueryMessage& message)
{
    if (!m_service->isLeading())
        return forwardClaim(id, message.owner, message);
    m_service->query({ { message.service, message.key } }, answerClaim(id, message.owner), steadyNow());
    scheduleFlush();
}

void ControlDaemon::forwardClaim(NodeSubscriptions::SubscriberId id, const AttemptId& owner, const ControlMessage& message)
{
    if (m_forwardedClaims.size() >= maximumForwardedClaims)
        return m_subscriptions->send(id, ClaimAnswerMessage { owner, ResultCode::ClaimUnavailable });
    m_forwardedClaims[owner] = { id, steadyNow() + forwardedClaimTimeout };
    forwardToLeader(message);
}

ControlService::ClaimHandler ControlDaemon::answerClaim(NodeSubscriptions::SubscriberId id, const AttemptId& owner)
{
    return [this, id, owner](const Result<ClaimResult>& result) {
        const ResultCode code = result.has_error() ? ResultCode::ClaimUnavailable : result.value().code;
        m_subscriptions->send(id, ClaimAnswerMessage { owner, code });
    };
}

void ControlDaemon::handleClaimEnd(const ClaimEndMessage& message)
{
    if (!m_service->isLeading())
        return forwardToLeader(message);
    ClaimUpdate update;
    update.key = { message.service, message.key };
    update.attempt = message.owner;
    update.node = message.owner.node;
    update.change = message.hasRun ? ClaimChange::Complete : ClaimChange::Release;
    update.time = wallNow();
    m_service->update(
        update, [](const Result<ClaimResult>&) {}, steadyNow());
    scheduleFlush();
}

void ControlDaemon::forwardToLeader(const ControlMessage& message)
{
    const std::string leader = m_service->leaderAddress();
    if (!leader.empty() && leader != toText(m_settings.links))
        sendToReplica(leader, message);
}

void ControlDaemon::sendToReplica(const std::string& address, const ControlMessage& message)
{
    m_replicaLinks.send(address, LinkChannel::wrap(LinkChannel::node, encode(message)));
}

void ControlDaemon::handleForwardedChange(NodeSubscriptions::SubscriberId id, const RoutingChangeMessage& message)
{
    // Without an extension, changes come to the operators' interface alone, which asks for a credential.
    if (!m_extension.handle)
        return;
    ++m_forwardedChanges;
    m_routing->changeAsLeader({ message.text, message.baseVersion, message.author }, [this, id, request = message.request](const Result<std::uint64_t>& result) {
        --m_forwardedChanges;
        const Error error = result.has_error() ? result.error() : Error { ResultCode::Ok, {} };
        m_subscriptions->send(id, RoutingChangeAnswerMessage { request, error.code, error.detail });
    });
}

void ControlDaemon::handleForwardedOrder(NodeSubscriptions::SubscriberId id, const EvacuationOrderMessage& message)
{
    if (!m_extension.handle)
        return;
    const EvacuationOrder order { message.dataCentre, message.isStart ? EvacuationOrder::Action::Start : EvacuationOrder::Action::Finish, message.author };
    ++m_forwardedChanges;
    m_evacuations->orderAsLeader(order, message.expected, [this, id, request = message.request](const Result<std::uint64_t>& result) {
        --m_forwardedChanges;
        const Error error = result.has_error() ? result.error() : Error { ResultCode::Ok, {} };
        m_subscriptions->send(id, EvacuationAnswerMessage { request, error.code, error.detail });
    });
}

void ControlDaemon::handleForwardedAnswer(const ClaimAnswerMessage& answer)
{
    const auto entry = m_forwardedClaims.find(answer.owner);
    if (entry == m_forwardedClaims.end())
        return;
    m_subscriptions->send(entry->second.subscriber, answer);
    m_forwardedClaims.erase(entry);
}

} // namespace Knapweedquay
