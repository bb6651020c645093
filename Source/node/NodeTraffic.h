#pragma once

#include "coordination/placing/TransitDelay.h"
#include "coordination/stopping/GracefulStop.h"
#include "node/CallGateway.h"
#include "node/EndpointRunner.h"
#include "node/NodeIdentity.h"
#include "node/NodeSettings.h"
#include "node/PeerChannel.h"
#include "state/EvacuationDocument.h"
#include "state/QuotaHolderDocument.h"
#include "transport/HttpClient.h"
#include "transport/HttpServer.h"
#include "transport/Link.h"

#include <asio/io_context.hpp>

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string_view>

namespace Knapweedquay {

/// The components of a node that run on its traffic thread: the call server, the gateway, the endpoint runner and the
/// links from other nodes.
class NodeTraffic {
public:
    NodeTraffic(asio::io_context&, NodeIdentity, const NodeSettings&, CallGateway::ClaimHooks, NodeMetrics&);

    Result<void> start();
    /// Starts the graceful stop: asks callers to close their connections. They are still served.
    void orderStop(TimePoint now);
    /// Next step of the graceful stop; isLeaveSpread: see PendingWork.
    GracefulStop::Step stopStep(bool isLeaveSpread);
    /// Stops accepting connections from callers and new attempts; calls in progress finish.
    void drain();
    /// Refuses the requests that were received only in part, and ends the calls that no endpoint's node has in hand.
    void endWaitingWork();
    /// Closes the connections without a request, and the links from other nodes once their messages have arrived.
    void closeConnections();
    const GracefulStop& stop() const { return m_stop; }
    PendingWork pendingWork() const;

    /// Applies a newer document, and keeps its text to answer requests from other nodes.
    void setDocument(const ServiceDocument&, const DocumentAnswerMessage& source);
    /// Applies newer routes and limits of callers, and keeps their text to answer requests from other nodes.
    void setRouting(const std::shared_ptr<const RoutingTable>&, const DocumentAnswerMessage& source);
    /// Registers that all documents that were committed at that time are in force.
    void configurationProved(TimePoint);
    /// Applies which data centres are emptied, and keeps the text to answer requests from other nodes.
    void setEvacuations(const EvacuationDocument&, const DocumentAnswerMessage& source);
    /// Applies which nodes hold the slices of the quotas, and keeps the text to answer requests from other nodes.
    void setQuotaHolders(const QuotaHolderDocument&, const DocumentAnswerMessage& source);
    /// Sets the local backend server after an announcement, and stops refusing attempts.
    void setBackend(const LocalBackend&);

    CallGateway& gateway() { return m_gateway; }
    EndpointRunner& runner() { return m_runner; }
    NodeQuarantine& quarantine() { return m_quarantine; }
    /// Updates the metrics of the endpoint, the calls in progress and the dropped log lines.
    void updateMetrics(NodeMetrics&);
    std::uint16_t callsPort() const { return m_callServer.port(); }
    std::uint16_t peersPort() const { return m_linkServer.port(); }

private:
    /// A link that another node opened to send attempts to this node.
    struct Connection {
        LinkPtr link;
        PeerChannelPointer channel;
        /// What the other node can read.
        LoadEncoding loadEncoding = LoadEncoding::Basic;
        /// False until the first message; other messages before it close the link.
        bool hasReceivedHello = false;
        /// The other node is in the data centre of this one.
        bool isSameDataCentre = false;
        /// Estimates the time that messages spent in buffers.
        TransitDelay delay;
        /// When the other node last sent a call or a probe.
        TimePoint lastRequestAt;
        /// The load last sent to the other node.
        LoadReport lastSentLoad;
    };

    void accept(const LinkPtr&);
    PeerChannel::Hooks channelHooks(ConnectionId);
    void receive(ConnectionId, std::string_view bytes);
    void receive(ConnectionId, const PeerMessage&);
    /// What this node needs of an attempt whose body is still to come.
    PeerChannel::Interest interestIn(ConnectionId, const PeerMessage& head) const;
    /// Time that a message spent in transit beyond the usual transit time of the connection.
    static Duration excessDelay(Connection&, std::uint64_t sentAt);
    void receiveCall(Connection&, CallRequestMessage, ConnectionId);
    void receiveLimit(Connection&, CallLimitMessage);
    /// Ends the transfers of an attempt over other links than the one that its origin uses now.
    void endTransfersElsewhere(const AttemptId&, ConnectionId);
    void reply(ConnectionId, const PeerMessage&);
    void send(const Connection&, const PeerMessage&);
    /// Sends the current load to nodes that sent calls recently, if it differs significantly from the load last sent.
    void sendLoadUpdates();
    void sendDocument(ConnectionId, const ServiceName&);

    asio::io_context& m_context;
    NodeIdentity m_self;
    NodeSettings m_settings;
    NodeMetrics& m_metrics;
    GracefulStop m_stop;
    BodyBudgets m_bodies;
    HttpClient m_client;
    NodeQuarantine m_quarantine;
    NodeKeys m_keyChecks;
    EndpointRunner m_runner;
    CallGateway m_gateway;
    HttpServer m_callServer;
    LinkServer m_linkServer;
    /// Applies what the routing document says of the local backend server's service, once both are known.
    void applyRoutedService();
    /// Document of a service: its own, or otherwise one derived from the routes.
    std::optional<ServiceDocument> documentOf(const ServiceName&) const;

    /// Service documents in force, without those derived from the routes.
    std::map<ServiceName, ServiceDocument> m_documents;
    /// Routes in force; null until the first routing document.
    std::shared_ptr<const RoutingTable> m_routing;
    /// Service of the local backend server; not set until its first announcement.
    std::optional<ServiceName> m_backendService;
    /// Texts of all documents in force, as sent to other nodes on request.
    std::map<ServiceName, DocumentAnswerMessage> m_documentMessages;
    /// Links opened by other nodes. Id 0 is not in the map: it stands for this node itself.
    std::map<ConnectionId, Connection> m_connections;
    /// Connection id last assigned.
    std::uint64_t m_lastConnection = 0;
    Timer m_loadTimer;
    /// True while m_loadTimer is set.
    bool m_isLoadUpdateScheduled = false;
};

} // namespace Knapweedquay
