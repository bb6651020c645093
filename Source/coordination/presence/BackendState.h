#pragma once

#include "protocol/BackendLoad.h"
#include "protocol/HttpMessage.h"
#include "protocol/Time.h"

#include <optional>
#include <string>

namespace Knapweedquay {

/// What the local backend server tells of itself in its responses, and when to ask it again by a health check.
///
/// The speed of its machine changes several times per second, and the responses of a slowed backend server arrive too
/// late to report it. Therefore a backend server is asked whenever no recent response reported its load.
class BackendState {
public:
    /// Names of the headers, and how often to ask.
    struct Settings {
        std::string loadHeader;
        /// Interval between health checks while no response reports the load.
        Duration loadInterval { 40000 };
    };

    explicit BackendState(Settings);

    /// Forgets what an earlier run of the backend server told.
    void reset() { m_loadReportedAt.reset(); }
    /// Applies a response of the backend server. Returns the load that it reports, if any.
    std::optional<BackendLoad> apply(const HttpHeaders&, TimePoint now);
    bool hasReportedLoad() const { return m_loadReportedAt.has_value(); }

    /// Returns whether a health check is due.
    bool isCheckDue(bool isReachable, TimePoint now) const;
    void checkSent(TimePoint now);
    void checkEnded() { m_isCheckPending = false; }

private:
    Settings m_settings;
    /// When the backend server last reported its load; not set if it never did.
    std::optional<TimePoint> m_loadReportedAt;
    /// When the last health check was sent.
    TimePoint m_checkSentAt;
    /// True while a health check has no response.
    bool m_isCheckPending = false;
};

} // namespace Knapweedquay
