#include "coordination/admission/ColdPace.h"

#include "coordination/admission/RequestRateLimit.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace Knapweedquay {

namespace {

/// The bound holds for any time of this length.
constexpr Duration boundWindow = std::chrono::seconds(1);
/// Requests that stay unused in each such time, for those that are sent in one and arrive in the next.
constexpr double margin = 2;
/// Share of the requests that a proof of warmth is good for, from which on the next one is asked for.
constexpr double askShare = 0.75;
/// Interval between health checks of a paced server that are not urgent.
constexpr Duration pacedCheckInterval = std::chrono::seconds(1);
/// An announcement that agrees up to this with what is known is no news. Announcements are repeated, and told a little late.
constexpr Duration announcementTolerance = std::chrono::milliseconds(250);
constexpr double microsecondsPerSecond = 1e6;

} // namespace

ColdPace::ColdPace(ColdBound bound)
    : m_bound(bound)
{
}

void ColdPace::setService(Duration coldTime, std::optional<RequestRate> coldRate, TimePoint now)
{
    const bool isNew = coldRate && !m_rate;
    if (m_evidence == Evidence::Restart && coldTime != m_coldTime)
        m_coldUntil = m_coldSetAt + coldTime;
    m_coldTime = coldTime;
    m_rate = coldRate;
    if (isNew && !isCold(now))
        m_isProvenWarm = false;
    if (!m_rate)
        m_unproven.clear();
}

void ColdPace::presumeCold(TimePoint doubtSince, TimePoint now)
{
    m_isProvenWarm = false;
    m_mustConfirm = true;
    setCold(m_coldTime, Evidence::Restart, now);
    m_coldSetAt = doubtSince;
}

void ColdPace::runStarted(bool isFirst, TimePoint now)
{
    m_isUnreachable = false;
    m_isProvenWarm = false;
    m_mustConfirm = true;
    m_coldUntil = now;
    m_coldSetAt = now;
    m_evidence = Evidence::None;
    if (!isFirst)
        presumeCold(now, now);
}

void ColdPace::announced(Duration left, TimePoint now)
{
    if (left <= Duration::zero() || now + left <= m_coldUntil + announcementTolerance)
        return;
    m_isProvenWarm = false;
    m_mustConfirm = true;
    setCold(left, Evidence::Announcement, now);
}

void ColdPace::connectionRefused(TimePoint now)
{
    m_refusedAt = now;
    m_isUnreachable = true;
    m_isProvenWarm = false;
    m_mustConfirm = true;
    m_unproven.clear();
}

void ColdPace::connectionOpened(TimePoint now)
{
    if (std::exchange(m_isUnreachable, false))
        presumeCold(m_refusedAt, now);
}

void ColdPace::setCold(Duration left, Evidence evidence, TimePoint now)
{
    m_coldUntil = now + left;
    m_coldSetAt = now;
    m_evidence = evidence;
}

void ColdPace::requestSent(TimePoint now)
{
    if (!m_rate)
        return;
    while (!m_unproven.empty() && m_unproven.front().sentAt <= now - boundWindow)
        m_unproven.pop_front();
    m_unproven.push_back({ now, isCold(now) });
    if (m_hasHealthChecks && static_cast<double>(m_unproven.size()) >= maximumUnproven())
        m_isProvenWarm = false;
}

void ColdPace::checkSent(TimePoint now)
{
    m_askedAt = now;
    requestSent(now);
}

void ColdPace::callAnswered(std::optional<Duration> left, TimePoint now)
{
    if (!left || *left <= Duration::zero() || now + *left <= m_coldUntil)
        return;
    toldCold(*left, now);
}

void ColdPace::toldCold(Duration left, TimePoint now)
{
    m_isProvenWarm = false;
    setCold(left, Evidence::Response, now);
    for (Request& request : m_unproven)
        request.wasCold = true;
}

void ColdPace::checkAnswered(std::optional<Duration> left, bool isSuccess, TimePoint sentAt, TimePoint now)
{
    m_tellsInChecks = m_tellsInChecks || left;
    const bool isNewer = sentAt >= m_coldSetAt;
    if (!left && isSuccess && m_tellsInChecks)
        left = Duration::zero();
    if (isNewer)
        m_mustConfirm = false;
    if (left && *left > Duration::zero()) {
        if (isNewer || now + *left > m_coldUntil)
            toldCold(*left, now);
        return;
    }
    if (!isNewer)
        return;
    if (left)
        setCold(Duration::zero(), Evidence::None, now);
    m_isProvenWarm = true;
    const auto isProven = [&](const Request& request) { return request.sentAt <= sentAt && !request.wasCold; };
    m_unproven.erase(std::remove_if(m_unproven.begin(), m_unproven.end(), isProven), m_unproven.end());
}

bool ColdPace::mustAsk(TimePoint now) const
{
    if (!m_rate || !m_hasHealthChecks)
        return false;
    if (m_mustConfirm)
        return true;
    return !isCold(now) && (!m_isProvenWarm || static_cast<double>(unprovenRequests(now)) >= askShare * maximumUnproven());
}

bool ColdPace::mayAsk(TimePoint now) const
{
    return m_isUnreachable || !isPaced(now) || now - m_askedAt >= pacedCheckInterval;
}

bool ColdPace::apply(AdmissionQueue& queue, const std::optional<RequestRate>& limit, TimePoint now)
{
    const std::optional<RequestRate> pace = rate(now);
    const std::optional<RequestRate> lower = pace && limit ? std::min(*pace, *limit) : (pace ? pace : limit);
    if (std::exchange(m_rateInForce, lower) != lower)
        queue.setRequestRate(lower, now);
    const std::optional<RequestRate> before = std::exchange(m_paceInForce, pace);
    if (pace && !before)
        queue.delayRequests(now + delay(now));
    return pace != before;
}

std::optional<RequestRate> ColdPace::rate(TimePoint now) const
{
    return isPaced(now) ? m_rate : std::nullopt;
}

Duration ColdPace::delay(TimePoint now) const
{
    if (!m_rate)
        return Duration::zero();
    const double excess = static_cast<double>(unprovenRequests(now)) - unpacedRequests();
    const double untilDue = std::max(excess, 0.0) * microsecondsPerSecond / std::max(m_rate->value(), RequestRateLimit::minimumRate);
    return Duration(static_cast<Duration::rep>(std::min(untilDue, static_cast<double>(boundWindow.count()))));
}

Duration ColdPace::timeLeft(TimePoint now) const
{
    return m_rate ? std::max(m_coldUntil - now, Duration::zero()) : Duration::zero();
}

bool ColdPace::isPaced(TimePoint now) const
{
    return isCold(now) || m_isUnreachable || (m_hasHealthChecks && !m_isProvenWarm);
}

std::size_t ColdPace::unprovenRequests(TimePoint now) const
{
    const auto isOld = [&](const Request& request) { return request.sentAt <= now - boundWindow; };
    return static_cast<std::size_t>(m_unproven.end() - std::find_if_not(m_unproven.begin(), m_unproven.end(), isOld));
}

double ColdPace::unpacedRequests() const
{
    const double bound = m_rate->value() * m_bound.overage + m_bound.slack;
    return std::max(bound - margin - RequestRateLimit::mostRequests(*m_rate, boundWindow), 0.0);
}

double ColdPace::maximumUnproven() const
{
    const double bound = m_rate->value() * m_bound.overage + m_bound.slack;
    return std::max(bound - margin - RequestRateLimit::mostRequests(*m_rate, Duration::zero()), 1.0);
}

} // namespace Knapweedquay
