#include "coordination/placing/EndpointRecord.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace Knapweedquay {

namespace {

constexpr double errorWeight = 0.1;
/// How much worse an endpoint looks for each failure per answer.
constexpr double errorPenalty = 10;
/// What a call that was given up late counts as: no failure, but an endpoint that never answers must not look well
/// because hedges win against it.
constexpr double lateSample = 0.3;
constexpr double maximumErrorRate = 0.95;
constexpr double usualLoadWeight = 1.0 / 64;
/// Smoothing of the round trip as in RFC 6298.
constexpr int roundTripDivisor = 8;
/// Service times after which a reported load is forgotten in favour of the usual one: calls come and go.
constexpr double reportServiceTimes = 1;
/// Differences of service time up to this factor are taken for noise; following them would send all to the endpoint
/// that happened to look best.
constexpr double serviceTimeNoise = 2;
/// Time constant after which a slow or failing endpoint that nobody calls is worth a new try.
constexpr double memoryMicroseconds = 5000000;
/// Reported failures up to this share are taken for those of the calls, not of the endpoint.
constexpr double failureNoise = 0.2;
constexpr double perThousand = 1000;
/// An outstanding call counts as stalled beyond this multiple of its expected time.
constexpr int stallFactor = 3;
/// Calls over which the time of stalled calls is spread, as if that many had ended as expected.
constexpr double stallCalls = 4;
/// Age beyond which a report no longer tells of overload.
constexpr Duration saturationAge { 500000 };
/// Time constant after which a reported speed gives way to the usual one; neighbours on a machine change several times a
/// second, and a change is reported.
constexpr double slowdownMemoryMicroseconds = 1500000;
constexpr double usualSlowdownWeight = 1.0 / 32;
constexpr double percent = 100;
constexpr double unknownServiceMicroseconds = 5000;
constexpr double smallestRampFactor = 0.1;

double microseconds(Duration duration)
{
    return static_cast<double>(duration.count());
}

double errorSample(CallEnd end)
{
    if (end == CallEnd::Answered)
        return 0;
    return end == CallEnd::Abandoned ? lateSample : 1;
}

/// Calls that wait and are at least as urgent as this priority.
double queuedUpTo(const LoadReport& report, PriorityIndex priority)
{
    const std::size_t lanes = std::min<std::size_t>(report.queued.size(), priority.value() + 1);
    return std::accumulate(report.queued.begin(), report.queued.begin() + static_cast<std::ptrdiff_t>(lanes), 0.0);
}

/// Mean wait before one of `servers` servers, in units of one service time per server (Sakasegawa 1977 for M/M/c).
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
    , m_serviceTimeAt(m_description.announcedAt)
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
    // A refusal says nothing about the backend server; the report that comes with it says why.
    const bool isLate = now - call.sentAt > call.expected * stallFactor;
    if (end == CallEnd::Refused || (end == CallEnd::Abandoned && !isLate))
        return;
    m_errorRate += errorWeight * (errorSample(end) - m_errorRate);
    m_errorRateAt = now;
}

std::size_t EndpointRecord::sentSinceReport() const
{
    if (!m_reportedAt)
        return m_outstanding.size();
    // A call sent from here on was still on its way when the report was written.
    const auto unseenSince = *m_reportedAt - m_roundTrip.value_or(Duration(0));
    std::size_t count = 0;
    for (auto call = m_outstanding.rbegin(); call != m_outstanding.rend() && call->sentAt >= unseenSince; ++call)
        ++count;
    return count;
}

void EndpointRecord::takeReport(const LoadReport& report, TimePoint now)
{
    if (!m_reportedAt || report.completedCalls != m_report.completedCalls)
        m_serviceTimeAt = now;
    if (report.failuresPerThousand != m_report.failuresPerThousand)
        m_failuresChangedAt = now;
    const double load = report.backlog();
    m_usualLoad = m_reportedAt ? m_usualLoad + usualLoadWeight * (load - m_usualLoad) : load;
    m_usualSlowdown += usualSlowdownWeight * (report.slowdownPercent / percent - m_usualSlowdown);
    m_report = report;
    m_reportedAt = now;
}

void EndpointRecord::takeRoundTrip(Duration sample)
{
    m_roundTrip = m_roundTrip ? *m_roundTrip + (sample - *m_roundTrip) / roundTripDivisor : sample;
}

bool EndpointRecord::isSaturated(PriorityIndex priority, TimePoint now) const
{
    if (!m_reportedAt || now - *m_reportedAt > saturationAge)
        return false;
    return m_report.running >= m_report.concurrencyLimit && queuedUpTo(m_report, priority) > 0;
}

double EndpointRecord::expectedErrorRate(TimePoint now) const
{
    const double own = m_errorRate * std::exp(-microseconds(now - m_errorRateAt) / memoryMicroseconds);
    double reported = m_report.failuresPerThousand / perThousand;
    if (reported < failureNoise)
        return own;
    reported *= std::exp(-microseconds(now - m_failuresChangedAt) / memoryMicroseconds);
    return std::max(own, reported);
}

double EndpointRecord::rampFactor(const ServiceDocument& document, TimePoint now) const
{
    if (document.rampTime <= Duration(0) || document.rampCalls == 0)
        return 1;
    const double byTime = microseconds(now - m_description.announcedAt) / microseconds(document.rampTime);
    const double byCalls = static_cast<double>(m_report.completedCalls) / document.rampCalls;
    const double progress = std::clamp(std::max(byTime, byCalls), 0.0, 1.0);
    return smallestRampFactor + (1 - smallestRampFactor) * progress;
}

Duration EndpointRecord::predictedTime(PriorityIndex priority, const FleetView& fleet, const ServiceDocument& document, TimePoint now) const
{
    const double service = serviceMicroseconds(fleet, now);
    const std::uint32_t announced = m_description.slots ? m_description.slots : document.defaultSlots;
    const double limit = m_report.concurrencyLimit ? m_report.concurrencyLimit : announced;
    const double servers = std::max(1.0, limit * rampFactor(document, now));
    const double wait = service / servers * waitFactor(callsAhead(priority, service, limit, now), servers);
    const double time = microseconds(m_roundTrip.value_or(fleet.roundTrip)) + wait + service * kindFactor(priority);
    const double errors = std::min(expectedErrorRate(now), maximumErrorRate);
    return Duration(static_cast<Duration::rep>(time * (1 + errorPenalty * errors / (1 - errors))));
}

double EndpointRecord::kindFactor(PriorityIndex priority) const
{
    const bool isKnown = priority.value() < m_report.serviceTimes.size() && m_report.serviceTimes[priority.value()] > Duration(0) && m_report.serviceTime > Duration(0);
    return isKnown ? microseconds(m_report.serviceTimes[priority.value()]) / microseconds(m_report.serviceTime) : 1;
}

double EndpointRecord::serviceMicroseconds(const FleetView& fleet, TimePoint now) const
{
    const double usual = fleet.serviceTime > Duration(0) ? microseconds(fleet.serviceTime) : unknownServiceMicroseconds;
    double service = m_report.serviceTime > Duration(0) ? microseconds(m_report.serviceTime) : usual;
    if (service < usual * serviceTimeNoise && service > usual / serviceTimeNoise)
        service = usual;
    if (service > usual)
        service = usual + (service - usual) * std::exp(-microseconds(now - m_serviceTimeAt) / memoryMicroseconds);
    return service * slowdown(now) + stallMicroseconds(now);
}

double EndpointRecord::slowdown(TimePoint now) const
{
    if (!m_reportedAt)
        return 1;
    const double reported = m_report.slowdownPercent / percent;
    const double freshness = std::exp(-microseconds(now - *m_reportedAt) / slowdownMemoryMicroseconds);
    return m_usualSlowdown + (reported - m_usualSlowdown) * freshness;
}

double EndpointRecord::stallMicroseconds(TimePoint now) const
{
    double stalled = 0;
    for (const auto& call : m_outstanding) {
        const double excess = microseconds(now - call.sentAt) - stallFactor * microseconds(call.expected);
        if (excess > 0)
            stalled += excess;
    }
    return stalled / stallCalls;
}

double EndpointRecord::callsAhead(PriorityIndex priority, double service, double limit, TimePoint now) const
{
    const auto own = static_cast<double>(m_outstanding.size());
    if (!m_reportedAt)
        return own;
    const double reported = m_report.running + queuedUpTo(m_report, priority);
    // A backlog lasts longer than the calls that run.
    const double memory = reportServiceTimes * service * std::max(1.0, reported / limit);
    const double freshness = std::exp(-microseconds(now - *m_reportedAt) / memory);
    const double load = m_usualLoad + (reported - m_usualLoad) * freshness;
    return std::max(own, load + static_cast<double>(sentSinceReport()));
}

} // namespace Knapweedquay
