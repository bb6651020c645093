#include "node/EndpointRunner.h"

#include "protocol/BackendLoad.h"
#include "protocol/ProblemDetails.h"
#include "transport/Logger.h"

#include <algorithm>
#include <utility>

namespace Knapweedquay {

namespace {

// An answer that comes within this time also says that the attempt arrived, and saves a message.
constexpr Duration confirmAfter { 20000 };
constexpr Duration expiryInterval { 1000000 };
constexpr std::size_t maximumJobBytes = 32 * 1024 * 1024;
constexpr Duration drainRetryAfter { 200000 };
/// About the time in which a backend server that is full finishes a call.
constexpr Duration backendRetryAfter { 100000 };
/// Backend servers end idle connections after some seconds, and a request that meets the end is lost. One that must
/// not be repeated takes only a connection that was used just now.
constexpr Duration maximumIdleRepeatable { 4000000 };
constexpr Duration maximumIdleOnce { 400000 };
/// A backend server that does not tell its load is asked rarely.
constexpr Duration unansweredLoadInterval { 1000000 };
constexpr Duration loadTimeout { 500000 };
constexpr std::uint16_t statusMisdirected = 421;
constexpr std::uint16_t statusServiceUnavailable = 503;
constexpr std::uint16_t firstServerErrorStatus = 500;

BackendOutcome outcomeOf(std::uint16_t status)
{
    if (status == statusServiceUnavailable)
        return BackendOutcome::Shed;
    return status >= firstServerErrorStatus ? BackendOutcome::Failed : BackendOutcome::Succeeded;
}

} // namespace

EndpointRunner::EndpointRunner(asio::io_context& context, NodeIdentity self, Settings settings, HttpClient& client, ReplyHook reply, NodeMetrics& metrics)
    : m_self(std::move(self))
    , m_settings(std::move(settings))
    , m_client(client)
    , m_reply(std::move(reply))
    , m_metrics(metrics)
    , m_fates(m_self.incarnation)
    , m_trails(m_settings.trails)
    , m_loadTimer(context, [this] { askLoad(); })
    , m_queueTimer(context, [this] { startDueJobs(); })
    , m_confirmTimer(context, [this] { confirmLongJobs(); })
    , m_expiryTimer(context, [this] { expire(); })
{
    m_loadTimer.setAfter(m_settings.loadInterval);
    m_confirmTimer.setAfter(confirmAfter);
    m_expiryTimer.setAfter(expiryInterval);
}

void EndpointRunner::setBackend(const LocalBackend& backend)
{
    const bool isOtherService = m_backend && m_backend->service != backend.service;
    if (m_backend && m_backend->instance != backend.instance)
        m_client.forget(m_backend->address);
    if (!m_backend || m_backend->instance != backend.instance)
        m_loadToldAt.reset();
    m_reachability.connectionOpened();
    m_backend = backend;
    if (isOtherService)
        m_document.reset();
    if (m_queue)
        m_queue->setBackend(backend.slots > 0 ? std::optional(backend.slots) : std::nullopt);
}

void EndpointRunner::removeBackend()
{
    if (m_backend)
        m_client.forget(m_backend->address);
    m_backend.reset();
}

void EndpointRunner::setDocument(const ServiceDocument& document)
{
    if (!m_backend || m_backend->service != document.service)
        return;
    m_document = document;
    if (m_queue)
        m_queue->setDocument(document);
    else
        m_queue = std::make_unique<AdmissionQueue>(document, m_backend->slots > 0 ? std::optional(m_backend->slots) : std::nullopt);
}

void EndpointRunner::drain()
{
    m_isDraining = true;
    if (!m_queue)
        return;
    m_queue->drain(steadyNow());
    startDueJobs();
}

void EndpointRunner::undrain()
{
    if (std::exchange(m_isDraining, false) && m_queue)
        m_queue->resume();
}

LoadReport EndpointRunner::loadReport() const
{
    LoadReport report = m_queue ? m_queue->report() : LoadReport();
    report.draining = report.draining || m_isDraining || !m_backend || !m_reachability.isReachable();
    return report;
}

void EndpointRunner::receive(const CallRequestMessage& message, ConnectionId connection)
{
    m_received = &message;
    m_receivedOver = connection;
    perform(m_fates.receive({ message.attempt, message.targetIncarnation, message.isResend, connection, message.isIdempotent }, steadyNow()));
    m_received = nullptr;
    startDueJobs();
}

void EndpointRunner::cancel(const CallCancelMessage& message, ConnectionId connection)
{
    perform(m_fates.cancel(message.attempt, message.targetIncarnation, connection, steadyNow()));
    startDueJobs();
}

void EndpointRunner::probe(const ProbeMessage& message, ConnectionId connection)
{
    m_reply(connection, ProbeAnswerMessage { message.sequence, message.service, loadReport() });
}

void EndpointRunner::perform(const FateActions& actions)
{
    for (const FateAction& action : actions)
        std::visit([this](const auto& typed) { perform(typed); }, action);
}

std::optional<Refusal> EndpointRunner::reasonNotToAdmit(const Job& job) const
{
    if (!m_backend || m_backend->service != job.message.service)
        return Refusal { ResultCode::Draining, drainRetryAfter };
    if (!m_queue)
        return Refusal { ResultCode::StaleConfiguration, drainRetryAfter };
    if (!m_reachability.mayTry(steadyNow()))
        return Refusal { ResultCode::PeerUnreachable, drainRetryAfter };
    if (m_isDraining)
        return Refusal { ResultCode::Draining, drainRetryAfter };
    if (job.message.remaining <= Duration::zero())
        return Refusal { ResultCode::DeadlineExpired };
    if (m_jobBytes + job.message.request.body.size() > maximumJobBytes)
        return Refusal { ResultCode::Overloaded, drainRetryAfter };
    return std::nullopt;
}

void EndpointRunner::perform(const AdmitAttempt& action)
{
    const TimePoint now = steadyNow();
    const JobPtr job = std::make_shared<Job>();
    job->ticket = CallTicket(++m_lastTicket);
    job->message = *m_received;
    if (const std::string* id = findHeader(m_received->request.headers, m_settings.headers.requestId))
        job->requestId = *id;
    job->connection = m_receivedOver;
    job->deadline = now + m_received->remaining;
    job->admittedAt = now;
    if (const auto refusal = reasonNotToAdmit(*job)) {
        noteRejection(*job, *refusal, now);
        perform(m_fates.refuse(action.attempt, *refusal, now));
        return;
    }
    const AdmissionDecision decision = m_queue->offer(job->ticket, job->message.priority, job->deadline, now, now + job->message.targetRemaining);
    if (decision.kind == AdmissionKind::Refused) {
        const Refusal refusal { decision.code, decision.retryAfter };
        noteRejection(*job, refusal, now);
        perform(m_fates.refuse(action.attempt, refusal, now));
        return;
    }
    const std::int64_t timeLeft = m_received->remaining.count();
    const std::int64_t targetLeft = m_received->targetRemaining.count();
    job->trail.add(LogEvent::AttemptAdmitted, now, action.attempt.node, { decision.kind == AdmissionKind::Started, timeLeft, targetLeft, m_queue->slowdownPercent() });
    addJob(job);
    m_unconfirmed.emplace_back(action.attempt, now + confirmAfter);
    if (decision.kind == AdmissionKind::Started)
        start(*job);
}

void EndpointRunner::perform(const RemoveFromQueue& action)
{
    const auto entry = m_jobs.find(action.attempt);
    if (entry == m_jobs.end())
        return;
    const JobPtr job = entry->second;
    m_queue->cancel(job->ticket);
    removeJob(*job);
}

void EndpointRunner::perform(const AbortRunning& action)
{
    const auto entry = m_jobs.find(action.attempt);
    if (entry == m_jobs.end())
        return;
    const JobPtr job = entry->second;
    // Cancelled in time, it lost against another attempt; later, its caller may have got no answer.
    const TimePoint now = steadyNow();
    const bool isLate = job->targetLeft(now) < Duration::zero();
    endTrail(*job, LogEvent::AttemptEnded, { 0, static_cast<std::int64_t>(ResultCode::CancelledBeforeStart), (now - job->startedAt).count(), m_queue->slowdownPercent() }, isLate);
    m_client.cancel(job->request);
    finish(job, BackendOutcome::Abandoned);
    perform(m_fates.recordUnknownOutcome(action.attempt, ResultCode::OutcomeUnknown, steadyNow()));
}

void EndpointRunner::perform(const SendInProgress& action)
{
    const auto entry = m_jobs.find(action.attempt);
    if (entry != m_jobs.end())
        entry->second->connection = action.connection;
    m_reply(action.connection, CallAcceptedMessage { action.attempt, loadReport() });
}

void EndpointRunner::perform(const SendAnswer& action)
{
    ++m_counters.answered;
    m_reply(action.connection, CallAnswerMessage { action.attempt, loadReport(), *action.answer });
}

void EndpointRunner::perform(const SendRefusal& action)
{
    ++m_counters.refused;
    const Refusal& refusal = action.refusal;
    m_reply(action.connection, CallRefusalMessage { action.attempt, loadReport(), refusal.code, refusal.retryAfter, refusal.isFleetWide });
}

void EndpointRunner::perform(const SendUnknown& action)
{
    ++m_counters.unknown;
    m_reply(action.connection, CallUnknownMessage { action.attempt, loadReport(), action.code });
}

void EndpointRunner::perform(const SendCancelResult& action)
{
    m_reply(action.connection, CallCancelledMessage { action.attempt, action.result });
}

void EndpointRunner::addJob(const JobPtr& job)
{
    m_jobs.emplace(job->message.attempt, job);
    m_jobsByTicket.emplace(job->ticket, job);
    m_jobBytes += job->message.request.body.size();
}

void EndpointRunner::removeJob(const Job& job)
{
    m_jobBytes -= job.message.request.body.size();
    m_jobsByTicket.erase(job.ticket);
    m_jobs.erase(job.message.attempt);
}

void EndpointRunner::startDueJobs()
{
    if (!m_queue)
        return;
    const TimePoint now = steadyNow();
    const StartableCalls calls = m_queue->takeStartable(now);
    for (const GivenUpCall& call : calls.givenUp) {
        const JobPtr job = m_jobsByTicket.at(call.ticket);
        noteRejection(*job, { call.code, call.retryAfter }, now);
        removeJob(*job);
        perform(m_fates.refuse(job->message.attempt, { call.code, call.retryAfter }, now));
    }
    for (const CallTicket& ticket : calls.started)
        start(*m_jobsByTicket.at(ticket));
    if (const auto next = m_queue->nextTimer())
        m_queueTimer.setAt(*next);
    else
        m_queueTimer.clear();
    loadChanged();
}

void EndpointRunner::start(Job& job)
{
    const JobPtr kept = m_jobsByTicket.at(job.ticket);
    if (!m_fates.tryStart(job.message.attempt) || !m_backend) {
        finish(kept, BackendOutcome::Abandoned);
        perform(m_fates.refuse(job.message.attempt, { ResultCode::Draining, drainRetryAfter }, steadyNow()));
        return;
    }
    ++m_counters.started;
    job.startedAt = steadyNow();
    const LoadReport load = m_queue->report();
    job.trail.add(LogEvent::AttemptStarted, job.startedAt, {}, { (job.startedAt - job.admittedAt).count(), load.running, load.concurrencyLimit, load.slowdownPercent });
    job.isRunning = true;
    m_metrics.attemptStarted(job.startedAt - job.admittedAt);
    m_running.started(job.requestId);
    job.request = m_client.send(m_backend->address, backendRequest(job), backendOptions(job),
        [this, kept](HttpClient::Outcome outcome) { handleOutcome(kept, std::move(outcome)); });
}

HttpClient::Options EndpointRunner::backendOptions(const Job& job) const
{
    HttpClient::Options options;
    options.timeout = std::max(job.deadline - steadyNow(), Duration(1000));
    options.maximumBodyBytes = m_document->maximumBodyBytes;
    options.maximumIdle = job.message.isIdempotent ? maximumIdleRepeatable : maximumIdleOnce;
    options.mayRepeat = job.message.isIdempotent;
    if (job.requestId.empty())
        return options;
    options.belongs = [name = m_settings.headers.requestId, id = job.requestId](const HttpResponse& response) {
        const std::string* echoed = findHeader(response.headers, name);
        return !echoed || *echoed == id;
    };
    return options;
}

HttpRequest EndpointRunner::backendRequest(const Job& job) const
{
    const CallRequestMessage& message = job.message;
    HttpRequest request = message.request;
    const auto milliseconds = std::chrono::floor<std::chrono::milliseconds>(job.deadline - steadyNow()).count();
    request.headers.push_back({ m_settings.headers.deadline, std::to_string(std::max<std::int64_t>(1, milliseconds)) });
    if (!m_backend->instance.empty())
        request.headers.push_back({ m_settings.headers.expectedInstance, m_backend->instance });
    if (m_settings.headers.sendsNodeHeaders) {
        request.headers.push_back({ HeaderName::attempt, message.isRepeat ? "1" : "0" });
        request.headers.push_back({ HeaderName::depth, std::to_string(message.depth + 1) });
    }
    if (!message.idempotencyKey.value().empty())
        request.headers.push_back({ HeaderName::idempotencyKey, message.idempotencyKey.value() });
    return request;
}

void EndpointRunner::noteRejection(Job& job, const Refusal& refusal, TimePoint now)
{
    m_metrics.attemptRejected(refusal.code);
    endTrail(job, LogEvent::AttemptRejected, { static_cast<std::int64_t>(refusal.code), (job.deadline - now).count(), job.targetLeft(now).count(), refusal.retryAfter.count() }, true);
}

void EndpointRunner::endTrail(Job& job, LogEvent event, CallTrail::Values values, bool hasFailed)
{
    const TimePoint now = steadyNow();
    job.trail.add(event, now, job.message.attempt.node, values);
    if (m_trails.admits(job.requestId, hasFailed, job.trail.size(), now))
        job.trail.write(job.requestId, job.message.service);
}

void EndpointRunner::handleOutcome(const JobPtr& job, HttpClient::Outcome outcome)
{
    const TimePoint now = steadyNow();
    const AttemptId attempt = job->message.attempt;
    noteConnection(outcome, now);
    const std::int64_t status = outcome.succeeded ? outcome.response.status : 0;
    const std::int64_t code = outcome.succeeded ? 0 : static_cast<std::int64_t>(outcome.failure.error.code);
    const bool isLate = job->targetLeft(now) < Duration::zero();
    endTrail(*job, LogEvent::AttemptEnded, { status, code, (now - job->startedAt).count(), m_queue ? m_queue->slowdownPercent() : 0 }, !outcome.succeeded || status >= firstServerErrorStatus || isLate);
    if (outcome.succeeded) {
        handleResponse(job, outcome.response, now);
    } else if (outcome.failure.mayHaveRun) {
        finish(job, BackendOutcome::Failed);
        perform(m_fates.recordUnknownOutcome(attempt, outcome.failure.error.code, now));
    } else {
        const bool isExpired = outcome.failure.error.code == ResultCode::TimedOut;
        finish(job, isExpired ? BackendOutcome::Abandoned : BackendOutcome::Failed);
        perform(m_fates.refuse(attempt, { isExpired ? ResultCode::DeadlineExpired : ResultCode::PeerUnreachable, drainRetryAfter }, now));
    }
    startDueJobs();
}

void EndpointRunner::takeLoad(const HttpResponse& response, TimePoint now)
{
    const std::string* text = findHeader(response.headers, m_settings.headers.load);
    const auto load = text ? parseBackendLoad(*text) : std::nullopt;
    if (!load || !m_queue)
        return;
    const bool isFirst = !m_loadToldAt;
    m_loadToldAt = now;
    if (load->slowdownPercent == m_queue->slowdownPercent() && !isFirst)
        return;
    m_queue->setSlowdown(load->slowdownPercent, now);
    loadChanged();
}

// The speed of the machine changes several times a second, and responses of a slowed backend server come late.
void EndpointRunner::askLoad()
{
    m_loadTimer.setAfter(m_settings.loadInterval);
    const TimePoint now = steadyNow();
    const bool isUnanswered = m_reachability.isReachable() && m_loadAskedAt > m_loadToldAt.value_or(TimePoint::min());
    const Duration interval = isUnanswered ? unansweredLoadInterval : m_settings.loadInterval;
    const TimePoint last = std::max(m_loadAskedAt, m_loadToldAt.value_or(TimePoint::min()));
    if (m_isAskingLoad || !m_backend || !m_queue || m_healthPath.empty() || now - last < interval)
        return;
    m_isAskingLoad = true;
    m_loadAskedAt = now;
    HttpClient::Options options;
    options.timeout = loadTimeout;
    m_client.send(m_backend->address, { "GET", m_healthPath, {}, {} }, options, [this](const HttpClient::Outcome& outcome) {
        m_isAskingLoad = false;
        noteConnection(outcome, steadyNow());
        if (outcome.succeeded)
            takeLoad(outcome.response, steadyNow());
    });
}

void EndpointRunner::noteConnection(const HttpClient::Outcome& outcome, TimePoint now)
{
    const bool wasReachable = m_reachability.isReachable();
    const bool isRefused = !outcome.succeeded && !outcome.failure.mayHaveRun && outcome.failure.error.code == ResultCode::ConnectionFailed;
    if (isRefused)
        m_reachability.connectionRefused(now);
    else if (outcome.succeeded || outcome.failure.mayHaveRun)
        m_reachability.connectionOpened();
    if (m_reachability.isReachable() == wasReachable)
        return;
    log(isRefused ? LogEvent::BackendUnreachable : LogEvent::BackendReachable, { { "address", m_backend ? m_backend->address : std::string() }, { "detail", outcome.failure.error.detail } });
    loadChanged();
}

void EndpointRunner::loadChanged()
{
    if (m_loadHook)
        m_loadHook();
}

void EndpointRunner::handleResponse(const JobPtr& job, const HttpResponse& response, TimePoint now)
{
    takeLoad(response, now);
    const AttemptId attempt = job->message.attempt;
    const bool isMisdirected = response.status == statusMisdirected && !m_backend.value_or(LocalBackend()).instance.empty();
    if (isMisdirected || findHeader(response.headers, m_settings.headers.notRun)) {
        finish(job, isMisdirected ? BackendOutcome::Abandoned : BackendOutcome::Shed);
        perform(m_fates.refuse(attempt, { isMisdirected ? ResultCode::Draining : ResultCode::BackendRefused, backendRetryAfter }, now));
        return;
    }
    const BackendOutcome end = outcomeOf(response.status);
    if (end == BackendOutcome::Succeeded)
        m_metrics.attemptSucceeded(now - job->startedAt);
    finish(job, end);
    perform(m_fates.answer(attempt, std::make_shared<const std::string>(encodeResponse(response)), now));
}

void EndpointRunner::finish(const JobPtr& job, BackendOutcome outcome)
{
    m_queue->finished(job->ticket, outcome, steadyNow());
    if (job->isRunning)
        m_running.ended(job->requestId);
    removeJob(*job);
}

void EndpointRunner::confirmLongJobs()
{
    const TimePoint now = steadyNow();
    while (!m_unconfirmed.empty() && m_unconfirmed.front().second <= now) {
        const auto entry = m_jobs.find(m_unconfirmed.front().first);
        m_unconfirmed.pop_front();
        if (entry != m_jobs.end())
            m_reply(entry->second->connection, CallAcceptedMessage { entry->first, loadReport() });
    }
    m_confirmTimer.setAfter(confirmAfter);
}

void EndpointRunner::expire()
{
    m_fates.expire(steadyNow());
    m_expiryTimer.setAfter(expiryInterval);
}

} // namespace Knapweedquay
