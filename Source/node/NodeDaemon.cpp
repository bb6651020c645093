#include "node/NodeDaemon.h"

#include "transport/StopDeadline.h"

#include <asio/executor_work_guard.hpp>
#include <asio/post.hpp>

#include <nlohmann/json.hpp>

#include <chrono>
#include <csignal>
#include <functional>
#include <future>
#include <thread>
#include <utility>

namespace Knapweedquay {

namespace {

/// Milliseconds since 1970, so that each start of a node has a greater incarnation without storing the previous one.
Incarnation newIncarnation()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return Incarnation(static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count()));
}

nlohmann::json toJson(const EndpointStatus& endpoint)
{
    const auto age = endpoint.reportedAt ? std::chrono::duration<double, std::milli>(steadyNow() - *endpoint.reportedAt).count() : -1;
    return { { "node", endpoint.id.node.value() }, { "outstanding", endpoint.outstanding }, { "report_age_ms", age }, { "draining", endpoint.draining },
        { "ejected", endpoint.ejected }, { "error_rate", endpoint.errorRate }, { "slowdown_percent", endpoint.slowdownPercent },
        { "requests_per_second", endpoint.requestRate ? nlohmann::json(endpoint.requestRate->value()) : nlohmann::json() },
        { "predicted_ms", std::chrono::duration<double, std::milli>(endpoint.predictedTime).count() } };
}

} // namespace

NodeDaemon::NodeDaemon(const NodeSettings& settings, Extension extension)
    : m_settings(settings)
    , m_extension(std::move(extension))
    , m_self { settings.node, newIncarnation(), settings.dataCentre }
    , m_traffic(std::make_unique<NodeTraffic>(m_trafficContext, m_self, settings, claimHooks(), m_metrics))
    , m_control(std::make_unique<NodeControl>(m_controlContext, m_self, settings, controlHooks()))
    , m_signals(m_controlContext, SIGINT, SIGTERM, SIGHUP)
    , m_stop(m_controlContext, m_trafficContext, *m_control, *m_traffic, [this] { end(""); })
{
}

NodeDaemon::~NodeDaemon() = default;

Result<void> NodeDaemon::run()
{
    m_traffic->gateway().setDocumentHook([this](const NodeId& from, const DocumentAnswerMessage& document) {
        asio::post(m_controlContext, [this, from, document] { m_control->offerDocument({ document.service, document.version, document.text }, from); });
    });
    m_traffic->runner().setLeavingHook([this](const LocalBackend& backend) {
        asio::post(m_controlContext, [this, backend] { m_control->backendLeaves(backend); });
    });
    m_traffic->quarantine().setSpreadHook([this](const std::vector<CrashEvidence>& evidence, const std::vector<NodeId>& recipients) {
        asio::post(m_controlContext, [this, evidence, recipients] { m_control->spreadEvidence(evidence, recipients); });
    });
    BOOST_OUTCOME_TRYV(m_traffic->start());
    BOOST_OUTCOME_TRYV(m_control->start(m_traffic->peersPort()));
    if (m_extension.started) {
        BOOST_OUTCOME_TRYV(m_extension.started(m_controlContext, *m_control));
    }
    waitForSignal();
    const auto trafficWork = asio::make_work_guard(m_trafficContext);
    m_trafficContext.restart();
    std::thread trafficThread([this] { m_trafficContext.run(); });
    m_controlContext.restart();
    m_controlContext.run();
    m_trafficContext.stop();
    trafficThread.join();
    m_stop.logEnd(m_endReason);
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

CallGateway::ClaimHooks NodeDaemon::claimHooks()
{
    CallGateway::ClaimHooks hooks;
    hooks.request = [this](const RequestClaim& claim, Duration timeout) {
        asio::post(m_controlContext, [this, claim, timeout] {
            m_control->subscription().requestClaim({ claim.owner, claim.request.service, claim.request.key, claim.request.fingerprint.value() }, timeout);
        });
    };
    hooks.release = [this](const ReleaseClaim& claim) {
        asio::post(m_controlContext, [this, claim] {
            m_control->subscription().endClaim({ claim.owner, claim.request.service, claim.request.key, false });
        });
    };
    hooks.complete = [this](const ClaimOwner& owner, const ServiceName& service, const IdempotencyKey& key) {
        asio::post(m_controlContext, [this, owner, service, key] {
            m_control->subscription().endClaim({ owner, service, key, true });
        });
    };
    return hooks;
}

NodeControl::Hooks NodeDaemon::controlHooks()
{
    NodeControl::Hooks hooks;
    hooks.datagramSent = [this](std::size_t bytes, bool isLocal) { m_metrics.addPeerBytes(PeerTraffic::Membership, isLocal, bytes); };
    hooks.memberChanged = [this](const MemberRecord& member) {
        asio::post(m_trafficContext, [this, member] { m_traffic->gateway().setMember(member); });
    };
    hooks.documentChanged = [this](const ServiceDocument& document, const DocumentMessage& source) {
        asio::post(m_trafficContext, [this, document, source] {
            m_traffic->setDocument(document, { source.service, source.version, source.text });
        });
    };
    hooks.routingChanged = [this](const std::shared_ptr<const RoutingTable>& routing, const DocumentMessage& source) {
        asio::post(m_trafficContext, [this, routing, source] {
            m_traffic->setRouting(routing, { source.service, source.version, source.text });
        });
    };
    hooks.evacuationsChanged = [this](const EvacuationDocument& evacuations, const DocumentMessage& source) {
        asio::post(m_trafficContext, [this, evacuations, source] {
            m_traffic->setEvacuations(evacuations, { source.service, source.version, source.text });
        });
    };
    hooks.evidenceReceived = [this](const CrashEvidence& evidence) {
        asio::post(m_trafficContext, [this, evidence] { m_traffic->quarantine().receive(evidence); });
    };
    hooks.releaseRequest = [this](const RequestDigest& digest) {
        return queryTrafficThread([this, digest] { return std::string(m_traffic->quarantine().release(digest) ? "released" : ""); }) == "released";
    };
    hooks.fetchDocument = [this](const NodeId& node, const ServiceName& service) {
        asio::post(m_trafficContext, [this, node, service] { m_traffic->gateway().requestDocument(node, service); });
    };
    hooks.configurationProved = [this](TimePoint provedAt) {
        asio::post(m_trafficContext, [this, provedAt] { m_traffic->configurationProved(provedAt); });
    };
    hooks.claimAnswered = [this](const AttemptId& owner, ResultCode code) {
        asio::post(m_trafficContext, [this, owner, code] { m_traffic->gateway().claimAnswered(owner, code); });
    };
    hooks.quotaHoldersChanged = [this](const QuotaHolderDocument& holders, const DocumentMessage& source) {
        asio::post(m_trafficContext, [this, holders, source] {
            m_traffic->setQuotaHolders(holders, { source.service, source.version, source.text });
        });
    };
    hooks.backendAnnounced = [this](const LocalBackend& backend) {
        asio::post(m_trafficContext, [this, backend] { m_traffic->setBackend(backend); });
    };
    hooks.backendRemoved = [this] {
        asio::post(m_trafficContext, [this] { m_traffic->runner().removeBackend(); });
    };
    hooks.backendDraining = [this] {
        asio::post(m_trafficContext, [this] { m_traffic->runner().drain(); });
    };
    hooks.backendCold = [this](Duration left) {
        asio::post(m_trafficContext, [this, left] { m_traffic->runner().announcedCold(left); });
    };
    hooks.localServiceChanged = [this](const ServiceName& service) {
        asio::post(m_trafficContext, [this, service] { m_traffic->gateway().setCallerService(service); });
    };
    hooks.superseded = [this] { end("superseded"); };
    hooks.metrics = [this] { return metricsText(); };
    hooks.trafficStatus = [this] { return trafficStatus(); };
    return hooks;
}

std::string NodeDaemon::queryTrafficThread(std::function<std::string()> hook)
{
    const auto promise = std::make_shared<std::promise<std::string>>();
    auto future = promise->get_future();
    asio::post(m_trafficContext, [hook = std::move(hook), promise] { promise->set_value(hook()); });
    constexpr std::chrono::milliseconds queryTimeout { 200 };
    return future.wait_for(queryTimeout) == std::future_status::ready ? future.get() : "null";
}

std::string NodeDaemon::trafficStatus()
{
    return queryTrafficThread([this] {
        const CallGateway::Counters& calls = m_traffic->gateway().counters();
        const EndpointRunner::Counters& runs = m_traffic->runner().counters();
        nlohmann::json status = { { "sessions", m_traffic->gateway().sessionCount() }, { "calls", calls.calls }, { "answered", calls.answered },
            { "not_run", calls.notRun }, { "unknown", calls.unknown }, { "attempts", calls.attempts }, { "resends", calls.resends },
            { "endpoint_started", runs.started }, { "endpoint_idle", m_traffic->runner().isIdle() } };
        for (const NodeMetrics::SentBytes& sent : m_metrics.sentBytes())
            status["sent_bytes"].push_back({ { "kind", sent.kind }, { "same_data_centre", sent.sameDataCentre }, { "other_data_centres", sent.otherDataCentres } });
        for (const auto& [service, endpoints] : m_traffic->gateway().endpointStatus()) {
            for (const EndpointStatus& endpoint : endpoints)
                status["endpoints"][service.value()].push_back(toJson(endpoint));
        }
        for (const DataCentre& dataCentre : m_traffic->gateway().emptiedDataCentres().document().emptied)
            status["emptied_data_centres"].push_back(dataCentre.value());
        for (const NodeQuarantine::Entry& entry : m_traffic->quarantine().entries())
            status["held_requests"].push_back({ { "digest", toText(entry.digest) }, { "service", entry.service.value() }, { "crashes", entry.crashes }, { "trial_in_s", std::chrono::duration<double>(entry.left).count() } });
        return status.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    });
}

std::string NodeDaemon::metricsText()
{
    queryTrafficThread([this] {
        m_traffic->updateMetrics(m_metrics);
        return std::string();
    });
    m_control->updateMetrics(m_metrics);
    return m_metrics.text();
}

void NodeDaemon::waitForSignal()
{
    m_signals.async_wait([this](const asio::error_code& error, int signal) {
        if (error)
            return;
        handleSignal(signal);
        waitForSignal();
    });
}

void NodeDaemon::handleSignal(int signal)
{
    if (signal == SIGHUP)
        return reload();
    if (m_stop.isOrdered()) {
        // Platforms repeat SIGTERM; only a person at a terminal means it literally.
        if (signal == SIGINT)
            end("signal");
        return;
    }
    endProcessAfter(m_settings.maximumStopTime + blockedStopTime);
    m_stop.order();
}

void NodeDaemon::reload()
{
    if (!m_extension.reload)
        return log(LogEvent::SettingsNeedRestart, { { "fields", "all" } });
    log(LogEvent::Reloaded);
    m_extension.reload(*m_control);
}

void NodeDaemon::end(const char* reason)
{
    m_endReason = reason;
    m_controlContext.stop();
}

} // namespace Knapweedquay
