#pragma once

#include "coordination/placing/EndpointChooser.h"
#include "coordination/placing/MeasurementBudget.h"
#include "coordination/attempts/OutgoingCall.h"
#include "coordination/placing/ProbePlanner.h"
#include "coordination/placing/QuantileEstimate.h"
#include "coordination/attempts/RetryBudget.h"
#include "node/NodeMetrics.h"
#include "state/ServiceDocument.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Knapweedquay {

/// State of this node for the calls that it sends to one service: endpoints, budgets, latencies and metrics.
class ServiceTraffic {
public:
    /// burst: extra attempts beyond the shares of the document that this node may make at once.
    ServiceTraffic(const ServiceDocument&, const DataCentre& local, ChoiceSettings, double burst, NodeMetrics&);

    void setDocument(const ServiceDocument&);
    const ServiceDocument& document() const { return m_document; }
    EndpointChooser& chooser() { return m_chooser; }
    CallBudgets budgets() { return { m_extraBudget, m_hedgeBudget }; }
    /// Sets the extra attempts beyond the shares of the document that this node may make at once.
    void setBurst(double burst)
    {
        m_extraBudget.setBurst(burst);
        m_hedgeBudget.setBurst(burst);
    }
    MeasurementBudget& measurement() { return m_measurement; }
    ProbePlanner& probes() { return m_probes; }
    ServiceMetrics& metrics() { return *m_metrics; }
    void updateMetrics(TimePoint now) { m_metrics->setBudgets(m_extraBudget.available(now), m_hedgeBudget.available(now)); }

    /// Properties of a call that follow from its method and path.
    struct Classification {
        PriorityIndex priority;
        bool isIdempotent = false;
    };
    /// Returns priority and idempotency of a call from the longest matching route. A call without a matching route has
    /// the lowest priority, and is idempotent if its method is (RFC 9110, 9.2.2).
    Classification classify(std::string_view method, std::string_view path) const;
    /// Index of a priority; not set if the service has none with this name.
    std::optional<PriorityIndex> priorityNamed(std::string_view name) const;

    /// Records the latency of an answered call.
    void addLatency(PriorityIndex, Duration);
    /// Delay after which a hedge is sent (The Tail at Scale, CACM '13): the 95th percentile of the latency, or less if
    /// a hedge sent then would miss the target. Not set while hedging is disabled or too few latencies are known.
    std::optional<Duration> hedgeDelay(PriorityIndex, Duration target) const;

private:
    ServiceDocument m_document;
    EndpointChooser m_chooser;
    RetryBudget m_extraBudget;
    RetryBudget m_hedgeBudget;
    MeasurementBudget m_measurement;
    ProbePlanner m_probes;
    /// 95th percentile of the latency, by priority.
    std::vector<QuantileEstimate> m_latencies;
    /// Median of the latency, by priority.
    std::vector<QuantileEstimate> m_medians;
    NodeMetrics& m_nodeMetrics;
    std::unique_ptr<ServiceMetrics> m_metrics;
};

} // namespace Knapweedquay
