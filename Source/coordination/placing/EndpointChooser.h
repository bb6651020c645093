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

/// How an endpoint is chosen. All but Predicted are baselines for measurements.
enum class ChoicePolicy {
    /// Shortest predicted time of a few random endpoints; bad ones are left out for a time.
    Predicted,
    Random,
    RoundRobin,
    /// Least load in the last report, as a share of the slots.
    LeastReportedLoad,
};

struct ChoiceSettings {
    ChoicePolicy policy = ChoicePolicy::Predicted;
    /// Endpoints that Predicted draws and compares. More of them find the best one more often, but send the calls of
    /// many nodes with equally old reports to the same one.
    std::size_t candidates = 4;
    /// Endpoints of a service that this node uses, so that what it must know of them does not grow with the service; 0: all.
    std::size_t subset = 0;
    /// Tells nodes apart, so that their subsets differ.
    std::uint64_t subsetSeed = 0;
    /// What a call to another data centre costs, as a share of the target of its priority: an endpoint there is chosen
    /// when it is better by more.
    double remotePenalty = 0;
};

/// State of one endpoint for metrics and for the choice of probes.
struct EndpointStatus {
    EndpointId id;
    std::size_t outstanding = 0;
    std::size_t sentSinceReport = 0;
    std::optional<TimePoint> reportedAt;
    bool draining = false;
    bool ejected = false;
    double errorRate = 0;
    std::uint32_t slowdownPercent = 100;
    /// For a call of the most urgent priority.
    Duration predictedTime { 0 };
};

/// Chooses the endpoint for each call of one service, at the node that sends it.
///
/// Best of a few random candidates by predicted time: random draws and the own calls sent since the last report keep
/// stale reports from sending everyone to one endpoint (Mitzenmacher, "How useful is old information?", 2000). An
/// endpoint whose calls fail is left out for a time, within the document's bound, and comes back by a trial call.
///
/// For an answer that carries a report, call callFinished() and then report().
class EndpointChooser {
public:
    using RandomEngine = std::mt19937_64;

    EndpointChooser(const ServiceDocument&, DataCentre localDataCentre, ChoiceSettings = {});
    EndpointChooser(const EndpointChooser&) = delete;
    EndpointChooser& operator=(const EndpointChooser&) = delete;
    ~EndpointChooser();

    void setDocument(const ServiceDocument&);

    /// Adds an endpoint or replaces what it announced.
    void update(const EndpointId&, const EndpointDescription&);
    /// Its calls that are out stay known until they end.
    void remove(const EndpointId&);

    void callSent(const EndpointId&, CallTicket, PriorityIndex, TimePoint now);
    /// Unknown tickets are ignored.
    void callFinished(CallTicket, CallEnd, TimePoint now);
    /// True when work has become much slower there since the report before.
    bool report(const EndpointId&, const LoadReport&, TimePoint now);
    /// A round trip to the endpoint's node without any wait in its queue: a heartbeat or a probe.
    void roundTrip(const EndpointId&, Duration);

    /// Nothing when every endpoint is excluded or drains. An ejected endpoint is used when there is no other.
    std::optional<EndpointId> choose(const std::vector<EndpointId>& excluded, PriorityIndex, TimePoint now, RandomEngine&);

    /// True when recent reports show that calls of this priority wait at every endpoint, so that a refusal for overload
    /// is not worth a retry elsewhere.
    bool isFleetOverloaded(PriorityIndex, TimePoint now) const;

    std::vector<EndpointStatus> status(TimePoint now) const;
    /// Of one endpoint, with the time that is predicted for a call of this priority.
    EndpointStatus statusOf(const EndpointId&, PriorityIndex, TimePoint now) const;
    bool isEmpty() const { return m_endpoints.empty(); }

private:
    struct Ejection {
        TimePoint until;
        /// The call that decides whether the endpoint comes back.
        std::optional<CallTicket> trial;
    };
    struct Endpoint {
        Endpoint(const EndpointId& id, const EndpointDescription& description)
            : record(id, description)
        {
        }
        EndpointRecord record;
        std::optional<Ejection> ejection;
        std::uint32_t ejectionCount = 0;
        bool isInSubset = true;
    };
    using Candidates = std::vector<Endpoint*>;

    Endpoint* find(const EndpointId&);
    Endpoint& endpointOf(const EndpointRecord&);
    EndpointStatus makeStatus(const EndpointId&, const Endpoint&, PriorityIndex, TimePoint now) const;
    FleetView fleetView(const EndpointRecord&) const;
    Duration cost(const Endpoint&, PriorityIndex, TimePoint now) const;
    void updateFleetServiceTime();

    Candidates candidates(const std::vector<EndpointId>& excluded, bool ejected) const;
    void updateSubset();
    std::uint64_t subsetRank(const EndpointRecord&) const;
    Endpoint* dueTrial(PriorityIndex, TimePoint now) const;
    Endpoint* choosePredicted(Candidates, PriorityIndex, TimePoint now, RandomEngine&) const;
    Endpoint* chooseLeastLoaded(const Candidates&, RandomEngine&) const;

    void judge(Endpoint&, CallTicket, CallEnd, TimePoint now);
    void eject(Endpoint&, TimePoint now);
    bool looksBad(const Endpoint&) const;
    std::size_t availableCount() const;
    std::size_t ejectedCount() const;
    std::size_t maximumEjected() const;
    void enforceEjectionBound();

    ServiceDocument m_document;
    DataCentre m_localDataCentre;
    ChoiceSettings m_settings;
    std::map<EndpointId, std::unique_ptr<Endpoint>> m_endpoints;
    std::unordered_map<CallTicket, OutstandingCall> m_calls;
    std::map<DataCentre, Duration> m_roundTrips;
    Duration m_fleetServiceTime { 0 };
    std::size_t m_nextInTurn = 0;
};

} // namespace Knapweedquay
