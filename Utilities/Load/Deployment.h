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

/// Settings of a node and of its backend server.
struct NodePlan {
    std::string name;
    std::string dataCentre;
    /// Service that the backend server announces.
    std::string service;
    /// Requests that the backend server runs at the same time.
    std::size_t slots = 12;
    /// Values of the backend server's --service-time.
    std::vector<std::string> serviceTimes;
    /// Path and body of the requests that end the backend server; empty as in BackendOptions.
    std::string crashPath;
    std::string crashBody;
    /// Value of choice.policy in the node's settings.
    std::string policy = "predicted";
    /// False for a node without a backend server, which only sends calls to others.
    bool hasBackend = true;
    /// True when the connections from the node to its backend server go through a forwarder.
    bool isBackendForwarded = false;
    /// True when the connections from other nodes go through a forwarder.
    bool arePeersForwarded = false;
    /// True when the connections to the control replicas go through forwarders.
    bool isControlForwarded = false;
    /// Further sections of the node's settings file.
    std::string furtherSettings;
};

/// Listening addresses of a node and of its backend server, each "IP:port".
struct NodeAddresses {
    std::string calls;
    std::string admin;
    std::string peers;
    std::string gossip;
    std::string backend;
    std::string backendControl;
};

/// A forwarder process and its addresses, each "IP:port".
struct ForwardedLink {
    std::unique_ptr<ChildProcess> process;
    /// Address to connect to instead of the target.
    std::string address;
    /// Address for commands.
    std::string control;
};

/// A deployment on the loopback address: control replicas, nodes, stand-in backend servers and forwarders.
///
/// It starts the processes, keeps their addresses and ends them; it doesn't check their results.
class Deployment {
public:
    /// The folder must exist; settings, output, data and execution records are written there.
    Deployment(Programs, std::string folder);
    ~Deployment();

    /// Starts the given number of control replicas, of which the first one bootstraps the store.
    void startControls(std::size_t count);
    /// Restarts a control replica that has ended, with the same settings.
    void restartControl(std::size_t index);
    std::string controlFolder(std::size_t index) const { return pathOf("control-" + std::to_string(index)); }
    /// Starts a node and, if its plan has one, its backend server; the control replicas must have been started.
    void startNode(const NodePlan&);
    /// Restarts a node that has ended, with the same settings.
    void restartNode(const std::string& name);
    /// Starts the backend server of a node, or restarts it after it has ended.
    void startBackend(const std::string& name);

    /// Sends a service document to the control replicas in turn until one accepts it; false after the timeout.
    bool apply(const std::string& document, std::uint64_t expectedVersion, std::chrono::milliseconds timeout);
    /// Applies a version of the routing document as the team "operations"; false after the timeout.
    bool applyRouting(const std::string& document, std::chrono::milliseconds timeout, std::uint64_t expectedVersion = 0);
    /// Waits until every running node has a fresh configuration with all applied services and sees every running
    /// endpoint as ready; false after the timeout.
    bool waitUntilReady(std::chrono::milliseconds timeout);
    /// Describes, for error messages, which processes have ended and how the last refused edit was answered.
    std::string describe();
    /// Changes the named fault modes of a node's backend server; false when it does not accept them.
    bool setModes(const std::string& node, const nlohmann::json& modes);
    /// Answer of the backend server to GET /stats; discarded JSON when it doesn't answer.
    nlohmann::json backendStats(const std::string& node);
    /// Answer of the backend server to GET /arrivals: for each kind of request, the ages of its arrivals in milliseconds.
    nlohmann::json backendArrivals(const std::string& node);
    /// Answer of the node to GET /status; discarded JSON when it doesn't answer.
    nlohmann::json nodeStatus(const std::string& node);
    /// Lets a node release a held request; false when it does not.
    bool release(const std::string& node, const std::string& digest);
    /// Metrics of the node in the Prometheus text format; empty when it doesn't answer.
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

    /// Starts a forwarder to a target, "IP:port"; it ends when the returned object is destroyed.
    ForwardedLink forwardTo(const std::string& target);
    /// Sends the command "/silence", "/cut", "/heal" or "/open" to a forwarder.
    ///
    /// Returns the number of its open connections, or 0 when it doesn't answer.
    static std::size_t command(const ForwardedLink&, const std::string& path);

private:
    /// A node with its backend server and the forwarders of its connections, as far as its plan requires them.
    struct Node {
        NodePlan plan;
        NodeAddresses addresses;
        std::unique_ptr<ChildProcess> process;
        /// Null when no backend server was started.
        std::unique_ptr<ChildProcess> backend;
        ForwardedLink backendLink;
        ForwardedLink peerLink;
        std::vector<ForwardedLink> controlLinks;
    };
    /// A control replica with its addresses.
    struct Control {
        /// Address of the HTTP interface for operators.
        std::string http;
        /// Address for the connections of nodes and other replicas.
        std::string links;
        std::unique_ptr<ChildProcess> process;
    };

    /// Returns "127.0.0.1:port" with a port that nothing listens on.
    std::string newAddress();
    void writeControlSettings(std::size_t index);
    void writeNodeSettings(Node&);
    /// True when the node meets the condition of waitUntilReady().
    bool isReady(Node&);
    bool sendEdit(const std::string& name, const std::string& team, const std::string& document, std::uint64_t expectedVersion, std::chrono::milliseconds timeout);
    std::string pathOf(const std::string& file) const { return m_folder + "/" + file; }

    Programs m_programs;
    std::string m_folder;
    std::vector<Control> m_controls;
    std::map<std::string, Node> m_nodes;
    /// Services whose documents were accepted.
    std::vector<std::string> m_services;
    /// Status and body of the last edit that a control replica refused.
    std::string m_lastRefusal;
    /// Number of backend servers started so far; it seeds the service times of the next one.
    std::size_t m_startCount = 0;
};

/// Returns a port of the loopback address that nothing listens on, below the range of ephemeral ports.
std::uint16_t freePort();

/// Teams whose edits a deployment accepts; the secret of each is "secret-of-" followed by its name.
std::vector<std::string> deploymentTeams();

} // namespace Knapweedquay::Load
