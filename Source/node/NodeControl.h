#pragma once

#include "coordination/Membership.h"
#include "node/ControlSubscription.h"
#include "node/EndpointRunner.h"
#include "node/NodeIdentity.h"
#include "node/NodeMetrics.h"
#include "node/NodeSettings.h"
#include "state/ServiceDocument.h"
#include "transport/DatagramSocket.h"
#include "transport/HttpServer.h"
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
    /// Tells the members that this node leaves; done once hasSpreadLeave().
    void leave();
    bool hasSpreadLeave() const { return m_membership && m_membership->hasSpreadLeave(); }
    /// Brings the gauges of membership and documents up to date.
    void updateMetrics(NodeMetrics&) const;
    /// A document that another node has in force; taken if it is newer.
    void offerDocument(const DocumentMessage&);
    ControlSubscription& subscription() { return m_subscription; }
    std::uint16_t adminPort() const { return m_adminServer.port(); }

private:
    void handleAdmin(const HttpExchangePtr&);
    HttpResponse announce(const HttpRequest&);
    HttpResponse startLeaving();
    HttpResponse endLeaving();
    std::string status() const;
    void publishEndpoint(EndpointLifecycle);
    void checkBackend();
    bool putInForce(const DocumentMessage&);
    void publishDocuments();
    void perform(const MembershipActions&);
    void scheduleTick();

    asio::io_context& m_context;
    NodeIdentity m_self;
    NodeSettings m_settings;
    Hooks m_hooks;
    HttpServer m_adminServer;
    DatagramSocket m_gossip;
    std::unique_ptr<Membership> m_membership;
    ControlSubscription m_subscription;
    std::optional<LocalBackend> m_backend;
    EndpointState m_endpoint;
    TimePoint m_announcedAt;
    Timer m_tickTimer;
    Timer m_backendTimer;
};

} // namespace Knapweedquay
