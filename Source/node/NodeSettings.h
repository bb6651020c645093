#pragma once

#include "coordination/admission/ColdPace.h"
#include "coordination/placing/EndpointChooser.h"
#include "coordination/routing/CallResolver.h"
#include "node/CallTrace.h"
#include "protocol/CallHeaders.h"
#include "protocol/Ids.h"
#include "protocol/Result.h"
#include "protocol/SocketAddress.h"
#include "state/RoutingParser.h"
#include "state/SettingsFile.h"
#include "transport/Logger.h"

#include <string>
#include <vector>

namespace Knapweedquay {

/// Settings of a node daemon; their keys are listed in docs/CONFIGURATION.md.
struct NodeSettings {
    NodeId node;
    DataCentre dataCentre;
    std::string deployment = "default";
    /// HTTP listen address for callers, including the local backend server.
    SocketAddress calls { "127.0.0.1", 0 };
    /// HTTP listen address for announcements, metrics and status.
    SocketAddress admin { "127.0.0.1", 0 };
    /// TCP listen address for links from other nodes.
    SocketAddress peers { "127.0.0.1", 0 };
    /// Address at which other nodes reach the peer port, if it differs from the listen address; empty otherwise.
    SocketAddress advertisedPeers;
    /// UDP listen address for membership.
    SocketAddress gossip { "127.0.0.1", 0 };
    /// Addresses of the control replicas for links from nodes.
    std::vector<std::string> controlReplicas;
    /// Also connect to the replicas listed by the store. To be disabled where nodes reach the replicas at other
    /// addresses than those listed.
    bool discoversReplicas = true;
    /// Gossip addresses of other nodes, contacted to join the deployment.
    std::vector<SocketAddress> seeds;
    ChoiceSettings choice;
    /// Extra attempts of one service, beyond the shares in its document, that all nodes of the deployment together may make
    /// at once. Each node takes an equal part of it, but may store at least one.
    double fleetRetryBurst = 30;
    /// Interval between polls of the local backend server's load while no response reports it.
    Duration backendLoadInterval { 40000 };
    CallHeaders headers;
    /// How callers address services; must be the same at all nodes.
    CallInterface callInterface = CallInterface::RoutesAndTargets;
    /// Service of the local backend server, sent in a header to the backend servers that it calls. May be empty.
    ServiceName callerService;
    /// A backend server is removed if it has not repeated its announcement for this time.
    Duration announcementTimeout { 3000000 };
    /// Time after a stop signal in which new calls are still served, so that callers can switch to other nodes.
    Duration stopNotice { 0 };
    /// Maximum time after a stop signal for calls in progress; the process then ends and aborts them.
    Duration maximumStopTime { 30000000 };
    /// Time after the acknowledgement of a key's withdrawal from which no request with it runs at any node; not set where a
    /// node that is cut off may go on by the keys that it knows.
    std::optional<Duration> keyRevocationTime;
    QuotaBound quotaBound;
    ColdBound coldBound;
    /// Memory that the process may use, in bytes.
    std::size_t memoryBytes = std::size_t { 512 } * 1024 * 1024;
    /// Descriptors that the process may use.
    std::size_t descriptors = 4096;
    LogSettings log;
    TraceSampler::Settings traces;
    /// Parser of the routing document; set by the program, not in the settings file.
    RoutingParser parseRouting = parseRoutingToml;
};

/// Errors: FileUnreadable; InvalidSettings, with file, line, column, key and expected value of each problem.
Result<NodeSettings> loadNodeSettings(const std::string& path, const std::vector<SettingOverride>& = {});

} // namespace Knapweedquay
