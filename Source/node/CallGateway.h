#pragma once

#include "coordination/attempts/AttemptTransmission.h"
#include "coordination/attempts/IdempotencyKeyTable.h"
#include "coordination/placing/EmptiedDataCentres.h"
#include "coordination/routing/CallerDeadlines.h"
#include "coordination/stopping/GracefulStop.h"
#include "node/CallIntake.h"
#include "node/CallSession.h"
#include "node/EndpointRunner.h"
#include "node/NodeIdentity.h"
#include "node/NodeKeys.h"
#include "node/NodeQuotas.h"
#include "node/PeerLinks.h"
#include "node/ServiceTraffic.h"
#include "protocol/MemberRecord.h"
#include "protocol/ProblemDetails.h"
#include "transport/HttpServer.h"

#include <asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace Knapweedquay {

/// Accepts callers' requests and executes the actions of each call's OutgoingCall state machine.
///
/// Runs on the traffic thread, with one CallSession per call. Attempts are sent over PeerLinks to the nodes of the
/// chosen endpoints, or passed directly to the EndpointRunner of this node.
class CallGateway {
public:
    /// Requests to the control store about idempotency keys; the reply to a claim is passed to claimAnswered().
    struct ClaimHooks {
        /// Requests a claim on a key.
        std::function<void(const RequestClaim&, Duration timeout)> request;
        /// Releases a claim, so that its key can be claimed again.
        std::function<void(const ReleaseClaim&)> release;
        /// Reports that the owner's call was answered, so that the store refuses later claims on its key with
        /// AlreadyRan.
        std::function<void(const ClaimOwner&, const ServiceName&, const IdempotencyKey&)> complete;
    };

    /// Totals since the start of the process.
    struct Counters {
        std::uint64_t calls = 0;
        /// Calls by outcome; the calls in progress are in none of the three.
        std::uint64_t answered = 0;
        std::uint64_t notRun = 0;
        std::uint64_t unknown = 0;
        /// Attempts sent, without resends of the same attempt.
        std::uint64_t attempts = 0;
        std::uint64_t resends = 0;
        /// Calls that arrived during the stop of the node and could not end before it.
        std::uint64_t refusedLate = 0;
    };

    /// Settings of a gateway, taken from those of the node.
    struct Settings {
        CallHeaders headers;
        /// Until setCallerService() is called.
        ServiceName callerService;
        CallInterface callInterface = CallInterface::RoutesAndTargets;
        ChoiceSettings choice;
        /// Extra attempts beyond the shares of a service's document that all nodes together may make at once.
        double fleetRetryBurst = 0;
        TraceSampler::Settings traces;
        QuotaBound quotaBound;
        BodyBudgets bodies {};
    };

    CallGateway(asio::io_context&, NodeIdentity self, EndpointRunner& local, NodeQuarantine&, NodeKeys&, const GracefulStop&, Settings, ClaimHooks, NodeMetrics&);
    ~CallGateway();

    /// Starts the call of a caller's request, or refuses it.
    void handle(const HttpExchangePtr&);

    /// Sets the service that requests name from now on as that of the local backend server.
    void setCallerService(const ServiceName& service) { m_intake.setCallerService(service); }
    /// Applies a newer document of a service.
    void setDocument(const ServiceDocument&);
    /// Applies newer routes, and documents derived from them to the services that have no document of their own.
    void setRouting(const std::shared_ptr<const RoutingTable>&);
    /// Stops sending calls to endpoints of emptied data centres, and takes back those of the others.
    void setEvacuations(const EvacuationDocument&);
    const EmptiedDataCentres& emptiedDataCentres() const { return m_emptied; }
    /// Sets the time at which the documents were last proved recent. Calls are refused until the first proof.
    void setConfigurationProvedAt(TimePoint);
    /// Updates the links and the endpoints after a member of the deployment joined, changed or left.
    void setMember(const MemberRecord&);
    /// True if the node is known to be in the data centre of this node.
    bool isInLocalDataCentre(const NodeId&) const;
    /// Takes from the budget of extra attempts of a service; returns false if it is exhausted.
    bool tryTakeExtraAttempt(const ServiceName&);

    /// Requests a document from another node; its answer is passed to the hook set by setDocumentHook().
    void requestDocument(const NodeId&, const ServiceName&);
    void setDocumentHook(std::function<void(const NodeId& from, const DocumentAnswerMessage&)> hook) { m_documentHook = std::move(hook); }

    /// Handles the reply to ClaimHooks::request: Ok if the claim was granted, otherwise the code of the refusal.
    void claimAnswered(const ClaimOwner&, ResultCode);

    /// Limits the calls in progress to the time in which this node, whose stop was ordered, can still pass their answers on. No
    /// request is passed on behind one that may take longer.
    void limitCalls();
    /// Answers the calls that no endpoint's node has in hand, since this node ends soon.
    void endWaitingCalls();

    /// Ends the calls that hold back answers of their connections.
    void endBlockingCalls();

    NodeQuotas& quotas() { return m_quotas; }

    /// Handles a message from the local endpoint runner or another node: about an attempt of this node, a probe, the
    /// sender's load or a document.
    void receive(const NodeId& from, const PeerMessage&);

    void updateMetrics();
    /// This node's current estimates of load and health for the endpoints of each service.
    std::map<ServiceName, std::vector<EndpointStatus>> endpointStatus() const;
    std::uint64_t droppedTraceLines() const { return m_traceSampler.droppedLines(); }
    std::size_t sessionCount() const { return m_sessions.size(); }
    /// Number of calls whose caller waits for the answer, or whose key waits for the outcome.
    std::size_t pendingCalls() const;
    const Counters& counters() const { return m_counters; }

private:
    using SessionPtr = std::shared_ptr<CallSession>;

    /// An attempt without an outcome, and the node that it was sent to.
    struct OutgoingAttempt {
        SessionPtr session;
        NodeId node;
        AttemptTransmission transmission {};
    };

    /// A probe without an answer.
    struct SentProbe {
        EndpointId endpoint;
        TimePoint sentAt;
    };

    /// Responds that the request was not run, before a session exists.
    void refuse(const HttpExchangePtr&, const Error&, Duration retryAfter = Duration::zero());
    Result<SessionPtr> createSession(const HttpExchangePtr&);
    /// Sets priority, idempotency, limits, target and deadline of the session from its route or the service's document.
    Result<void> classify(CallSession&, const ServiceTraffic&);
    /// Returns the priority requested by the caller, but none higher than that of the route.
    Result<PriorityIndex> choosePriority(const ServiceTraffic&, const ParsedCall&, PriorityIndex byRoute) const;
    HttpResponse refusalResponse(const Error&, CallOutcomeKind, Duration retryAfter) const;
    void applyDocument(const ServiceDocument&);
    /// This node's part of the burst of extra attempts. Members that left count too: some may return, and a fleet that is
    /// cut in two must not spend its burst twice.
    double retryBurst() const { return RetryBudget::burstOfNode(m_settings.fleetRetryBurst, m_members.size()); }
    void startSession(const SessionPtr&);
    /// Adapts a call to the stop of this node, if that is ordered.
    void limitCall(const SessionPtr&);
    /// Starts the call if its workspace has credit, refuses it, or leaves it waiting for credit.
    void startWithCredit(const SessionPtr&);
    void handleCredit(const SessionPtr&, const QuotaCredit::Decision&);
    /// Starts a call that may run.
    void startAttempts(const SessionPtr&);
    /// Claims the idempotency key of the call before its first attempt.
    void startKeyed(const SessionPtr&);
    void performKeyActions(const KeyActions&);
    void handleDisconnect(const SessionPtr&);

    /// Passes an event to the session's OutgoingCall and executes the resulting actions.
    void handleEvent(const SessionPtr&, const CallEvent&);
    void perform(const SessionPtr&, const ChooseEndpoint&);
    /// The only endpoint at which a held request may run for a trial; not set unless it takes calls. Chosen by rendezvous hashing, so
    /// that all nodes agree on it.
    std::optional<EndpointId> trialEndpoint(const CallSession&) const;
    void perform(const SessionPtr&, const SendAttempt&);
    void perform(const SessionPtr&, const CancelAttempt&);
    void perform(const SessionPtr&, const LimitAttempt&);
    void perform(const SessionPtr&, const ReplaceLink&);
    void perform(const SessionPtr&, const SetTimer&);
    void perform(const SessionPtr&, const ClearTimer&);
    void perform(const SessionPtr&, const FinishCall&);
    /// Sends the outcome of the call to the caller, and records it in metrics and trace.
    void answer(const SessionPtr&, const CallOutcome&);
    /// Removes a finished session, and stops tracking its remaining attempts.
    void removeSession(const SessionPtr&);
    /// Ends the trace of a call, and writes it if the call failed or is sampled. An answer with a server error, or one
    /// that missed the latency target, counts as failed.
    void finishTrace(CallSession&, std::int64_t status, std::int64_t code, bool hasFailed);
    /// Logs the number of trace lines dropped since the previous call, if any.
    void logDroppedTraces();
    /// Adds an event of an attempt to the trace of its session.
    void traceAttempt(const AttemptId&, LogEvent, const NodeId& peer, CallTrace::Values);

    void sendTo(const NodeId&, const PeerMessage&);
    /// What became of the copies of an attempt; null once it has an outcome.
    AttemptTransmission* transmissionOf(const AttemptId&);
    /// Handles that a copy of an attempt was not sent, and why: the attempt is refused if it has certainly not run. Otherwise its
    /// call resends it when nothing is heard of it.
    void copyReturned(const AttemptId&, ResultCode);
    /// Takes back the attempts of which no copy was sent whole.
    void withdrawUnsentAttempts();
    /// Sends one probe if an endpoint's load report is old and the service's measurement budget allows it. The load of
    /// the local endpoint is read without a probe.
    void probeIfDue(ServiceTraffic&);
    void receiveProbe(const NodeId& from, const ProbeAnswerMessage&);
    /// True if the attempt was refused for load and all endpoints of its service are overloaded for its priority.
    bool isFleetOverloaded(const AttemptId&, ResultCode);
    /// Stops tracking an attempt and reports its end to the endpoint chooser.
    void finishAttempt(const AttemptId&, CallEnd);
    /// Passes the load report received with a reply about an attempt to the endpoint chooser.
    void recordLoadReport(const AttemptId&, const NodeId& from, const LoadReport&);
    void handleAttemptEvent(const AttemptId&, const CallEvent&);
    /// Passes an event that concerns a node to all sessions with attempts at that node.
    void handleNodeEvent(const NodeId&, const CallEvent&);
    /// State of the calls to a service; null if the service has no document.
    ServiceTraffic* traffic(const ServiceName&);

    asio::io_context& m_context;
    NodeIdentity m_self;
    EndpointRunner& m_localRunner;
    NodeQuarantine& m_quarantine;
    NodeKeys& m_keyChecks;
    const GracefulStop& m_stop;
    Settings m_settings;
    CallIntake m_intake;
    CallerDeadlines m_callerDeadlines;
    ClaimHooks m_claimHooks;
    std::function<void(const NodeId& from, const DocumentAnswerMessage&)> m_documentHook;
    NodeMetrics& m_metrics;
    PeerLinks m_links;
    EndpointChooser::RandomEngine m_random;
    /// False until the documents were proved recent for the first time; calls are refused until then.
    std::optional<TimePoint> m_configurationProvedAt;
    /// Sequence number last used; attempts, claims, sessions and probes share the numbers.
    std::uint64_t m_lastSequence = 0;
    std::map<ServiceName, std::unique_ptr<ServiceTraffic>> m_services;
    /// Services with a document of their own, as opposed to one derived from the routes.
    std::set<ServiceName> m_servicesWithOwnDocument;
    std::map<NodeId, MemberRecord> m_members;
    EmptiedDataCentres m_emptied;
    /// Calls in progress, by session id.
    std::unordered_map<std::uint64_t, SessionPtr> m_sessions;
    /// Attempts without an outcome, by sequence number.
    std::unordered_map<std::uint64_t, OutgoingAttempt> m_attempts;
    /// Unanswered probes, by sequence number.
    std::map<std::uint64_t, SentProbe> m_sentProbes;
    NodeQuotas m_quotas;
    IdempotencyKeyTable m_keys;
    /// Calls with an idempotency key that hold or request a claim.
    std::unordered_map<ClaimOwner, SessionPtr> m_keyedSessions;
    TraceSampler m_traceSampler;
    /// Dropped trace lines at the time of the last log line about them.
    std::uint64_t m_loggedDroppedTraceLines = 0;
    /// Triggers the removal of expired idempotency keys and the log line about dropped traces.
    Timer m_maintenanceTimer;
    Counters m_counters;
};

} // namespace Knapweedquay
