#include "Load/Deployment.h"

#include "Load/Waiting.h"
#include "state/RoutingDocument.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/ip/udp.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <fstream>
#include <unistd.h>

namespace Knapweedquay::Load {

namespace {

/// Timeout of every request to the processes of a deployment.
constexpr std::chrono::milliseconds requestTimeout { 2000 };
/// Value of "lifecycle" in a node's status for an endpoint that accepts calls.
constexpr int readyLifecycle = 1;

std::string formatList(const std::vector<std::string>& values)
{
    std::string text;
    for (const std::string& value : values)
        text += fmt::format("{}\"{}\"", text.empty() ? "" : ", ", value);
    return "[" + text + "]";
}

std::string portOf(const std::string& address)
{
    return address.substr(address.rfind(':') + 1);
}

nlohmann::json readJson(const std::string& address, const std::string& path)
{
    return nlohmann::json::parse(exchangeOnce(address, plainRequest("GET", path), requestTimeout).body, nullptr, false);
}

/// Returns the quoted value of the first line that sets a key in a TOML document.
std::string findQuotedValue(const std::string& document, const std::string& key)
{
    const std::string opening = key + " = \"";
    const std::size_t start = document.find(opening) + opening.size();
    return document.substr(start, document.find('"', start) - start);
}

std::string secretOf(const std::string& team)
{
    return "secret-of-" + team;
}

/// Returns whether the port is free for connections and for datagrams.
bool canBind(std::uint16_t port)
{
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor(context, asio::ip::tcp::v4());
    asio::ip::udp::socket socket(context, asio::ip::udp::v4());
    asio::error_code error;
    acceptor.bind({ asio::ip::address_v4::loopback(), port }, error);
    if (!error)
        socket.bind({ asio::ip::address_v4::loopback(), port }, error);
    return !error;
}

} // namespace

std::uint16_t freePort()
{
    constexpr unsigned firstPort = 10000;
    constexpr unsigned portCount = 20000;
    constexpr unsigned portsPerProcess = 97;
    static unsigned next = static_cast<unsigned>(::getpid()) * portsPerProcess;
    std::uint16_t port = 0;
    do {
        port = static_cast<std::uint16_t>(firstPort + next++ % portCount);
    } while (!canBind(port));
    return port;
}

std::vector<std::string> deploymentTeams()
{
    return { "operations", "dispatch", "inventory", "inschrijving", "tijdwaarneming" };
}

Deployment::Deployment(Programs programs, std::string folder)
    : m_programs(std::move(programs))
    , m_folder(std::move(folder))
{
}

Deployment::~Deployment() = default;

std::string Deployment::newAddress()
{
    return "127.0.0.1:" + std::to_string(freePort());
}

void Deployment::startControls(std::size_t count)
{
    for (std::size_t index = 0; index < count; ++index)
        m_controls.push_back({ newAddress(), newAddress(), nullptr });
    for (std::size_t index = 0; index < count; ++index) {
        writeControlSettings(index);
        restartControl(index);
    }
}

void Deployment::restartControl(std::size_t index)
{
    const std::string name = fmt::format("control-{}", index);
    m_controls[index].process = std::make_unique<ChildProcess>(
        std::vector<std::string> { m_programs.control, "--config", pathOf(name + ".toml") }, pathOf(name + ".out"));
}

void Deployment::writeControlSettings(std::size_t index)
{
    std::vector<std::string> peers;
    for (std::size_t other = 0; other < m_controls.size(); ++other) {
        if (other != index)
            peers.push_back(m_controls[other].links);
    }
    std::ofstream file(pathOf(fmt::format("control-{}.toml", index)));
    file << fmt::format("folder = \"{}\"\n", pathOf(fmt::format("control-{}", index)));
    file << fmt::format("[listen]\nhttp = \"{}\"\nlinks = \"{}\"\n", m_controls[index].http, m_controls[index].links);
    file << fmt::format("[store]\nbootstrap = {}\nminimum_voters = {}\npeers = {}\n", index == 0, m_controls.size() / 2 + 1, formatList(peers));
    file << "[credentials]\n";
    for (const std::string& team : deploymentTeams())
        file << fmt::format("{} = \"{}\"\n", team, secretOf(team));
}

void Deployment::startNode(const NodePlan& plan)
{
    Node& node = m_nodes[plan.name];
    node.plan = plan;
    node.addresses = { newAddress(), newAddress(), newAddress(), newAddress(), newAddress(), newAddress() };
    writeNodeSettings(node);
    restartNode(plan.name);
    if (plan.hasBackend)
        startBackend(plan.name);
}

void Deployment::writeNodeSettings(Node& node)
{
    std::vector<std::string> replicas;
    for (const Control& control : m_controls) {
        replicas.push_back(control.links);
        if (!node.plan.isControlForwarded)
            continue;
        node.controlLinks.push_back(forwardTo(control.links));
        replicas.back() = node.controlLinks.back().address;
    }
    std::vector<std::string> seeds;
    for (const auto& entry : m_nodes) {
        if (entry.first != node.plan.name)
            seeds.push_back(entry.second.addresses.gossip);
    }
    const NodeAddresses& addresses = node.addresses;
    std::ofstream file(pathOf(node.plan.name + ".toml"));
    file << fmt::format("node = \"{}\"\ndata_centre = \"{}\"\n", node.plan.name, node.plan.dataCentre);
    file << fmt::format("[listen]\ncalls = \"{}\"\nadmin = \"{}\"\npeers = \"{}\"\ngossip = \"{}\"\n", addresses.calls, addresses.admin, addresses.peers, addresses.gossip);
    if (node.plan.arePeersForwarded) {
        node.peerLink = forwardTo(addresses.peers);
        file << fmt::format("[advertise]\npeers = \"{}\"\n", node.peerLink.address);
    }
    // The replicas advertise their own addresses, which would bypass the forwarders, so discovery is switched off.
    file << fmt::format("[control]\nreplicas = {}\ndiscover = {}\n", formatList(replicas), !node.plan.isControlForwarded);
    file << fmt::format("[membership]\nseeds = {}\n", formatList(seeds));
    file << fmt::format("[choice]\npolicy = \"{}\"\n", node.plan.policy) << node.plan.furtherSettings;
}

void Deployment::restartNode(const std::string& name)
{
    m_nodes.at(name).process = std::make_unique<ChildProcess>(
        std::vector<std::string> { m_programs.node, "--config", pathOf(name + ".toml") }, pathOf(name + ".out"));
}

void Deployment::startBackend(const std::string& name)
{
    Node& node = m_nodes.at(name);
    std::vector<std::string> command { m_programs.backend, "--port", portOf(node.addresses.backend), "--control-port", portOf(node.addresses.backendControl),
        "--node", node.addresses.admin, "--service", node.plan.service, "--slots", std::to_string(node.plan.slots), "--seed", std::to_string(++m_startCount),
        "--record", pathOf(name + ".record") };
    for (const std::string& rule : node.plan.serviceTimes)
        command.insert(command.end(), { "--service-time", rule });
    if (!node.plan.crashPath.empty())
        command.insert(command.end(), { "--instance", name, "--crash-path", node.plan.crashPath });
    if (!node.plan.crashBody.empty())
        command.insert(command.end(), { "--crash-body", node.plan.crashBody });
    if (node.plan.isBackendForwarded) {
        node.backendLink = forwardTo(node.addresses.backend);
        command.insert(command.end(), { "--announce", node.backendLink.address });
    }
    node.backend = std::make_unique<ChildProcess>(command, pathOf(name + ".backend.out"));
}

bool Deployment::apply(const std::string& document, std::uint64_t expectedVersion, std::chrono::milliseconds timeout)
{
    return sendEdit(findQuotedValue(document, "service"), findQuotedValue(document, "team"), document, expectedVersion, timeout);
}

bool Deployment::applyRouting(const std::string& document, std::chrono::milliseconds timeout, std::uint64_t expectedVersion)
{
    return sendEdit(routingDocumentName().value(), "operations", document, expectedVersion, timeout);
}

bool Deployment::sendEdit(const std::string& service, const std::string& team, const std::string& document, std::uint64_t expectedVersion, std::chrono::milliseconds timeout)
{
    HttpMessage request = plainRequest("PUT", "/v1/documents/" + service, document);
    request.headers["authorization"] = "Bearer " + secretOf(team);
    request.headers["knapweedquay-expected-version"] = std::to_string(expectedVersion);
    // Requests with the same change id get the answer of the first one, so a retry at another replica is safe.
    request.headers["knapweedquay-change-id"] = fmt::format("{}-{}-{}", service, expectedVersion, ::getpid());
    request.headers["knapweedquay-author"] = "deployment";
    constexpr unsigned statusOk = 200;
    const bool isApplied = waitUntil([&] {
        return std::any_of(m_controls.begin(), m_controls.end(), [&](const Control& control) {
            if (!control.process->isRunning())
                return false;
            const HttpMessage answer = exchangeOnce(control.http, request, requestTimeout);
            if (answer.status != statusOk)
                m_lastRefusal = fmt::format("{} {}", answer.status, answer.body);
            return answer.status == statusOk;
        });
    },
        timeout);
    if (isApplied && std::find(m_services.begin(), m_services.end(), service) == m_services.end())
        m_services.push_back(service);
    return isApplied;
}

bool Deployment::waitUntilReady(std::chrono::milliseconds timeout)
{
    return waitUntil([this] {
        return std::all_of(m_nodes.begin(), m_nodes.end(), [this](auto& entry) { return !entry.second.process->isRunning() || isReady(entry.second); });
    },
        timeout);
}

bool Deployment::isReady(Node& node)
{
    const nlohmann::json status = readJson(node.addresses.admin, "/status");
    if (!status.is_object() || !status.value("fresh", false))
        return false;
    const nlohmann::json documents = status.value("documents", nlohmann::json::object());
    const bool hasServices = std::all_of(m_services.begin(), m_services.end(), [&](const std::string& service) { return documents.contains(service); });
    const nlohmann::json members = status.value("members", nlohmann::json::array());
    const auto ready = std::count_if(members.begin(), members.end(), [](const nlohmann::json& member) { return member.value("lifecycle", 0) == readyLifecycle; });
    const auto expected = std::count_if(m_nodes.begin(), m_nodes.end(), [](auto& entry) {
        return entry.second.process->isRunning() && entry.second.backend && entry.second.backend->isRunning();
    });
    return hasServices && ready >= expected;
}

std::string Deployment::describe()
{
    std::string text = m_lastRefusal.empty() ? std::string() : "last refusal: " + m_lastRefusal + "; ";
    for (std::size_t index = 0; index < m_controls.size(); ++index) {
        if (const auto code = m_controls[index].process->exitCode())
            text += fmt::format("control {} ended with {}; ", index, *code);
    }
    for (auto& [name, node] : m_nodes) {
        if (const auto code = node.process->exitCode())
            text += fmt::format("node {} ended with {}; ", name, *code);
    }
    return text + "see " + m_folder;
}

bool Deployment::setModes(const std::string& node, const nlohmann::json& modes)
{
    constexpr unsigned statusOk = 200;
    return exchangeOnce(addresses(node).backendControl, plainRequest("POST", "/modes", modes.dump()), requestTimeout).status == statusOk;
}

bool Deployment::release(const std::string& node, const std::string& digest)
{
    constexpr unsigned statusOk = 200;
    return exchangeOnce(addresses(node).admin, plainRequest("POST", "/release", nlohmann::json({ { "digest", digest } }).dump()), requestTimeout).status == statusOk;
}

nlohmann::json Deployment::backendStats(const std::string& node)
{
    return readJson(addresses(node).backendControl, "/stats");
}

nlohmann::json Deployment::backendArrivals(const std::string& node)
{
    return readJson(addresses(node).backendControl, "/arrivals");
}

nlohmann::json Deployment::nodeStatus(const std::string& node)
{
    return readJson(addresses(node).admin, "/status");
}

std::string Deployment::nodeMetrics(const std::string& node)
{
    return exchangeOnce(addresses(node).admin, plainRequest("GET", "/metrics"), requestTimeout).body;
}

std::vector<std::string> Deployment::nodeNames() const
{
    std::vector<std::string> names;
    for (const auto& entry : m_nodes)
        names.push_back(entry.first);
    return names;
}

std::vector<std::string> Deployment::recordFiles() const
{
    std::vector<std::string> files;
    for (const auto& entry : m_nodes)
        files.push_back(pathOf(entry.first + ".record"));
    return files;
}

ForwardedLink Deployment::forwardTo(const std::string& target)
{
    ForwardedLink link { nullptr, newAddress(), newAddress() };
    const std::vector<std::string> command { m_programs.forwarder, "--port", portOf(link.address), "--control-port", portOf(link.control), "--target", target };
    link.process = std::make_unique<ChildProcess>(command, pathOf("forwarder-" + portOf(link.address) + ".out"));
    return link;
}

std::size_t Deployment::command(const ForwardedLink& link, const std::string& path)
{
    constexpr unsigned statusOk = 200;
    const HttpMessage answer = exchangeOnce(link.control, plainRequest("POST", path), requestTimeout);
    return answer.status == statusOk ? std::stoul(answer.body) : 0;
}

} // namespace Knapweedquay::Load
