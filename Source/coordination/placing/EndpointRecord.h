#pragma once

#include "coordination/CallTicket.h"
#include "coordination/placing/EndpointId.h"
#include "protocol/LoadReport.h"
#include "protocol/Time.h"
#include "state/ServiceDocument.h"

#include <boost/intrusive/list.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>

namespace Knapweedquay {

/// Properties that an endpoint has announced.
struct EndpointDescription {
    DataCentre dataCentre;
    /// Number of calls that its backend server runs concurrently; 0 means the default of the service document.
    std::uint32_t slots = 0;
    /// Time at which its backend server announced itself, on the clock of this process.
    TimePoint announcedAt;
    bool draining = false;
};

/// How a call to an endpoint ended, as observed by the node that sent it.
enum class CallEnd {
    Answered,
    /// The backend server failed, or the endpoint's node could not be reached.
    Failed,
    /// The endpoint's node refused the call and did not run it.
    Refused,
    /// No response was received in time.
    Lost,
    /// The sender abandoned the call because the caller disconnected or another attempt was answered first. Counts as a
    /// partial failure of the endpoint if the call was much later than predicted.
    Abandoned,
};

class EndpointRecord;

/// A call that was sent and has not ended. Its owner keeps it until it ends, even if the endpoint is removed earlier.
struct OutstandingCall {
    TimePoint sentAt;
    /// Predicted duration at the time of sending.
    Duration predictedDuration { 0 };
    /// The endpoint that the call was sent to; null once the endpoint has been removed.
    EndpointRecord* endpoint = nullptr;
    boost::intrusive::list_member_hook<> hook;
};

/// Values for the service as a whole, used in predictions where an endpoint has no measurement of its own.
struct FleetView {
    /// Lower median of the endpoints' reported service times; zero while unknown.
    Duration serviceTime { 0 };
    /// Round-trip time to the endpoint's data centre.
    Duration roundTrip { 0 };
};

/// One node's statistics about one endpoint: its load reports, this node's calls to it, and how these calls ended.
///
/// Predicts how long a call to the endpoint would take. Because a report is out of date when it is used, this node's
/// calls sent since the report are added, and the difference between the reported load and the endpoint's average load
/// is discounted with the report's age. A straggler is detected by the age of its outstanding calls, before any of them
/// has ended (Prequal, NSDI '24, uses the calls in flight for the same reason).
class EndpointRecord {
public:
    EndpointRecord(EndpointId, EndpointDescription);
    EndpointRecord(const EndpointRecord&) = delete;
    EndpointRecord& operator=(const EndpointRecord&) = delete;
    ~EndpointRecord();

    const EndpointId& id() const { return m_id; }
    const EndpointDescription& description() const { return m_description; }
    void setDescription(const EndpointDescription&);
    bool isDraining() const { return m_description.draining || m_report.draining; }

    void addOutstanding(OutstandingCall&);
    /// Removes the call and updates the error rate by how it ended.
    void endOutstanding(OutstandingCall&, CallEnd, TimePoint now);
    std::size_t outstanding() const { return m_outstanding.size(); }
    /// This node's outstanding calls that the last report cannot include.
    std::size_t sentSinceReport() const;

    void applyReport(const LoadReport&, TimePoint now);
    const LoadReport& report() const { return m_report; }
    std::optional<TimePoint> reportedAt() const { return m_reportedAt; }
    void addRoundTripSample(Duration);
    std::optional<Duration> roundTrip() const { return m_roundTrip; }

    /// Share of this node's recent calls that failed or were lost, 0..1.
    double errorRate() const { return m_errorRate; }
    void setErrorRate(double rate) { m_errorRate = rate; }
    /// The greater of this node's error rate and the reported one. Both decay while they are not updated, so that an
    /// endpoint that receives no calls is eventually tried again.
    double expectedErrorRate(TimePoint now) const;

    /// True when a recent report shows that calls of this priority are queued at the endpoint.
    bool isSaturated(PriorityIndex, TimePoint now) const;
    /// Share of its regular traffic that the endpoint receives during its warm-up, 0.1..1.
    double rampFactor(const ServiceDocument&, TimePoint now) const;
    /// Predicted duration of a call: round trip, queueing and service time, increased with the error rate.
    Duration predictedTime(PriorityIndex, const FleetView&, const ServiceDocument&, TimePoint now) const;

private:
    using OutstandingList = boost::intrusive::list<OutstandingCall,
        boost::intrusive::member_hook<OutstandingCall, boost::intrusive::list_member_hook<>, &OutstandingCall::hook>>;

    /// Expected service time at the endpoint's current speed, including the penalty for stalled calls.
    double serviceMicroseconds(const FleetView&, TimePoint now) const;
    /// Service time of a call of this priority relative to the mean over all priorities.
    double relativeServiceTime(PriorityIndex) const;
    /// Estimated factor by which work currently takes longer than at nominal speed.
    double slowdown(TimePoint now) const;
    /// Number of calls that the endpoint can serve at once: its slots, or fewer if it limits its requests per second.
    double concurrency(double service, const ServiceDocument&, TimePoint now) const;
    /// Penalty for outstanding calls that are much later than predicted.
    double stallPenaltyMicroseconds(TimePoint now) const;
    /// Estimated number of calls in service or queued ahead of a new call of this priority.
    /// service: service time in microseconds
    /// limit: number of calls that the endpoint runs concurrently
    double callsAhead(PriorityIndex, double service, double limit, TimePoint now) const;

    EndpointId m_id;
    EndpointDescription m_description;
    /// Ordered by time of sending.
    OutstandingList m_outstanding;
    LoadReport m_report;
    std::optional<TimePoint> m_reportedAt;
    /// When a report last showed that further calls had been completed.
    TimePoint m_serviceTimeUpdatedAt;
    std::optional<Duration> m_roundTrip;
    /// Moving average of the running and queued calls that the reports show.
    double m_averageLoad = 0;
    /// Moving average of the reported slowdown, as a factor.
    double m_averageSlowdown = 1;
    /// Moving average over this node's calls, 0..1; see errorRate().
    double m_errorRate = 0;
    TimePoint m_errorRateUpdatedAt;
    /// When a report last showed another failure rate than the report before it.
    TimePoint m_failuresChangedAt;
};

} // namespace Knapweedquay
