#pragma once

#include "protocol/BackendLoad.h"
#include "protocol/CallHeaders.h"
#include "protocol/HttpMessage.h"
#include "protocol/RequestRate.h"
#include "protocol/Time.h"

#include <array>
#include <optional>
#include <string>
#include <vector>

namespace Knapweedquay {

/// What the local backend server tells of itself in its responses, and when to ask it again by a health check.
///
/// The speed of its machine changes several times per second, and the responses of a slowed backend server arrive too
/// late to report it. Therefore a backend server is asked whenever no recent response reported its load. One that limits
/// its requests is asked rarely, and only if it has not responded to a call.
class BackendState {
public:
    /// The request that a response answers.
    enum class ResponseTo {
        Call,
        HealthCheck,
    };

    /// What a response told.
    struct Report {
        std::optional<BackendLoad> load;
        /// True if the limit of requests per second was set, changed or ended.
        bool hasLimitChanged = false;
        /// Time for which the backend server stays cold; not set if it told none.
        std::optional<Duration> coldTime;
        /// True for the first response that tells that the backend server leaves.
        bool startsToLeave = false;
        /// Headers whose values have no meaning and were ignored.
        HttpHeaders unreadable;
    };

    /// loadInterval: interval between health checks while no response reports the load.
    BackendState(const CallHeaders&, Duration loadInterval);

    /// Forgets what an earlier run of the backend server told.
    void reset();
    /// Applies a response of the backend server.
    ///
    /// A limit ends with a response that names none, if a response to the same kind of request named one before or the
    /// limit was not named for 15 seconds. A value that is no decimal number is ignored; the lowest of several values
    /// counts. The leaving never ends.
    Report apply(const HttpHeaders&, ResponseTo, TimePoint now);
    bool hasReportedLoad() const { return m_loadReportedAt.has_value(); }
    /// True once the present run has responded.
    bool hasResponded() const { return m_respondedAt.has_value(); }
    /// Requests per second that the backend server takes; not set when it names no limit.
    const std::optional<RequestRate>& requestLimit() const { return m_requestLimit; }
    bool isLeaving() const { return m_isLeaving; }
    /// True while a health check has no response.
    bool isCheckPending() const { return m_isCheckPending; }

    /// Returns whether a health check is due.
    bool isCheckDue(bool isReachable, TimePoint now) const;
    /// Returns whether a health check must be sent although calls take all that the limit allows: none was answered since the
    /// limit was first named. Only a health check that is known to name the limit can tell its end once no calls come.
    bool mustAskForLimit(TimePoint now) const;
    void checkSent(TimePoint now);
    void checkEnded() { m_isCheckPending = false; }

private:
    void applyLimit(const HttpHeaders&, ResponseTo, TimePoint now, Report&);
    void applyLeaving(const HttpHeaders&, Report&);
    void readColdTime(const HttpHeaders&, Report&) const;
    bool isLimitedCheckDue(TimePoint now) const;

    CallHeaders m_headers;
    Duration m_loadInterval;
    /// When the backend server last reported its load; not set if it never did.
    std::optional<TimePoint> m_loadReportedAt;
    /// When the backend server last responded.
    std::optional<TimePoint> m_respondedAt;
    std::optional<RequestRate> m_requestLimit;
    /// When a response last named a limit.
    TimePoint m_limitNamedAt;
    /// By ResponseTo, whether such a response has named a limit.
    std::array<bool, 2> m_hasNamedLimit { false, false };
    bool m_isLeaving = false;
    /// When the last health check was sent.
    TimePoint m_checkSentAt;
    /// True once a health check was sent since the limit was first named.
    bool m_hasAskedForLimit = false;
    /// True once such a health check was answered, or any that named the limit, so that it is known whether responses to
    /// health checks name it.
    bool m_hasCheckedLimit = false;
    /// True while a health check has no response.
    bool m_isCheckPending = false;
};

} // namespace Knapweedquay
