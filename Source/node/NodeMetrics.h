#pragma once

#include "protocol/Ids.h"
#include "protocol/ProblemDetails.h"
#include "protocol/ResultCode.h"
#include "protocol/Time.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace prometheus {
class Counter;
template <typename T>
class Family;
class Gauge;
class Histogram;
class Registry;
} // namespace prometheus

namespace Knapweedquay {

/// A counter for each result code that occurs; used by one thread.
class CodedCounter {
public:
    CodedCounter(prometheus::Registry&, const char* name, const char* help, std::map<std::string, std::string> labels = {});

    void increment(ResultCode);

private:
    prometheus::Family<prometheus::Counter>& m_family;
    std::map<std::string, std::string> m_labels;
    std::map<ResultCode, prometheus::Counter*> m_counters;
};

/// Metrics of the calls that this node sends to one service, one entry per priority.
class ServiceMetrics {
public:
    ServiceMetrics(prometheus::Registry&, const ServiceName&, const std::vector<std::string>& priorities);

    void callEnded(PriorityIndex, CallOutcomeKind, Duration latency, bool isWithinTarget);
    void attemptSent(bool isHedge);
    /// A call ended without an answer of a backend server.
    void callFailed(ResultCode);
    /// The node beside an endpoint refused an attempt.
    void attemptRefused(ResultCode);
    /// Age of the load report that an endpoint was chosen by; nothing when there was none.
    void endpointChosen(std::optional<Duration> reportAge);
    /// Extra attempts that may be made now.
    void setBudgets(double retries, double hedges);
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
    prometheus::Counter* m_hedges;
    prometheus::Counter* m_chosenWithoutReport;
    CodedCounter m_failedCalls;
    CodedCounter m_refusedAttempts;
    prometheus::Histogram* m_reportAge;
    prometheus::Gauge* m_retriesLeft;
    prometheus::Gauge* m_hedgesLeft;
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
    /// This node refused an attempt for the backend server beside it.
    void attemptRejected(ResultCode);
    void attemptStarted(Duration waited);
    /// A successful run at the backend server.
    void attemptSucceeded(Duration serviceTime);
    /// Totals since the start of what was not written: lines for want of a reader, and stories of requests beyond the bound.
    void setDroppedLines(std::uint64_t unread, std::uint64_t beyondBound);
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
    CodedCounter m_rejections;
    prometheus::Histogram* m_waits;
    prometheus::Histogram* m_serviceTimes;
    prometheus::Counter* m_unreadLines;
    prometheus::Counter* m_boundedLines;
};

} // namespace Knapweedquay
