#pragma once

#include "coordination/stopping/PendingWork.h"
#include "node/DocumentSender.h"
#include "coordination/admission/BodyBudget.h"
#include "node/PeerTraffic.h"
#include "protocol/Ids.h"
#include "protocol/LoadReport.h"
#include "protocol/ProblemDetails.h"
#include "protocol/ResultCode.h"
#include "protocol/Time.h"

#include <array>
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

/// One counter per result code, created when the code first occurs. Not thread-safe.
class ResultCodeCounter {
public:
    ResultCodeCounter(prometheus::Registry&, const char* name, const char* help, std::map<std::string, std::string> labels = {});

    void increment(ResultCode);

private:
    prometheus::Family<prometheus::Counter>& m_family;
    std::map<std::string, std::string> m_labels;
    std::map<ResultCode, prometheus::Counter*> m_counters;
};

/// Metrics of the calls that this node sends to one service; outcomes and latencies are counted by priority.
class ServiceMetrics {
public:
    ServiceMetrics(prometheus::Registry&, const ServiceName&, const std::vector<std::string>& priorities);

    void callEnded(PriorityIndex, CallOutcomeKind, Duration latency, bool isWithinTarget);
    void attemptSent(bool isHedge);
    /// Counts a call that ended without an answer from a backend server.
    void callFailed(ResultCode);
    /// Counts an attempt that an endpoint's node refused.
    void attemptRefused(ResultCode);
    /// Records the age of the load report that the choice of an endpoint was based on; not set if there was none.
    void endpointChosen(std::optional<Duration> reportAge);
    /// Sets the numbers of retries and hedges that the budgets allow now.
    void setBudgets(double retries, double hedges);
    /// Sets the totals of the measurement budget since the start of the process.
    void setMeasurement(std::uint64_t probes, std::uint64_t refusedProbes, std::uint64_t bytes);

private:
    /// Counters and latency of the calls of one priority.
    struct PerPriority {
        prometheus::Counter* answered = nullptr;
        prometheus::Counter* notRun = nullptr;
        prometheus::Counter* unknown = nullptr;
        prometheus::Counter* withinTarget = nullptr;
        prometheus::Histogram* latency = nullptr;
    };

    /// By priority index.
    std::vector<PerPriority> m_priorities;
    prometheus::Counter* m_attempts;
    prometheus::Counter* m_hedges;
    prometheus::Counter* m_chosenWithoutReport;
    ResultCodeCounter m_failedCalls;
    ResultCodeCounter m_refusedAttempts;
    prometheus::Histogram* m_reportAge;
    prometheus::Gauge* m_retriesLeft;
    prometheus::Gauge* m_hedgesLeft;
    prometheus::Counter* m_probes;
    prometheus::Counter* m_refusedProbes;
    prometheus::Counter* m_measurementBytes;
};

/// Why a request was sent to the local backend server.
enum class BackendRequestKind {
    /// First attempt of a call.
    Call,
    /// Attempt that repeats an earlier one, or belongs to a call that a repeated request made.
    Repeat,
    /// Idempotent request sent once more because its pooled connection had ended.
    Resent,
    HealthCheck,
};

/// What determined the service of a call.
enum class CallResolution {
    Route,
    /// The request named the service in its target.
    Target,
};

/// All metrics of a node process; docs/METRICS.md lists them.
///
/// Counters and gauges may be set by any thread; the text is generated on the control thread.
class NodeMetrics {
public:
    /// Bytes of one kind that were sent to other nodes.
    struct SentBytes {
        const char* kind;
        std::uint64_t sameDataCentre;
        std::uint64_t otherDataCentres;
    };

    NodeMetrics();
    ~NodeMetrics();

    /// Creates the metrics of one service; called again when its priorities change.
    std::unique_ptr<ServiceMetrics> service(const ServiceName&, const std::vector<std::string>& priorities);

    /// Sets the number of callers' calls in progress.
    void setSessions(std::size_t);
    /// Sets what this node holds for callers and for other nodes.
    void setPendingWork(const PendingWork&);
    /// Sets the bytes of bodies that are reserved in a budget, for the kind "requests" or "responses".
    void setBodies(const char* kind, const BodyBudget&);
    /// Sets what is known of the local backend server's load, and the attempts that wait for it.
    void setEndpoint(const LoadReport&);
    /// Sets the time for which the local backend server is held to be cold.
    void setEndpointCold(Duration left);
    /// Sets the total number of attempts started since the start of the process.
    void setEndpointStarts(std::uint64_t);
    /// Counts a request to the local backend server.
    void backendRequestSent(BackendRequestKind);
    /// Counts a caller's request that was refused when it arrived.
    void callerRefused(ResultCode);
    /// Counts a caller's request that was accepted.
    void callResolved(CallResolution);
    /// Counts an attempt for the local backend server that this node refused.
    void attemptRejected(ResultCode);
    /// Records the time from the admission of an attempt to its start.
    void backendCrashed();
    /// Counts a refused call or attempt of a held request.
    void requestHeld();
    /// Sets the number of held requests.
    void setQuarantined(std::size_t);
    /// Counts a request to the control store for credit of quotas.
    void quotaRequested();
    void quotaGranted(std::uint64_t credit);
    /// Counts a call that was refused for the quota of its workspace.
    void quotaRefused(ResultCode);
    void attemptStarted(Duration waited);
    /// Records the service time of an attempt that the backend server answered successfully.
    void attemptSucceeded(Duration serviceTime);
    /// Sets the totals of log lines dropped since the start of the process: unread, because the reader of the log was
    /// too slow; rateLimited, because traces exceeded their rate limit.
    void setDroppedLines(std::uint64_t unread, std::uint64_t rateLimited);
    /// Counts bytes sent to another node.
    void addPeerBytes(PeerTraffic, bool isSameDataCentre, std::size_t bytes);
    /// Bytes sent to other nodes since the start of the process, by kind.
    std::vector<SentBytes> sentBytes() const;
    /// Sets the number of links that this node opened to other nodes.
    void setLinks(std::size_t);
    /// Adds processor time spent on sending and receiving probes.
    void addMeasurementTime(Duration processorTime);
    /// Sets the time since the documents in force were last proved recent.
    void setConfigurationAge(Duration);
    void setDocumentVersion(const ServiceName&, DocumentVersion);
    /// Sets the bytes of documents received since the start of the process.
    void setDocumentBytes(const DocumentBytes&);
    /// Sets whether operators have emptied the data centre of this node.
    void setDataCentreEmptied(bool isEmptied);
    void setMembers(std::size_t present, std::size_t known);

    /// Returns all metrics in the Prometheus text format 0.0.4.
    std::string text() const;

private:
    prometheus::Gauge& gauge(const std::string& name, const std::string& help, const std::map<std::string, std::string>& labels = {});

    /// Owns the metrics that the pointers below refer to.
    std::shared_ptr<prometheus::Registry> m_registry;
    prometheus::Counter* m_endpointStarts;
    prometheus::Counter* m_backendCrashes;
    prometheus::Counter* m_quarantineRefusals;
    prometheus::Gauge* m_quarantined;
    /// By BackendRequestKind.
    std::array<prometheus::Counter*, 4> m_backendRequests;
    /// By CallResolution.
    std::array<prometheus::Counter*, 2> m_resolvedCalls;
    /// By PeerTraffic; the first of each pair counts bytes to the same data centre, the second those to others.
    std::array<std::array<prometheus::Counter*, 2>, peerTrafficKinds> m_peerBytes;
    prometheus::Counter* m_measurementTime;
    ResultCodeCounter m_rejections;
    ResultCodeCounter m_refusedCallers;
    prometheus::Counter* m_quotaRequests;
    prometheus::Counter* m_quotaCredit;
    ResultCodeCounter m_quotaRefusals;
    prometheus::Histogram* m_waits;
    prometheus::Histogram* m_serviceTimes;
    prometheus::Counter* m_unreadLines;
    prometheus::Counter* m_rateLimitedLines;
};

} // namespace Knapweedquay
