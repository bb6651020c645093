#pragma once

#include "coordination/attempts/IdempotencyKeyTable.h"
#include "coordination/routing/CallerDeadlines.h"
#include "node/CallIntake.h"
#include "node/CallSession.h"
#include "node/EndpointRunner.h"
#include "node/NodeIdentity.h"
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
    /// Requests to the control store about idempotency keys; the store's reply is passed to claimAnswered().
    struct ClaimHooks {
        std::function<void(const RequestClaim&, Duration timeout)> request;
        std::function<void(const ReleaseClaim&)> release;
        /// The owner's call was answered; the store reports its key as already run from now on.
        std::function<void(const ClaimOwner&, const ServiceName&, const IdempotencyKey&)> complete;
    };

    struct Counters {
        std::uint64_t calls = 0;
        std::uint64_t answered = 0;
        std::uint64_t notRun = 0;
        std::uint64_t unknown = 0;
        std::uint64_t attempts = 0;
        std::uint64_t resends = 0;
    };

    struct Settings {
        CallHeaders headers;
        ServiceName callerService;
        bool needsRouting = false;
        ChoiceSettings choice;
        TrailPolicy::Settings trails;
    };

    CallGateway(asio::io_context&, NodeIdentity self, EndpointRunner& local, Settings, ClaimHooks, NodeMetrics&);
    ~CallGateway();

    /// Starts the call of a caller's request, or refuses it.
    void handle(const HttpExchangePtr&);

    /// Applies a newer document of a service.
    void setDocument(const ServiceDocument&);
    /// Applies newer routes, and documents derived from them to the services that have no document of their own.
    void setRouting(const std::shared_ptr<const RoutingTable>&);
    /// Starts accepting calls; they are refused until the documents were proved recent for the first time.
    void setConfigurationFresh() { m_isConfigurationFresh = true; }
    /// Updates the links and the endpoints after a member of the deployment joined, changed or left.
    void setMember(const MemberRecord&);

    /// Requests a document from another node; its answer is passed to the hook set by setDocumentHook().
    void requestDocument(const NodeId&, const ServiceName&);
    void setDocumentHook(std::function<void(const DocumentAnswerMessage&)> hook) { m_documentHook = std::move(hook); }

    /// Handles the reply to ClaimHooks::request: Ok if the claim was granted, otherwise the code of the refusal.
    void claimAnswered(const ClaimOwner&, ResultCode);

    /// Handles a message from the local endpoint runner or another node: about an attempt of this node, a probe, the
    /// sender's load or a document.
    void receive(const NodeId& from, const PeerMessage&);

    void updateMetrics();
    /// This node's current estimates of load and health for the endpoints of each service.
    std::map<ServiceName, std::vector<EndpointStatus>> endpointStatus() const;
    std::uint64_t droppedTrailLines() const { return m_trails.droppedLines(); }
    std::size_t sessionCount() const { return m_sessions.size(); }
    const Counters& counters() const { return m_counters; }

private:
    using SessionPtr = std::shared_ptr<CallSession>;

    struct OutgoingAttempt {
        SessionPtr session;
        NodeId node;
    };

    struct SentProbe {
        EndpointId endpoint;
        TimePoint at;
    };

    void refuse(const HttpExchangePtr&, const Error&, Duration retryAfter = Duration::zero());
    Result<SessionPtr> createSession(const HttpExchangePtr&);
    Result<void> classify(CallSession&, const ServiceTraffic&);
    Result<PriorityIndex> choosePriority(const ServiceTraffic&, const ParsedCall&, PriorityIndex byRoute) const;
    HttpResponse refusalResponse(const Error&, CallOutcomeKind, Duration retryAfter) const;
    void putDocument(const ServiceDocument&);
    void startSession(const SessionPtr&);
    void startKeyed(const SessionPtr&);
    void performKeyActions(const KeyActions&);
    void callerGone(const SessionPtr&);

    void feed(const SessionPtr&, const CallEvent&);
    void perform(const SessionPtr&, const ChooseEndpoint&);
    void perform(const SessionPtr&, const SendAttempt&);
    void perform(const SessionPtr&, const CancelAttempt&);
    void perform(const SessionPtr&, const ReplaceLink&);
    void perform(const SessionPtr&, const SetTimer&);
    void perform(const SessionPtr&, const ClearTimer&);
    void perform(const SessionPtr&, const FinishCall&);
    void answer(const SessionPtr&, const CallOutcome&);
    void forget(const SessionPtr&);
    /// Writes the trace of a call that failed or is sampled.
    void endTrail(CallSession&, std::int64_t status, std::int64_t code, bool hasFailed);
    void tellDroppedTrails();
    void noteAttempt(const AttemptId&, LogEvent, const NodeId& peer, CallTrail::Values);

    void sendTo(const NodeId&, const PeerMessage&);
    /// Sends one probe if an endpoint's load report is old and the service's measurement budget allows it.
    void probeIfDue(ServiceTraffic&);
    void receiveProbe(const NodeId& from, const ProbeAnswerMessage&);
    bool isFleetOverloaded(const AttemptId&, ResultCode);
    void settle(const AttemptId&, CallEnd);
    void report(const AttemptId&, const NodeId& from, const LoadReport&);
    void feedAttempt(const AttemptId&, const CallEvent&);
    void feedNode(const NodeId&, const CallEvent&);
    ServiceTraffic* traffic(const ServiceName&);

    asio::io_context& m_context;
    NodeIdentity m_self;
    EndpointRunner& m_local;
    Settings m_settings;
    CallIntake m_intake;
    CallerDeadlines m_callerDeadlines;
    ClaimHooks m_claims;
    std::function<void(const DocumentAnswerMessage&)> m_documentHook;
    NodeMetrics& m_metrics;
    PeerLinks m_links;
    EndpointChooser::RandomEngine m_random;
    bool m_isConfigurationFresh = false;
    std::uint64_t m_lastSequence = 0;
    std::map<ServiceName, std::unique_ptr<ServiceTraffic>> m_services;
    /// Services with a document of their own, as opposed to one derived from the routes.
    std::set<ServiceName> m_teamDocuments;
    std::map<NodeId, MemberRecord> m_members;
    std::unordered_map<std::uint64_t, SessionPtr> m_sessions;
    /// Attempts without an outcome, by sequence number.
    std::unordered_map<std::uint64_t, OutgoingAttempt> m_attempts;
    /// Unanswered probes, by sequence number.
    std::map<std::uint64_t, SentProbe> m_sentProbes;
    IdempotencyKeyTable m_keys;
    std::unordered_map<ClaimOwner, SessionPtr> m_keyed;
    TrailPolicy m_trails;
    std::uint64_t m_toldDroppedTrails = 0;
    Timer m_expiryTimer;
    Counters m_counters;
};

} // namespace Knapweedquay
