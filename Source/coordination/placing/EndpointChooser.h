#pragma once

#include "coordination/placing/EndpointRecord.h"

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <unordered_map>
#include <vector>

namespace Knapweedquay {

/// Policy that selects the endpoint of a call. All policies but Predicted are baselines for benchmarks.
enum class ChoicePolicy {
    /// Shortest predicted time among a few randomly drawn endpoints; failing endpoints are ejected temporarily.
    Predicted,
    Random,
    RoundRobin,
    /// Smallest load in the last report, relative to the endpoint's slots.
    LeastReportedLoad,
};

/// Parameters of an EndpointChooser.
struct ChoiceSettings {
    ChoicePolicy policy = ChoicePolicy::Predicted;
    /// Number of endpoints that Predicted draws and compares. A larger number finds the best endpoint more often, but
    /// makes nodes with equally old reports send their calls to the same endpoint.
    std::size_t candidates = 4;
    /// Number of endpoints of a service that this node uses, which bounds its state per service; 0 means all.
    std::size_t subset = 0;
    /// Seed of the subset selection. Differs between nodes, so that their subsets differ.
    std::uint64_t subsetSeed = 0;
    /// Penalty added to the predicted time of an endpoint in another data centre, as a share of the target of the
    /// call's priority.
    double remotePenalty = 0;
};

/// State of one endpoint, for metrics and for the selection of endpoints to probe.
struct EndpointStatus {
    EndpointId id;
    /// Calls of this node to the endpoint that have not ended.
    std::size_t outstanding = 0;
    /// Outstanding calls that the last report cannot include.
    std::size_t sentSinceReport = 0;
    /// Time of receipt of the last report; unset before the first one.
    std::optional<TimePoint> reportedAt;
    /// It gets no calls: its node announced that it drains, or last reported that it takes none.
    bool draining = false;
    /// The drain was announced, so that only another announcement ends it.
    bool isDrainAnnounced = false;
    bool ejected = false;
    /// Share of this node's recent calls to the endpoint that failed or were lost, 0..1.
    double errorRate = 0;
    /// Reported time that work takes, in percent of the time at nominal speed.
    std::uint32_t slowdownPercent = 100;
    /// Reported limit of its requests per second; not set when there is none.
    std::optional<RequestRate> requestRate;
    /// Predicted time of a call: status() gives it for the most urgent priority, statusOf() for the priority asked for.
    Duration predictedTime { 0 };
};

/// Selects the endpoint for each call of one service, at the node that sends the call.
///
/// Compares the predicted times of a few randomly drawn candidates. The random draw, and counting this node's calls
/// sent since the last report, prevent herding on one endpoint because of stale reports (Mitzenmacher, "How useful is
/// old information?", 2000). An endpoint whose calls fail is ejected for a limited time, within the bound in the
/// service document, and is readmitted when a trial call succeeds.
///
/// When a response carries a report, call callFinished() before applyReport().
class EndpointChooser {
public:
    using RandomEngine = std::mt19937_64;

    EndpointChooser(const ServiceDocument&, DataCentre localDataCentre, ChoiceSettings = {});
    EndpointChooser(const EndpointChooser&) = delete;
    EndpointChooser& operator=(const EndpointChooser&) = delete;
    ~EndpointChooser();

    void setDocument(const ServiceDocument&);

    /// Adds an endpoint, or replaces the description of a known one.
    void update(const EndpointId&, const EndpointDescription&);
    /// Removes an endpoint. Its outstanding calls are kept until they end.
    void remove(const EndpointId&);

    /// Registers a call that was sent. Unknown endpoints and tickets already registered are ignored.
    void callSent(const EndpointId&, CallTicket, PriorityIndex, TimePoint now);
    /// Registers how a call ended. Unknown tickets are ignored.
    void callFinished(CallTicket, CallEnd, TimePoint now);
    /// Applies a load report. Returns true when the reported slowdown has more than doubled since the previous report.
    bool applyReport(const EndpointId&, const LoadReport&, TimePoint now);
    /// Applies a round-trip time to the endpoint's node that includes no queueing, such as that of a heartbeat or a
    /// probe.
    void addRoundTripSample(const EndpointId&, Duration);

    /// Selects an endpoint; nothing when every endpoint is excluded or draining. Endpoints outside the subset are used when it
    /// has none left, or for a further attempt when all of it is saturated. Apart from trial calls, ejected endpoints are used
    /// only when no other endpoint is eligible.
    std::optional<EndpointId> choose(const std::vector<EndpointId>& excluded, PriorityIndex, TimePoint now, RandomEngine&);

    /// True when recent reports show that calls of this priority are queued at every eligible endpoint, so that
    /// retrying a call refused for overload at another endpoint is not worthwhile.
    bool isFleetOverloaded(PriorityIndex, TimePoint now) const;

    /// Status of all endpoints, with the time predicted for a call of the most urgent priority.
    std::vector<EndpointStatus> status(TimePoint now) const;
    /// Status of the endpoints whose load this node should know: those of the subset, and those that reported a drain, which
    /// may return. Probes of others would open a link to every endpoint of a large service.
    std::vector<EndpointStatus> probeCandidates(TimePoint now) const;
    /// Status of one endpoint, with the time predicted for a call of this priority; a default one if it is unknown.
    EndpointStatus statusOf(const EndpointId&, PriorityIndex, TimePoint now) const;
    bool isEmpty() const { return m_endpoints.empty(); }

private:
    /// The temporary exclusion of an endpoint whose calls failed.
    struct Ejection {
        /// Earliest time of a trial call.
        TimePoint until;
        /// The outstanding trial call, whose result decides whether the endpoint is readmitted.
        std::optional<CallTicket> trial;
    };
    /// An endpoint of the service, with the state that the selection keeps about it.
    struct Endpoint {
        Endpoint(const EndpointId& id, const EndpointDescription& description)
            : record(id, description)
        {
        }
        EndpointRecord record;
        /// Empty while the endpoint is not ejected.
        std::optional<Ejection> ejection;
        /// Consecutive ejections, for the exponential increase of their duration.
        std::uint32_t ejectionCount = 0;
        /// Always true when the settings select no subset.
        bool isInSubset = true;
    };
    using Candidates = std::vector<Endpoint*>;

    Endpoint* find(const EndpointId&);
    Endpoint& endpointOf(const EndpointRecord&);
    EndpointStatus makeStatus(const EndpointId&, const Endpoint&, PriorityIndex, TimePoint now) const;
    FleetView fleetView(const EndpointRecord&) const;
    /// Predicted time plus the penalty for another data centre.
    Duration cost(const Endpoint&, PriorityIndex, TimePoint now) const;
    void updateFleetServiceTime();

    /// Groups of endpoints, none of which are draining.
    enum class Pool {
        /// Those of the subset that are not ejected.
        Subset,
        /// All that are not ejected.
        All,
        Ejected
    };
    Candidates candidates(const std::vector<EndpointId>& excluded, Pool) const;
    /// While few endpoints have reported to this node, keeps most calls at those that have, if one of them can answer in time.
    /// The others are known by hearsay: after a start of all nodes at once, their links are not open, and some may not be up.
    void preferProven(Candidates&, PriorityIndex, TimePoint now, RandomEngine&) const;
    /// Selects the subset by rendezvous hashing, so that adding or removing one endpoint changes at most one member.
    /// A third of the members are in other data centres if there are enough endpoints of both kinds.
    void updateSubset();
    std::uint64_t subsetRank(const EndpointRecord&) const;
    /// An ejected endpoint whose trial call is due; null when there is none.
    Endpoint* dueTrial(PriorityIndex, TimePoint now) const;
    Endpoint* choosePredicted(Candidates, PriorityIndex, TimePoint now, RandomEngine&) const;
    Endpoint* chooseLeastLoaded(const Candidates&, RandomEngine&) const;

    /// Ejects or readmits an endpoint according to how a call ended.
    void updateEjection(Endpoint&, CallTicket, CallEnd, TimePoint now);
    void eject(Endpoint&, TimePoint now);
    /// True when the endpoint's error rate is high and more than twice the mean of the others.
    bool isErrorRateOutlier(const Endpoint&) const;
    /// Endpoints that are not draining, ejected ones included.
    std::size_t availableCount() const;
    /// Ejected endpoints that are not draining.
    std::size_t ejectedCount() const;
    std::size_t maximumEjected() const;
    /// Readmits the ejected endpoints with the lowest error rates until the bound in the service document holds.
    void enforceEjectionBound();

    ServiceDocument m_document;
    DataCentre m_localDataCentre;
    ChoiceSettings m_settings;
    std::map<EndpointId, std::unique_ptr<Endpoint>> m_endpoints;
    /// Outstanding calls, including those to endpoints that have been removed.
    std::unordered_map<CallTicket, OutstandingCall> m_calls;
    /// Smoothed round-trip times by data centre.
    std::map<DataCentre, Duration> m_roundTrips;
    /// Lower median of the endpoints' reported service times; zero while unknown.
    Duration m_fleetServiceTime { 0 };
    std::size_t m_roundRobinIndex = 0;
};

} // namespace Knapweedquay
