#pragma once

#include "Load/BackendModes.h"
#include "Load/ChildProcess.h"
#include "Load/HttpClient.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Knapweedquay::Load {

/// Paths of the programs that a deployment is made of.
struct Programs {
    std::string control;
    std::string node;
    std::string backend;
    std::string forwarder;
};

/// What one node and the backend server beside it are started with.
struct NodePlan {
    std::string name;
    std::string dataCentre;
    std::string service;
    std::size_t slots = 12;
    std::vector<std::string> serviceTimes;
    /// choice.policy of its settings.
    std::string policy = "predicted";
    bool hasBackend = true;
    /// True when the connections from the node to its backend server pass a forwarder.
    bool isBackendForwarded = false;
    /// True when the connections from other nodes pass a forwarder.
    bool arePeersForwarded = false;
    /// True when the connections to the control replicas pass forwarders.
    bool isControlForwarded = false;
};

/// Addresses of a started node, "IP:port" each.
struct NodeAddresses {
    std::string calls;
    std::string admin;
    std::string peers;
    std::string gossip;
    std::string backend;
    std::string backendControl;
};

/// A forwarder process in the way of some connections.
struct ForwardedLink {
    std::unique_ptr<ChildProcess> process;
    std::string address;
    std::string control;
};

/// A deployment on the loopback address, in a temporary folder: control replicas, nodes and stand-ins.
///
/// It starts processes, knows their addresses and ends them; what they do is for its user to judge.
class Deployment {
public:
    /// The folder must exist; settings, output and records go there.
    Deployment(Programs, std::string folder);
    ~Deployment();

    void startControls(std::size_t count);
    /// Starts a control replica again that has ended, with the same settings.
    void restartControl(std::size_t index);
    std::string controlFolder(std::size_t index) const { return pathOf("control-" + std::to_string(index)); }
    void startNode(const NodePlan&);
    /// Starts a node again that has ended, with the same settings.
    void restartNode(const std::string& name);
    void startBackend(const std::string& name);

    /// Offers a document to one control replica after the other until one accepts it.
    bool apply(const std::string& document, std::uint64_t expectedVersion, std::chrono::milliseconds patience);
    /// Puts the first routing document in force, as the team of operations.
    bool applyRouting(const std::string& document, std::chrono::milliseconds patience);
    /// True once every running node has a fresh configuration with all applied services and sees every endpoint.
    bool waitUntilReady(std::chrono::milliseconds patience);
    /// Which processes have ended and what the last refused edit was told, for the message of a failure.
    std::string describe();
    bool setModes(const std::string& node, const nlohmann::json& modes);
    nlohmann::json backendStats(const std::string& node);
    nlohmann::json nodeStatus(const std::string& node);
    std::string nodeMetrics(const std::string& node);

    ChildProcess& node(const std::string& name) { return *m_nodes.at(name).process; }
    ChildProcess& backend(const std::string& name) { return *m_nodes.at(name).backend; }
    ChildProcess& control(std::size_t index) { return *m_controls.at(index).process; }
    bool hasBackend(const std::string& name) const { return m_nodes.at(name).backend != nullptr; }
    const NodeAddresses& addresses(const std::string& name) const { return m_nodes.at(name).addresses; }
    const std::string& controlHttp(std::size_t index) const { return m_controls.at(index).http; }
    std::size_t controlCount() const { return m_controls.size(); }
    ForwardedLink& backendLink(const std::string& name) { return m_nodes.at(name).backendLink; }
    ForwardedLink& peerLink(const std::string& name) { return m_nodes.at(name).peerLink; }
    std::vector<ForwardedLink>& controlLinks(const std::string& name) { return m_nodes.at(name).controlLinks; }
    std::vector<std::string> nodeNames() const;
    std::vector<std::string> recordFiles() const;
    const std::string& folder() const { return m_folder; }

    /// A forwarder to a target, ended with its handle.
    ForwardedLink forwardTo(const std::string& target);
    /// Sends "/silence", "/cut", "/heal" or "/open" to a forwarder; gives the connections it has open, 0 when it is gone.
    static std::size_t command(const ForwardedLink&, const std::string& path);

private:
    struct Node {
        NodePlan plan;
        NodeAddresses addresses;
        std::unique_ptr<ChildProcess> process;
        std::unique_ptr<ChildProcess> backend;
        ForwardedLink backendLink;
        ForwardedLink peerLink;
        std::vector<ForwardedLink> controlLinks;
    };
    struct Control {
        std::string http;
        std::string links;
        std::unique_ptr<ChildProcess> process;
    };

    std::string newAddress();
    void writeControlSettings(std::size_t index);
    void writeNodeSettings(Node&);
    bool isReady(Node&);
    bool put(const std::string& name, const std::string& team, const std::string& document, std::uint64_t expectedVersion, std::chrono::milliseconds patience);
    std::string pathOf(const std::string& file) const { return m_folder + "/" + file; }

    Programs m_programs;
    std::string m_folder;
    std::vector<Control> m_controls;
    std::map<std::string, Node> m_nodes;
    std::vector<std::string> m_services;
    std::string m_lastRefusal;
    std::size_t m_startCount = 0;
};

/// A port of the loopback address that nothing listens on, below the range that outgoing connections use.
std::uint16_t freePort();

/// Teams that a deployment accepts edits from; the secret of each is "secret-of-" and its name.
std::vector<std::string> deploymentTeams();

} // namespace Knapweedquay::Load
