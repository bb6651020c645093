#pragma once

#include "coordination/membership/Membership.h"
#include "coordination/presence/BackendPresence.h"
#include "coordination/presence/LocalService.h"
#include "coordination/routing/RoutingTable.h"
#include "node/ControlSubscription.h"
#include "node/EndpointRunner.h"
#include "node/NodeIdentity.h"
#include "node/NodeMetrics.h"
#include "node/NodeSettings.h"
#include "state/EvacuationDocument.h"
#include "state/QuotaHolderDocument.h"
#include "state/ServiceDocument.h"
#include "transport/HttpServer.h"
#include "transport/MembershipAgent.h"
#include "transport/SteadyTime.h"

#include <asio/io_context.hpp>

#include <array>
#include <functional>
#include <memory>
#include <set>
#include <optional>
#include <string>
#include <vector>

namespace Knapweedquay {

/// The components of a node that run on its control thread: membership, the subscription to the documents,
/// announcements of the backend server, metrics and status.
///
/// Changes that concern the traffic thread are reported through hooks; the owner posts them to that thread.
class NodeControl {
public:
    /// Functions that the owner provides: handlers of changes, and sources of metrics and status.
    struct Hooks {
        /// A datagram of the membership protocol was sent; isLocal: to a member of the own data centre.
        std::function<void(std::size_t bytes, bool isLocal)> datagramSent;
        std::function<void(const MemberRecord&)> memberChanged;
        std::function<void(const ServiceDocument&, const DocumentMessage& source)> documentChanged;
        std::function<void(const std::shared_ptr<const RoutingTable>&, const DocumentMessage& source)> routingChanged;
        std::function<void(const EvacuationDocument&, const DocumentMessage& source)> evacuationsChanged;
        std::function<void(const QuotaHolderDocument&, const DocumentMessage& source)> quotaHoldersChanged;
        /// Another member has news about a request that was running in crashes.
        std::function<void(const CrashEvidence&)> evidenceReceived;
        /// Releases a held request; false if nothing is known of it.
        std::function<bool(const RequestDigest&)> releaseRequest;
        /// Requests a document from another node; its answer is passed to offerDocument().
        std::function<void(const NodeId&, const ServiceName&)> fetchDocument;
        /// All that was committed at that time is in force.
        std::function<void(TimePoint provedAt)> configurationProved;
        /// The store replied to a claim, or did not reply in time.
        std::function<void(const AttemptId& owner, ResultCode)> claimAnswered;
        std::function<void(const LocalBackend&)> backendAnnounced;
        std::function<void()> backendRemoved;
        std::function<void()> backendDraining;
        /// The present run announced that it stays cold for this time.
        std::function<void(Duration left)> backendCold;
        /// The requests that begin here name another service from now on.
        std::function<void(const ServiceName&)> localServiceChanged;
        /// Another process with a newer incarnation uses this node's id.
        std::function<void()> superseded;
        /// Returns the text of all metrics, for the admin port.
        std::function<std::string()> metrics;
        /// Returns the state of the traffic thread as JSON, for the admin port.
        std::function<std::string()> trafficStatus;
    };

    /// A request that the admin port answers, and the function that does.
    struct AdminResource {
        const char* method;
        const char* path;
        HttpResponse (NodeControl::*handle)(const HttpRequest&);
    };

    NodeControl(asio::io_context&, NodeIdentity, const NodeSettings&, Hooks);

    /// All requests that the admin port answers.
    static const std::array<AdminResource, 6>& adminResources();

    /// Opens the admin port, then starts membership, which advertises the given peer port, and the subscription.
    Result<void> start(std::uint16_t peersPort);
    /// Makes isReady() false, so that callers use other nodes.
    void endReadiness() { m_isStopping = true; }
    /// Announces to the other members that this node is leaving; complete once hasSpreadLeave() is true.
    void leave();
    bool hasSpreadLeave() const { return m_membership.isStarted() && m_membership.membership().hasSpreadLeave(); }
    /// Updates the gauges of membership and documents.
    void updateMetrics(NodeMetrics&) const;
    /// Applies a document that another node has in force, if it is newer.
    void offerDocument(const DocumentMessage&, const NodeId& sender);
    /// Passes evidence about requests that were running in crashes to the other members, first to the recipients.
    void spreadEvidence(const std::vector<CrashEvidence>&, const std::vector<NodeId>& recipients);
    /// Receives whether what the backend server announced may be acknowledged; if not, it was not recorded in time.
    using Acknowledge = std::function<void(bool)>;
    /// Handles an announcement of the local backend server. That it drains is acknowledged once the store has recorded it.
    void announce(const BackendAnnouncement&, const Acknowledge&);
    /// Handles a message that a run of the local backend server is leaving; startedAt is the start time of that run. Acknowledged
    /// once the store has recorded it.
    void announceLeave(const std::string& instance, std::uint64_t startedAt, const Acknowledge&);
    /// Handles that the backend server told in its responses that it leaves.
    void backendLeaves(const LocalBackend&);
    /// True if callers may use this node: its documents were proved recent, it has a routing document and it is not
    /// stopping.
    bool isReady() const { return m_subscription.isFresh() && m_hasRouting && !m_isStopping; }
    /// Replaces seeds and control replicas after the settings file was reloaded.
    void setContacts(const std::vector<std::string>& controlReplicas, const std::vector<SocketAddress>& seeds);
    /// Sets the service of the local backend server after the settings file was reloaded.
    void setLocalService(const ServiceName&);
    ControlSubscription& subscription() { return m_subscription; }
    std::uint16_t adminPort() const { return m_adminServer.port(); }

private:
    void handleAdmin(const HttpExchangePtr&);
    HttpResponse handleAnnounce(const HttpRequest&);
    /// Starts draining the local backend server.
    HttpResponse handleLeave(const HttpRequest&);
    /// Stops draining the local backend server.
    HttpResponse handleReturn(const HttpRequest&);
    /// Releases the held request whose digest the body names.
    HttpResponse handleRelease(const HttpRequest&);
    HttpResponse handleMetrics(const HttpRequest&);
    HttpResponse handleStatus(const HttpRequest&);
    ControlSubscription::Hooks subscriptionHooks();
    DepartureRecords::Hooks departureHooks();
    void recordDeparture(const BackendRun&, const Acknowledge&);
    /// Checks the subscription, and again after its interval.
    void checkSubscription();
    /// Reports a change of the local backend server through the hooks and to the other members.
    /// source: what caused the change, for the log.
    void apply(PresenceChange, const char* source = "announcement");
    /// True if the configuration has a service.
    bool isKnown(const ServiceName&) const;
    /// Takes the service of the present backend server for that of this node, if the configuration has it.
    void considerAnnouncedService();
    /// Reports another service of this node. source: what named it, for the log.
    void reportLocalService(const char* source);
    /// Like applyDocument(), for the routing document.
    bool applyRouting(const DocumentMessage&, const DocumentSender&);
    /// Like applyDocument(), for the evacuation document.
    bool applyEvacuations(const DocumentMessage&, const DocumentSender&);
    bool applyQuotaHolders(const DocumentMessage&, const DocumentSender&);
    std::string status() const;
    /// Publishes the endpoint of the local backend server to the other members.
    void publishEndpoint(EndpointLifecycle);
    /// Removes the backend server if its announcements have stopped.
    void checkBackend();
    /// Validates a newer document and reports it through the hooks. Returns whether it was applied.
    bool applyDocument(const DocumentMessage&, const DocumentSender&);
    /// Publishes the document versions in force to the other members.
    void publishDocuments();
    void apply(const MembershipAction&);

    asio::io_context& m_context;
    NodeIdentity m_self;
    NodeSettings m_settings;
    Hooks m_hooks;
    HttpServer m_adminServer;
    MembershipAgent m_membership;
    LinkClient m_controlLinks;
    ControlSubscription m_subscription;
    /// Services of the routing document in force.
    std::set<ServiceName> m_routedServices;
    BackendPresence m_presence;
    LocalService m_localService;
    DepartureRecords m_departures;
    /// State of the local endpoint, as last published to the other members.
    EndpointState m_endpoint;
    /// True once the documents were proved recent for the first time.
    bool m_hasProof = false;
    bool m_hasRouting = false;
    /// True while a newer routing document than the one in force was refused here.
    bool m_isRoutingRefused = false;
    /// True after endReadiness().
    bool m_isStopping = false;
    Timer m_backendTimer;
    Timer m_subscriptionTimer;
};

} // namespace Knapweedquay
