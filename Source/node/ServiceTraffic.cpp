#include "node/ServiceTraffic.h"

#include <algorithm>
#include <array>

namespace Knapweedquay {

namespace {

constexpr double hedgeQuantile = 0.95;
constexpr double medianQuantile = 0.5;
/// Time that a hedge is expected to need, as a multiple of the median latency.
constexpr double hedgeTimeFactor = 1.3;
/// A hedge is never sent earlier than this multiple of the median latency, unless the 95th percentile is lower.
constexpr double minimumHedgeDelayFactor = 2;
constexpr std::array idempotentMethods = { "GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE" };

bool isIdempotentMethod(std::string_view method)
{
    return std::find(idempotentMethods.begin(), idempotentMethods.end(), method) != idempotentMethods.end();
}

bool matches(const Route& route, std::string_view method, std::string_view path)
{
    const bool matchesMethod = route.method == "*" || route.method == method;
    return matchesMethod && path.substr(0, route.path.size()) == route.path;
}

double extraShare(const RetryLimits& limits)
{
    return limits.retryShare + limits.hedgeShare;
}

std::vector<std::string> priorityNames(const ServiceDocument& document)
{
    std::vector<std::string> names;
    for (const Priority& priority : document.priorities)
        names.push_back(priority.name);
    return names;
}

} // namespace

ServiceTraffic::ServiceTraffic(const ServiceDocument& document, const DataCentre& local, ChoiceSettings settings, double burst, NodeMetrics& metrics)
    : m_document(document)
    , m_chooser(document, local, settings)
    , m_extraBudget(extraShare(document.retries), burst)
    , m_hedgeBudget(document.retries.hedgeShare, burst)
    , m_measurement(document.measurement)
    , m_latencies(document.priorities.size(), QuantileEstimate(hedgeQuantile))
    , m_medians(document.priorities.size(), QuantileEstimate(medianQuantile))
    , m_nodeMetrics(metrics)
    , m_metrics(metrics.service(document.service, priorityNames(document)))
{
}

void ServiceTraffic::setDocument(const ServiceDocument& document)
{
    const bool hasSamePriorities = m_document.priorities == document.priorities;
    m_document = document;
    m_chooser.setDocument(document);
    m_extraBudget.setShare(extraShare(document.retries));
    m_hedgeBudget.setShare(document.retries.hedgeShare);
    m_measurement.setLimits(document.measurement);
    if (hasSamePriorities)
        return;
    m_latencies.assign(document.priorities.size(), QuantileEstimate(hedgeQuantile));
    m_medians.assign(document.priorities.size(), QuantileEstimate(medianQuantile));
    m_metrics = m_nodeMetrics.service(document.service, priorityNames(document));
}

ServiceTraffic::Classification ServiceTraffic::classify(std::string_view method, std::string_view path) const
{
    const Route* longestMatch = nullptr;
    for (const Route& route : m_document.routes) {
        if (matches(route, method, path) && (!longestMatch || route.path.size() > longestMatch->path.size()))
            longestMatch = &route;
    }
    if (longestMatch)
        return { longestMatch->priority, longestMatch->idempotent };
    const std::size_t last = m_document.priorities.empty() ? 0 : m_document.priorities.size() - 1;
    return { PriorityIndex(static_cast<std::uint32_t>(last)), isIdempotentMethod(method) };
}

std::optional<PriorityIndex> ServiceTraffic::priorityNamed(std::string_view name) const
{
    for (std::size_t index = 0; index < m_document.priorities.size(); ++index) {
        if (m_document.priorities[index].name == name)
            return PriorityIndex(static_cast<std::uint32_t>(index));
    }
    return std::nullopt;
}

void ServiceTraffic::addLatency(PriorityIndex priority, Duration latency)
{
    if (priority.value() < m_latencies.size()) {
        m_latencies[priority.value()].add(latency);
        m_medians[priority.value()].add(latency);
    }
}

std::optional<Duration> ServiceTraffic::hedgeDelay(PriorityIndex priority, Duration target) const
{
    if (priority.value() >= m_latencies.size() || m_document.retries.hedgeShare <= 0)
        return std::nullopt;
    const auto percentile = m_latencies[priority.value()].value();
    const auto median = m_medians[priority.value()].value();
    if (!percentile || !median)
        return percentile;
    const auto medianCount = static_cast<double>(median->count());
    const auto latestUsefulDelay = static_cast<double>(target.count()) - hedgeTimeFactor * medianCount;
    return std::min(*percentile, Duration(static_cast<Duration::rep>(std::max(minimumHedgeDelayFactor * medianCount, latestUsefulDelay))));
}

} // namespace Knapweedquay
