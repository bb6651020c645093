#include "coordination/admission/RequestRateLimit.h"

#include <algorithm>

namespace Knapweedquay {

namespace {

constexpr double microsecondsPerSecond = 1e6;
/// Longest time by which a request may be early.
constexpr Duration tolerance { 300000 };

} // namespace

double RequestRateLimit::mostRequests(RequestRate rate, Duration time)
{
    return std::max(rate.value(), minimumRate) * static_cast<double>((time + tolerance).count()) / microsecondsPerSecond + 1;
}

double RequestRateLimit::requestsPerSecond() const
{
    return std::max(m_rate.value_or(RequestRate(0)).value(), minimumRate);
}

Duration RequestRateLimit::interval() const
{
    return Duration(static_cast<Duration::rep>(microsecondsPerSecond / requestsPerSecond()));
}

TimePoint RequestRateLimit::allowedAt() const
{
    return m_nextDue - std::max(Duration(0), tolerance - interval());
}

void RequestRateLimit::setRate(std::optional<RequestRate> rate, TimePoint now)
{
    if (rate == m_rate)
        return;
    const double before = m_rate ? requestsPerSecond() : 0;
    m_rate = rate;
    if (!m_rate)
        return;
    const double untilDue = before > 0 ? static_cast<double>((m_nextDue - now).count()) : 0;
    m_nextDue = now + Duration(static_cast<Duration::rep>(std::max(0.0, untilDue) * before / requestsPerSecond()));
}

void RequestRateLimit::count(TimePoint now)
{
    if (m_rate)
        m_nextDue = std::max(m_nextDue, now) + interval();
}

} // namespace Knapweedquay
