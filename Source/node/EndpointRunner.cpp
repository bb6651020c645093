#include "node/EndpointRunner.h"

#include "coordination/workspaces/CallerAuthentication.h"
#include "protocol/ProblemDetails.h"
#include "transport/Logger.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace Knapweedquay {

namespace {

/// An attempt is confirmed to its origin after this time, unless its answer was sent earlier: the answer also confirms
/// the attempt, which saves a message.
constexpr Duration confirmationDelay { 20000 };
/// Interval between removals of expired entries from the fate table.
constexpr Duration expiryInterval { 1000000 };
/// Longest time for which a large answer that was not delivered is kept for a resend; it takes room that others may need.
constexpr Duration maximumResendTime { 30000000 };
/// Retry-After of attempts that are refused because the endpoint is not available, for example while it is draining.
constexpr Duration unavailableRetryAfter { 200000 };
/// Retry-After of attempts that the backend server refused without one of its own: approximately the time in which a fully loaded backend
/// server completes a call.
constexpr Duration backendRetryAfter { 100000 };
/// Backend servers close idle connections after a few seconds, and a request sent while the connection closes is lost.
/// A request that must not be repeated therefore only reuses a connection that was used very recently.
constexpr Duration maximumIdleIfIdempotent { 4000000 };
constexpr Duration maximumIdleIfNotIdempotent { 400000 };
/// Time for which requests that must not be repeated get connections of their own, after a refusal that may have belonged to another
/// request of its connection. On a connection of its own a refusal is certain.
constexpr Duration doubtfulRefusalTime { 10000000 };
/// Least time for which such a request waits for the response that proves the refusal wrong.
constexpr Duration minimumDoubt { 100000 };
/// Time from the end of an attempt's connection to the check whether the backend server still runs. The connections of all that
/// it ran end together, and an attempt that is still running shows that it lives.
constexpr Duration crashCheckDelay { 5000 };
/// Longest time for which the origin of such an attempt waits for the result.
constexpr Duration maximumCrashWait { 60000 };
constexpr std::uint16_t misdirectedStatus = 421;
constexpr std::uint16_t firstErrorStatus = 400;
constexpr std::uint16_t serviceUnavailableStatus = 503;
constexpr std::uint16_t firstServerErrorStatus = 500;

BackendOutcome backendOutcomeOf(std::uint16_t status)
{
    if (status == serviceUnavailableStatus)
        return BackendOutcome::Shed;
    return status >= firstServerErrorStatus ? BackendOutcome::Failed : BackendOutcome::Succeeded;
}

/// Size of the body of an attempt, unless a budget counts it.
std::size_t countedBytes(const CallRequestMessage& message)
{
    return message.request.body.isReserved() ? 0 : message.request.body.size();
}

/// True if the connection of a request ended before its response.
bool isLost(const HttpClient::Outcome& outcome)
{
    return !outcome.succeeded && outcome.failure.mayHaveRun && outcome.failure.error.code != ResultCode::TimedOut;
}

bool isRefusal(const HttpResponse& response, const CallHeaders& names)
{
    return response.status == misdirectedStatus || findHeader(response.headers, names.notRun);
}

/// True for a response that could not be told from the one to a later request if the backend server sent it once more. A refusal
/// ends its connection whatever it carries, since the same request may come again.
bool mayBeSentAgain(const HttpResponse& response, const CallHeaders& names)
{
    const bool isUnnamedError = response.status >= firstErrorStatus && !findHeader(response.headers, names.requestId);
    return isRefusal(response, names) || isUnnamedError;
}

} // namespace

EndpointRunner::EndpointRunner(asio::io_context& context, NodeIdentity self, Settings settings, HttpClient& client, ReplyHook reply, NodeQuarantine& quarantine, NodeKeys& keyChecks, NodeMetrics& metrics)
    : m_self(std::move(self))
    , m_settings(std::move(settings))
    , m_client(client)
    , m_replyHook(std::move(reply))
    , m_quarantine(quarantine)
    , m_keyChecks(keyChecks)
    , m_metrics(metrics)
    , m_fates(m_self.incarnation)
    , m_monitor(context, m_settings.headers, m_settings.loadInterval, m_settings.coldBound, client, metrics, monitorHooks())
    , m_traceSampler(m_settings.traces)
    , m_queueTimer(context, [this] { startReadyJobs(); })
    , m_lostTimer(context, [this] { checkLostAttempts(); })
    , m_confirmTimer(context, [this] { confirmDueJobs(); })
    , m_expiryTimer(context, [this] { expire(); })
{
    m_confirmTimer.setAfter(confirmationDelay);
    m_expiryTimer.setAfter(expiryInterval);
}

void EndpointRunner::setBackend(const LocalBackend& backend)
{
    const bool isOtherService = m_backend && m_backend->service != backend.service;
    if (m_backend && m_backend->instance != backend.instance)
        m_client.closeIdleConnections(m_backend->address);
    m_backend = backend;
    if (m_document && m_document->service != backend.service)
        m_document.reset();
    // Ends what waits for the former service, which must not run at this one.
    if (isOtherService && m_queue)
        refuseQueued();
    if (m_queue)
        m_queue->setBackend(slots());
    m_monitor.setBackend(backend);
    notifyLoadChanged();
}

void EndpointRunner::removeBackend()
{
    if (m_backend)
        m_client.closeIdleConnections(m_backend->address);
    m_backend.reset();
    m_monitor.removeBackend();
    if (m_queue)
        refuseQueued();
}

void EndpointRunner::setDocument(const ServiceDocument& document)
{
    if (!m_backend || m_backend->service != document.service)
        return;
    m_document = document;
    if (m_queue)
        return m_queue->setDocument(document);
    m_queue = std::make_unique<AdmissionQueue>(document, slots());
    m_monitor.setQueue(*m_queue);
}

void EndpointRunner::setMaximumConnections(std::uint32_t connections)
{
    if (std::exchange(m_maximumConnections, connections) != connections && m_queue && m_backend)
        m_queue->setBackend(slots());
}

std::optional<std::uint32_t> EndpointRunner::slots() const
{
    const std::uint32_t announced = m_backend->slots;
    if (m_maximumConnections == 0)
        return announced > 0 ? std::optional(announced) : std::nullopt;
    // One connection remains for health checks.
    const std::uint32_t connected = std::max(m_maximumConnections - 1, 1U);
    if (announced > 0)
        return std::min(announced, connected);
    return m_document ? std::min(m_document->defaultSlots, connected) : connected;
}

void EndpointRunner::drain()
{
    m_isDraining = true;
    if (!m_queue)
        return;
    m_queue->drain(steadyNow());
    startReadyJobs();
}

void EndpointRunner::undrain()
{
    // A backend server that told that it leaves does not return.
    if (m_monitor.isLeaving())
        return;
    if (std::exchange(m_isDraining, false) && m_queue && !m_isEmptied)
        m_queue->resume();
}

void EndpointRunner::setEmptied(bool isEmptied)
{
    if (std::exchange(m_isEmptied, isEmptied) == isEmptied)
        return;
    if (!m_queue)
        return notifyLoadChanged();
    if (isEmptied) {
        const auto waiting = std::count_if(m_jobs.begin(), m_jobs.end(), [](const auto& entry) { return !entry.second->isRunning; });
        log(LogEvent::EmptiedEndpointMovesOn, { { "waiting", std::to_string(waiting) }, { "running", std::to_string(m_jobs.size() - static_cast<std::size_t>(waiting)) } });
        m_queue->drain(steadyNow(), Duration(0), ResultCode::DataCentreEvacuated);
    } else if (!m_isDraining)
        m_queue->resume();
    startReadyJobs();
}

LoadReport EndpointRunner::loadReport() const
{
    LoadReport report = m_queue ? m_queue->report() : LoadReport();
    report.draining = report.draining || m_isDraining || m_isEmptied || !m_backend || !m_monitor.isReachable();
    return report;
}

void EndpointRunner::receive(const CallRequestMessage& message, ConnectionId connection)
{
    m_currentRequest = &message;
    m_currentConnection = connection;
    perform(m_fates.receive({ message.attempt, message.targetIncarnation, message.isResend, connection, message.isIdempotent }, steadyNow()));
    m_currentRequest = nullptr;
    startReadyJobs();
}

void EndpointRunner::cancel(const CallCancelMessage& message, ConnectionId connection)
{
    perform(m_fates.cancel(message.attempt, message.targetIncarnation, connection, steadyNow()));
    startReadyJobs();
}

void EndpointRunner::limit(const CallLimitMessage& message)
{
    const auto entry = m_jobs.find(message.attempt);
    if (message.targetIncarnation != m_self.incarnation || entry == m_jobs.end())
        return;
    Job& job = *entry->second;
    job.answerBy = std::min(job.answerBy, steadyNow() + message.answerWithin);
    m_queue->limitAnswer(job.ticket, job.answerBy);
    startReadyJobs();
}

void EndpointRunner::probe(const ProbeMessage& message, ConnectionId connection)
{
    m_replyHook(connection, ProbeAnswerMessage { message.sequence, message.service, loadReport() });
}

void EndpointRunner::perform(const FateActions& actions)
{
    for (const FateAction& action : actions)
        std::visit([this](const auto& typed) { perform(typed); }, action);
}

std::optional<Refusal> EndpointRunner::checkService(const ServiceName& service) const
{
    if (!m_backend || m_backend->service != service)
        return Refusal { ResultCode::Draining, unavailableRetryAfter };
    return std::nullopt;
}

std::optional<Refusal> EndpointRunner::checkPreconditions(const Job& job) const
{
    if (const auto refusal = checkService(job.message.service))
        return refusal;
    if (!m_queue || !m_document)
        return Refusal { ResultCode::StaleConfiguration, unavailableRetryAfter };
    if (!m_monitor.mayTry(steadyNow()))
        return Refusal { ResultCode::PeerUnreachable, unavailableRetryAfter };
    if (m_isEmptied)
        return Refusal { ResultCode::DataCentreEvacuated, unavailableRetryAfter };
    if (m_isDraining)
        return Refusal { ResultCode::Draining, unavailableRetryAfter };
    if (job.message.remaining <= Duration::zero())
        return Refusal { ResultCode::DeadlineExpired };
    if (const QuarantineVerdict verdict = m_quarantine.verdict(job.digest); verdict.state == QuarantineState::Held)
        return m_quarantine.refuse(job.digest, verdict);
    if (const auto refusal = m_keyChecks.check(job.message.caller))
        return refusal;
    if (m_jobBodyBytes + countedBytes(job.message) > m_settings.maximumBodyBytes)
        return Refusal { ResultCode::Overloaded, unavailableRetryAfter };
    return std::nullopt;
}

void EndpointRunner::perform(const AdmitAttempt& action)
{
    const TimePoint now = steadyNow();
    const JobPtr job = std::make_shared<Job>();
    job->ticket = CallTicket(++m_lastTicket);
    job->message = *m_currentRequest;
    if (const std::string* id = findHeader(m_currentRequest->request.headers, m_settings.headers.requestId))
        job->requestId = *id;
    job->digest = digestOf(job->message.service, job->message.request, m_settings.headers.callerService, job->message.caller.value_or(CallerProof()).workspace);
    job->connection = m_currentConnection;
    job->deadline = now + m_currentRequest->remaining;
    job->receivedAt = now;
    if (const auto refusal = checkPreconditions(*job)) {
        recordRejection(*job, *refusal, now);
        perform(m_fates.refuse(action.attempt, *refusal, now));
        return;
    }
    const AdmissionDecision decision = m_queue->offer(job->ticket, job->message.priority, job->deadline, now, now + job->message.targetRemaining);
    if (decision.kind == AdmissionKind::Refused) {
        const Refusal refusal { decision.code, decision.retryAfter };
        recordRejection(*job, refusal, now);
        perform(m_fates.refuse(action.attempt, refusal, now));
        return;
    }
    const std::int64_t timeLeft = m_currentRequest->remaining.count();
    const std::int64_t targetLeft = m_currentRequest->targetRemaining.count();
    job->trace.add(LogEvent::AttemptAdmitted, now, action.attempt.node, { decision.kind == AdmissionKind::Started, timeLeft, targetLeft, m_queue->slowdownPercent() });
    addJob(job);
    m_unconfirmed.emplace_back(action.attempt, now + confirmationDelay);
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
    // An attempt cancelled before its target time was superseded by another one. After the target time its caller may
    // have received no answer, so the attempt is traced as failed.
    const TimePoint now = steadyNow();
    const bool isLate = job->targetLeft(now) < Duration::zero();
    finishTrace(*job, LogEvent::AttemptEnded, { 0, static_cast<std::int64_t>(ResultCode::CancelledBeforeStart), (now - job->startedAt).count(), false }, isLate);
    m_client.cancel(job->request);
    finish(job, BackendOutcome::Abandoned);
    perform(m_fates.recordUnknownOutcome(action.attempt, ResultCode::OutcomeUnknown, steadyNow()));
}

void EndpointRunner::perform(const SendInProgress& action)
{
    const auto entry = m_jobs.find(action.attempt);
    if (entry != m_jobs.end())
        entry->second->connection = action.connection;
    m_replyHook(action.connection, CallAcceptedMessage { action.attempt, loadReport() });
}

void EndpointRunner::perform(const SendAnswer& action)
{
    ++m_counters.answered;
    // It is on its way for a while, in which its origin must not take the attempt for lost.
    if (action.answer->body.isLarge()) {
        m_replyHook(action.connection, CallAcceptedMessage { action.attempt, loadReport() });
        if (action.connection != ConnectionId())
            m_largeAnswers[action.attempt] = { action.answer, steadyNow() };
    }
    m_replyHook(action.connection, CallAnswerMessage { action.attempt, loadReport(), *action.answer });
}

void EndpointRunner::perform(const SendRefusal& action)
{
    ++m_counters.refused;
    const Refusal& refusal = action.refusal;
    m_replyHook(action.connection, CallRefusalMessage { action.attempt, loadReport(), refusal.code, refusal.retryAfter, refusal.isFleetWide });
}

void EndpointRunner::perform(const SendUnknown& action)
{
    if (const auto kept = m_largeAnswers.find(action.attempt); kept != m_largeAnswers.end())
        return perform(SendAnswer { action.connection, action.attempt, AnswerPointer(kept->second.answer) });
    ++m_counters.unknown;
    m_replyHook(action.connection, CallUnknownMessage { action.attempt, loadReport(), action.code });
}

void EndpointRunner::perform(const SendCancelResult& action)
{
    m_replyHook(action.connection, CallCancelledMessage { action.attempt, action.result });
}

void EndpointRunner::addJob(const JobPtr& job)
{
    m_jobs.emplace(job->message.attempt, job);
    m_jobsByTicket.emplace(job->ticket, job);
    m_jobBodyBytes += countedBytes(job->message);
}

void EndpointRunner::removeJob(const Job& job)
{
    m_jobBodyBytes -= countedBytes(job.message);
    m_jobsByTicket.erase(job.ticket);
    m_jobs.erase(job.message.attempt);
}

void EndpointRunner::startReadyJobs()
{
    if (!m_queue)
        return;
    const TimePoint now = steadyNow();
    bool hasFreedSlot = true;
    while (std::exchange(hasFreedSlot, false)) {
        const StartableCalls calls = m_queue->takeStartable(now);
        for (const GivenUpCall& call : calls.givenUp) {
            const JobPtr job = m_jobsByTicket.at(call.ticket);
            recordRejection(*job, { call.code, call.retryAfter }, now);
            removeJob(*job);
            perform(m_fates.refuse(job->message.attempt, { call.code, call.retryAfter }, now));
        }
        for (const CallTicket& ticket : calls.started)
            hasFreedSlot = !start(*m_jobsByTicket.at(ticket)) || hasFreedSlot;
    }
    if (const auto next = m_queue->nextTimer())
        m_queueTimer.setAt(*next);
    else
        m_queueTimer.cancel();
    notifyLoadChanged();
}

std::optional<Refusal> EndpointRunner::checkRun(const Job& job)
{
    if (const auto refusal = checkService(job.message.service))
        return refusal;
    if (const auto refusal = m_keyChecks.check(job.message.caller))
        return refusal;
    return m_quarantine.checkRun(job.digest);
}

bool EndpointRunner::start(Job& job)
{
    const JobPtr jobPointer = m_jobsByTicket.at(job.ticket);
    if (const auto refusal = checkRun(job)) {
        const TimePoint now = steadyNow();
        recordRejection(job, *refusal, now);
        finish(jobPointer, BackendOutcome::Abandoned);
        perform(m_fates.refuse(job.message.attempt, *refusal, now));
        return false;
    }
    if (!m_fates.tryStart(job.message.attempt)) {
        finish(jobPointer, BackendOutcome::Abandoned);
        perform(m_fates.refuse(job.message.attempt, { ResultCode::Draining, unavailableRetryAfter }, steadyNow()));
        return false;
    }
    ++m_counters.started;
    job.startedAt = steadyNow();
    const LoadReport load = m_queue->report();
    job.trace.add(LogEvent::AttemptStarted, job.startedAt, {}, { (job.startedAt - job.receivedAt).count(), load.running, load.concurrencyLimit, load.slowdownPercent });
    job.isRunning = true;
    job.backendRun = m_monitor.run();
    m_metrics.attemptStarted(job.startedAt - job.receivedAt);
    m_running.started(job.requestId, { job.message.isRepeat, job.deadline });
    m_metrics.backendRequestSent(job.message.isRepeat ? BackendRequestKind::Repeat : BackendRequestKind::Call);
    job.request = m_client.send(m_backend->address, backendRequest(job), backendOptions(jobPointer),
        [this, jobPointer](HttpClient::Outcome outcome) { handleOutcome(jobPointer, std::move(outcome)); });
    m_monitor.requestSent(job.startedAt);
    return true;
}

HttpClient::Options EndpointRunner::backendOptions(const JobPtr& jobPointer)
{
    const Job& job = *jobPointer;
    HttpClient::Options options;
    options.timeout = std::max(job.deadline - steadyNow(), Duration(1000));
    options.maximumBodyBytes = m_settings.maximumResponseBytes;
    options.maximumIdle = job.message.isIdempotent ? maximumIdleIfIdempotent : maximumIdleIfNotIdempotent;
    if (!job.message.isIdempotent && m_unnamedRefusalAt && steadyNow() - *m_unnamedRefusalAt < doubtfulRefusalTime)
        options.maximumIdle = Duration::zero();
    options.maximumDoubt = std::max(job.targetLeft(steadyNow()), minimumDoubt);
    // While a connection opened the node may have been frozen, the address may have gone to another backend server, and the origin may
    // have ended.
    const auto maySend = [this, backend = *m_backend, jobPointer] {
        return m_backend && m_backend->isSameRun(backend) && !m_keyChecks.check(jobPointer->message.caller) && steadyNow() < jobPointer->answerBy;
    };
    options.maySend = maySend;
    if (job.message.isIdempotent && !job.message.isRepeat)
        options.allowsResend = [this, digest = job.digest, maySend] { return m_quarantine.verdict(digest).state == QuarantineState::Clear && maySend() && tryResend(); };
    options.endsConnection = [names = m_settings.headers](const HttpResponse& response) { return mayBeSentAgain(response, names); };
    if (job.requestId.empty())
        return options;
    options.matchesRequest = [this, jobPointer](const HttpResponse& response, bool isReused) { return match(*jobPointer, response, isReused); };
    return options;
}

HttpClient::Match EndpointRunner::match(const Job& job, const HttpResponse& response, bool isReused)
{
    const CallHeaders& names = m_settings.headers;
    if (const std::string* repeated = findHeader(response.headers, names.requestId))
        return *repeated == job.requestId ? HttpClient::Match::Yes : HttpClient::Match::No;
    if (!names.isRequestIdAlwaysRepeated)
        return HttpClient::Match::Yes;
    if (!isRefusal(response, names))
        return HttpClient::Match::No;
    if (!isReused)
        return HttpClient::Match::Yes;
    m_unnamedRefusalAt = steadyNow();
    // A safe request may be tried elsewhere, whether it runs here or not.
    return job.message.isIdempotent ? HttpClient::Match::Yes : HttpClient::Match::Doubtful;
}

bool EndpointRunner::tryResend() const
{
    if (!m_backend || m_isEmptied || !m_resendHook || !m_resendHook(m_backend->service))
        return false;
    m_metrics.backendRequestSent(BackendRequestKind::Resent);
    m_queue->countRequest(steadyNow());
    return true;
}

HttpRequest EndpointRunner::backendRequest(const Job& job) const
{
    const CallRequestMessage& message = job.message;
    HttpRequest request = message.request;
    if (message.caller) {
        removeCallerHeaders(request.headers, m_settings.headers.workspace);
        if (!message.caller->workspace.value().empty())
            request.headers.push_back({ m_settings.headers.workspace, message.caller->workspace.value() });
    }
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

void EndpointRunner::recordRejection(Job& job, const Refusal& refusal, TimePoint now)
{
    m_metrics.attemptRejected(refusal.code);
    finishTrace(job, LogEvent::AttemptRejected, { static_cast<std::int64_t>(refusal.code), (job.deadline - now).count(), job.targetLeft(now).count(), refusal.retryAfter.count() }, true);
}

void EndpointRunner::finishTrace(Job& job, LogEvent event, CallTrace::Values values, bool hasFailed)
{
    const TimePoint now = steadyNow();
    job.trace.add(event, now, job.message.attempt.node, values);
    if (m_traceSampler.admits(job.requestId, hasFailed, job.trace.size(), now))
        job.trace.write(job.requestId, job.message.service);
}

void EndpointRunner::handleOutcome(const JobPtr& job, HttpClient::Outcome outcome)
{
    const TimePoint now = steadyNow();
    const AttemptId attempt = job->message.attempt;
    // A backend server that leaves may end while it runs its last requests.
    const bool mayBeCrash = isLost(outcome) && !m_isDraining;
    if (mayBeCrash) {
        loseAttempt(*job, outcome.failure.error.code, now);
        m_monitor.requestLost({ job->digest, job->message.service, job->requestId, job->message.request.target, now - job->startedAt }, now);
    }
    m_monitor.requestEnded(outcome, now);
    const std::int64_t status = outcome.succeeded ? outcome.response.status : 0;
    const std::int64_t code = outcome.succeeded ? 0 : static_cast<std::int64_t>(outcome.failure.error.code);
    const bool isLate = job->targetLeft(now) < Duration::zero();
    finishTrace(*job, LogEvent::AttemptEnded, { status, code, (now - job->startedAt).count(), outcome.wasResent }, !outcome.succeeded || status >= firstServerErrorStatus || isLate);
    if (outcome.succeeded) {
        handleResponse(job, outcome.response, now);
    } else if (outcome.failure.mayHaveRun) {
        finish(job, BackendOutcome::Failed);
        if (!mayBeCrash)
            perform(m_fates.recordUnknownOutcome(attempt, outcome.failure.error.code, now));
    } else {
        const bool isExpired = outcome.failure.error.code == ResultCode::TimedOut;
        const bool isForbidden = outcome.failure.error.code == ResultCode::CancelledBeforeStart;
        finish(job, isExpired || isForbidden ? BackendOutcome::Abandoned : BackendOutcome::Failed);
        // Options::maySend asks for the key and for the run of the backend server.
        const auto unproved = isForbidden ? m_keyChecks.check(job->message.caller) : std::nullopt;
        const ResultCode forbidden = unproved ? unproved->code : ResultCode::Draining;
        const ResultCode reason = isForbidden ? forbidden : ResultCode::PeerUnreachable;
        perform(m_fates.refuse(attempt, { isExpired ? ResultCode::DeadlineExpired : reason, unavailableRetryAfter }, now));
    }
    startReadyJobs();
}

void EndpointRunner::loseAttempt(const Job& job, ResultCode code, TimePoint now)
{
    m_lostAttempts.push_back({ job.message.attempt, code, now });
    if (m_lostAttempts.size() == 1)
        m_lostTimer.setAfter(crashCheckDelay);
}

void EndpointRunner::handleCrash(const CrashDetector::Crash& crash)
{
    std::vector<RequestDigest> digests;
    for (const LostRequest& request : crash.requests)
        digests.push_back(request.digest);
    std::vector<NodeId> origins;
    for (const LostAttempt& lost : m_lostAttempts)
        origins.push_back(lost.attempt.node);
    m_quarantine.crashed(crash.number, crash.requests.front().service, digests, origins);
    for (const LostAttempt& lost : std::exchange(m_lostAttempts, {}))
        perform(m_fates.recordUnknownOutcome(lost.attempt, ResultCode::BackendCrashed, steadyNow()));
}

void EndpointRunner::releaseLostAttempts()
{
    for (const LostAttempt& lost : std::exchange(m_lostAttempts, {}))
        perform(m_fates.recordUnknownOutcome(lost.attempt, lost.code, steadyNow()));
}

void EndpointRunner::checkLostAttempts()
{
    if (m_lostAttempts.empty())
        return;
    const TimePoint firstLostAt = m_lostAttempts.front().lostAt;
    const Duration waited = steadyNow() - firstLostAt;
    if (waited >= maximumCrashWait)
        return releaseLostAttempts();
    m_lostTimer.setAfter(maximumCrashWait - waited);
    const bool isOneRunning = std::any_of(m_jobs.begin(), m_jobs.end(), [&](const auto& entry) { return entry.second->isRunning && entry.second->startedAt < firstLostAt; });
    if (!isOneRunning)
        m_monitor.checkForCrash();
}

BackendMonitor::Hooks EndpointRunner::monitorHooks()
{
    BackendMonitor::Hooks hooks;
    hooks.changed = [this] { notifyLoadChanged(); };
    hooks.leaving = [this] { drainLeavingBackend(); };
    hooks.resumed = [this] { startReadyJobs(); };
    hooks.crashed = [this](const CrashDetector::Crash& crash) { handleCrash(crash); };
    hooks.responded = [this] { releaseLostAttempts(); };
    hooks.unreachable = [this] { refuseQueued(); };
    return hooks;
}

void EndpointRunner::drainLeavingBackend()
{
    m_isDraining = true;
    m_queue->drain(steadyNow(), Duration(0));
    startReadyJobs();
    if (m_leavingHook)
        m_leavingHook(*m_backend);
}

void EndpointRunner::refuseQueued()
{
    m_queue->drain(steadyNow(), Duration(0));
    startReadyJobs();
    if (!m_isDraining)
        m_queue->resume();
}

void EndpointRunner::notifyLoadChanged()
{
    if (m_loadHook)
        m_loadHook();
}

void EndpointRunner::handleResponse(const JobPtr& job, const HttpResponse& response, TimePoint now)
{
    const AttemptId attempt = job->message.attempt;
    const bool isMisdirected = response.status == misdirectedStatus && !m_backend.value_or(LocalBackend()).instance.empty();
    // Another run answered a misdirected request.
    if (!isMisdirected)
        m_monitor.responseReceived(response, job->backendRun, now);
    if (isMisdirected || findHeader(response.headers, m_settings.headers.notRun)) {
        finish(job, isMisdirected ? BackendOutcome::Abandoned : BackendOutcome::Shed);
        perform(m_fates.refuse(attempt, { isMisdirected ? ResultCode::Draining : ResultCode::BackendRefused, retryAfterOf(response).value_or(backendRetryAfter) }, now));
        return;
    }
    const BackendOutcome end = backendOutcomeOf(response.status);
    if (end == BackendOutcome::Succeeded)
        m_metrics.attemptSucceeded(now - job->startedAt);
    finish(job, end);
    m_quarantine.succeeded(job->digest);
    perform(m_fates.answer(attempt, std::make_shared<const HttpResponse>(response), now));
}

void EndpointRunner::finish(const JobPtr& job, BackendOutcome outcome)
{
    m_queue->finished(job->ticket, outcome, steadyNow());
    if (job->isRunning)
        m_running.ended(job->requestId);
    removeJob(*job);
}

void EndpointRunner::confirmDueJobs()
{
    const TimePoint now = steadyNow();
    while (!m_unconfirmed.empty() && m_unconfirmed.front().second <= now) {
        const auto entry = m_jobs.find(m_unconfirmed.front().first);
        m_unconfirmed.pop_front();
        if (entry != m_jobs.end())
            m_replyHook(entry->second->connection, CallAcceptedMessage { entry->first, loadReport() });
    }
    m_confirmTimer.setAfter(confirmationDelay);
}

void EndpointRunner::expire()
{
    m_fates.expire(steadyNow());
    for (auto entry = m_largeAnswers.begin(); entry != m_largeAnswers.end();)
        entry = steadyNow() - entry->second.sentAt > maximumResendTime ? m_largeAnswers.erase(entry) : std::next(entry);
    m_quarantine.expire();
    m_expiryTimer.setAfter(expiryInterval);
}

} // namespace Knapweedquay
