#include "coordination/presence/BackendState.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace Knapweedquay {

namespace {

/// Interval between health checks of a backend server that does not report its load.
constexpr Duration unreportedLoadInterval { 1000000 };
/// Health checks of a backend server that limits its requests take at most this share of them.
constexpr double checkShareOfLimit = 0.25;
/// Limits of the interval between these health checks.
constexpr Duration minimumLimitedInterval { 250000 };
constexpr Duration maximumLimitedInterval { 10000000 };
/// A limit that no response has named for this long ends with any response that names none.
constexpr Duration unconfirmedLimitTime { 15000000 };
constexpr double microsecondsPerSecond = 1e6;
constexpr double microsecondsPerMillisecond = 1e3;
/// A longer time is an error of the backend server.
constexpr double maximumColdMilliseconds = 3600e3;
constexpr std::string_view leavingValue = "1";

/// Values of all headers with this name. Values that an intermediary has joined with commas count as several (RFC 9110,
/// 5.3).
std::vector<std::string> headerValues(const HttpHeaders& headers, const std::string& name)
{
    std::vector<std::string> values;
    for (const HttpHeader& header : headers) {
        if (!equalHeaderNames(header.name, name))
            continue;
        std::size_t start = 0;
        for (std::size_t comma = 0; comma != std::string::npos; start = comma + 1) {
            comma = header.value.find(',', start);
            values.push_back(header.value.substr(start, comma == std::string::npos ? comma : comma - start));
        }
    }
    return values;
}

Duration limitedCheckInterval(RequestRate limit)
{
    const double interval = microsecondsPerSecond / (checkShareOfLimit * limit.value());
    if (!(interval < static_cast<double>(maximumLimitedInterval.count())))
        return maximumLimitedInterval;
    return std::max(minimumLimitedInterval, Duration(static_cast<Duration::rep>(interval)));
}

} // namespace

BackendState::BackendState(const CallHeaders& headers, Duration loadInterval)
    : m_headers(headers)
    , m_loadInterval(loadInterval)
{
}

void BackendState::reset()
{
    m_loadReportedAt.reset();
    m_respondedAt.reset();
    m_requestLimit.reset();
    m_hasNamedLimit.fill(false);
    m_hasAskedForLimit = false;
    m_hasCheckedLimit = false;
    m_isLeaving = false;
}

BackendState::Report BackendState::apply(const HttpHeaders& headers, ResponseTo request, TimePoint now)
{
    Report report;
    m_respondedAt = now;
    if (const std::string* text = findHeader(headers, m_headers.load))
        report.load = parseBackendLoad(*text);
    if (report.load)
        m_loadReportedAt = now;
    applyLimit(headers, request, now, report);
    applyLeaving(headers, report);
    readColdTime(headers, report);
    return report;
}

void BackendState::applyLimit(const HttpHeaders& headers, ResponseTo request, TimePoint now, Report& report)
{
    const std::optional<RequestRate> before = m_requestLimit;
    const auto values = headerValues(headers, m_headers.requestLimit);
    bool& hasNamedLimit = m_hasNamedLimit[static_cast<std::size_t>(request)];
    std::optional<RequestRate> lowest;
    for (const std::string& value : values) {
        const auto rate = parseRequestRate(value);
        if (!rate)
            report.unreadable.push_back({ m_headers.requestLimit, value });
        else if (!lowest || *rate < *lowest)
            lowest = rate;
    }
    if (lowest) {
        hasNamedLimit = true;
        m_limitNamedAt = now;
        m_requestLimit = lowest->value() < unlimitedRequestsPerSecond ? lowest : std::nullopt;
    } else if (values.empty() && (hasNamedLimit || now - m_limitNamedAt > unconfirmedLimitTime)) {
        m_requestLimit.reset();
    }
    report.hasLimitChanged = m_requestLimit != before;
    m_hasAskedForLimit = m_requestLimit && m_hasAskedForLimit;
    m_hasCheckedLimit = m_requestLimit && (m_hasCheckedLimit || (request == ResponseTo::HealthCheck && (lowest || m_hasAskedForLimit)));
}

void BackendState::applyLeaving(const HttpHeaders& headers, Report& report)
{
    for (const std::string& value : headerValues(headers, m_headers.leaving)) {
        if (value == leavingValue)
            report.startsToLeave = report.startsToLeave || !std::exchange(m_isLeaving, true);
        else
            report.unreadable.push_back({ m_headers.leaving, value });
    }
}

void BackendState::readColdTime(const HttpHeaders& headers, Report& report) const
{
    for (const std::string& value : headerValues(headers, m_headers.cold)) {
        const auto milliseconds = parseDecimal(value);
        if (!milliseconds || *milliseconds > maximumColdMilliseconds) {
            report.unreadable.push_back({ m_headers.cold, value });
            continue;
        }
        const Duration time(static_cast<Duration::rep>(*milliseconds * microsecondsPerMillisecond));
        report.coldTime = std::max(report.coldTime.value_or(time), time);
    }
}

bool BackendState::isLimitedCheckDue(TimePoint now) const
{
    if (!m_hasCheckedLimit)
        return now - m_checkSentAt >= minimumLimitedInterval;
    return now - std::max(m_checkSentAt, m_respondedAt.value_or(TimePoint::min())) >= limitedCheckInterval(*m_requestLimit);
}

bool BackendState::mustAskForLimit(TimePoint now) const
{
    if (m_isCheckPending || !m_requestLimit || m_hasCheckedLimit)
        return false;
    return !m_hasAskedForLimit || now - m_checkSentAt >= limitedCheckInterval(*m_requestLimit);
}

bool BackendState::isCheckDue(bool isReachable, TimePoint now) const
{
    if (m_isCheckPending)
        return false;
    if (m_requestLimit)
        return isLimitedCheckDue(now);
    const TimePoint reportedAt = m_loadReportedAt.value_or(TimePoint::min());
    const bool isUnreported = isReachable && m_checkSentAt > reportedAt;
    const Duration interval = isUnreported ? unreportedLoadInterval : m_loadInterval;
    return now - std::max(m_checkSentAt, reportedAt) >= interval;
}

void BackendState::checkSent(TimePoint now)
{
    m_isCheckPending = true;
    m_checkSentAt = now;
    m_hasAskedForLimit = m_requestLimit.has_value();
}

} // namespace Knapweedquay
