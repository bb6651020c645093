#pragma once

#include "protocol/Result.h"
#include "protocol/SocketAddress.h"
#include "protocol/Ids.h"
#include "protocol/Time.h"
#include "state/RoutingParser.h"
#include "state/SettingsFile.h"
#include "transport/Logger.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace Knapweedquay {

/// Settings of a control daemon; docs/CONFIGURATION.md lists the keys.
struct ControlSettings {
    /// Data folder of this replica.
    std::string folder;
    /// HTTP address for operators.
    SocketAddress http { "127.0.0.1", 0 };
    /// TCP address for links from nodes and from the other replicas.
    SocketAddress links { "127.0.0.1", 0 };
    /// Link addresses of the other replicas.
    std::vector<std::string> peers;
    /// Whether to create a new store when the folder is empty and no peer has a store.
    bool bootstrap = false;
    /// Link addresses of the replicas that create a new store together; empty when one replica creates it alone.
    std::vector<std::string> founders;
    /// Target number of voters; 0 makes every replica a voter.
    std::size_t targetVoters = 0;
    /// Time without acknowledgements after which a voter is replaced by a replica that waits for its place.
    Duration replaceAfter { 5000000 };
    /// Edits are refused while the store has fewer voters than this.
    std::size_t minimumVoters = 1;
    /// Secrets that operators send as bearer tokens, by team name.
    std::map<std::string, std::string> credentials;
    /// Node id of this replica as a member, so that nodes find each other through the control replicas.
    NodeId node;
    DataCentre dataCentre;
    std::string deployment = "default";
    /// UDP address for membership datagrams; empty disables membership.
    SocketAddress gossip;
    /// Gossip addresses of some members.
    std::vector<SocketAddress> seeds;
    /// All data centres of the deployment; empty where the settings don't list them.
    std::vector<DataCentre> dataCentres;
    QuotaBound quotaBound;
    /// Maximum time after a stop signal for the requests in progress; the process then ends and aborts them.
    Duration maximumStopTime { 3000000 };
    LogSettings log;
    /// Parses the routing document; set by the program, not by the settings file.
    RoutingParser parseRouting = parseRoutingToml;
};

/// Errors: FileUnreadable; InvalidSettings with file, line, column, key and what was expected for each problem.
Result<ControlSettings> loadControlSettings(const std::string& path, const std::vector<SettingOverride>& = {});

} // namespace Knapweedquay
