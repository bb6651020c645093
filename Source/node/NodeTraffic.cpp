#include "node/NodeTraffic.h"

#include "coordination/admission/DescriptorShares.h"
#include "coordination/admission/MemoryShares.h"
#include "transport/StopLog.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace Knapweedquay {

namespace {

GracefulStop::Settings stopSettings(const NodeSettings& settings)
{
    GracefulStop::Settings stop;
    stop.notice = settings.stopNotice;
    stop.maximum = settings.maximumStopTime;
    return stop;
}

BodyBudgets bodyBudgets(const NodeSettings& settings)
{
    const MemoryShares memory = MemoryShares::of(settings.memoryBytes);
    return { std::make_shared<BodyBudget>(memory.requests), std::make_shared<BodyBudget>(memory.responses) };
}

HttpServer::Settings callServerSettings(const NodeSettings& settings, const BodyBudgets& bodies)
{
    HttpServer::Settings server;
    server.address = settings.calls.ip;
    server.port = settings.calls.port;
    server.maximumConnections = DescriptorShares::of(settings.descriptors).callers;
    server.bodies = bodies.requests;
    server.maximumUnsentBytes = MemoryShares::of(settings.memoryBytes).unsentResponses;
    return server;
}

/// Changes of the load within this time are combined into one message.
constexpr Duration loadBatchInterval { 2000 };
/// Load updates are sent only to nodes that sent a call or a probe within this time.
constexpr Duration loadUpdateWindow { 3000000 };
/// Changes of the slowdown up to this size are not sent; in percent of the lower value.
constexpr std::uint32_t minimumSlowdownChangePercent = 20;
constexpr std::uint32_t hundredPercent = 100;

/// Settings of endpoint choice, with a subset seed derived from the node id so that nodes choose different subsets.
ChoiceSettings choiceSettings(const NodeSettings& settings)
{
    ChoiceSettings choice = settings.choice;
    const std::string& node = settings.node.value();
    choice.subsetSeed = XXH3_64bits(node.data(), node.size());
    return choice;
}

/// Changes of the rate up to this share of the higher one are not sent.
constexpr double minimumRateChange = 0.2;

bool isSignificantChange(const std::optional<RequestRate>& lastSent, const std::optional<RequestRate>& now)
{
    if (!lastSent || !now)
        return lastSent.has_value() != now.has_value();
    const auto [lower, higher] = std::minmax(lastSent->value(), now->value());
    return higher - lower > minimumRateChange * higher;
}

/// Failure rates below this one do not matter to the choice of an endpoint.
constexpr std::uint32_t minimumFailuresPerThousand = 200;

/// True if the load differs from the one last sent by enough to justify an update.
bool isSignificantChange(const LoadReport& lastSent, const LoadReport& now)
{
    if (lastSent.draining != now.draining)
        return true;
    if (isSignificantChange(lastSent.requestRate, now.requestRate))
        return true;
    // Another run of the backend server begins without failures. Until they know, other nodes avoid it for those of the last one.
    if (lastSent.failuresPerThousand >= minimumFailuresPerThousand && now.failuresPerThousand == 0)
        return true;
    const std::uint32_t slower = std::max(lastSent.slowdownPercent, now.slowdownPercent);
    const std::uint32_t faster = std::min(lastSent.slowdownPercent, now.slowdownPercent);
    if ((slower - faster) * hundredPercent > minimumSlowdownChangePercent * faster)
        return true;
    const std::uint32_t larger = std::max(lastSent.backlog(), now.backlog());
    const std::uint32_t difference = larger - std::min(lastSent.backlog(), now.backlog());
    // Below half of the concurrency limit, the exact load makes no difference. Above it, only changes by more than a
    // third of the limit are sent.
    const bool isNearLimit = 2 * larger > now.concurrencyLimit;
    return isNearLimit && 3 * difference > now.concurrencyLimit;
}

/// Features of the links that other nodes open to this one.
std::string acceptedFeatures()
{
    return std::string(bodyPartsFeature) + ' ' + answerLimitsFeature;
}

/// Headers of requests to the backend server. Where nodes read no levels from callers, they send none either: callers' headers of
/// these names are passed on.
CallHeaders backendHeaders(const NodeSettings& settings)
{
    CallHeaders headers = settings.headers;
    headers.sendsNodeHeaders = headers.sendsNodeHeaders && settings.callInterface == CallInterface::RoutesAndTargets;
    return headers;
}

} // namespace

NodeTraffic::NodeTraffic(asio::io_context& context, NodeIdentity self, const NodeSettings& settings, CallGateway::ClaimHooks claims, NodeMetrics& metrics)
    : m_context(context)
    , m_self(std::move(self))
    , m_settings(settings)
    , m_metrics(metrics)
    , m_stop(stopSettings(settings))
    , m_bodies(bodyBudgets(settings))
    , m_client(context, m_bodies.responses)
    , m_quarantine(m_self, metrics)
    , m_keyChecks(settings.keyRevocationTime)
    , m_runner(
          context, m_self, { backendHeaders(settings), settings.backendLoadInterval, settings.coldBound, settings.traces, MemoryShares::of(settings.memoryBytes).attemptBodies, m_bodies.responses->limits().largeBytes }, m_client, [this](ConnectionId connection, const PeerMessage& message) { reply(connection, message); }, m_quarantine, m_keyChecks, metrics)
    , m_gateway(context, m_self, m_runner, m_quarantine, m_keyChecks, m_stop, { settings.headers, settings.callerService, settings.callInterface, choiceSettings(settings), settings.fleetRetryBurst, settings.traces, settings.quotaBound, m_bodies }, std::move(claims), metrics)
    , m_callServer(context, callServerSettings(settings, m_bodies), [this](const HttpExchangePtr& exchange) { m_gateway.handle(exchange); })
    , m_linkServer(context, maximumPeerMessageBytes, [this](const LinkPtr& link) { accept(link); })
    , m_loadTimer(context, [this] { sendLoadUpdates(); })
{
    m_runner.setResendHook([this](const ServiceName& service) { return m_gateway.tryTakeExtraAttempt(service); });
    // Combines all changes within loadBatchInterval into one message.
    m_runner.setLoadHook([this] {
        if (!std::exchange(m_isLoadUpdateScheduled, true))
            m_loadTimer.setAfter(loadBatchInterval);
    });
}

Result<void> NodeTraffic::start()
{
    BOOST_OUTCOME_TRYV(m_callServer.start());
    return m_linkServer.start(m_settings.peers.ip, m_settings.peers.port);
}

void NodeTraffic::orderStop(TimePoint now)
{
    m_stop.order(now);
    m_callServer.closeAfterResponses();
    m_gateway.limitCalls();
}

GracefulStop::Step NodeTraffic::stopStep(bool isLeaveSpread)
{
    PendingWork work = pendingWork();
    work.isLeaveSpread = isLeaveSpread;
    return m_stop.next(steadyNow(), work);
}

void NodeTraffic::endWaitingWork()
{
    m_gateway.endWaitingCalls();
    m_callServer.refusePartialRequests({ ResultCode::Draining, "this node stops before the request could end" });
}

void NodeTraffic::closeConnections()
{
    m_callServer.closeIdleConnections();
    m_linkServer.stop();
    for (const auto& entry : std::map<ConnectionId, Connection>(m_connections))
        entry.second.link->finish();
}

void NodeTraffic::drain()
{
    m_callServer.stop();
    m_runner.drain();
}

PendingWork NodeTraffic::pendingWork() const
{
    PendingWork work = pendingWorkOf(m_callServer.load());
    work.calls = m_gateway.pendingCalls();
    work.attempts = m_runner.pendingAttempts();
    work.links = m_connections.size();
    for (const auto& entry : m_connections)
        work.unsentPeerBytes += entry.second.link->unsentBytes() + entry.second.channel->unsentBytes();
    return work;
}

void NodeTraffic::updateMetrics(NodeMetrics& metrics)
{
    m_gateway.updateMetrics();
    metrics.setDroppedLines(droppedLogLines(), m_gateway.droppedTraceLines() + m_runner.droppedTraceLines());
    const LoadReport load = m_runner.loadReport();
    metrics.setEndpointStarts(m_runner.counters().started);
    metrics.setSessions(m_gateway.sessionCount());
    metrics.setPendingWork(pendingWork());
    metrics.setBodies("requests", *m_bodies.requests);
    metrics.setBodies("responses", *m_bodies.responses);
    metrics.setEndpoint(load);
    metrics.setEndpointCold(m_runner.coldTimeLeft());
}

void NodeTraffic::accept(const LinkPtr& link)
{
    const ConnectionId id(++m_lastConnection);
    const PeerChannelPointer channel = std::make_shared<PeerChannel>(m_context, link, m_bodies, channelHooks(id));
    const std::string features = link->peerFeatures();
    const bool takesParts = hasFeature(features, bodyPartsFeature);
    channel->setTakesParts(takesParts);
    Link::Hooks hooks;
    hooks.opened = [this, id, takesParts] { reply(id, HelloMessage { m_self.node, m_self.incarnation, steadyMicroseconds(), takesParts ? acceptedFeatures() : "" }); };
    // The link owns its hooks, and the channel the link.
    hooks.received = [this, id](std::string_view bytes) { receive(id, bytes); };
    hooks.closed = [this, id] {
        const PeerChannelPointer closed = m_connections.at(id).channel;
        m_connections.erase(id);
        closed->close();
    };
    link->setHooks(std::move(hooks));
    Connection& connection = m_connections[id];
    connection.link = link;
    connection.channel = channel;
    if (hasFeature(features, extendedLoadFeature))
        connection.loadEncoding = LoadEncoding::Extended;
}

PeerChannel::Hooks NodeTraffic::channelHooks(ConnectionId id)
{
    PeerChannel::Hooks hooks;
    hooks.received = [this, id](const PeerMessage& message) { receive(id, message); };
    hooks.announced = [this, id](const PeerMessage& head) { return interestIn(id, head); };
    hooks.sent = [this, id](const PeerMessage& message, std::size_t bytes) {
        const auto entry = m_connections.find(id);
        if (entry != m_connections.end())
            m_metrics.addPeerBytes(trafficOf(message), entry->second.isSameDataCentre, bytes);
    };
    hooks.delivered = [this](const AttemptId& attempt) { m_runner.answerDelivered(attempt); };
    return hooks;
}

PeerChannel::Interest NodeTraffic::interestIn(ConnectionId id, const PeerMessage& head) const
{
    const auto* request = std::get_if<CallRequestMessage>(&head);
    const auto entry = m_connections.find(id);
    if (!request || entry == m_connections.end() || !entry->second.hasReceivedHello)
        return PeerChannel::Interest::None;
    // The outcome of an attempt that was received before does not need its body again.
    return m_runner.knows(request->attempt) ? PeerChannel::Interest::Head : PeerChannel::Interest::Whole;
}

void NodeTraffic::receive(ConnectionId id, std::string_view bytes)
{
    const auto entry = m_connections.find(id);
    if (entry == m_connections.end())
        return;
    const LinkPtr link = entry->second.link;
    const PeerChannelPointer channel = entry->second.channel;
    if (!channel->receive(bytes))
        link->abort();
}

void NodeTraffic::receive(ConnectionId id, const PeerMessage& message)
{
    const auto entry = m_connections.find(id);
    if (entry == m_connections.end())
        return;
    if (const auto* hello = std::get_if<HelloMessage>(&message)) {
        entry->second.hasReceivedHello = true;
        entry->second.isSameDataCentre = m_gateway.isInLocalDataCentre(hello->node);
        excessDelay(entry->second, hello->sentAt);
    } else if (!entry->second.hasReceivedHello)
        LinkPtr(entry->second.link)->abort();
    else if (const auto* request = std::get_if<CallRequestMessage>(&message))
        receiveCall(entry->second, *request, id);
    else if (const auto* cancel = std::get_if<CallCancelMessage>(&message))
        m_runner.cancel(*cancel, id);
    else if (const auto* limit = std::get_if<CallLimitMessage>(&message))
        receiveLimit(entry->second, *limit);
    else if (const auto* probe = std::get_if<ProbeMessage>(&message)) {
        entry->second.lastRequestAt = steadyNow();
        m_runner.probe(*probe, id);
    } else if (const auto* document = std::get_if<DocumentRequestMessage>(&message))
        sendDocument(id, document->service);
    else if (const auto* quota = std::get_if<QuotaRequestMessage>(&message)) {
        if (const auto grant = m_gateway.quotas().answer(*quota))
            reply(id, *grant);
    }
}

Duration NodeTraffic::excessDelay(Connection& connection, std::uint64_t sentAt)
{
    return connection.delay.excess(TimePoint(Duration(static_cast<std::int64_t>(sentAt))), steadyNow());
}

void NodeTraffic::receiveCall(Connection& connection, CallRequestMessage request, ConnectionId id)
{
    // Time that the message spent in buffers counts towards the call's deadline and target.
    const Duration delay = excessDelay(connection, request.sentAt);
    request.remaining -= delay;
    request.targetRemaining -= delay;
    if (request.isResend)
        endTransfersElsewhere(request.attempt, id);
    connection.lastRequestAt = steadyNow();
    m_runner.receive(request, id);
}

void NodeTraffic::receiveLimit(Connection& connection, CallLimitMessage limit)
{
    limit.answerWithin -= excessDelay(connection, limit.sentAt);
    m_runner.limit(limit);
}

void NodeTraffic::endTransfersElsewhere(const AttemptId& attempt, ConnectionId id)
{
    for (const auto& entry : m_connections) {
        if (entry.first != id)
            entry.second.channel->forget(attempt);
    }
}

void NodeTraffic::sendLoadUpdates()
{
    m_isLoadUpdateScheduled = false;
    if (!m_backendService)
        return;
    const TimePoint now = steadyNow();
    const LoadReport load = m_runner.loadReport();
    for (auto& [id, connection] : m_connections) {
        if (now - connection.lastRequestAt > loadUpdateWindow || !isSignificantChange(connection.lastSentLoad, load))
            continue;
        connection.lastSentLoad = load;
        send(connection, LoadUpdateMessage { *m_backendService, load });
    }
    // The gateway of this node has no link to the node itself, so it receives the update directly.
    m_gateway.receive(m_self.node, LoadUpdateMessage { *m_backendService, load });
}

void NodeTraffic::sendDocument(ConnectionId id, const ServiceName& service)
{
    const auto entry = m_documentMessages.find(service);
    if (entry != m_documentMessages.end())
        reply(id, entry->second);
}

void NodeTraffic::setDocument(const ServiceDocument& document, const DocumentAnswerMessage& source)
{
    m_documents[document.service] = document;
    m_documentMessages[document.service] = source;
    m_gateway.setDocument(document);
    m_runner.setDocument(document);
    sendLoadUpdates();
}

void NodeTraffic::setRouting(const std::shared_ptr<const RoutingTable>& routing, const DocumentAnswerMessage& source)
{
    m_routing = routing;
    m_keyChecks.setRouting(routing);
    m_documentMessages[source.service] = source;
    const CallerLimits& limits = routing->document().limits;
    HttpServer::Limits serverLimits;
    serverLimits.headerBytes = limits.headerBytes;
    serverLimits.bodyBytes = limits.bodyBytes;
    serverLimits.headerTimeout = limits.headerTimeout;
    serverLimits.idleTimeout = limits.idleTimeout;
    m_callServer.setLimits(serverLimits);
    m_gateway.setRouting(routing);
    applyRoutedService();
    if (!m_backendService)
        return;
    if (const auto document = documentOf(*m_backendService))
        m_runner.setDocument(*document);
    sendLoadUpdates();
}

void NodeTraffic::configurationProved(TimePoint provedAt)
{
    m_gateway.setConfigurationProvedAt(provedAt);
    m_runner.configurationProved();
    m_keyChecks.configurationProved(provedAt);
}

void NodeTraffic::setEvacuations(const EvacuationDocument& evacuations, const DocumentAnswerMessage& source)
{
    m_documentMessages[source.service] = source;
    // First the choice, so that the attempts that the runner refuses go elsewhere.
    m_gateway.setEvacuations(evacuations);
    m_runner.setEmptied(evacuations.isEmptied(m_self.dataCentre));
    m_metrics.setDataCentreEmptied(evacuations.isEmptied(m_self.dataCentre));
}

void NodeTraffic::setQuotaHolders(const QuotaHolderDocument& holders, const DocumentAnswerMessage& source)
{
    m_documentMessages[source.service] = source;
    m_gateway.quotas().setHolders(holders);
}

std::optional<ServiceDocument> NodeTraffic::documentOf(const ServiceName& service) const
{
    const auto entry = m_documents.find(service);
    if (entry != m_documents.end())
        return entry->second;
    if (!m_routing)
        return std::nullopt;
    for (const RoutedService& routed : m_routing->document().services) {
        if (routed.name == service)
            return documentFromRoutes(m_routing->document(), service);
    }
    return std::nullopt;
}

void NodeTraffic::applyRoutedService()
{
    if (!m_routing || !m_backendService)
        return;
    for (const RoutedService& routed : m_routing->document().services) {
        if (routed.name != *m_backendService)
            continue;
        m_runner.setCold(routed.coldTime, routed.coldRate);
        m_runner.setMaximumConnections(routed.maximumConnections);
        m_runner.setHealthPath(routed.healthPath);
    }
}

void NodeTraffic::setBackend(const LocalBackend& backend)
{
    m_backendService = backend.service;
    m_runner.setBackend(backend);
    if (!m_stop.isOrdered())
        m_runner.undrain();
    applyRoutedService();
    if (const auto document = documentOf(backend.service))
        m_runner.setDocument(*document);
    sendLoadUpdates();
}

void NodeTraffic::reply(ConnectionId id, const PeerMessage& message)
{
    if (id == ConnectionId()) {
        m_gateway.receive(m_self.node, message);
        return;
    }
    const auto entry = m_connections.find(id);
    if (entry == m_connections.end())
        return;
    if (const LoadReport* load = loadOf(message))
        entry->second.lastSentLoad = *load;
    send(entry->second, message);
}

void NodeTraffic::send(const Connection& connection, const PeerMessage& message)
{
    connection.channel->send(message, connection.loadEncoding);
}

} // namespace Knapweedquay
