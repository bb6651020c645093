#include "node/NodeControl.h"

#include "protocol/ProblemDetails.h"
#include "state/DocumentParser.h"
#include "transport/Logger.h"

#include <nlohmann/json.hpp>

#include <random>

namespace Knapweedquay {

namespace {

/// A backend server that has not repeated its announcement for this long is gone.
constexpr Duration announcementTimeout { 3000000 };
constexpr Duration backendCheckInterval { 500000 };

HttpServer::Settings adminServerSettings(const NodeSettings& settings)
{
    constexpr std::size_t maximumAdminBodyBytes = 64 * 1024;
    constexpr std::size_t maximumAdminConnections = 100;
    HttpServer::Settings server;
    server.address = settings.admin.ip;
    server.port = settings.admin.port;
    server.maximumBodyBytes = maximumAdminBodyBytes;
    server.maximumConnections = maximumAdminConnections;
    return server;
}

HttpResponse jsonResponse(std::uint16_t status, const nlohmann::json& body)
{
    return { status, { { "Content-Type", "application/json" } }, body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) };
}

Result<LocalBackend> parseAnnouncement(const std::string& body)
{
    constexpr std::uint32_t maximumSlots = 100000;
    const nlohmann::json json = nlohmann::json::parse(body, nullptr, false);
    if (!json.is_object() || !json.contains("service") || !json["service"].is_string() || !json.contains("address") || !json["address"].is_string())
        return Error { ResultCode::MalformedRequest, "expected a JSON object with service and address" };
    LocalBackend backend;
    backend.service = ServiceName(json["service"].get<std::string>());
    backend.address = json["address"].get<std::string>();
    const auto address = parseSocketAddress(backend.address);
    if (address.has_error())
        return Error { ResultCode::MalformedRequest, "address: " + address.error().detail };
    if (json.contains("slots")) {
        if (!json["slots"].is_number_unsigned() || json["slots"].get<std::uint64_t>() > maximumSlots)
            return Error { ResultCode::MalformedRequest, "slots: expected a whole number up to " + std::to_string(maximumSlots) };
        backend.slots = json["slots"].get<std::uint32_t>();
    }
    return backend;
}

LogEvent eventOf(const MemberRecord& member)
{
    if (member.hasLeft())
        return LogEvent::MemberLeft;
    if (member.health == MemberHealth::Dead)
        return LogEvent::MemberDied;
    return member.health == MemberHealth::Suspect ? LogEvent::MemberSuspected : LogEvent::EndpointChanged;
}

void logMember(LogEvent event, const MemberRecord& member)
{
    log(event, { { "node", member.node.value() }, { "incarnation", std::to_string(member.version.incarnation.value()) }, { "data_centre", member.dataCentre.value() }, { "service", member.endpoint.service.value() }, { "lifecycle", std::to_string(static_cast<int>(member.endpoint.lifecycle)) } });
}

} // namespace

NodeControl::NodeControl(asio::io_context& context, NodeIdentity self, const NodeSettings& settings, Hooks hooks)
    : m_context(context)
    , m_self(std::move(self))
    , m_settings(settings)
    , m_hooks(std::move(hooks))
    , m_adminServer(context, adminServerSettings(settings), [this](const HttpExchangePtr& exchange) { handleAdmin(exchange); })
    , m_gossip(context, [this](const SocketAddress& from, std::string_view bytes) {
        perform(m_membership->handle(from, bytes, steadyNow()));
        scheduleTick();
    })
    , m_subscription(context, m_self, settings.controlReplicas, { [this](const DocumentMessage& document) { return putInForce(document); }, [this] { log(LogEvent::ConfigurationFresh); m_hooks.configurationFresh(); }, [this](const AttemptId& owner, ResultCode code) { m_hooks.claimAnswered(owner, code); } })
    , m_tickTimer(context, [this] {
        perform(m_membership->tick(steadyNow()));
        scheduleTick();
    })
    , m_backendTimer(context, [this] { checkBackend(); })
{
}

Result<void> NodeControl::start(std::uint16_t peersPort)
{
    BOOST_OUTCOME_TRYV(m_adminServer.start());
    BOOST_OUTCOME_TRYV(m_gossip.open(m_settings.gossip));
    MembershipSettings membership;
    membership.deployment = m_settings.deployment;
    membership.node = m_self.node;
    membership.incarnation = m_self.incarnation;
    membership.dataCentre = m_self.dataCentre;
    membership.peerAddress = m_settings.advertisedPeers.isEmpty() ? SocketAddress { m_settings.peers.ip, peersPort } : m_settings.advertisedPeers;
    membership.gossipAddress = m_gossip.localAddress();
    membership.seeds = m_settings.seeds;
    m_membership = std::make_unique<Membership>(membership, std::random_device {}());
    perform(m_membership->tick(steadyNow()));
    scheduleTick();
    m_subscription.start();
    m_backendTimer.setAfter(backendCheckInterval);
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void NodeControl::leave()
{
    perform(m_membership->leave(steadyNow()));
    scheduleTick();
}

void NodeControl::perform(const MembershipActions& actions)
{
    for (const MembershipAction& action : actions) {
        if (const auto* send = std::get_if<SendDatagram>(&action)) {
            m_gossip.send(send->address, send->bytes);
        } else if (const auto* changed = std::get_if<MemberChanged>(&action)) {
            logMember(eventOf(changed->member), changed->member);
            m_hooks.memberChanged(changed->member);
        } else if (const auto* hint = std::get_if<NewerDocumentHint>(&action)) {
            m_hooks.fetchDocument(hint->member, hint->service);
        } else if (const auto* superseded = std::get_if<IncarnationSuperseded>(&action)) {
            log(LogEvent::NodeSuperseded, { { "incarnation", std::to_string(superseded->incarnation.value()) } });
            m_hooks.superseded();
        }
    }
}

void NodeControl::scheduleTick()
{
    m_tickTimer.setAt(m_membership->nextTick());
}

bool NodeControl::putInForce(const DocumentMessage& message)
{
    auto document = parseDocument(message.text);
    const LogField service { "service", message.service.value() };
    const LogField version { "version", std::to_string(message.version.value()) };
    if (document.has_error() || document.value().service != message.service) {
        log(LogEvent::DocumentRefused, { service, version, { "detail", document.has_error() ? document.error().detail : "of another service" } });
        return false;
    }
    m_hooks.documentChanged(document.value(), message);
    // Posted, because the subscription counts the version as in force only after this call.
    m_context.post([this] { publishDocuments(); });
    log(LogEvent::DocumentInForce, { service, version });
    return true;
}

void NodeControl::publishDocuments()
{
    std::vector<DocumentHint> hints;
    for (const auto& [service, version] : m_subscription.inForce())
        hints.push_back({ service, version });
    perform(m_membership->updateDocuments(hints, steadyNow()));
    scheduleTick();
}

void NodeControl::offerDocument(const DocumentMessage& message)
{
    m_subscription.offer(message);
}

void NodeControl::handleAdmin(const HttpExchangePtr& exchange)
{
    const HttpRequest& request = exchange->request();
    if (request.method == "POST" && request.target == "/announce")
        exchange->respond(announce(request));
    else if (request.method == "POST" && request.target == "/leave")
        exchange->respond(startLeaving());
    else if (request.method == "POST" && request.target == "/return")
        exchange->respond(endLeaving());
    else if (request.method == "GET" && request.target == "/metrics")
        exchange->respond({ 200, { { "Content-Type", "text/plain; version=0.0.4" } }, m_hooks.metrics() });
    else if (request.method == "GET" && request.target == "/status")
        exchange->respond({ 200, { { "Content-Type", "application/json" } }, status() });
    else
        exchange->respond(problemResponse({ ResultCode::UnknownResource, "POST /announce, POST /leave, POST /return, GET /metrics, GET /status" }, CallOutcomeKind::NotRun));
}

HttpResponse NodeControl::announce(const HttpRequest& request)
{
    const auto backend = parseAnnouncement(request.body);
    if (backend.has_error())
        return problemResponse(backend.error(), CallOutcomeKind::NotRun);
    m_announcedAt = steadyNow();
    const bool isNew = !m_backend || m_backend->service != backend.value().service || m_backend->address != backend.value().address || m_backend->slots != backend.value().slots;
    const bool wasLeaving = m_endpoint.lifecycle == EndpointLifecycle::Draining;
    m_backend = backend.value();
    // A repeated announcement does not end a drain; a backend server at a new address does.
    if (isNew || (!wasLeaving && m_endpoint.lifecycle != EndpointLifecycle::Ready)) {
        log(LogEvent::BackendAnnounced, { { "service", m_backend->service.value() }, { "address", m_backend->address }, { "slots", std::to_string(m_backend->slots) } });
        m_hooks.backendAnnounced(*m_backend);
        m_endpoint.announcedAt = m_announcedAt;
        publishEndpoint(EndpointLifecycle::Ready);
    }
    return jsonResponse(200, { { "node", m_self.node.value() }, { "accepted", true } });
}

HttpResponse NodeControl::startLeaving()
{
    if (m_backend) {
        log(LogEvent::BackendDraining, { { "address", m_backend->address } });
        m_hooks.backendLeaving();
        publishEndpoint(EndpointLifecycle::Draining);
    }
    return jsonResponse(202, { { "node", m_self.node.value() }, { "draining", true } });
}

HttpResponse NodeControl::endLeaving()
{
    if (!m_backend)
        return problemResponse({ ResultCode::NoEndpoint, "no backend server is announced here" }, CallOutcomeKind::NotRun);
    if (m_endpoint.lifecycle == EndpointLifecycle::Draining) {
        log(LogEvent::BackendAnnounced, { { "service", m_backend->service.value() }, { "address", m_backend->address }, { "slots", std::to_string(m_backend->slots) } });
        m_hooks.backendAnnounced(*m_backend);
        publishEndpoint(EndpointLifecycle::Ready);
    }
    return jsonResponse(200, { { "node", m_self.node.value() }, { "draining", false } });
}

void NodeControl::publishEndpoint(EndpointLifecycle lifecycle)
{
    if (m_backend) {
        m_endpoint.service = m_backend->service;
        m_endpoint.backendServer = parseSocketAddress(m_backend->address).value();
        m_endpoint.slots = m_backend->slots;
    }
    m_endpoint.lifecycle = lifecycle;
    perform(m_membership->updateSelf(m_endpoint, steadyNow()));
    // The own record is no news to membership, but the traffic thread needs it too.
    m_hooks.memberChanged(m_membership->self());
    scheduleTick();
}

void NodeControl::checkBackend()
{
    if (m_backend && steadyNow() - m_announcedAt > announcementTimeout) {
        log(LogEvent::BackendSilent, { { "address", m_backend->address } });
        m_backend.reset();
        m_hooks.backendGone();
        publishEndpoint(EndpointLifecycle::Starting);
    }
    m_backendTimer.setAfter(backendCheckInterval);
}

void NodeControl::updateMetrics(NodeMetrics& metrics) const
{
    if (m_subscription.isFresh())
        metrics.setConfigurationAge(m_subscription.staleness(steadyNow()));
    for (const auto& [service, version] : m_subscription.inForce())
        metrics.setDocumentVersion(service, version);
    metrics.setMembers(m_membership->table().presentCount(), m_membership->table().size());
}

std::string NodeControl::status() const
{
    nlohmann::json members = nlohmann::json::array();
    for (const MemberRecord& member : m_membership->table().records()) {
        members.push_back({ { "node", member.node.value() },
            { "incarnation", member.version.incarnation.value() },
            { "data_centre", member.dataCentre.value() },
            { "health", static_cast<int>(member.health) },
            { "lifecycle", static_cast<int>(member.endpoint.lifecycle) },
            { "service", member.endpoint.service.value() },
            { "slots", member.endpoint.slots } });
    }
    nlohmann::json documents = nlohmann::json::object();
    for (const auto& [service, version] : m_subscription.inForce())
        documents[service.value()] = version.value();
    nlohmann::json body = { { "node", m_self.node.value() }, { "incarnation", m_self.incarnation.value() }, { "fresh", m_subscription.isFresh() },
        { "replica", m_subscription.currentReplica() }, { "documents", documents }, { "members", members } };
    body["traffic"] = nlohmann::json::parse(m_hooks.trafficStatus(), nullptr, false);
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace Knapweedquay
