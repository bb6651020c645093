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

/// Takes the calls of callers and carries out what OutgoingCall decides.
///
/// Lives on the traffic thread. One CallSession for each call; attempts go to the nodes beside the chosen
/// endpoints over PeerLinks, or straight to this node's own EndpointRunner.
class CallGateway {
public:
    /// Asks the control store for an idempotency key; the answer comes by claimAnswered().
    struct ClaimHooks {
        std::function<void(const RequestClaim&, Duration timeout)> request;
        std::function<void(const ReleaseClaim&)> release;
        /// The call of the owner was answered, so that its key is told to have run from now on.
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

    /// A caller's request came in.
    void handle(const HttpExchangePtr&);

    /// Puts a newer document in force.
    void setDocument(const ServiceDocument&);
    /// Puts newer routes in force, and documents made from them for services without one of their own.
    void setRouting(const std::shared_ptr<const RoutingTable>&);
    /// Calls are refused until the first proof that the documents are recent.
    void setConfigurationFresh() { m_isConfigurationFresh = true; }
    /// A node of the deployment changed, came or went.
    void setMember(const MemberRecord&);

    /// Asks another node for a document; the answer goes to the hook of setDocumentHook().
    void requestDocument(const NodeId&, const ServiceName&);
    void setDocumentHook(std::function<void(const DocumentAnswerMessage&)> hook) { m_documentHook = std::move(hook); }

    /// Reply to ClaimHooks::request: Ok when granted, else the code of the refusal.
    void claimAnswered(const ClaimOwner&, ResultCode);

    /// Message of the local endpoint runner or of another node about an attempt of this node.
    void receive(const NodeId& from, const PeerMessage&);

    void updateMetrics();
    /// What this node believes of the endpoints of each service.
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
    /// Writes the story of a call that failed or is sampled.
    void endTrail(CallSession&, std::int64_t status, std::int64_t code, bool hasFailed);
    void tellDroppedTrails();
    void noteAttempt(const AttemptId&, LogEvent, const NodeId& peer, CallTrail::Values);

    void sendTo(const NodeId&, const PeerMessage&);
    /// Sends one probe when a report is old and the service's measuring budget allows it.
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
    /// Services whose documents their own teams wrote.
    std::set<ServiceName> m_teamDocuments;
    std::map<NodeId, MemberRecord> m_members;
    std::unordered_map<std::uint64_t, SessionPtr> m_sessions;
    /// Attempts that have no outcome yet, by their sequence number.
    std::unordered_map<std::uint64_t, OutgoingAttempt> m_attempts;
    /// When each unanswered probe was sent, by its sequence number.
    std::map<std::uint64_t, SentProbe> m_sentProbes;
    IdempotencyKeyTable m_keys;
    std::unordered_map<ClaimOwner, SessionPtr> m_keyed;
    TrailPolicy m_trails;
    std::uint64_t m_toldDroppedTrails = 0;
    Timer m_expiryTimer;
    Counters m_counters;
};

} // namespace Knapweedquay
