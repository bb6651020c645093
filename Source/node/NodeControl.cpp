#include "node/NodeControl.h"

#include "protocol/ProblemDetails.h"
#include "state/DocumentParser.h"
#include "transport/Logger.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace Knapweedquay {

namespace {

/// Interval between checks for missing announcements of the backend server.
constexpr Duration backendCheckInterval { 500000 };
/// Name under which departures are claimed in the control store; no service has it, as names of services have no such character.
constexpr const char* departureService = "@departures";
/// Claims for departures take the upper half of the numbers of attempts, of which calls use the lower.
constexpr std::uint64_t firstDepartureNumber = std::uint64_t(1) << 63;
constexpr Duration departureAnswerTimeout { 2000000 };

HttpServer::Settings adminServerSettings(const NodeSettings& settings)
{
    constexpr std::size_t maximumAdminBodyBytes = 64 * 1024;
    constexpr std::size_t maximumAdminConnections = 100;
    HttpServer::Settings server;
    server.address = settings.admin.ip;
    server.port = settings.admin.port;
    server.limits.bodyBytes = maximumAdminBodyBytes;
    server.maximumConnections = maximumAdminConnections;
    return server;
}

HttpResponse jsonResponse(std::uint16_t status, const nlohmann::json& body)
{
    return { status, { { "Content-Type", "application/json" } }, body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) };
}

Result<BackendAnnouncement> parseAnnouncement(const std::string& body)
{
    constexpr std::uint32_t maximumSlots = 100000;
    constexpr std::uint64_t maximumColdMilliseconds = 3600000;
    const nlohmann::json json = nlohmann::json::parse(body, nullptr, false);
    if (!json.is_object() || !json.contains("service") || !json["service"].is_string() || !json.contains("address") || !json["address"].is_string())
        return Error { ResultCode::MalformedRequest, "expected a JSON object with service and address" };
    BackendAnnouncement announcement;
    announcement.service = ServiceName(json["service"].get<std::string>());
    const auto address = parseSocketAddress(json["address"].get<std::string>());
    if (address.has_error())
        return Error { ResultCode::MalformedRequest, "address: " + address.error().detail };
    announcement.address = address.value();
    if (json.contains("slots")) {
        if (!json["slots"].is_number_unsigned() || json["slots"].get<std::uint64_t>() > maximumSlots)
            return Error { ResultCode::MalformedRequest, "slots: expected a whole number up to " + std::to_string(maximumSlots) };
        announcement.slots = json["slots"].get<std::uint32_t>();
    }
    if (json.contains("cold_ms")) {
        if (!json["cold_ms"].is_number_unsigned() || json["cold_ms"].get<std::uint64_t>() > maximumColdMilliseconds)
            return Error { ResultCode::MalformedRequest, "cold_ms: expected a whole number up to " + std::to_string(maximumColdMilliseconds) };
        announcement.warmUp = std::chrono::milliseconds(json["cold_ms"].get<std::uint64_t>());
    }
    if (json.contains("instance")) {
        if (!json["instance"].is_string())
            return Error { ResultCode::MalformedRequest, "instance: expected a text" };
        announcement.instance = json["instance"].get<std::string>();
    }
    if (json.contains("started_at")) {
        if (!json["started_at"].is_number_unsigned())
            return Error { ResultCode::MalformedRequest, "started_at: expected a whole number" };
        announcement.startedAt = json["started_at"].get<std::uint64_t>();
    }
    return announcement;
}

LocalBackend localBackend(const BackendAnnouncement& announcement)
{
    return { announcement.service, toText(announcement.address), announcement.slots, announcement.instance, announcement.startedAt };
}

LogEvent memberEvent(const MemberRecord& member)
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
    , m_membership(context, [this](const MembershipAction& action) { apply(action); })
    , m_controlLinks(context, maximumControlMessageBytes)
    , m_subscription(m_self, settings.controlReplicas, settings.discoversReplicas, subscriptionHooks())
    , m_presence(settings.announcementTimeout, [this](const ServiceName& service) { return isKnown(service); })
    , m_localService(settings.callerService)
    , m_departures(departureHooks())
    , m_backendTimer(context, [this] { checkBackend(); })
    , m_subscriptionTimer(context, [this] { checkSubscription(); })
{
    m_presence.requireConfirmation();
}

DepartureRecords::Hooks NodeControl::departureHooks()
{
    DepartureRecords::Hooks hooks;
    hooks.send = [this](std::uint64_t number, const BackendRun& run, DepartureRecords::Request request) {
        const AttemptId owner { m_self.node, m_self.incarnation, firstDepartureNumber + number };
        const IdempotencyKey key(m_self.node.value() + '/' + run.instance + '/' + std::to_string(run.startedAt));
        if (request == DepartureRecords::Request::Record)
            m_subscription.requestClaim({ owner, ServiceName(departureService), key, 0 }, departureAnswerTimeout);
        else
            m_subscription.queryClaim({ owner, ServiceName(departureService), key }, departureAnswerTimeout);
    };
    hooks.lookedUp = [this](const BackendRun& run, bool hasDeparted) {
        log(LogEvent::BackendConfirmed, { { "instance", run.instance }, { "departed", hasDeparted ? "1" : "0" } });
        apply(m_presence.confirm(run, hasDeparted, steadyNow()), "record");
    };
    return hooks;
}

void NodeControl::recordDeparture(const BackendRun& run, const Acknowledge& acknowledge)
{
    // A run without a start time can't be told from a later one of its name, which must be used.
    if (run.startedAt == 0)
        return acknowledge(true);
    m_departures.record(run, steadyNow(), [instance = run.instance, acknowledge](bool isRecorded) {
        if (!isRecorded)
            log(LogEvent::DepartureUnrecorded, { { "instance", instance } });
        acknowledge(isRecorded);
    });
}

ControlSubscription::Hooks NodeControl::subscriptionHooks()
{
    ControlSubscription::Hooks hooks;
    hooks.now = steadyNow;
    hooks.connect = [this](const std::string& address, Link::Hooks linkHooks) { return m_controlLinks.connect(address, std::move(linkHooks)); };
    hooks.document = [this](const DocumentMessage& document, const DocumentSender& sender) { return applyDocument(document, sender); };
    hooks.fetchFromNode = [this](const NodeId& node, const ServiceName& service) { m_hooks.fetchDocument(node, service); };
    hooks.proved = [this](TimePoint provedAt) {
        // A document that this release can't read may withdraw keys.
        if (m_settings.keyRevocationTime && m_isRoutingRefused)
            return;
        if (!std::exchange(m_hasProof, true))
            log(LogEvent::ConfigurationFresh);
        m_hooks.configurationProved(provedAt);
    };
    hooks.claimAnswered = [this](const AttemptId& owner, ResultCode code) {
        if (owner.sequence >= firstDepartureNumber)
            m_departures.answered(owner.sequence - firstDepartureNumber, code);
        else
            m_hooks.claimAnswered(owner, code);
    };
    return hooks;
}

void NodeControl::checkSubscription()
{
    m_subscription.check();
    m_departures.check(steadyNow());
    m_subscriptionTimer.setAfter(m_subscription.nextCheck());
}

Result<void> NodeControl::start(std::uint16_t peersPort)
{
    BOOST_OUTCOME_TRYV(m_adminServer.start());
    MembershipSettings membership;
    membership.deployment = m_settings.deployment;
    membership.node = m_self.node;
    membership.incarnation = m_self.incarnation;
    membership.dataCentre = m_self.dataCentre;
    membership.peerAddress = m_settings.advertisedPeers.isEmpty() ? SocketAddress { m_settings.peers.ip, peersPort } : m_settings.advertisedPeers;
    membership.seeds = m_settings.seeds;
    BOOST_OUTCOME_TRYV(m_membership.start(m_settings.gossip, membership));
    m_subscription.start();
    m_subscriptionTimer.setAfter(m_subscription.nextCheck());
    m_backendTimer.setAfter(backendCheckInterval);
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void NodeControl::leave()
{
    m_membership.perform(m_membership.membership().leave(steadyNow()));
}

void NodeControl::apply(const MembershipAction& action)
{
    if (const auto* datagram = std::get_if<SendDatagram>(&action)) {
        m_hooks.datagramSent(datagram->bytes.size(), datagram->isLocal);
    } else if (const auto* changed = std::get_if<MemberChanged>(&action)) {
        logMember(memberEvent(changed->member), changed->member);
        m_hooks.memberChanged(changed->member);
    } else if (const auto* hint = std::get_if<NewerDocumentHint>(&action)) {
        m_subscription.hint(hint->member, hint->service, hint->version);
    } else if (const auto* evidence = std::get_if<EvidenceReceived>(&action)) {
        m_hooks.evidenceReceived(evidence->evidence);
    } else if (const auto* superseded = std::get_if<IncarnationSuperseded>(&action)) {
        log(LogEvent::NodeSuperseded, { { "incarnation", std::to_string(superseded->incarnation.value()) } });
        m_hooks.superseded();
    }
}

bool NodeControl::applyRouting(const DocumentMessage& message, const DocumentSender& sender)
{
    const TimePoint startedAt = steadyNow();
    const LogField name { "service", message.service.value() };
    const LogField version { "version", std::to_string(message.version.value()) };
    auto routing = m_settings.parseRouting(message.text);
    m_isRoutingRefused = routing.has_error();
    if (routing.has_error()) {
        log(LogEvent::DocumentRefused, { name, version, { "detail", routing.error().detail } });
        return false;
    }
    const LogField label { "label", std::to_string(routing.value().version) };
    m_routedServices.clear();
    for (const RoutedService& service : routing.value().services)
        m_routedServices.insert(service.name);
    const LogField routes { "routes", std::to_string(routing.value().rules.size()) };
    m_hooks.routingChanged(std::make_shared<const RoutingTable>(std::move(routing.value())), message);
    m_hasRouting = true;
    considerAnnouncedService();
    m_context.post([this] { publishDocuments(); });
    log(LogEvent::DocumentInForce, { name, version, label, routes, { "sender", sender.name }, { "bytes", std::to_string(sender.receivedBytes) }, { "read_us", std::to_string((steadyNow() - startedAt).count()) } });
    return true;
}

bool NodeControl::applyEvacuations(const DocumentMessage& message, const DocumentSender& sender)
{
    const LogField name { "service", message.service.value() };
    const LogField version { "version", std::to_string(message.version.value()) };
    const auto evacuations = parseEvacuations(message.text);
    if (evacuations.has_error()) {
        log(LogEvent::DocumentRefused, { name, version, { "detail", evacuations.error().detail } });
        return false;
    }
    m_hooks.evacuationsChanged(evacuations.value(), message);
    m_context.post([this] { publishDocuments(); });
    log(LogEvent::DocumentInForce, { name, version, { "sender", sender.name }, { "bytes", std::to_string(sender.receivedBytes) } });
    return true;
}

bool NodeControl::applyQuotaHolders(const DocumentMessage& message, const DocumentSender& sender)
{
    const LogField name { "service", message.service.value() };
    const LogField version { "version", std::to_string(message.version.value()) };
    const auto holders = parseQuotaHolders(message.text);
    if (holders.has_error()) {
        log(LogEvent::DocumentRefused, { name, version, { "detail", holders.error().detail } });
        return false;
    }
    m_hooks.quotaHoldersChanged(holders.value(), message);
    m_context.post([this] { publishDocuments(); });
    log(LogEvent::DocumentInForce, { name, version, { "sender", sender.name }, { "bytes", std::to_string(sender.receivedBytes) } });
    return true;
}

bool NodeControl::applyDocument(const DocumentMessage& message, const DocumentSender& sender)
{
    if (message.service == routingDocumentName())
        return applyRouting(message, sender);
    if (message.service == evacuationDocumentName())
        return applyEvacuations(message, sender);
    if (message.service == quotaHolderDocumentName())
        return applyQuotaHolders(message, sender);
    const TimePoint startedAt = steadyNow();
    auto document = parseDocument(message.text);
    const LogField service { "service", message.service.value() };
    const LogField version { "version", std::to_string(message.version.value()) };
    if (document.has_error() || document.value().service != message.service) {
        log(LogEvent::DocumentRefused, { service, version, { "detail", document.has_error() ? document.error().detail : "the document belongs to another service" } });
        return false;
    }
    m_hooks.documentChanged(document.value(), message);
    // Posted, because the subscription records the version as in force only after this function returns.
    m_context.post([this] { publishDocuments(); });
    log(LogEvent::DocumentInForce, { service, version, { "sender", sender.name }, { "bytes", std::to_string(sender.receivedBytes) }, { "read_us", std::to_string((steadyNow() - startedAt).count()) } });
    return true;
}

void NodeControl::publishDocuments()
{
    std::vector<DocumentHint> hints;
    for (const auto& [service, version] : m_subscription.inForce())
        hints.push_back({ service, version });
    m_membership.perform(m_membership.membership().updateDocuments(hints, steadyNow()));
}

void NodeControl::offerDocument(const DocumentMessage& message, const NodeId& sender)
{
    m_subscription.offer(message, { false, sender.value(), message.text.size() });
}

const std::array<NodeControl::AdminResource, 6>& NodeControl::adminResources()
{
    static constexpr std::array<AdminResource, 6> resources { {
        { "POST", "/announce", &NodeControl::handleAnnounce },
        { "POST", "/leave", &NodeControl::handleLeave },
        { "POST", "/return", &NodeControl::handleReturn },
        { "POST", "/release", &NodeControl::handleRelease },
        { "GET", "/metrics", &NodeControl::handleMetrics },
        { "GET", "/status", &NodeControl::handleStatus },
    } };
    return resources;
}

void NodeControl::handleAdmin(const HttpExchangePtr& exchange)
{
    const HttpRequest& request = exchange->request();
    std::string known;
    for (const AdminResource& resource : adminResources()) {
        if (request.method == resource.method && request.target == resource.path)
            return exchange->respond((this->*resource.handle)(request));
        known += std::string(known.empty() ? "" : ", ") + resource.method + ' ' + resource.path;
    }
    exchange->respond(problemResponse({ ResultCode::UnknownResource, known }, CallOutcomeKind::NotRun));
}

HttpResponse NodeControl::handleMetrics(const HttpRequest&)
{
    return { 200, { { "Content-Type", "text/plain; version=0.0.4" } }, m_hooks.metrics() };
}

HttpResponse NodeControl::handleStatus(const HttpRequest&)
{
    return { 200, { { "Content-Type", "application/json" } }, status() };
}

HttpResponse NodeControl::handleAnnounce(const HttpRequest& request)
{
    const auto announcement = parseAnnouncement(request.body);
    if (announcement.has_error())
        return problemResponse(announcement.error(), CallOutcomeKind::NotRun);
    announce(announcement.value(), [](bool) {});
    return jsonResponse(200, { { "node", m_self.node.value() }, { "accepted", true } });
}

void NodeControl::announce(const BackendAnnouncement& announcement, const Acknowledge& acknowledge)
{
    const BackendRun run { announcement.instance, announcement.startedAt };
    const PresenceChange change = m_presence.announce(announcement, steadyNow());
    apply(change);
    if (change == PresenceChange::Unconfirmed)
        m_departures.lookUp(run, steadyNow());
    if (announcement.draining)
        recordDeparture(run, acknowledge);
    else
        acknowledge(true);
    if (announcement.warmUp > Duration::zero() && m_presence.isLatest(announcement))
        m_hooks.backendCold(announcement.warmUp);
}

void NodeControl::announceLeave(const std::string& instance, std::uint64_t startedAt, const Acknowledge& acknowledge)
{
    const auto& current = m_presence.current();
    const bool isCurrent = current && current->instance == instance && startedAt == 0;
    recordDeparture({ instance, isCurrent ? current->startedAt : startedAt }, acknowledge);
    apply(m_presence.leave(instance, startedAt, steadyNow()));
}

void NodeControl::backendLeaves(const LocalBackend& backend)
{
    apply(m_presence.startLeaving(backend.instance, backend.startedAt), "response");
}

HttpResponse NodeControl::handleLeave(const HttpRequest&)
{
    apply(m_presence.drain(), "operator");
    return jsonResponse(202, { { "node", m_self.node.value() }, { "draining", true } });
}

HttpResponse NodeControl::handleReturn(const HttpRequest&)
{
    if (!m_presence.current())
        return problemResponse({ ResultCode::NoEndpoint, "no backend server is announced here" }, CallOutcomeKind::NotRun);
    apply(m_presence.undrain());
    return jsonResponse(200, { { "node", m_self.node.value() }, { "draining", m_presence.isDraining() } });
}

HttpResponse NodeControl::handleRelease(const HttpRequest& request)
{
    const nlohmann::json json = nlohmann::json::parse(request.body.bytes(), nullptr, false);
    const auto digest = json.is_object() && json.contains("digest") && json["digest"].is_string() ? parseRequestDigest(json["digest"].get<std::string>()) : std::nullopt;
    if (!digest)
        return problemResponse({ ResultCode::MalformedRequest, "expected a JSON object with digest, 32 hexadecimal digits" }, CallOutcomeKind::NotRun);
    if (!m_hooks.releaseRequest(*digest))
        return problemResponse({ ResultCode::UnknownResource, "nothing is held against a request with this digest" }, CallOutcomeKind::NotRun);
    return jsonResponse(200, { { "node", m_self.node.value() }, { "released", toText(*digest) } });
}

void NodeControl::spreadEvidence(const std::vector<CrashEvidence>& evidence, const std::vector<NodeId>& recipients)
{
    if (m_membership.isStarted())
        m_membership.perform(m_membership.membership().spreadEvidence(evidence, recipients, steadyNow()));
}

bool NodeControl::isKnown(const ServiceName& service) const
{
    return m_routedServices.count(service) > 0 || m_subscription.inForce().count(service) > 0;
}

void NodeControl::setLocalService(const ServiceName& service)
{
    if (m_localService.configure(service))
        reportLocalService("settings");
}

void NodeControl::considerAnnouncedService()
{
    const auto& current = m_presence.current();
    if (current && isKnown(current->service) && m_localService.announced(current->service))
        reportLocalService("announcement");
}

void NodeControl::reportLocalService(const char* source)
{
    log(LogEvent::LocalServiceChanged, { { "service", m_localService.name().value() }, { "source", source } });
    m_hooks.localServiceChanged(m_localService.name());
}

void NodeControl::apply(PresenceChange change, const char* source)
{
    considerAnnouncedService();
    const auto& current = m_presence.current();
    switch (change) {
    case PresenceChange::None:
    case PresenceChange::Unconfirmed:
        return;
    case PresenceChange::Arrived:
    case PresenceChange::Changed:
        log(LogEvent::BackendAnnounced, { { "service", current->service.value() }, { "instance", current->instance }, { "address", toText(current->address) }, { "slots", std::to_string(current->slots) }, { "sequence", std::to_string(current->sequence) } });
        m_hooks.backendAnnounced(localBackend(*current));
        if (current->draining)
            m_hooks.backendDraining();
        m_endpoint.announcedAt = steadyNow();
        return publishEndpoint(current->draining ? EndpointLifecycle::Draining : EndpointLifecycle::Ready);
    case PresenceChange::Draining:
        log(LogEvent::BackendDraining, { { "instance", current->instance }, { "address", toText(current->address) }, { "sequence", std::to_string(current->sequence) }, { "source", source } });
        m_hooks.backendDraining();
        return publishEndpoint(EndpointLifecycle::Draining);
    case PresenceChange::Gone:
        log(LogEvent::BackendGone, { { "address", toText(m_endpoint.backendServer) } });
        m_hooks.backendRemoved();
        return publishEndpoint(EndpointLifecycle::Starting);
    }
}

void NodeControl::publishEndpoint(EndpointLifecycle lifecycle)
{
    if (const auto& current = m_presence.current()) {
        m_endpoint.service = current->service;
        m_endpoint.backendServer = current->address;
        m_endpoint.slots = current->slots;
    }
    m_endpoint.lifecycle = lifecycle;
    m_membership.perform(m_membership.membership().updateSelf(m_endpoint, steadyNow()));
    // Membership reports no change of this node's own record, but the traffic thread needs it too.
    m_hooks.memberChanged(m_membership.membership().self());
}

void NodeControl::checkBackend()
{
    apply(m_presence.expire(steadyNow()));
    m_backendTimer.setAfter(backendCheckInterval);
}

void NodeControl::setContacts(const std::vector<std::string>& controlReplicas, const std::vector<SocketAddress>& seeds)
{
    m_subscription.setReplicas(controlReplicas);
    m_membership.membership().setSeeds(seeds);
}

void NodeControl::updateMetrics(NodeMetrics& metrics) const
{
    if (m_subscription.isFresh())
        metrics.setConfigurationAge(m_subscription.staleness(steadyNow()));
    for (const auto& [service, version] : m_subscription.inForce())
        metrics.setDocumentVersion(service, version);
    metrics.setDocumentBytes(m_subscription.documentBytes());
    metrics.setMembers(m_membership.membership().table().presentCount(), m_membership.membership().table().size());
}

std::string NodeControl::status() const
{
    nlohmann::json members = nlohmann::json::array();
    for (const MemberRecord& member : m_membership.membership().table().records()) {
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
