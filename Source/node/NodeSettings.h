#pragma once

#include "coordination/placing/EndpointChooser.h"
#include "node/CallTrail.h"
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

/// Settings of a node daemon; docs/CONFIGURATION.md has the keys.
struct NodeSettings {
    NodeId node;
    DataCentre dataCentre;
    std::string deployment = "default";
    /// HTTP address for callers and for the calls of the backend server.
    SocketAddress calls { "127.0.0.1", 0 };
    /// HTTP address for announcements, metrics and status.
    SocketAddress admin { "127.0.0.1", 0 };
    /// TCP address for links from other nodes.
    SocketAddress peers { "127.0.0.1", 0 };
    /// Address under which other nodes reach the peer port, when it is not the one listened on; empty otherwise.
    SocketAddress advertisedPeers;
    /// UDP address for membership.
    SocketAddress gossip { "127.0.0.1", 0 };
    /// Node link addresses of the control replicas.
    std::vector<std::string> controlReplicas;
    /// Also turn to the replicas that the store names. Not where nodes reach them under other addresses than they have.
    bool discoversReplicas = true;
    /// Gossip addresses of some other nodes.
    std::vector<SocketAddress> seeds;
    ChoiceSettings choice;
    /// Time between two questions for the load of the backend server beside this node, while no response tells it.
    Duration backendLoadInterval { 40000 };
    CallHeaders headers;
    /// Requests that do not name their service wait for a routing document; without one they are refused as stale, not as
    /// unknown.
    bool needsRouting = false;
    /// Service of the backend server beside this node; told to the backend servers that its calls go to. May be empty.
    ServiceName callerService;
    /// A backend server that has not repeated its announcement for this long is gone.
    Duration announcementTimeout { 3000000 };
    /// After the order to stop: time in which callers that have not noticed yet are still served, and longest time for
    /// the calls in progress.
    Duration stopNotice { 0 };
    Duration maximumStopTime { 30000000 };
    LogSettings log;
    TrailPolicy::Settings trails;
    /// Reads the routing document; set by the program, not by the file.
    RoutingParser parseRouting = parseRoutingToml;
};

/// Errors: FileUnreadable; InvalidSettings with file, line, column, key and what was expected for each problem.
Result<NodeSettings> loadNodeSettings(const std::string& path, const std::vector<SettingOverride>& = {});

} // namespace Knapweedquay
