#pragma once

#include "protocol/Ids.h"
#include "protocol/ProblemDetails.h"
#include "protocol/Time.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace prometheus {
class Counter;
class Gauge;
class Histogram;
class Registry;
} // namespace prometheus

namespace Knapweedquay {

/// Metrics of the calls that this node sends to one service, one entry per priority.
class ServiceMetrics {
public:
    ServiceMetrics(prometheus::Registry&, const ServiceName&, const std::vector<std::string>& priorities);

    void callEnded(PriorityIndex, CallOutcomeKind, Duration latency, bool isWithinTarget);
    void attemptSent();
    /// Totals of the measuring budget since the start.
    void setMeasurement(std::uint64_t probes, std::uint64_t refusedProbes, std::uint64_t bytes);

private:
    struct PerPriority {
        prometheus::Counter* answered = nullptr;
        prometheus::Counter* notRun = nullptr;
        prometheus::Counter* unknown = nullptr;
        prometheus::Counter* withinTarget = nullptr;
        prometheus::Histogram* latency = nullptr;
    };

    std::vector<PerPriority> m_priorities;
    prometheus::Counter* m_attempts;
    prometheus::Counter* m_probes;
    prometheus::Counter* m_refusedProbes;
    prometheus::Counter* m_measurementBytes;
};

/// All metrics of a node process; docs/METRICS.md lists them.
///
/// Counters and gauges may be set by any thread; the text is made on the control thread.
class NodeMetrics {
public:
    NodeMetrics();
    ~NodeMetrics();

    /// Metrics of one service; made anew when its priorities change.
    std::unique_ptr<ServiceMetrics> service(const ServiceName&, const std::vector<std::string>& priorities);

    void setSessions(std::size_t);
    void setEndpoint(std::uint32_t running, std::uint32_t limit, const std::vector<std::uint32_t>& queued);
    /// Total since the start.
    void setEndpointStarts(std::uint64_t);
    void addMeasurementTime(Duration processorTime);
    void setConfigurationAge(Duration);
    void setDocumentVersion(const ServiceName&, DocumentVersion);
    void setMembers(std::size_t present, std::size_t known);

    /// Prometheus text format 0.0.4.
    std::string text() const;

private:
    prometheus::Gauge& gauge(const std::string& name, const std::string& help, const std::map<std::string, std::string>& labels = {});

    std::shared_ptr<prometheus::Registry> m_registry;
    prometheus::Counter* m_endpointStarts;
    prometheus::Counter* m_measurementTime;
};

} // namespace Knapweedquay
