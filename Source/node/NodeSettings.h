#pragma once

#include "coordination/EndpointChooser.h"
#include "protocol/Ids.h"
#include "protocol/Result.h"
#include "protocol/SocketAddress.h"
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
    /// Gossip addresses of some other nodes.
    std::vector<SocketAddress> seeds;
    ChoicePolicy policy = ChoicePolicy::Predicted;
    LogSettings log;
};

/// Errors: FileUnreadable; InvalidSettings with file, line, column, key and what was expected for each problem.
Result<NodeSettings> loadNodeSettings(const std::string& path, const std::vector<SettingOverride>& = {});

} // namespace Knapweedquay
