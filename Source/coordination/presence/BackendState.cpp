#include "coordination/presence/BackendState.h"

#include <algorithm>
#include <utility>

namespace Knapweedquay {

namespace {

/// Interval between health checks of a backend server that does not report its load.
constexpr Duration unreportedLoadInterval { 1000000 };

} // namespace

BackendState::BackendState(Settings settings)
    : m_settings(std::move(settings))
{
}

std::optional<BackendLoad> BackendState::apply(const HttpHeaders& headers, TimePoint now)
{
    const std::string* text = findHeader(headers, m_settings.loadHeader);
    const auto load = text ? parseBackendLoad(*text) : std::nullopt;
    if (load)
        m_loadReportedAt = now;
    return load;
}

bool BackendState::isCheckDue(bool isReachable, TimePoint now) const
{
    const TimePoint reportedAt = m_loadReportedAt.value_or(TimePoint::min());
    const bool isUnreported = isReachable && m_checkSentAt > reportedAt;
    const Duration interval = isUnreported ? unreportedLoadInterval : m_settings.loadInterval;
    return !m_isCheckPending && now - std::max(m_checkSentAt, reportedAt) >= interval;
}

void BackendState::checkSent(TimePoint now)
{
    m_isCheckPending = true;
    m_checkSentAt = now;
}

} // namespace Knapweedquay
