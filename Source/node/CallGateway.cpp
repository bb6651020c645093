#include "node/CallGateway.h"

#include "coordination/workspaces/CallerAuthentication.h"
#include "node/PeerTraffic.h"
#include "transport/Logger.h"

#include <xxhash.h>

#include <algorithm>
#include <random>
#include <utility>

namespace Knapweedquay {

namespace {

/// Further calls are refused while this many are in progress.
constexpr std::size_t maximumSessions = 20000;
/// Retry-After of refusals that originate at this node.
constexpr Duration refusalRetryAfter { 200000 };
/// Retry-After is at most a third of the caller's remaining time, which leaves two thirds for the next attempt.
constexpr int retryAfterDivisor = 3;
/// Interval between removals of expired idempotency keys, and between log lines about dropped traces.
constexpr Duration expiryInterval { 1000000 };
/// Longest wait for the control store's reply to a claim.
constexpr Duration claimTimeout { 1000000 };
/// Size of a probe and its largest possible answer, including link headers.
constexpr std::size_t maximumProbeExchangeBytes = 512;
/// Number of unanswered probes that are tracked; beyond it the oldest are discarded.
constexpr std::size_t maximumSentProbes = 1000;
constexpr std::uint16_t firstServerErrorStatus = 500;
/// Traced as the age of the load report if the endpoint has never sent one.
constexpr Duration unknownReportAge { -1 };

RequestFingerprint fingerprintOf(const HttpRequest& request)
{
    const std::string head = request.method + ' ' + request.target + '\n';
    const std::unique_ptr<XXH3_state_t, decltype(&XXH3_freeState)> state(XXH3_createState(), &XXH3_freeState);
    XXH3_64bits_reset(state.get());
    XXH3_64bits_update(state.get(), head.data(), head.size());
    XXH3_64bits_update(state.get(), request.body.bytes().data(), request.body.size());
    return RequestFingerprint(XXH3_64bits_digest(state.get()));
}

double randomShare()
{
    std::random_device device;
    return std::uniform_real_distribution<double>(0, 1)(device);
}

/// Removes hop-by-hop headers from a backend server's response and adds the outcome header.
HttpResponse callerResponse(HttpResponse response)
{
    HttpHeaders endToEndHeaders;
    for (HttpHeader& header : response.headers) {
        if (!isHopByHopHeader(header.name))
            endToEndHeaders.push_back(std::move(header));
    }
    endToEndHeaders.push_back({ HeaderName::outcome, outcomeName(CallOutcomeKind::Answered) });
    response.headers = std::move(endToEndHeaders);
    return response;
}

/// Formats a duration as seconds with three decimals, rounded up.
std::string fractionalSeconds(Duration duration)
{
    constexpr int digits = 3;
    std::string milliseconds = std::to_string(std::chrono::ceil<std::chrono::milliseconds>(duration).count());
    if (milliseconds.size() <= digits)
        milliseconds.insert(0, digits + 1 - milliseconds.size(), '0');
    return milliseconds.insert(milliseconds.size() - digits, 1, '.');
}

// The outcome is Unknown for codes where an earlier request with the same key ran or may still run, or where this
// cannot be determined. This request itself is never run.
CallOutcomeKind rejectedKeyOutcome(ResultCode code)
{
    return code == ResultCode::ClaimUnavailable || code == ResultCode::KeyReusedForOtherRequest ? CallOutcomeKind::NotRun : CallOutcomeKind::Unknown;
}

} // namespace

CallGateway::CallGateway(asio::io_context& context, NodeIdentity self, EndpointRunner& local, NodeQuarantine& quarantine, NodeKeys& keyChecks, const GracefulStop& stop, Settings settings, ClaimHooks claims, NodeMetrics& metrics)
    : m_context(context)
    , m_self(std::move(self))
    , m_localRunner(local)
    , m_quarantine(quarantine)
    , m_keyChecks(keyChecks)
    , m_stop(stop)
    , m_settings(std::move(settings))
    , m_intake(m_settings.headers, m_settings.callerService, CallResolver(m_settings.callInterface, randomShare()))
    , m_claimHooks(std::move(claims))
    , m_metrics(metrics)
    , m_links(context, m_self, m_settings.bodies,
          { [this](const NodeId& from, const PeerMessage& message) { receive(from, message); },
              [this](const NodeId& node) { handleNodeEvent(node, LinkLost { node }); },
              [this](const NodeId& node, Incarnation incarnation) { handleNodeEvent(node, LinkRestored { node, incarnation }); },
              [this](const NodeId& node, const PeerMessage& message, std::size_t bytes) {
                  m_metrics.addPeerBytes(trafficOf(message), isInLocalDataCentre(node), bytes);
                  const auto* request = std::get_if<CallRequestMessage>(&message);
                  if (AttemptTransmission* transmission = request ? transmissionOf(request->attempt) : nullptr)
                      transmission->copySent();
              },
              [this](const NodeId&, const PeerMessage& message, ResultCode code) {
                  if (const auto* request = std::get_if<CallRequestMessage>(&message))
                      copyReturned(request->attempt, code);
              },
              [this](const PeerMessage& head) {
                  const auto* answer = std::get_if<CallAnswerMessage>(&head);
                  return answer && transmissionOf(answer->attempt) ? PeerChannel::Interest::Whole : PeerChannel::Interest::None;
              } })
    , m_random(std::random_device {}())
    , m_quotas(context, m_self, m_settings.quotaBound,
          { [this](const NodeId& holder, const QuotaRequestMessage& request) { return m_links.send(holder, request); },
              [this](const NodeId& holder, int change) { m_links.addPendingAnswers(holder, change); },
              [this](const QuotaCredit::Decision& decision) {
                  if (const auto entry = m_sessions.find(decision.call); entry != m_sessions.end())
                      handleCredit(SessionPtr(entry->second), decision);
              } },
          metrics)
    , m_traceSampler(m_settings.traces)
    , m_maintenanceTimer(context, [this] {
        m_keys.expire(steadyNow());
        logDroppedTraces();
        m_maintenanceTimer.setAfter(expiryInterval);
    })
{
    m_maintenanceTimer.setAfter(expiryInterval);
}

CallGateway::~CallGateway() = default;

ServiceTraffic* CallGateway::traffic(const ServiceName& service)
{
    const auto entry = m_services.find(service);
    return entry == m_services.end() ? nullptr : entry->second.get();
}

void CallGateway::handle(const HttpExchangePtr& exchange)
{
    ++m_counters.calls;
    if (!m_configurationProvedAt)
        return refuse(exchange, { ResultCode::StaleConfiguration, "this node has no fresh configuration yet" }, refusalRetryAfter);
    if (m_sessions.size() >= maximumSessions)
        return refuse(exchange, { ResultCode::Overloaded, "this node has too many calls in progress" }, refusalRetryAfter);
    const auto session = createSession(exchange);
    if (session.has_error()) {
        const ResultCode code = session.error().code;
        const bool mayPassLater = code == ResultCode::StaleConfiguration || code == ResultCode::KeyUnproved;
        return refuse(exchange, session.error(), mayPassLater ? refusalRetryAfter : Duration::zero());
    }
    if (!m_stop.mayTake(session.value()->startedAt, session.value()->deadline)) {
        ++m_counters.refusedLate;
        return refuse(exchange, { ResultCode::Draining, "this node stops before the call could end" }, refusalRetryAfter);
    }
    startSession(session.value());
}

void CallGateway::refuse(const HttpExchangePtr& exchange, const Error& error, Duration retryAfter)
{
    ++m_counters.notRun;
    m_metrics.callerRefused(error.code);
    exchange->respond(refusalResponse(error, CallOutcomeKind::NotRun, retryAfter));
}

HttpResponse CallGateway::refusalResponse(const Error& error, CallOutcomeKind kind, Duration retryAfter) const
{
    HttpResponse response = problemResponse(error, kind, retryAfter);
    if (error.code == ResultCode::UnknownKey)
        response.headers.push_back({ HeaderName::authenticate, "Bearer" });
    if (!m_settings.headers.hasFractionalRetryAfter)
        return response;
    for (HttpHeader& header : response.headers) {
        if (header.name == HeaderName::retryAfter)
            header.value = fractionalSeconds(retryAfter);
    }
    return response;
}

Result<CallGateway::SessionPtr> CallGateway::createSession(const HttpExchangePtr& exchange)
{
    auto parsed = m_intake.read(exchange->request(), steadyNow() - *m_configurationProvedAt, m_localRunner.running());
    if (parsed.has_error())
        return parsed.error();
    if (const auto refusal = m_keyChecks.check(parsed.value().callerProof()))
        return Error { refusal->code, "this node has no recent proof that the key was not withdrawn" };
    const SessionPtr session = std::make_shared<CallSession>();
    session->exchange = exchange;
    session->parsed = std::move(parsed.value());
    session->routing = m_intake.routing();
    const ServiceTraffic* service = traffic(session->parsed.service);
    if (!service)
        return Error { ResultCode::UnknownService, "no document for service '" + session->parsed.service.value() + "'" };
    const std::uint64_t maximumBodyBytes = service->document().maximumBodyBytes;
    if (session->parsed.request.body.size() > maximumBodyBytes)
        return Error { ResultCode::RequestTooLarge, "the service takes bodies of at most " + std::to_string(maximumBodyBytes) + " bytes" };
    session->id = ++m_lastSequence;
    session->digest = digestOf(session->parsed.service, session->parsed.request, m_settings.headers.callerService, session->parsed.workspace);
    session->startedAt = steadyNow();
    BOOST_OUTCOME_TRYV(classify(*session, *service));
    session->targetAt = session->startedAt - session->elapsedBefore + session->target;
    if (const auto parent = m_localRunner.running().parentOf(session->parsed.requestId)) {
        session->deadline = std::min(session->deadline, parent->deadline);
        session->targetAt = session->deadline;
        session->isCallOfRun = true;
        if (session->parsed.route && !session->routing->document().workspaces.empty())
            session->priority = PriorityIndex(runPriorityIndex);
        session->parsed.isRepeat = session->parsed.isRepeat || parent->isRepeat;
    }
    return session;
}

Result<void> CallGateway::classify(CallSession& session, const ServiceTraffic& service)
{
    const ServiceDocument& document = service.document();
    const ParsedCall& call = session.parsed;
    session.limits = document.retries;
    if (call.route) {
        const RoutingRule& rule = call.route->rule;
        session.priority = call.workspacePriority.value_or(call.route->priority);
        session.isIdempotent = rule.isIdempotent;
        session.limits.maximumAttempts = rule.maximumAttempts;
        session.target = rule.target;
        session.elapsedBefore = m_callerDeadlines.elapsed(rule, call.deadline, session.startedAt);
        session.deadline = session.startedAt + std::min(call.deadline.value_or(rule.timeout), rule.timeout);
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    }
    const auto classification = service.classify(call.request.method, call.request.target);
    BOOST_OUTCOME_TRY(priority, choosePriority(service, call, classification.priority));
    session.priority = priority;
    session.isIdempotent = classification.isIdempotent;
    if (priority.value() < document.priorities.size())
        session.target = document.priorities[priority.value()].target;
    session.deadline = session.startedAt + std::min(call.deadline.value_or(document.defaultDeadline), document.maximumDeadline);
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

Result<PriorityIndex> CallGateway::choosePriority(const ServiceTraffic& service, const ParsedCall& call, PriorityIndex byRoute) const
{
    if (!call.priority)
        return byRoute;
    const auto named = service.priorityNamed(*call.priority);
    if (!named)
        return Error { ResultCode::UnknownPriority, "the service has no priority '" + *call.priority + "'" };
    // A caller may request a lower priority than its route has, but not a higher one.
    return std::max(*named, byRoute);
}

void CallGateway::startSession(const SessionPtr& session)
{
    m_sessions.emplace(session->id, session);
    m_metrics.callResolved(session->parsed.route ? CallResolution::Route : CallResolution::Target);
    const std::int64_t version = session->routing ? static_cast<std::int64_t>(session->routing->document().version) : 0;
    session->trace.add(LogEvent::CallAccepted, session->startedAt, {}, { session->priority.value(), (session->deadline - session->startedAt).count(), session->elapsedBefore.count(), version });
    session->timer = std::make_unique<Timer>(m_context, [this, weak = std::weak_ptr<CallSession>(session)] {
        if (const SessionPtr locked = weak.lock())
            handleEvent(locked, TimerFired());
    });
    session->exchange->setDisconnectHook([this, weak = std::weak_ptr<CallSession>(session)] {
        if (const SessionPtr locked = weak.lock())
            handleDisconnect(locked);
    });
    ServiceTraffic& service = *traffic(session->parsed.service);
    CallParameters parameters;
    parameters.isIdempotent = session->isIdempotent;
    parameters.isRepeat = session->parsed.isRepeat;
    parameters.deadline = session->deadline;
    if (session->isIdempotent)
        parameters.hedgeDelay = service.hedgeDelay(session->priority, session->target);
    parameters.limits = session->limits;
    parameters.target = session->target;
    session->call = std::make_unique<OutgoingCall>(parameters, service.budgets(),
        [this] { return AttemptId { m_self.node, m_self.incarnation, ++m_lastSequence }; });
    limitCall(session);
    startWithCredit(session);
}

void CallGateway::startWithCredit(const SessionPtr& session)
{
    if (session->isCallOfRun || !m_quotas.isLimited(session->parsed.workspace))
        return startAttempts(session);
    const Duration timeLeft = std::min(session->targetAt, session->deadline) - session->startedAt;
    const QuotaCredit::Decision decision = m_quotas.take(session->parsed.workspace, session->id, timeLeft);
    if (decision.code)
        handleCredit(session, decision);
}

void CallGateway::handleCredit(const SessionPtr& session, const QuotaCredit::Decision& decision)
{
    if (*decision.code == ResultCode::Ok) {
        session->credit = decision.ticket;
        return startAttempts(session);
    }
    CallOutcome outcome;
    outcome.kind = CallOutcome::Kind::NotRun;
    outcome.code = *decision.code;
    outcome.retryAfter = decision.retryAfter;
    answer(session, outcome);
    removeSession(session);
}

void CallGateway::startAttempts(const SessionPtr& session)
{
    if (session->isIdempotent || session->parsed.key.value().empty())
        handleEvent(session, CallStarted());
    else
        startKeyed(session);
}

void CallGateway::startKeyed(const SessionPtr& session)
{
    const ClaimOwner owner { m_self.node, m_self.incarnation, ++m_lastSequence };
    session->claim = owner;
    m_keyedSessions.emplace(owner, session);
    performKeyActions(m_keys.request({ session->parsed.service, claimKey(session->parsed.workspace, session->parsed.key), fingerprintOf(session->parsed.request) }, owner));
}

void CallGateway::claimAnswered(const ClaimOwner& owner, ResultCode code)
{
    if (code == ResultCode::Ok)
        performKeyActions(m_keys.claimGranted(owner));
    else if (code == ResultCode::AlreadyRunning || code == ResultCode::AlreadyRan || code == ResultCode::KeyReusedForOtherRequest)
        performKeyActions(m_keys.claimDenied(owner, code));
    else
        performKeyActions(m_keys.claimUnavailable(owner));
}

void CallGateway::performKeyActions(const KeyActions& actions)
{
    for (const KeyAction& action : actions) {
        if (const auto* request = std::get_if<RequestClaim>(&action)) {
            const auto session = m_keyedSessions.find(request->owner);
            const Duration left = session == m_keyedSessions.end() ? Duration::zero() : session->second->deadline - steadyNow();
            m_claimHooks.request(*request, std::min(left, claimTimeout));
            continue;
        }
        if (const auto* release = std::get_if<ReleaseClaim>(&action)) {
            m_claimHooks.release(*release);
            continue;
        }
        const ClaimOwner& owner = std::visit([](const auto& typed) { return typed.owner; }, action);
        const auto entry = m_keyedSessions.find(owner);
        if (entry == m_keyedSessions.end())
            continue;
        const SessionPtr session = entry->second;
        if (std::holds_alternative<RunKeyedCall>(action)) {
            handleEvent(session, CallStarted());
            continue;
        }
        // The key already determines the outcome. The claim belongs to another request, so this session must not end
        // it.
        session->claim.reset();
        m_keyedSessions.erase(owner);
        CallOutcome outcome;
        if (const auto* replay = std::get_if<ReplayAnswer>(&action)) {
            outcome.kind = CallOutcome::Kind::Answered;
            outcome.answer = replay->answer;
        } else if (const auto* reject = std::get_if<RejectKeyedCall>(&action)) {
            outcome.kind = rejectedKeyOutcome(reject->code) == CallOutcomeKind::NotRun ? CallOutcome::Kind::NotRun : CallOutcome::Kind::Unknown;
            outcome.code = reject->code;
            outcome.retryAfter = refusalRetryAfter;
        }
        answer(session, outcome);
        removeSession(session);
    }
}

void CallGateway::handleDisconnect(const SessionPtr& session)
{
    session->isCallerDisconnected = true;
    handleEvent(session, CallerDisconnected());
    // A call that waits for credit ends by its start, now that its caller is gone.
    if (m_quotas.cancel(session->id))
        handleEvent(session, CallStarted());
}

void CallGateway::limitCalls()
{
    for (const auto& entry : std::unordered_map<std::uint64_t, SessionPtr>(m_sessions))
        limitCall(entry.second);
}

void CallGateway::limitCall(const SessionPtr& session)
{
    if (!m_stop.mayOutlast(session->deadline))
        return;
    session->exchange->holdFollowing();
    handleEvent(session, NodeStops { m_stop.lastAnswersAt() });
}

void CallGateway::endBlockingCalls()
{
    for (const auto& entry : std::unordered_map<std::uint64_t, SessionPtr>(m_sessions)) {
        if (entry.second->exchange->holdsBackResponse())
            handleEvent(entry.second, CallGivenUp());
    }
}

void CallGateway::endWaitingCalls()
{
    withdrawUnsentAttempts();
    for (const auto& entry : std::unordered_map<std::uint64_t, SessionPtr>(m_sessions))
        handleEvent(entry.second, NodeEnds());
}

void CallGateway::handleEvent(const SessionPtr& session, const CallEvent& event)
{
    const CallActions actions = session->call->handle(event, steadyNow());
    for (const CallAction& action : actions)
        std::visit([this, &session](const auto& typed) { perform(session, typed); }, action);
}

void CallGateway::perform(const SessionPtr& session, const ChooseEndpoint& action)
{
    ServiceTraffic& service = *traffic(session->parsed.service);
    EndpointChooser& chooser = service.chooser();
    std::vector<EndpointId> excluded;
    for (const NodeId& node : action.excluded) {
        const auto member = m_members.find(node);
        if (member != m_members.end())
            excluded.push_back({ node, member->second.version.incarnation });
    }
    const TimePoint now = steadyNow();
    if (const auto refusal = m_keyChecks.check(session->parsed.callerProof()))
        return handleEvent(session, NoEndpointAvailable { *refusal });
    const QuarantineVerdict verdict = m_quarantine.verdict(session->digest);
    // A request that may crash backend servers runs at one of them at a time.
    if (verdict.state == QuarantineState::Suspected && action.isHedge)
        return handleEvent(session, NoEndpointAvailable {});
    std::optional<EndpointId> chosen;
    if (verdict.state == QuarantineState::Clear || verdict.state == QuarantineState::Suspected)
        chosen = chooser.choose(excluded, session->priority, now, m_random);
    else {
        if (verdict.state == QuarantineState::TrialDue && excluded.empty())
            chosen = trialEndpoint(*session);
        if (!chosen)
            return handleEvent(session, NoEndpointAvailable { m_quarantine.refuse(session->digest, verdict) });
    }
    session->isHedging = action.isHedge;
    if (action.isHedge)
        session->trace.add(LogEvent::CallHedged, now, {}, { (now - session->startedAt).count() });
    if (chosen) {
        const EndpointStatus status = chooser.statusOf(*chosen, session->priority, now);
        const std::optional<Duration> age = status.reportedAt ? std::optional(now - *status.reportedAt) : std::nullopt;
        service.metrics().endpointChosen(age);
        session->trace.add(LogEvent::EndpointChosen, now, chosen->node, { status.predictedTime.count(), age.value_or(unknownReportAge).count(), status.slowdownPercent, static_cast<std::int64_t>(status.outstanding) });
    }
    if (!chosen) {
        // A probe may find that an endpoint takes calls again.
        service.measurement().callSent();
        probeIfDue(service);
        handleEvent(session, NoEndpointAvailable { { ResultCode::NoEndpoint, refusalRetryAfter } });
        return;
    }
    handleEvent(session, EndpointChosen { chosen->node, chosen->incarnation });
}

std::optional<EndpointId> CallGateway::trialEndpoint(const CallSession& session) const
{
    const MemberRecord* chosen = nullptr;
    std::uint64_t highest = 0;
    for (const auto& [node, member] : m_members) {
        if (!member.isPresent() || member.endpoint.service != session.parsed.service || m_emptied.contains(member.dataCentre))
            continue;
        const std::uint64_t rank = XXH3_64bits_withSeed(node.value().data(), node.value().size(), std::hash<RequestDigest>()(session.digest));
        if (chosen && rank <= highest)
            continue;
        chosen = &member;
        highest = rank;
    }
    if (!chosen || chosen->endpoint.lifecycle != EndpointLifecycle::Ready)
        return std::nullopt;
    return EndpointId { chosen->node, chosen->version.incarnation };
}

void CallGateway::perform(const SessionPtr& session, const SendAttempt& action)
{
    ServiceTraffic& service = *traffic(session->parsed.service);
    if (action.isResend) {
        if (const AttemptTransmission* transmission = transmissionOf(action.attempt); transmission && transmission->hasWaitingCopy())
            return;
        ++m_counters.resends;
    } else {
        ++m_counters.attempts;
        session->attempts.push_back(action.attempt.sequence);
        m_attempts.emplace(action.attempt.sequence, OutgoingAttempt { session, action.node });
        m_links.addPendingAnswers(action.node, 1);
        service.chooser().callSent({ action.node, action.target }, CallTicket(action.attempt.sequence), session->priority, steadyNow());
        service.measurement().callSent();
        service.metrics().attemptSent(session->isHedging);
    }
    CallRequestMessage message;
    message.attempt = action.attempt;
    message.targetIncarnation = action.target;
    message.isResend = action.isResend;
    message.isRepeat = action.isRepeat;
    message.service = session->parsed.service;
    message.priority = session->priority;
    message.isIdempotent = session->isIdempotent;
    message.remaining = action.remaining;
    message.targetRemaining = session->targetAt - steadyNow();
    message.sentAt = steadyMicroseconds();
    message.depth = session->parsed.depth;
    message.idempotencyKey = session->parsed.key;
    message.request = session->parsed.request;
    message.caller = session->parsed.callerProof();
    sendTo(action.node, message);
    if (!action.isResend)
        probeIfDue(service);
}

void CallGateway::perform(const SessionPtr&, const CancelAttempt& action)
{
    sendTo(action.node, CallCancelMessage { action.attempt, action.target });
}

void CallGateway::perform(const SessionPtr&, const LimitAttempt& action)
{
    sendTo(action.node, CallLimitMessage { action.attempt, action.target, action.answerWithin, steadyMicroseconds() });
}

void CallGateway::perform(const SessionPtr& session, const ReplaceLink& action)
{
    if (action.node == m_self.node || !m_links.replaceIfSilent(action.node)) {
        // The link works or is not needed, so the node is only slow. The event makes the call resend its attempt to it.
        const Incarnation incarnation = action.node == m_self.node ? m_self.incarnation : m_links.incarnation(action.node);
        m_context.post([this, session, node = action.node, incarnation] { handleEvent(session, LinkRestored { node, incarnation }); });
    }
}

void CallGateway::perform(const SessionPtr& session, const SetTimer& action)
{
    session->timer->setAt(action.at);
}

void CallGateway::perform(const SessionPtr& session, const ClearTimer&)
{
    session->timer->cancel();
}

void CallGateway::perform(const SessionPtr& session, const FinishCall& action)
{
    const CallOutcome& outcome = action.outcome;
    session->isAnswered = outcome.kind == CallOutcome::Kind::Answered;
    if (session->isAnswered && !session->isCallerDisconnected)
        traffic(session->parsed.service)->addLatency(session->priority, steadyNow() - session->startedAt);
    if (session->credit && outcome.kind == CallOutcome::Kind::NotRun)
        m_quotas.giveBack(session->parsed.workspace, *session->credit);
    answer(session, outcome);
    if (session->claim) {
        m_keyedSessions.erase(*session->claim);
        if (outcome.kind == CallOutcome::Kind::Answered)
            m_claimHooks.complete(*session->claim, session->parsed.service, claimKey(session->parsed.workspace, session->parsed.key));
        performKeyActions(m_keys.finish(*session->claim, outcome, steadyNow()));
    }
    removeSession(session);
}

void CallGateway::answer(const SessionPtr& session, const CallOutcome& outcome)
{
    ServiceTraffic& service = *traffic(session->parsed.service);
    const Duration latency = steadyNow() - session->startedAt;
    if (outcome.kind == CallOutcome::Kind::Answered) {
        const HttpResponse& response = *outcome.answer;
        ++m_counters.answered;
        const auto& priorities = service.document().priorities;
        const bool isWithinTarget = session->priority.value() < priorities.size() && latency <= priorities[session->priority.value()].target;
        service.metrics().callEnded(session->priority, CallOutcomeKind::Answered, latency, isWithinTarget);
        finishTrace(*session, response.status, 0, response.status >= firstServerErrorStatus || !isWithinTarget);
        session->exchange->respond(callerResponse(response));
        return;
    }
    const CallOutcomeKind kind = outcome.kind == CallOutcome::Kind::NotRun ? CallOutcomeKind::NotRun : CallOutcomeKind::Unknown;
    ++(kind == CallOutcomeKind::NotRun ? m_counters.notRun : m_counters.unknown);
    service.metrics().callEnded(session->priority, kind, latency, false);
    const ResultCode code = outcome.code == ResultCode::Ok ? ResultCode::OutcomeUnknown : outcome.code;
    service.metrics().callFailed(code);
    const Duration left = std::max(session->deadline - steadyNow(), Duration::zero());
    // A caller that returns early is of use where room may become free, but not with a request that is held or beyond a quota.
    const bool hasKnownTime = code == ResultCode::RequestHeld || code == ResultCode::QuotaExceeded;
    const Duration retryAfter = hasKnownTime ? outcome.retryAfter : std::min(outcome.retryAfter, left / retryAfterDivisor);
    const HttpResponse response = refusalResponse({ code, title(code) }, kind, retryAfter);
    finishTrace(*session, response.status, static_cast<std::int64_t>(code), !session->isCallerDisconnected);
    session->exchange->respond(response);
}

void CallGateway::finishTrace(CallSession& session, std::int64_t status, std::int64_t code, bool hasFailed)
{
    const TimePoint now = steadyNow();
    session.trace.add(LogEvent::CallEnded, now, {}, { status, code, (now - session.startedAt).count(), static_cast<std::int64_t>(session.attempts.size()) });
    if (!m_traceSampler.admits(session.parsed.requestId, hasFailed, session.trace.size(), now))
        return;
    const RoutingTable::Entry* route = session.parsed.route;
    session.trace.write(session.parsed.requestId, session.parsed.service, route ? route->rule.host + route->rule.pathPrefix : std::string());
}

void CallGateway::traceAttempt(const AttemptId& attempt, LogEvent event, const NodeId& peer, CallTrace::Values values)
{
    const auto entry = m_attempts.find(attempt.sequence);
    if (entry != m_attempts.end() && attempt.incarnation == m_self.incarnation)
        entry->second.session->trace.add(event, steadyNow(), peer, values);
}

std::size_t CallGateway::pendingCalls() const
{
    return static_cast<std::size_t>(std::count_if(m_sessions.begin(), m_sessions.end(), [](const auto& entry) { return !entry.second->isCallerDisconnected || entry.second->claim; }));
}

void CallGateway::logDroppedTraces()
{
    const std::uint64_t dropped = m_traceSampler.droppedLines();
    if (dropped > m_loggedDroppedTraceLines)
        log(LogEvent::RequestLinesDropped, { { "lines", std::to_string(dropped - m_loggedDroppedTraceLines) } });
    m_loggedDroppedTraceLines = dropped;
}

std::map<ServiceName, std::vector<EndpointStatus>> CallGateway::endpointStatus() const
{
    std::map<ServiceName, std::vector<EndpointStatus>> all;
    for (const auto& [service, traffic] : m_services)
        all[service] = traffic->chooser().status(steadyNow());
    return all;
}

void CallGateway::updateMetrics()
{
    for (const auto& entry : m_services)
        entry.second->updateMetrics(steadyNow());
    m_metrics.setLinks(m_links.openLinks());
}

void CallGateway::removeSession(const SessionPtr& session)
{
    session->timer->cancel();
    m_sessions.erase(session->id);
    m_quotas.cancel(session->id);
    // Attempts still in flight are abandoned if the caller disconnected or another attempt was answered first;
    // otherwise they are lost at the deadline.
    const CallEnd end = session->isCallerDisconnected || session->isAnswered ? CallEnd::Abandoned : CallEnd::Lost;
    for (const std::uint64_t sequence : session->attempts)
        finishAttempt({ m_self.node, m_self.incarnation, sequence }, end);
}

void CallGateway::sendTo(const NodeId& node, const PeerMessage& message)
{
    if (node == m_self.node) {
        // Posted, so that the reply cannot arrive while the session is still executing its actions.
        m_context.post([this, message] {
            if (const auto* request = std::get_if<CallRequestMessage>(&message))
                m_localRunner.receive(*request, ConnectionId());
            else if (const auto* cancel = std::get_if<CallCancelMessage>(&message))
                m_localRunner.cancel(*cancel, ConnectionId());
            else if (const auto* limit = std::get_if<CallLimitMessage>(&message))
                m_localRunner.limit(*limit);
        });
        return;
    }
    const auto* request = std::get_if<CallRequestMessage>(&message);
    if (AttemptTransmission* transmission = request ? transmissionOf(request->attempt) : nullptr)
        transmission->copyHandedOver();
    // Posted, so that a refusal cannot arrive while the session is still executing its actions.
    if (!m_links.send(node, message) && request)
        m_context.post([this, attempt = request->attempt] { copyReturned(attempt, ResultCode::PeerUnreachable); });
}

AttemptTransmission* CallGateway::transmissionOf(const AttemptId& attempt)
{
    const auto entry = m_attempts.find(attempt.sequence);
    return entry == m_attempts.end() || attempt.incarnation != m_self.incarnation ? nullptr : &entry->second.transmission;
}

void CallGateway::copyReturned(const AttemptId& attempt, ResultCode code)
{
    AttemptTransmission* transmission = transmissionOf(attempt);
    if (transmission && transmission->copyReturned())
        handleAttemptEvent(attempt, AttemptRefused { attempt, { code, refusalRetryAfter } });
}

void CallGateway::withdrawUnsentAttempts()
{
    std::vector<std::pair<NodeId, AttemptId>> waiting;
    for (const auto& [sequence, attempt] : m_attempts) {
        if (attempt.transmission.hasWaitingCopy())
            waiting.emplace_back(attempt.node, AttemptId { m_self.node, m_self.incarnation, sequence });
    }
    for (const auto& [node, attempt] : waiting) {
        if (m_links.forget(node, attempt))
            copyReturned(attempt, ResultCode::Draining);
    }
}

void CallGateway::finishAttempt(const AttemptId& attempt, CallEnd end)
{
    const auto entry = m_attempts.find(attempt.sequence);
    if (entry == m_attempts.end())
        return;
    m_links.addPendingAnswers(entry->second.node, -1);
    m_links.forget(entry->second.node, attempt);
    traffic(entry->second.session->parsed.service)->chooser().callFinished(CallTicket(attempt.sequence), end, steadyNow());
    m_attempts.erase(entry);
}

void CallGateway::recordLoadReport(const AttemptId& attempt, const NodeId& from, const LoadReport& load)
{
    const auto entry = m_attempts.find(attempt.sequence);
    const auto member = m_members.find(from);
    if (entry == m_attempts.end() || member == m_members.end())
        return;
    traffic(entry->second.session->parsed.service)->chooser().applyReport({ from, member->second.version.incarnation }, load, steadyNow());
}

void CallGateway::handleAttemptEvent(const AttemptId& attempt, const CallEvent& event)
{
    const auto entry = m_attempts.find(attempt.sequence);
    if (entry == m_attempts.end() || attempt.incarnation != m_self.incarnation)
        return;
    const SessionPtr session = entry->second.session;
    if (const auto* refused = std::get_if<AttemptRefused>(&event)) {
        const ResultCode code = refused->refusal.code;
        traffic(session->parsed.service)->metrics().attemptRefused(code);
        finishAttempt(attempt, code == ResultCode::PeerUnreachable ? CallEnd::Failed : CallEnd::Refused);
    }
    if (std::holds_alternative<AttemptUnknown>(event))
        finishAttempt(attempt, CallEnd::Failed);
    handleEvent(session, event);
}

void CallGateway::handleNodeEvent(const NodeId& node, const CallEvent& event)
{
    std::vector<SessionPtr> sessions;
    for (const auto& entry : m_attempts) {
        if (entry.second.node == node && std::find(sessions.begin(), sessions.end(), entry.second.session) == sessions.end())
            sessions.push_back(entry.second.session);
    }
    for (const SessionPtr& session : sessions)
        handleEvent(session, event);
}

void CallGateway::receive(const NodeId& from, const PeerMessage& message)
{
    if (const auto* accepted = std::get_if<CallAcceptedMessage>(&message)) {
        recordLoadReport(accepted->attempt, from, accepted->load);
        handleAttemptEvent(accepted->attempt, AttemptAccepted { accepted->attempt });
    } else if (const auto* answered = std::get_if<CallAnswerMessage>(&message)) {
        const auto entry = m_attempts.find(answered->attempt.sequence);
        if (entry == m_attempts.end() || answered->attempt.incarnation != m_self.incarnation)
            return;
        const SessionPtr session = entry->second.session;
        session->trace.add(LogEvent::AttemptAnswered, steadyNow(), from, { answered->response.status });
        const bool isFailure = answered->response.status >= firstServerErrorStatus;
        EndpointChooser& chooser = traffic(session->parsed.service)->chooser();
        chooser.callFinished(CallTicket(answered->attempt.sequence), isFailure ? CallEnd::Failed : CallEnd::Answered, steadyNow());
        recordLoadReport(answered->attempt, from, answered->load);
        finishAttempt(answered->attempt, CallEnd::Answered);
        const AnswerPointer response = std::make_shared<const HttpResponse>(answered->response);
        if (isFailure)
            handleEvent(session, AttemptFailed { answered->attempt, response });
        else
            handleEvent(session, AttemptAnswered { answered->attempt, response });
    } else if (const auto* refused = std::get_if<CallRefusalMessage>(&message)) {
        recordLoadReport(refused->attempt, from, refused->load);
        traceAttempt(refused->attempt, LogEvent::AttemptRefused, from, { static_cast<std::int64_t>(refused->code), refused->retryAfter.count() });
        const bool isFleetWide = refused->isFleetWide || isFleetOverloaded(refused->attempt, refused->code);
        handleAttemptEvent(refused->attempt, AttemptRefused { refused->attempt, { refused->code, refused->retryAfter, isFleetWide } });
    } else if (const auto* unknown = std::get_if<CallUnknownMessage>(&message)) {
        recordLoadReport(unknown->attempt, from, unknown->load);
        traceAttempt(unknown->attempt, LogEvent::AttemptOutcomeUnknown, from, { static_cast<std::int64_t>(unknown->code) });
        handleAttemptEvent(unknown->attempt, AttemptUnknown { unknown->attempt, unknown->code });
    } else if (const auto* cancelled = std::get_if<CallCancelledMessage>(&message)) {
        handleAttemptEvent(cancelled->attempt, CancelAcknowledged { cancelled->attempt, cancelled->result });
    } else if (const auto* probed = std::get_if<ProbeAnswerMessage>(&message)) {
        receiveProbe(from, *probed);
    } else if (const auto* update = std::get_if<LoadUpdateMessage>(&message)) {
        const auto member = m_members.find(from);
        ServiceTraffic* service = traffic(update->service);
        if (!service || member == m_members.end())
            return;
        const EndpointId endpoint { from, member->second.version.incarnation };
        if (service->chooser().applyReport(endpoint, update->load, steadyNow()))
            handleNodeEvent(from, EndpointSlowed { from });
    } else if (const auto* document = std::get_if<DocumentAnswerMessage>(&message)) {
        m_documentHook(from, *document);
    } else if (const auto* grant = std::get_if<QuotaGrantMessage>(&message)) {
        m_quotas.receive(*grant);
    }
}

void CallGateway::requestDocument(const NodeId& node, const ServiceName& service)
{
    m_links.send(node, DocumentRequestMessage { service });
}

bool CallGateway::isFleetOverloaded(const AttemptId& attempt, ResultCode code)
{
    const auto entry = m_attempts.find(attempt.sequence);
    if (entry == m_attempts.end() || (code != ResultCode::Overloaded && code != ResultCode::DeadlineCannotBeMet))
        return false;
    const CallSession& session = *entry->second.session;
    return traffic(session.parsed.service)->chooser().isFleetOverloaded(session.priority, steadyNow());
}

void CallGateway::probeIfDue(ServiceTraffic& service)
{
    const Duration processorStart = threadProcessorTime();
    const TimePoint now = steadyNow();
    std::optional<EndpointId> endpoint;
    if (service.measurement().hasEarnedProbe())
        endpoint = service.probes().next(service.chooser().probeCandidates(now), now);
    if (endpoint && endpoint->node == m_self.node)
        service.chooser().applyReport(*endpoint, m_localRunner.loadReport(), now);
    else if (endpoint && service.measurement().tryProbe(maximumProbeExchangeBytes, now)) {
        const std::uint64_t sequence = ++m_lastSequence;
        service.probes().probeSent(*endpoint, now);
        m_sentProbes[sequence] = { *endpoint, now };
        while (m_sentProbes.size() > maximumSentProbes)
            m_sentProbes.erase(m_sentProbes.begin());
        m_links.send(endpoint->node, ProbeMessage { sequence, service.document().service });
    }
    const MeasurementSpend& spend = service.measurement().spend();
    service.metrics().setMeasurement(spend.probes, spend.refusedProbes, spend.bytes);
    m_metrics.addMeasurementTime(threadProcessorTime() - processorStart);
}

void CallGateway::receiveProbe(const NodeId& from, const ProbeAnswerMessage& message)
{
    const Duration processorStart = threadProcessorTime();
    const auto entry = m_sentProbes.find(message.sequence);
    ServiceTraffic* service = traffic(message.service);
    if (entry != m_sentProbes.end() && service && entry->second.endpoint.node == from) {
        const TimePoint now = steadyNow();
        service->probes().probeEnded(entry->second.endpoint);
        service->chooser().addRoundTripSample(entry->second.endpoint, now - entry->second.sentAt);
        service->chooser().applyReport(entry->second.endpoint, message.load, now);
        m_sentProbes.erase(entry);
    }
    m_metrics.addMeasurementTime(threadProcessorTime() - processorStart);
}

void CallGateway::setDocument(const ServiceDocument& document)
{
    m_servicesWithOwnDocument.insert(document.service);
    applyDocument(document);
}

void CallGateway::setRouting(const std::shared_ptr<const RoutingTable>& routing)
{
    m_intake.setRouting(routing);
    m_quotas.setRouting(routing);
    for (const RoutedService& service : routing->document().services) {
        if (m_servicesWithOwnDocument.count(service.name) == 0)
            applyDocument(documentFromRoutes(routing->document(), service.name));
    }
}

void CallGateway::applyDocument(const ServiceDocument& document)
{
    std::unique_ptr<ServiceTraffic>& service = m_services[document.service];
    if (service) {
        service->setDocument(document);
        return;
    }
    service = std::make_unique<ServiceTraffic>(document, m_self.dataCentre, m_settings.choice, retryBurst(), m_metrics);
    for (const auto& entry : m_members)
        setMember(MemberRecord(entry.second));
}

void CallGateway::setConfigurationProvedAt(TimePoint provedAt)
{
    m_configurationProvedAt = provedAt;
    m_quotas.configurationProved(provedAt);
}

void CallGateway::setMember(const MemberRecord& member)
{
    const auto previous = m_members.find(member.node);
    if (previous != m_members.end()) {
        ServiceTraffic* before = traffic(previous->second.endpoint.service);
        const bool isReplaced = previous->second.version.incarnation != member.version.incarnation || previous->second.endpoint.service != member.endpoint.service;
        if (before && isReplaced)
            before->chooser().remove({ member.node, previous->second.version.incarnation });
    }
    const bool isNew = previous == m_members.end();
    m_members[member.node] = member;
    if (isNew) {
        for (const auto& entry : m_services)
            entry.second->setBurst(retryBurst());
    }
    if (member.node != m_self.node && !member.peerAddress.isEmpty())
        m_links.setAddress(member.node, toText(member.peerAddress));
    m_quotas.setMember(member);
    ServiceTraffic* service = traffic(member.endpoint.service);
    if (!service)
        return;
    const EndpointId id { member.node, member.version.incarnation };
    const bool hasEndpoint = member.isPresent() && (member.endpoint.lifecycle == EndpointLifecycle::Ready || member.endpoint.lifecycle == EndpointLifecycle::Draining);
    if (!hasEndpoint || m_emptied.contains(member.dataCentre)) {
        service->chooser().remove(id);
        return;
    }
    const std::uint32_t slots = member.endpoint.slots > 0 ? member.endpoint.slots : service->document().defaultSlots;
    service->chooser().update(id, { member.dataCentre, slots, m_emptied.availableSince(member.dataCentre, member.endpoint.announcedAt), member.endpoint.lifecycle == EndpointLifecycle::Draining });
    if (member.node != m_self.node)
        return;
    // The endpoint beside this node needs no link, so that calls can go there before anything is known of the others.
    const LoadReport load = m_localRunner.loadReport();
    if (!load.draining && load.concurrencyLimit > 0)
        service->chooser().applyReport(id, load, steadyNow());
}

void CallGateway::setEvacuations(const EvacuationDocument& evacuations)
{
    const std::set<DataCentre> changed = m_emptied.apply(evacuations, steadyNow());
    if (changed.empty())
        return;
    log(LogEvent::EvacuationsInForce, { { "data_centres", m_emptied.text() }, { "own", m_emptied.contains(m_self.dataCentre) ? "1" : "0" } });
    for (const auto& entry : std::map<NodeId, MemberRecord>(m_members)) {
        if (changed.count(entry.second.dataCentre) > 0)
            setMember(entry.second);
    }
}

bool CallGateway::isInLocalDataCentre(const NodeId& node) const
{
    const auto member = m_members.find(node);
    return member != m_members.end() && member->second.dataCentre == m_self.dataCentre;
}

bool CallGateway::tryTakeExtraAttempt(const ServiceName& service)
{
    ServiceTraffic* entry = traffic(service);
    return entry && entry->budgets().extra.tryTake(steadyNow());
}

} // namespace Knapweedquay
