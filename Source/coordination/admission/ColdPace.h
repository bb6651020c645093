#pragma once

#include "coordination/admission/AdmissionQueue.h"
#include "protocol/RequestRate.h"
#include "protocol/Time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

namespace Knapweedquay {

/// Requests that a cold backend server bears in any one second: its rate, with this share more, and the slack.
struct ColdBound {
    double overage = 1.5;
    double slack = 5;
};

/// Decides whether the local backend server gets its requests at the rate that it bears while it is cold.
///
/// Answers the load of a fleet on servers that have just come back, or lost their caches: all nodes send their share at once to
/// a server that falls over at a fraction of it. Only the node beside the server sees all that it gets, so the pace is kept
/// there, and it holds whatever other nodes know.
///
/// A server may turn cold without a word at any moment, so its warmth is a lease: a health response that tells it is good for a
/// number of requests small enough for a cold server to bear. Before they are spent the next health check is due, and
/// beyond them the server is taken for cold until one is answered. Requests sent since the last proof of warmth count
/// against the bound when a pace begins. A run that is new, or reachable again, has no proof.
///
/// Without health checks the announcements decide, and a new run is cold for the time that its service states.
class ColdPace {
public:
    /// Why the backend server is held to be cold.
    enum class Evidence : std::uint8_t {
        None,
        /// It announced so.
        Announcement,
        /// It told so in a response.
        Response,
        /// It has started, or accepts connections again, and has not told that it is warm.
        Restart,
    };

    explicit ColdPace(ColdBound);

    /// Sets what the configuration says of the service; without a rate nothing is paced.
    void setService(Duration coldTime, std::optional<RequestRate> coldRate, TimePoint now);
    /// Sets whether the backend server answers health checks.
    void setHasHealthChecks(bool hasHealthChecks) { m_hasHealthChecks = hasHealthChecks; }

    /// Handles that another run was announced. isFirst: this process has just started, and the server may have run before.
    void runStarted(bool isFirst, TimePoint now);
    /// Handles an announcement that the backend server stays cold for this time. Announcements may be seconds late.
    void announced(Duration left, TimePoint now);
    /// Handles a refused connection: what was sent lately did not arrive, or at a run that has ended.
    void connectionRefused(TimePoint now);
    /// Handles an open connection; only the first one after a refused one matters.
    void connectionOpened(TimePoint now);

    void requestSent(TimePoint now);
    /// Counts a health check, also as a request.
    void checkSent(TimePoint now);
    /// Handles a response to a call. left: what it tells of the time for which the server stays cold.
    void callAnswered(std::optional<Duration> left, TimePoint now);
    /// Handles a response to a health check that was sent at that time.
    void checkAnswered(std::optional<Duration> left, bool isSuccess, TimePoint sentAt, TimePoint now);

    /// True if a health check must be sent even if it delays calls.
    bool mustAsk(TimePoint now) const;
    /// False if a health check that is not urgent would take too much of the rate.
    bool mayAsk(TimePoint now) const;

    /// Limits the queue to the lower one of the pace and the limit that the server names itself. Call it after any of the above
    /// and at short intervals. Returns whether the pace began, changed or ended.
    bool apply(AdmissionQueue&, const std::optional<RequestRate>& limit, TimePoint now);
    /// Rate of the pace that apply() found last.
    const std::optional<RequestRate>& paceInForce() const { return m_paceInForce; }
    /// Returns whether apply() would begin a pace.
    bool isBeginning(TimePoint now) const { return !m_paceInForce && rate(now); }
    /// Time for which the server is held to be cold, which a health response may cut short.
    Duration timeLeft(TimePoint now) const;
    Evidence evidence() const { return m_evidence; }

private:
    struct Request {
        TimePoint sentAt;
        /// True if the server is known to have been cold.
        bool wasCold = false;
    };

    bool isCold(TimePoint now) const { return now < m_coldUntil; }
    bool isPaced(TimePoint now) const;
    /// Rate at which requests may be sent now; not set while there is no pace.
    std::optional<RequestRate> rate(TimePoint now) const;
    /// Time for which no request may be sent if the pace begins now.
    Duration delay(TimePoint now) const;
    void setCold(Duration left, Evidence, TimePoint now);
    /// Handles that the server told so itself.
    void toldCold(Duration left, TimePoint now);
    /// doubtSince: a health check that was sent after it tells of the present state.
    void presumeCold(TimePoint doubtSince, TimePoint now);
    /// Requests of the last second of which the server did not prove that it received them while it was warm.
    std::size_t unprovenRequests(TimePoint now) const;
    /// Requests that a server which turned cold without a word bears in a second beside those that the pace allows.
    double unpacedRequests() const;
    /// Requests beyond which the server is taken for cold.
    double maximumUnproven() const;

    ColdBound m_bound;
    Duration m_coldTime { 0 };
    std::optional<RequestRate> m_rate;
    bool m_hasHealthChecks = false;
    TimePoint m_coldUntil;
    /// When that time was last set.
    TimePoint m_coldSetAt;
    Evidence m_evidence = Evidence::None;
    bool m_isUnreachable = false;
    TimePoint m_refusedAt;
    /// True once a health response told that the server is warm, until there is reason for doubt.
    bool m_isProvenWarm = false;
    /// True if a health check must confirm what was announced or presumed.
    bool m_mustConfirm = false;
    /// True once a health response has told how long the server stays cold, so that one without a word tells that it is warm.
    bool m_tellsInChecks = false;
    /// When the last health check was sent.
    TimePoint m_askedAt;
    /// Requests of the last second, without those that the server proved to have received while it was warm.
    std::deque<Request> m_unproven;
    std::optional<RequestRate> m_paceInForce;
    /// Limit that the queue has.
    std::optional<RequestRate> m_rateInForce;
};

} // namespace Knapweedquay
