#pragma once

#include "coordination/placing/TransitDelay.h"
#include "node/CallGateway.h"
#include "node/EndpointRunner.h"
#include "node/NodeIdentity.h"
#include "node/NodeSettings.h"
#include "transport/HttpClient.h"
#include "transport/HttpServer.h"
#include "transport/Link.h"

#include <asio/io_context.hpp>

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>

namespace Knapweedquay {

/// Everything of a node that lives on its traffic thread.
class NodeTraffic {
public:
    NodeTraffic(asio::io_context&, NodeIdentity, const NodeSettings&, CallGateway::ClaimHooks, NodeMetrics&);

    Result<void> start();
    /// Takes no new callers' connections and no new attempts; calls in progress finish.
    void drain();
    bool isIdle() const { return m_gateway.sessionCount() == 0 && m_runner.isIdle(); }

    /// Puts a newer document in force, and keeps its text for other nodes.
    void setDocument(const ServiceDocument&, const DocumentAnswerMessage& source);
    /// Puts newer routes in force, and keeps their text for other nodes.
    void setRouting(const std::shared_ptr<const RoutingTable>&, const DocumentAnswerMessage& source);
    /// Callers are asked to leave, and are still served until drain().
    void announceStop() { m_callServer.closeAfterResponses(); }
    /// Runs the calls of a backend server that announced itself.
    void setBackend(const LocalBackend&);

    CallGateway& gateway() { return m_gateway; }
    EndpointRunner& runner() { return m_runner; }
    /// Brings the gauges of the endpoint and of the calls in progress up to date.
    void updateMetrics(NodeMetrics&);
    std::uint16_t callsPort() const { return m_callServer.port(); }
    std::uint16_t peersPort() const { return m_linkServer.port(); }

private:
    struct Connection {
        LinkPtr link;
        bool isGreeted = false;
        TransitDelay delay;
        /// When the node last sent a call or a probe.
        TimePoint askedAt;
        LoadReport toldLoad;
    };

    void accept(const LinkPtr&);
    void receive(ConnectionId, std::string_view bytes);
    static Duration excessDelay(Connection&, std::uint64_t sentAt);
    void receiveCall(Connection&, CallRequestMessage, ConnectionId);
    void reply(ConnectionId, const PeerMessage&);
    /// Tells nodes that sent calls lately of a load that differs from what they were told.
    void spreadLoad();
    void sendDocument(ConnectionId, const ServiceName&);

    NodeIdentity m_self;
    NodeSettings m_settings;
    HttpClient m_client;
    EndpointRunner m_runner;
    CallGateway m_gateway;
    HttpServer m_callServer;
    LinkServer m_linkServer;
    void setHealthPath();
    std::optional<ServiceDocument> documentOf(const ServiceName&) const;

    /// Documents in force that the teams wrote.
    std::map<ServiceName, ServiceDocument> m_documents;
    std::shared_ptr<const RoutingTable> m_routing;
    std::optional<ServiceName> m_backendService;
    /// Texts of all documents in force, for other nodes.
    std::map<ServiceName, DocumentAnswerMessage> m_sources;
    /// Links that other nodes opened to send attempts here. Number 0 stands for this node itself.
    std::map<ConnectionId, Connection> m_connections;
    std::uint64_t m_lastConnection = 0;
    Timer m_loadTimer;
    bool m_isLoadDue = false;
};

} // namespace Knapweedquay
