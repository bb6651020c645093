#include "node/NodeMetrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <limits>

namespace Knapweedquay {

namespace {

using Labels = std::map<std::string, std::string>;

constexpr double microsecondsPerSecond = 1e6;

double toSeconds(Duration duration)
{
    return static_cast<double>(duration.count()) / microsecondsPerSecond;
}

prometheus::Histogram::BucketBoundaries latencyBuckets()
{
    return { 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10 };
}

prometheus::Counter& counter(prometheus::Registry& registry, const std::string& name, const std::string& help, const Labels& labels = {})
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(registry).Add(labels);
}

prometheus::Histogram& histogram(prometheus::Registry& registry, const std::string& name, const std::string& help, const Labels& labels = {})
{
    return prometheus::BuildHistogram().Name(name).Help(help).Register(registry).Add(labels, latencyBuckets());
}

prometheus::Gauge& gaugeOf(prometheus::Registry& registry, const std::string& name, const std::string& help, const Labels& labels = {})
{
    return prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add(labels);
}

/// Increases a counter to a total that is counted elsewhere; counters never decrease.
void increaseTo(prometheus::Counter& counter, std::uint64_t total)
{
    const double missing = static_cast<double>(total) - counter.Value();
    if (missing > 0)
        counter.Increment(missing);
}

std::array<prometheus::Counter*, 4> backendRequestCounters(prometheus::Registry& registry)
{
    const auto kind = [&registry](const char* value) {
        return &counter(registry, "knapweedquay_backend_requests_total", "Requests sent to the backend server beside this node", { { "kind", value } });
    };
    return { kind("call"), kind("repeat"), kind("resent"), kind("health_check") };
}

std::array<prometheus::Counter*, 2> resolvedCallCounters(prometheus::Registry& registry)
{
    const auto by = [&registry](const char* value) {
        return &counter(registry, "knapweedquay_calls_resolved_total", "Accepted requests, by what determined their service", { { "by", value } });
    };
    return { by("route"), by("target") };
}

constexpr std::array<const char*, peerTrafficKinds> peerTrafficNames { "call", "answer", "outcome", "probe", "load_update", "document", "hello", "membership", "quota" };

std::array<std::array<prometheus::Counter*, 2>, peerTrafficKinds> peerByteCounters(prometheus::Registry& registry)
{
    std::array<std::array<prometheus::Counter*, 2>, peerTrafficKinds> counters {};
    for (std::size_t kind = 0; kind < peerTrafficKinds; ++kind) {
        for (std::size_t where = 0; where < 2; ++where)
            counters[kind][where] = &counter(registry, "knapweedquay_peer_bytes_sent_total", "Bytes of messages sent to other nodes", { { "kind", peerTrafficNames[kind] }, { "data_centre", where == 0 ? "same" : "other" } });
    }
    return counters;
}

} // namespace

ResultCodeCounter::ResultCodeCounter(prometheus::Registry& registry, const char* name, const char* help, Labels labels)
    : m_family(prometheus::BuildCounter().Name(name).Help(help).Register(registry))
    , m_labels(std::move(labels))
{
}

void ResultCodeCounter::increment(ResultCode code)
{
    prometheus::Counter*& counter = m_counters[code];
    if (!counter) {
        Labels labels = m_labels;
        labels["code"] = std::to_string(static_cast<int>(code));
        counter = &m_family.Add(labels);
    }
    counter->Increment();
}

ServiceMetrics::ServiceMetrics(prometheus::Registry& registry, const ServiceName& service, const std::vector<std::string>& priorities)
    : m_attempts(&counter(registry, "knapweedquay_attempts_sent_total", "Attempts of calls sent to endpoints", { { "service", service.value() } }))
    , m_hedges(&counter(registry, "knapweedquay_hedges_sent_total", "Second attempts beside a first one that is late", { { "service", service.value() } }))
    , m_chosenWithoutReport(&counter(registry, "knapweedquay_choices_without_report_total", "Endpoints chosen that had not told their load", { { "service", service.value() } }))
    , m_failedCalls(registry, "knapweedquay_calls_failed_total", "Calls that ended without an answer of a backend server, by result code", { { "service", service.value() } })
    , m_refusedAttempts(registry, "knapweedquay_attempts_refused_total", "Attempts that an endpoint's node refused, by result code", { { "service", service.value() } })
    , m_reportAge(&histogram(registry, "knapweedquay_report_age_seconds", "Age of the load report that an endpoint was chosen by", { { "service", service.value() } }))
    , m_retriesLeft(&gaugeOf(registry, "knapweedquay_retry_budget", "Extra attempts that may be made now", { { "service", service.value() }, { "kind", "retry" } }))
    , m_hedgesLeft(&gaugeOf(registry, "knapweedquay_retry_budget", "Extra attempts that may be made now", { { "service", service.value() }, { "kind", "hedge" } }))
    , m_probes(&counter(registry, "knapweedquay_probes_sent_total", "Probes of endpoint load sent", { { "service", service.value() } }))
    , m_refusedProbes(&counter(registry, "knapweedquay_probes_refused_total", "Probes that the measuring budget did not allow", { { "service", service.value() } }))
    , m_measurementBytes(&counter(registry, "knapweedquay_measurement_bytes_total", "Bytes of probes and their answers, counted at their largest", { { "service", service.value() } }))
{
    for (const std::string& name : priorities) {
        const Labels labels { { "service", service.value() }, { "priority", name } };
        const auto outcome = [&](const char* value) {
            Labels extended = labels;
            extended["outcome"] = value;
            return &counter(registry, "knapweedquay_calls_total", "Calls of callers by outcome", extended);
        };
        PerPriority metrics;
        metrics.answered = outcome("answered");
        metrics.notRun = outcome("not_run");
        metrics.unknown = outcome("unknown");
        metrics.withinTarget = &counter(registry, "knapweedquay_calls_within_target_total", "Calls answered within the target of their priority", labels);
        metrics.latency = &histogram(registry, "knapweedquay_call_duration_seconds", "Time from a caller's request to its answer", labels);
        m_priorities.push_back(metrics);
    }
}

void ServiceMetrics::callEnded(PriorityIndex priority, CallOutcomeKind outcome, Duration latency, bool isWithinTarget)
{
    if (priority.value() >= m_priorities.size())
        return;
    PerPriority& metrics = m_priorities[priority.value()];
    if (outcome == CallOutcomeKind::NotRun)
        return metrics.notRun->Increment();
    if (outcome == CallOutcomeKind::Unknown)
        return metrics.unknown->Increment();
    metrics.answered->Increment();
    metrics.latency->Observe(toSeconds(latency));
    if (isWithinTarget)
        metrics.withinTarget->Increment();
}

void ServiceMetrics::attemptSent(bool isHedge)
{
    m_attempts->Increment();
    if (isHedge)
        m_hedges->Increment();
}

void ServiceMetrics::callFailed(ResultCode code)
{
    m_failedCalls.increment(code);
}

void ServiceMetrics::attemptRefused(ResultCode code)
{
    m_refusedAttempts.increment(code);
}

void ServiceMetrics::endpointChosen(std::optional<Duration> reportAge)
{
    if (reportAge)
        m_reportAge->Observe(toSeconds(*reportAge));
    else
        m_chosenWithoutReport->Increment();
}

void ServiceMetrics::setBudgets(double retries, double hedges)
{
    m_retriesLeft->Set(retries);
    m_hedgesLeft->Set(hedges);
}

void ServiceMetrics::setMeasurement(std::uint64_t probes, std::uint64_t refusedProbes, std::uint64_t bytes)
{
    increaseTo(*m_probes, probes);
    increaseTo(*m_refusedProbes, refusedProbes);
    increaseTo(*m_measurementBytes, bytes);
}

NodeMetrics::NodeMetrics()
    : m_registry(std::make_shared<prometheus::Registry>())
    , m_endpointStarts(&counter(*m_registry, "knapweedquay_endpoint_starts_total", "Attempts started at the backend server beside this node"))
    , m_backendCrashes(&counter(*m_registry, "knapweedquay_backend_crashes_total", "Times that the backend server beside this node ended while it ran requests"))
    , m_quarantineRefusals(&counter(*m_registry, "knapweedquay_quarantine_refusals_total", "Calls and attempts refused because their requests are held"))
    , m_quarantined(&gaugeOf(*m_registry, "knapweedquay_quarantined_requests", "Requests held because backend servers crashed while they ran them"))
    , m_backendRequests(backendRequestCounters(*m_registry))
    , m_resolvedCalls(resolvedCallCounters(*m_registry))
    , m_peerBytes(peerByteCounters(*m_registry))
    , m_measurementTime(&counter(*m_registry, "knapweedquay_measurement_cpu_seconds_total", "Processor time spent on sending and reading probes"))
    , m_rejections(*m_registry, "knapweedquay_endpoint_rejections_total", "Attempts that this node rejected, by result code")
    , m_refusedCallers(*m_registry, "knapweedquay_callers_refused_total", "Requests refused when they arrived, by result code")
    , m_quotaRequests(&counter(*m_registry, "knapweedquay_quota_requests_total", "Requests to the control store for credit of quotas"))
    , m_quotaCredit(&counter(*m_registry, "knapweedquay_quota_credit_total", "Credit of quotas granted to this node"))
    , m_quotaRefusals(*m_registry, "knapweedquay_quota_refusals_total", "Calls refused for the quotas of their workspaces, by result code")
    , m_waits(&histogram(*m_registry, "knapweedquay_endpoint_wait_seconds", "Time from the admission of an attempt to its start"))
    , m_serviceTimes(&histogram(*m_registry, "knapweedquay_endpoint_service_seconds", "Time of successful attempts at the backend server"))
    , m_unreadLines(&counter(*m_registry, "knapweedquay_log_lines_dropped_total", "Lines of the log that were not written", { { "reason", "unread" } }))
    , m_rateLimitedLines(&counter(*m_registry, "knapweedquay_log_lines_dropped_total", "Lines of the log that were not written", { { "reason", "bound" } }))
{
}

NodeMetrics::~NodeMetrics() = default;

std::unique_ptr<ServiceMetrics> NodeMetrics::service(const ServiceName& service, const std::vector<std::string>& priorities)
{
    return std::make_unique<ServiceMetrics>(*m_registry, service, priorities);
}

prometheus::Gauge& NodeMetrics::gauge(const std::string& name, const std::string& help, const Labels& labels)
{
    return gaugeOf(*m_registry, name, help, labels);
}

void NodeMetrics::setSessions(std::size_t sessions)
{
    gauge("knapweedquay_calls_in_progress", "Calls of callers in progress at this node").Set(static_cast<double>(sessions));
}

void NodeMetrics::setPendingWork(const PendingWork& work)
{
    const auto set = [this](const char* state, std::size_t value) {
        gauge("knapweedquay_caller_connections", "Open connections of callers", { { "state", state } }).Set(static_cast<double>(value));
    };
    set("all", work.connections);
    set("unused", work.unusedConnections);
    set("partial_request", work.partialRequests);
    set("lingering", work.lingeringConnections);
    const auto setUnsent = [this](const char* to, std::size_t bytes) {
        gauge("knapweedquay_unsent_bytes", "Bytes that the system has not taken yet", { { "to", to } }).Set(static_cast<double>(bytes));
    };
    setUnsent("callers", work.unsentCallerBytes);
    setUnsent("nodes", work.unsentPeerBytes);
}

void NodeMetrics::setBodies(const char* kind, const BodyBudget& budget)
{
    const auto set = [this, kind](const char* size, std::size_t bytes) {
        gauge("knapweedquay_body_bytes", "Bytes of bodies that are reserved", { { "kind", kind }, { "size", size } }).Set(static_cast<double>(bytes));
    };
    set("small", budget.use().smallBytes);
    set("large", budget.use().largeBytes);
}

void NodeMetrics::setEndpoint(const LoadReport& load)
{
    const double limit = load.requestRate ? load.requestRate->value() : std::numeric_limits<double>::infinity();
    gauge("knapweedquay_endpoint_running", "Attempts running at the backend server beside this node").Set(load.running);
    gauge("knapweedquay_endpoint_concurrency_limit", "Attempts that this node lets run at once").Set(load.concurrencyLimit);
    gauge("knapweedquay_endpoint_request_limit", "Requests per second that the backend server takes; infinite without a limit").Set(limit);
    gauge("knapweedquay_endpoint_draining", "1 while the endpoint takes no calls").Set(load.draining ? 1 : 0);
    for (std::size_t index = 0; index < load.queued.size(); ++index)
        gauge("knapweedquay_endpoint_queued", "Attempts waiting at this node; index 0 is the most urgent priority", { { "priority_index", std::to_string(index) } }).Set(load.queued[index]);
}

void NodeMetrics::setEndpointCold(Duration left)
{
    gauge("knapweedquay_endpoint_cold_seconds", "Time for which the backend server beside this node is held to be cold").Set(toSeconds(left));
}

void NodeMetrics::setEndpointStarts(std::uint64_t total)
{
    increaseTo(*m_endpointStarts, total);
}

void NodeMetrics::backendRequestSent(BackendRequestKind kind)
{
    m_backendRequests[static_cast<std::size_t>(kind)]->Increment();
}

void NodeMetrics::callerRefused(ResultCode code)
{
    m_refusedCallers.increment(code);
}

void NodeMetrics::callResolved(CallResolution resolution)
{
    m_resolvedCalls[static_cast<std::size_t>(resolution)]->Increment();
}

void NodeMetrics::attemptRejected(ResultCode code)
{
    m_rejections.increment(code);
}

void NodeMetrics::backendCrashed()
{
    m_backendCrashes->Increment();
}

void NodeMetrics::quotaRequested()
{
    m_quotaRequests->Increment();
}

void NodeMetrics::quotaGranted(std::uint64_t credit)
{
    m_quotaCredit->Increment(static_cast<double>(credit));
}

void NodeMetrics::quotaRefused(ResultCode code)
{
    m_quotaRefusals.increment(code);
}

void NodeMetrics::requestHeld()
{
    m_quarantineRefusals->Increment();
}

void NodeMetrics::setQuarantined(std::size_t count)
{
    m_quarantined->Set(static_cast<double>(count));
}

void NodeMetrics::attemptStarted(Duration waited)
{
    m_waits->Observe(toSeconds(waited));
}

void NodeMetrics::attemptSucceeded(Duration serviceTime)
{
    m_serviceTimes->Observe(toSeconds(serviceTime));
}

void NodeMetrics::setDroppedLines(std::uint64_t unread, std::uint64_t rateLimited)
{
    increaseTo(*m_unreadLines, unread);
    increaseTo(*m_rateLimitedLines, rateLimited);
}

void NodeMetrics::addPeerBytes(PeerTraffic kind, bool isSameDataCentre, std::size_t bytes)
{
    m_peerBytes[static_cast<std::size_t>(kind)][isSameDataCentre ? 0 : 1]->Increment(static_cast<double>(bytes));
}

std::vector<NodeMetrics::SentBytes> NodeMetrics::sentBytes() const
{
    std::vector<SentBytes> sent;
    for (std::size_t kind = 0; kind < peerTrafficKinds; ++kind)
        sent.push_back({ peerTrafficNames[kind], static_cast<std::uint64_t>(m_peerBytes[kind][0]->Value()), static_cast<std::uint64_t>(m_peerBytes[kind][1]->Value()) });
    return sent;
}

void NodeMetrics::setLinks(std::size_t links)
{
    gauge("knapweedquay_links_open", "Links that this node opened to other nodes").Set(static_cast<double>(links));
}

void NodeMetrics::addMeasurementTime(Duration processorTime)
{
    m_measurementTime->Increment(toSeconds(processorTime));
}

void NodeMetrics::setConfigurationAge(Duration age)
{
    gauge("knapweedquay_configuration_age_seconds", "Time since the documents in force were last proved recent").Set(toSeconds(age));
}

void NodeMetrics::setDocumentVersion(const ServiceName& service, DocumentVersion version)
{
    gauge("knapweedquay_document_version", "Version of the service's document that is in force at this node", { { "service", service.value() } }).Set(static_cast<double>(version.value()));
}

void NodeMetrics::setDocumentBytes(const DocumentBytes& bytes)
{
    const auto set = [this](const char* sender, const char* result, std::uint64_t total) {
        increaseTo(counter(*m_registry, "knapweedquay_document_bytes_total", "Bytes of the documents that were received", { { "sender", sender }, { "result", result } }), total);
    };
    set("replica", "applied", bytes.appliedFromReplicas);
    set("replica", "discarded", bytes.discardedFromReplicas);
    set("node", "applied", bytes.appliedFromNodes);
    set("node", "discarded", bytes.discardedFromNodes);
}

void NodeMetrics::setDataCentreEmptied(bool isEmptied)
{
    gauge("knapweedquay_data_centre_emptied", "1 while operators keep the data centre of this node empty").Set(isEmptied ? 1 : 0);
}

void NodeMetrics::setMembers(std::size_t present, std::size_t known)
{
    gauge("knapweedquay_members_present", "Nodes held to be present, this one included").Set(static_cast<double>(present));
    gauge("knapweedquay_members_known", "Nodes remembered, absent ones included").Set(static_cast<double>(known));
}

std::string NodeMetrics::text() const
{
    return prometheus::TextSerializer().Serialize(m_registry->Collect());
}

} // namespace Knapweedquay
