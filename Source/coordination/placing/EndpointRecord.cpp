#include "coordination/placing/EndpointRecord.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace Knapweedquay {

namespace {

/// Weight of a new sample in the moving average of the error rate.
constexpr double errorWeight = 0.1;
/// Relative increase of the predicted time for each expected failure per successful call.
constexpr double errorPenalty = 10;
/// Error sample of a call abandoned after it became late. It is no full failure, but an endpoint that never answers
/// must not keep a low error rate because its calls are abandoned when hedges succeed elsewhere.
constexpr double lateAbandonSample = 0.3;
/// Bounds the predicted time, which would be infinite for an error rate of 1.
constexpr double maximumErrorRate = 0.95;
/// Weight of a new report in the moving average of the load.
constexpr double averageLoadWeight = 1.0 / 64;
/// Smoothing of the round-trip time as in RFC 6298.
constexpr int roundTripDivisor = 8;
/// Time constant, in service times, with which a reported load decays to the average load, because running calls end
/// and others start.
constexpr double reportDecayServiceTimes = 1;
/// Service times within this factor of the fleet's median are treated as equal to it. Following such noise would send
/// all calls to the endpoint with the smallest sample.
constexpr double serviceTimeNoise = 2;
/// Time constant of the decay of a high service time or error rate, so that an endpoint that receives no calls is tried
/// again.
constexpr double decayMicroseconds = 5000000;
/// Reported failure rates below this share are attributed to the calls rather than to the endpoint.
constexpr double failureNoise = 0.2;
constexpr double perThousand = 1000;
/// An outstanding call counts as stalled beyond this multiple of its predicted duration.
constexpr int stallFactor = 3;
/// Number of calls over which the excess time of stalled calls is averaged, as if that many had ended as predicted.
constexpr double stallAveragingCalls = 4;
/// Age beyond which a report is no evidence of overload.
constexpr Duration maximumSaturationReportAge { 500000 };
/// Time constant with which a reported slowdown decays to the average one. The load of other processes on a machine
/// changes several times a second, and each change is reported.
constexpr double slowdownDecayMicroseconds = 1500000;
/// Weight of a new report in the moving average of the slowdown.
constexpr double averageSlowdownWeight = 1.0 / 32;
constexpr double percent = 100;
constexpr double microsecondsPerSecond = 1e6;
/// Bounds the predicted time at an endpoint that takes hardly any requests.
constexpr double minimumConcurrency = 0.001;
/// Service time assumed while no endpoint of the service has reported one.
constexpr double unknownServiceMicroseconds = 5000;
/// Share of its regular traffic that an endpoint receives at the start of its warm-up.
constexpr double minimumRampFactor = 0.1;

double microseconds(Duration duration)
{
    return static_cast<double>(duration.count());
}

double errorSample(CallEnd end)
{
    if (end == CallEnd::Answered)
        return 0;
    return end == CallEnd::Abandoned ? lateAbandonSample : 1;
}

/// Number of queued calls that are at least as urgent as this priority.
double queuedUpTo(const LoadReport& report, PriorityIndex priority)
{
    const std::size_t lanes = std::min<std::size_t>(report.queued.size(), priority.value() + 1);
    return std::accumulate(report.queued.begin(), report.queued.begin() + static_cast<std::ptrdiff_t>(lanes), 0.0);
}

/// Mean waiting time in a queue with the given number of servers, in units of the service time divided by that number
/// (Sakasegawa's approximation for M/M/c, 1977).
double waitFactor(double callsAhead, double servers)
{
    const double utilisation = callsAhead / servers;
    if (utilisation >= 1)
        return callsAhead + 1 - servers;
    return std::pow(utilisation, std::sqrt(2 * (servers + 1)) - 1);
}

} // namespace

EndpointRecord::EndpointRecord(EndpointId id, EndpointDescription description)
    : m_id(std::move(id))
    , m_description(std::move(description))
    , m_serviceTimeUpdatedAt(m_description.announcedAt)
{
}

EndpointRecord::~EndpointRecord()
{
    m_outstanding.clear_and_dispose([](OutstandingCall* call) { call->endpoint = nullptr; });
}

void EndpointRecord::setDescription(const EndpointDescription& description)
{
    m_description = description;
}

void EndpointRecord::addOutstanding(OutstandingCall& call)
{
    call.endpoint = this;
    m_outstanding.push_back(call);
}

void EndpointRecord::endOutstanding(OutstandingCall& call, CallEnd end, TimePoint now)
{
    m_outstanding.erase(m_outstanding.iterator_to(call));
    call.endpoint = nullptr;
    // A refusal is no evidence about the backend server; the report sent with it carries the reason.
    const bool isLate = now - call.sentAt > call.predictedDuration * stallFactor;
    if (end == CallEnd::Refused || (end == CallEnd::Abandoned && !isLate))
        return;
    m_errorRate += errorWeight * (errorSample(end) - m_errorRate);
    m_errorRateUpdatedAt = now;
}

std::size_t EndpointRecord::sentSinceReport() const
{
    if (!m_reportedAt)
        return m_outstanding.size();
    // Calls sent since then had not arrived when the report was written.
    const auto notReportedSince = *m_reportedAt - m_roundTrip.value_or(Duration(0));
    std::size_t count = 0;
    for (auto call = m_outstanding.rbegin(); call != m_outstanding.rend() && call->sentAt >= notReportedSince; ++call)
        ++count;
    return count;
}

void EndpointRecord::applyReport(const LoadReport& report, TimePoint now)
{
    if (!m_reportedAt || report.completedCalls != m_report.completedCalls)
        m_serviceTimeUpdatedAt = now;
    if (report.failuresPerThousand != m_report.failuresPerThousand)
        m_failuresChangedAt = now;
    const double load = report.backlog();
    m_averageLoad = m_reportedAt ? m_averageLoad + averageLoadWeight * (load - m_averageLoad) : load;
    m_averageSlowdown += averageSlowdownWeight * (report.slowdownPercent / percent - m_averageSlowdown);
    m_report = report;
    m_reportedAt = now;
}

void EndpointRecord::addRoundTripSample(Duration sample)
{
    m_roundTrip = m_roundTrip ? *m_roundTrip + (sample - *m_roundTrip) / roundTripDivisor : sample;
}

bool EndpointRecord::isSaturated(PriorityIndex priority, TimePoint now) const
{
    if (!m_reportedAt || now - *m_reportedAt > maximumSaturationReportAge)
        return false;
    return (m_report.requestRate || m_report.running >= m_report.concurrencyLimit) && queuedUpTo(m_report, priority) > 0;
}

double EndpointRecord::expectedErrorRate(TimePoint now) const
{
    const double own = m_errorRate * std::exp(-microseconds(now - m_errorRateUpdatedAt) / decayMicroseconds);
    double reported = m_report.failuresPerThousand / perThousand;
    if (reported < failureNoise)
        return own;
    reported *= std::exp(-microseconds(now - m_failuresChangedAt) / decayMicroseconds);
    return std::max(own, reported);
}

double EndpointRecord::rampFactor(const ServiceDocument& document, TimePoint now) const
{
    if (document.rampTime <= Duration(0) || document.rampCalls == 0)
        return 1;
    const double byTime = microseconds(now - m_description.announcedAt) / microseconds(document.rampTime);
    const double byCalls = static_cast<double>(m_report.completedCalls) / document.rampCalls;
    const double progress = std::clamp(std::max(byTime, byCalls), 0.0, 1.0);
    return minimumRampFactor + (1 - minimumRampFactor) * progress;
}

Duration EndpointRecord::predictedTime(PriorityIndex priority, const FleetView& fleet, const ServiceDocument& document, TimePoint now) const
{
    const double service = serviceMicroseconds(fleet, now);
    const double limit = concurrency(service, document, now);
    const double servers = m_report.requestRate ? limit : std::max(1.0, limit * rampFactor(document, now));
    const double wait = service / servers * waitFactor(callsAhead(priority, service, limit, now), servers);
    const double time = microseconds(m_roundTrip.value_or(fleet.roundTrip)) + wait + service * relativeServiceTime(priority);
    const double errors = std::min(expectedErrorRate(now), maximumErrorRate);
    return Duration(static_cast<Duration::rep>(time * (1 + errorPenalty * errors / (1 - errors))));
}

double EndpointRecord::concurrency(double service, const ServiceDocument& document, TimePoint now) const
{
    const std::uint32_t announced = m_description.slots ? m_description.slots : document.defaultSlots;
    const double slots = m_report.concurrencyLimit ? m_report.concurrencyLimit : announced;
    if (!m_report.requestRate)
        return slots;
    // Little's law: at its rate, the endpoint has this many calls in service on average.
    const double atRate = m_report.requestRate->value() * service / microsecondsPerSecond;
    return std::clamp(atRate, minimumConcurrency, std::max(1.0, slots * rampFactor(document, now)));
}

double EndpointRecord::relativeServiceTime(PriorityIndex priority) const
{
    const bool hasServiceTimes = priority.value() < m_report.serviceTimes.size() && m_report.serviceTimes[priority.value()] > Duration(0) && m_report.serviceTime > Duration(0);
    return hasServiceTimes ? microseconds(m_report.serviceTimes[priority.value()]) / microseconds(m_report.serviceTime) : 1;
}

double EndpointRecord::serviceMicroseconds(const FleetView& fleet, TimePoint now) const
{
    const double fleetMedian = fleet.serviceTime > Duration(0) ? microseconds(fleet.serviceTime) : unknownServiceMicroseconds;
    double service = m_report.serviceTime > Duration(0) ? microseconds(m_report.serviceTime) : fleetMedian;
    if (service < fleetMedian * serviceTimeNoise && service > fleetMedian / serviceTimeNoise)
        service = fleetMedian;
    if (service > fleetMedian)
        service = fleetMedian + (service - fleetMedian) * std::exp(-microseconds(now - m_serviceTimeUpdatedAt) / decayMicroseconds);
    return service * slowdown(now) + stallPenaltyMicroseconds(now);
}

double EndpointRecord::slowdown(TimePoint now) const
{
    if (!m_reportedAt)
        return 1;
    const double reported = m_report.slowdownPercent / percent;
    const double reportWeight = std::exp(-microseconds(now - *m_reportedAt) / slowdownDecayMicroseconds);
    return m_averageSlowdown + (reported - m_averageSlowdown) * reportWeight;
}

double EndpointRecord::stallPenaltyMicroseconds(TimePoint now) const
{
    double stalled = 0;
    for (const auto& call : m_outstanding) {
        const double excess = microseconds(now - call.sentAt) - stallFactor * microseconds(call.predictedDuration);
        if (excess > 0)
            stalled += excess;
    }
    return stalled / stallAveragingCalls;
}

double EndpointRecord::callsAhead(PriorityIndex priority, double service, double limit, TimePoint now) const
{
    const auto own = static_cast<double>(m_outstanding.size());
    if (!m_reportedAt)
        return own;
    const double reported = m_report.running + queuedUpTo(m_report, priority);
    // A backlog takes longer to change than the set of running calls.
    const double decayTime = reportDecayServiceTimes * service * std::max(1.0, reported / limit);
    const double reportWeight = std::exp(-microseconds(now - *m_reportedAt) / decayTime);
    const double load = m_averageLoad + (reported - m_averageLoad) * reportWeight;
    return std::max(own, load + static_cast<double>(sentSinceReport()));
}

} // namespace Knapweedquay
