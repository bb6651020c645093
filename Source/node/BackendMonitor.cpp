#include "node/BackendMonitor.h"

#include "transport/Logger.h"

#include <algorithm>
#include <utility>

namespace Knapweedquay {

namespace {

/// Timeout of a health check.
/// Answers to health checks carry no id, so they have connections of their own.
constexpr const char* healthPool = "health";
constexpr Duration healthTimeout { 500000 };
/// Only the headers of a health check's response matter. A larger body is cut off, and the connection closed.
constexpr std::size_t maximumHealthBodyBytes = 16 * 1024;
/// Time without a health check after one whose response was too large, so that a server that sends bytes without end costs its
/// node little.
constexpr Duration healthPause { 1000000 };
/// Longest time for which no calls start because the backend server has not responded yet.
constexpr Duration maximumPause { 500000 };
/// Shortest time between two log lines about changes of the limit, and between two about unreadable headers.
constexpr Duration stateLogInterval { 1000000 };
constexpr std::size_t maximumLoggedValueBytes = 64;
constexpr std::uint16_t firstRedirectStatus = 300;
/// Requests of one crash that are logged.
constexpr std::size_t maximumLoggedRequests = 32;

} // namespace

BackendMonitor::BackendMonitor(asio::io_context& context, const CallHeaders& headers, Duration loadInterval, const ColdBound& coldBound, HttpClient& client, NodeMetrics& metrics, Hooks hooks)
    : m_loadInterval(loadInterval)
    , m_client(client)
    , m_metrics(metrics)
    , m_hooks(std::move(hooks))
    , m_state(headers, loadInterval)
    , m_cold(coldBound)
    , m_unreadHeaders({ headers.requestId, headers.notRun, headers.load, headers.requestLimit, headers.leaving, headers.cold })
    , m_healthTimer(context, [this] { checkHealth(); })
    , m_resumeTimer(context, [this] { resumeStarts(); })
{
    m_healthTimer.setAfter(m_loadInterval);
}

void BackendMonitor::setBackend(const LocalBackend& backend)
{
    const bool isNewRun = !m_lastBackend.isSameRun(backend) || (!m_backend && !backend.isRunKnown());
    m_reachability.connectionOpened();
    m_cold.connectionOpened(steadyNow());
    m_backend = backend;
    m_lastBackend = backend;
    if (!isNewRun)
        return;
    ++m_run;
    if (m_crashDetector.runReplaced(steadyNow()))
        reportCrash();
    m_state.reset();
    m_cold.runStarted(m_run == 1, steadyNow());
    updateRate(steadyNow());
    awaitFirstResponse();
}

void BackendMonitor::setQueue(AdmissionQueue& queue)
{
    m_queue = &queue;
    updateRate(steadyNow());
    awaitFirstResponse();
}

void BackendMonitor::setHealthPath(const std::string& path)
{
    if (path == m_healthPath)
        return;
    m_healthPath = path;
    m_cold.setHasHealthChecks(!path.empty());
    updateRate(steadyNow());
    awaitFirstResponse();
}

void BackendMonitor::setCold(Duration coldTime, std::optional<RequestRate> coldRate)
{
    m_cold.setService(coldTime, coldRate, steadyNow());
    updateRate(steadyNow());
}

void BackendMonitor::announcedCold(Duration left)
{
    if (!m_backend)
        return;
    m_cold.announced(left, steadyNow());
    updateRate(steadyNow());
    checkHealth();
}

void BackendMonitor::requestSent(TimePoint now)
{
    m_cold.requestSent(now);
    if (m_queue && m_cold.isBeginning(now))
        updateRate(now);
    if (m_cold.mustAsk(now) && !m_state.isCheckPending())
        checkHealth();
}

void BackendMonitor::configurationProved()
{
    if (!std::exchange(m_isConfigurationProved, true))
        awaitFirstResponse();
}

void BackendMonitor::responseReceived(const HttpResponse& response, std::uint64_t run, TimePoint now)
{
    apply(response, BackendState::ResponseTo::Call, run, now, now);
}

void BackendMonitor::apply(const HttpResponse& response, BackendState::ResponseTo request, std::uint64_t run, TimePoint sentAt, TimePoint now)
{
    if (!m_queue || !m_backend || run != m_run)
        return;
    logUnreadHeaders(response);
    const bool isFirst = !m_state.hasReportedLoad();
    const BackendState::Report report = m_state.apply(response.headers, request, now);
    if (report.load)
        applyLoad(*report.load, isFirst, now);
    if (request == BackendState::ResponseTo::HealthCheck)
        m_cold.checkAnswered(report.coldTime, response.status < firstRedirectStatus, sentAt, now);
    else
        m_cold.callAnswered(report.coldTime, now);
    if (report.hasLimitChanged)
        m_hooks.changed();
    updateRate(now);
    logState(report, now);
    if (report.startsToLeave)
        m_hooks.leaving();
    resumeStarts();
    if (m_state.mustAskForLimit(now) || m_cold.mustAsk(now))
        checkHealth();
}

void BackendMonitor::applyLoad(const BackendLoad& load, bool isFirst, TimePoint now)
{
    if (load.slowdownPercent == m_queue->slowdownPercent() && !isFirst)
        return;
    m_queue->setSlowdown(load.slowdownPercent, now);
    m_hooks.changed();
}

void BackendMonitor::updateRate(TimePoint now)
{
    if (!m_queue)
        return;
    const bool hasChanged = m_cold.apply(*m_queue, m_state.requestLimit(), now);
    logCold(now);
    if (!hasChanged)
        return;
    m_hooks.changed();
    if (!m_cold.paceInForce())
        m_hooks.resumed();
}

void BackendMonitor::logCold(TimePoint now)
{
    const Duration left = m_cold.timeLeft(now);
    const bool isCold = left > Duration::zero();
    if (!m_backend || std::exchange(m_isLoggedCold, isCold) == isCold)
        return;
    constexpr const char* evidence[] = { "none", "announcement", "response", "restart" };
    if (isCold)
        log(LogEvent::BackendCold, { { "instance", m_backend->instance }, { "left_ms", std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(left).count()) }, { "evidence", evidence[static_cast<std::size_t>(m_cold.evidence())] }, { "requests_per_second", std::to_string(m_cold.paceInForce()->value()) } });
    else
        log(LogEvent::BackendWarm, { { "instance", m_lastBackend.instance } });
}

void BackendMonitor::logState(const BackendState::Report& report, TimePoint now)
{
    if (report.hasLimitChanged && now >= m_limitLoggedUntil) {
        m_limitLoggedUntil = now + stateLogInterval;
        const auto& limit = m_state.requestLimit();
        log(LogEvent::BackendLimitChanged, { { "instance", m_backend->instance }, { "requests_per_second", limit ? std::to_string(limit->value()) : "none" } });
    }
    if (!report.unreadable.empty() && now >= m_unreadableLoggedUntil) {
        m_unreadableLoggedUntil = now + stateLogInterval;
        const HttpHeader& header = report.unreadable.front();
        log(LogEvent::BackendStateUnreadable, { { "instance", m_backend->instance }, { "name", header.name }, { "value", header.value.substr(0, maximumLoggedValueBytes) } });
    }
}

void BackendMonitor::awaitFirstResponse()
{
    if (!m_queue || !m_backend || m_state.hasResponded())
        return;
    if (m_isConfigurationProved && m_healthPath.empty())
        return resumeStarts();
    m_queue->setPaused(true);
    m_resumeTimer.setAfter(maximumPause);
    checkHealth();
}

void BackendMonitor::resumeStarts()
{
    if (!m_queue || !m_queue->isPaused())
        return;
    m_queue->setPaused(false);
    m_hooks.resumed();
}

void BackendMonitor::checkHealth()
{
    m_healthTimer.setAfter(m_loadInterval);
    const TimePoint now = steadyNow();
    updateRate(now);
    if (now < m_healthPausedUntil)
        return;
    if (!m_backend || !m_queue || m_healthPath.empty())
        return;
    const bool isDue = m_state.isCheckDue(m_reachability.isReachable(), now) && m_cold.mayAsk(now) && m_queue->allowsRequest(now);
    const bool isUrgent = m_state.mustAskForLimit(now) || (m_cold.mustAsk(now) && !m_state.isCheckPending());
    if (!isDue && !isUrgent)
        return;
    sendHealthCheck(HttpClient::Options().maximumIdle);
}

void BackendMonitor::checkForCrash()
{
    const TimePoint now = steadyNow();
    if (m_backend && m_queue && !m_healthPath.empty() && now >= m_healthPausedUntil && m_queue->allowsRequest(now))
        sendHealthCheck(Duration::zero());
}

void BackendMonitor::sendHealthCheck(Duration maximumIdle)
{
    const TimePoint now = steadyNow();
    m_state.checkSent(now);
    m_cold.checkSent(now);
    m_queue->countRequest(now);
    m_metrics.backendRequestSent(BackendRequestKind::HealthCheck);
    HttpClient::Options options;
    options.timeout = healthTimeout;
    options.maximumIdle = maximumIdle;
    options.maximumBodyBytes = maximumHealthBodyBytes;
    options.pool = healthPool;
    m_client.send(m_backend->address, { "GET", m_healthPath, {}, {} }, options, [this, run = m_run, now](const HttpClient::Outcome& outcome) {
        const TimePoint endedAt = steadyNow();
        m_state.checkEnded();
        if (!outcome.succeeded && outcome.failure.isTooLarge)
            pauseHealthChecks(outcome.failure.error, endedAt);
        requestEnded(outcome, endedAt);
        if (outcome.succeeded)
            apply(outcome.response, BackendState::ResponseTo::HealthCheck, run, now, endedAt);
    });
}

void BackendMonitor::pauseHealthChecks(const Error& error, TimePoint now)
{
    m_healthPausedUntil = now + healthPause;
    log(LogEvent::HealthResponseTooLarge, { { "instance", m_backend ? m_backend->instance : std::string() }, { "detail", error.detail } });
}

void BackendMonitor::requestEnded(const HttpClient::Outcome& outcome, TimePoint now)
{
    const bool wasReachable = m_reachability.isReachable();
    const bool isRefused = !outcome.succeeded && (outcome.failure.isRefused || outcome.failure.error.code == ResultCode::ConnectionFailed);
    if (outcome.succeeded) {
        m_crashDetector.responseReceived(now);
        m_hooks.responded();
    }
    if (outcome.failure.isRefused && m_crashDetector.connectionRefused(now))
        reportCrash();
    if (isRefused)
        m_reachability.connectionRefused(now);
    else if (outcome.succeeded || outcome.failure.mayHaveRun)
        m_reachability.connectionOpened();
    if (outcome.failure.isRefused) {
        m_cold.connectionRefused(now);
        if (m_cold.paceInForce() && m_queue)
            m_queue->forgetRequests(now);
    } else if (m_reachability.isReachable())
        m_cold.connectionOpened(now);
    updateRate(now);
    if (m_reachability.isReachable() == wasReachable)
        return;
    log(isRefused ? LogEvent::BackendUnreachable : LogEvent::BackendReachable, { { "address", m_backend ? m_backend->address : std::string() }, { "detail", outcome.failure.error.detail } });
    m_hooks.changed();
    if (!m_cold.paceInForce())
        return;
    if (isRefused)
        m_hooks.unreachable();
    else
        checkHealth();
}

void BackendMonitor::requestLost(LostRequest request, TimePoint now)
{
    if (m_crashDetector.requestLost(std::move(request), now))
        reportCrash();
}

void BackendMonitor::reportCrash()
{
    const CrashDetector::Crash crash = m_crashDetector.takeCrash();
    if (crash.requests.empty())
        return;
    const std::string instance = m_lastBackend.instance;
    if (std::exchange(m_reportedCrash, crash.number) != crash.number) {
        m_metrics.backendCrashed();
        log(LogEvent::BackendCrashed, { { "instance", instance }, { "address", m_lastBackend.address }, { "crash", std::to_string(crash.number) }, { "requests", std::to_string(crash.requests.size()) } });
    }
    for (std::size_t index = 0; index < std::min(crash.requests.size(), maximumLoggedRequests); ++index) {
        const LostRequest& request = crash.requests[index];
        log(LogEvent::RequestLostInCrash, { { "instance", instance }, { "crash", std::to_string(crash.number) }, { "request", request.requestId }, { "digest", toText(request.digest) }, { "target", request.target.substr(0, maximumLoggedValueBytes) }, { "ran_us", std::to_string(request.ran.count()) } });
    }
    m_hooks.crashed(crash);
}

void BackendMonitor::logUnreadHeaders(const HttpResponse& response)
{
    for (const std::string& name : m_unreadHeaders.add(response.headers))
        log(LogEvent::ResponseHeaderUnread, { { "name", name }, { "instance", m_backend ? m_backend->instance : std::string() } });
}

} // namespace Knapweedquay
