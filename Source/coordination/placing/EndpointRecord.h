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

/// What an endpoint announced about itself.
struct EndpointDescription {
    DataCentre dataCentre;
    /// Calls that its backend server runs at once.
    std::uint32_t slots = 0;
    /// When its backend server announced itself, on the clock of this process.
    TimePoint announcedAt;
    bool draining = false;
};

/// How a call that was sent to an endpoint ended, as the sending node saw it.
enum class CallEnd {
    Answered,
    /// The backend server failed, or the endpoint's node could not be reached.
    Failed,
    /// The endpoint's node refused it; it was not run.
    Refused,
    /// No answer came in time.
    Lost,
    /// The sender gave it up for a reason of its own: the caller went away, or another attempt was answered first.
    /// Counts a little against the endpoint when the call was far later than predicted.
    Abandoned,
};

class EndpointRecord;

/// A call that was sent and has not ended. Its owner keeps it until then, also beyond the endpoint's removal.
struct OutstandingCall {
    TimePoint sentAt;
    /// How long it was predicted to take.
    Duration expected { 0 };
    /// Null once the endpoint was removed.
    EndpointRecord* endpoint = nullptr;
    boost::intrusive::list_member_hook<> hook;
};

/// Values that all endpoints of the service share in a prediction.
struct FleetView {
    /// Lower median of the endpoints' service times; zero while unknown.
    Duration serviceTime { 0 };
    /// Round trip to a data centre, where the endpoint itself has not been measured.
    Duration roundTrip { 0 };
};

/// What one node knows about one endpoint: its reports, its own calls to it and how they ended.
///
/// Predicts how long a call would take there. The report is old when it is used, so the own calls sent since are added,
/// and its difference from the endpoint's usual load counts less the older it is. A straggler shows by the age of the
/// calls that are out, before any of them has ended (Prequal, NSDI '24, uses the calls in flight for the same reason).
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
    /// Takes the call out and counts how it ended.
    void endOutstanding(OutstandingCall&, CallEnd, TimePoint now);
    std::size_t outstanding() const { return m_outstanding.size(); }
    /// Own outstanding calls that the last report cannot have counted.
    std::size_t sentSinceReport() const;

    void takeReport(const LoadReport&, TimePoint now);
    const LoadReport& report() const { return m_report; }
    std::optional<TimePoint> reportedAt() const { return m_reportedAt; }
    void takeRoundTrip(Duration);
    std::optional<Duration> roundTrip() const { return m_roundTrip; }

    /// Share of recent own calls that failed or were lost, 0..1.
    double errorRate() const { return m_errorRate; }
    void setErrorRate(double rate) { m_errorRate = rate; }
    /// The greater of the own and the reported share, which fade while nothing new is heard, so that an endpoint that
    /// nobody calls is tried again.
    double expectedErrorRate(TimePoint now) const;

    /// True when a recent report shows that calls of this priority wait there.
    bool isSaturated(PriorityIndex, TimePoint now) const;
    /// Part of its calls that the endpoint is to get while it starts, 0.1..1.
    double rampFactor(const ServiceDocument&, TimePoint now) const;
    /// Time that a call would take: round trip, wait and service, made worse by the error rate.
    Duration predictedTime(PriorityIndex, const FleetView&, const ServiceDocument&, TimePoint now) const;

private:
    using OutstandingList = boost::intrusive::list<OutstandingCall,
        boost::intrusive::member_hook<OutstandingCall, boost::intrusive::list_member_hook<>, &OutstandingCall::hook>>;

    double serviceMicroseconds(const FleetView&, TimePoint now) const;
    /// What a call of this priority takes, of the mean over all.
    double kindFactor(PriorityIndex) const;
    /// How many times as long work takes there now.
    double slowdown(TimePoint now) const;
    double stallMicroseconds(TimePoint now) const;
    /// service in microseconds; limit: calls that run at once.
    double callsAhead(PriorityIndex, double service, double limit, TimePoint now) const;

    EndpointId m_id;
    EndpointDescription m_description;
    /// In the order of sending.
    OutstandingList m_outstanding;
    LoadReport m_report;
    std::optional<TimePoint> m_reportedAt;
    /// When a report last showed that calls were completed.
    TimePoint m_serviceTimeAt;
    std::optional<Duration> m_roundTrip;
    double m_usualLoad = 0;
    double m_usualSlowdown = 1;
    double m_errorRate = 0;
    TimePoint m_errorRateAt;
    TimePoint m_failuresChangedAt;
};

} // namespace Knapweedquay
