#pragma once

#include "coordination/membership/Membership.h"
#include "coordination/presence/BackendPresence.h"
#include "coordination/routing/RoutingTable.h"
#include "node/ControlSubscription.h"
#include "node/EndpointRunner.h"
#include "node/NodeIdentity.h"
#include "node/NodeMetrics.h"
#include "node/NodeSettings.h"
#include "state/ServiceDocument.h"
#include "transport/HttpServer.h"
#include "transport/MembershipAgent.h"
#include "transport/SteadyTime.h"

#include <asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Knapweedquay {

/// Everything of a node that lives on its control thread: membership, the subscription to the documents,
/// announcements of the backend server, metrics and status.
///
/// What the traffic thread needs leaves through the hooks, which its owner hands over to that thread.
class NodeControl {
public:
    struct Hooks {
        std::function<void(const MemberRecord&)> memberChanged;
        std::function<void(const ServiceDocument&, const DocumentMessage& source)> documentChanged;
        std::function<void(const std::shared_ptr<const RoutingTable>&, const DocumentMessage& source)> routingChanged;
        /// Ask another node for a document; its answer comes by offerDocument().
        std::function<void(const NodeId&, const ServiceName&)> fetchDocument;
        std::function<void()> configurationFresh;
        std::function<void(const AttemptId& owner, ResultCode)> claimAnswered;
        std::function<void(const LocalBackend&)> backendAnnounced;
        std::function<void()> backendGone;
        std::function<void()> backendLeaving;
        /// Another process runs under this node's id.
        std::function<void()> superseded;
        /// Text of the metrics and state of the traffic thread, for the admin port.
        std::function<std::string()> metrics;
        std::function<std::string()> trafficStatus;
    };

    NodeControl(asio::io_context&, NodeIdentity, const NodeSettings&, Hooks);

    /// Opens the admin port and, with the given peer port, starts membership and the subscription.
    Result<void> start(std::uint16_t peersPort);
    /// Callers are sent elsewhere from now on.
    void endReadiness() { m_isLeaving = true; }
    /// Tells the members that this node leaves; done once hasSpreadLeave().
    void leave();
    bool hasSpreadLeave() const { return m_membership.isStarted() && m_membership.membership().hasSpreadLeave(); }
    /// Brings the gauges of membership and documents up to date.
    void updateMetrics(NodeMetrics&) const;
    /// A document that another node has in force; taken if it is newer.
    void offerDocument(const DocumentMessage&);
    /// The backend server beside this node spoke of itself.
    void announce(const BackendAnnouncement&);
    void announceLeave(const std::string& instance, std::uint64_t startedAt);
    /// True when this node may be sent callers: its configuration is proved, and it does not stop.
    bool isReady() const { return m_subscription.isFresh() && m_hasRouting && !m_isLeaving; }
    /// Seeds and control replicas of a settings file that was read again.
    void setContacts(const std::vector<std::string>& controlReplicas, const std::vector<SocketAddress>& seeds);
    ControlSubscription& subscription() { return m_subscription; }
    std::uint16_t adminPort() const { return m_adminServer.port(); }

private:
    void handleAdmin(const HttpExchangePtr&);
    HttpResponse handleAnnounce(const HttpRequest&);
    HttpResponse startLeaving();
    HttpResponse endLeaving();
    void follow(PresenceChange);
    bool putRoutingInForce(const DocumentMessage&);
    std::string status() const;
    void publishEndpoint(EndpointLifecycle);
    void checkBackend();
    bool putInForce(const DocumentMessage&);
    void publishDocuments();
    void follow(const MembershipAction&);

    asio::io_context& m_context;
    NodeIdentity m_self;
    NodeSettings m_settings;
    Hooks m_hooks;
    HttpServer m_adminServer;
    MembershipAgent m_membership;
    ControlSubscription m_subscription;
    BackendPresence m_presence;
    EndpointState m_endpoint;
    bool m_hasRouting = false;
    bool m_isLeaving = false;
    Timer m_backendTimer;
};

} // namespace Knapweedquay
