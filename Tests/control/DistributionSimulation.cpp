#include "control/DistributionSimulation.h"

#include "protocol/LinkChannel.h"
#include "state/RoutingDocument.h"

#include <algorithm>
#include <random>
#include <utility>

namespace Knapweedquay {

namespace {

constexpr Duration stepTime { 5000 };
constexpr Duration latency { 1000 };

} // namespace

/// One end of a link. A message takes the time that the bandwidth gives, after those before it.
class NarrowNetwork::End final : public Link {
public:
    End(NarrowNetwork& network, bool isReplica)
        : m_network(network)
        , m_isReplica(isReplica)
    {
    }

    bool send(const std::string& message) override
    {
        if (!m_isOpen)
            return false;
        if (m_isReplica)
            m_network.m_bytesToNode += message.size();
        const Duration transmission(static_cast<std::int64_t>(1e6 * static_cast<double>(message.size()) / m_network.m_bytesPerSecond));
        m_freeAt = std::max(m_freeAt, m_network.m_now) + transmission;
        if (!m_network.m_isSilent)
            m_network.schedule(m_freeAt + latency, [peer = m_peer, message] { peer->receive(message); });
        return true;
    }

    void ping() override { }

    void abort() override
    {
        if (!m_isOpen)
            return;
        close();
        m_network.schedule(m_network.m_now + latency, [peer = m_peer] { peer->close(); });
    }

    bool isOpen() const override { return m_isOpen; }
    TimePoint lastReceived() override { return m_lastReceived; }
    void setHooks(Hooks hooks) override { m_hooks = std::move(hooks); }
    std::string peerFeatures() const override { return {}; }

    void open(End& peer)
    {
        m_peer = &peer;
        m_isOpen = true;
    }

    void reportOpened()
    {
        if (m_isOpen && m_hooks.opened)
            m_hooks.opened();
    }

    void receive(const std::string& message)
    {
        if (!m_isOpen)
            return;
        const LinkPtr keptAlive(this);
        m_lastReceived = m_network.m_now;
        if (m_hooks.received)
            m_hooks.received(message);
    }

    void close()
    {
        if (!std::exchange(m_isOpen, false))
            return;
        const LinkPtr keptAlive(this);
        const Hooks hooks = std::exchange(m_hooks, {});
        if (hooks.closed)
            hooks.closed();
    }

private:
    NarrowNetwork& m_network;
    bool m_isReplica;
    bool m_isOpen = false;
    End* m_peer = nullptr;
    Hooks m_hooks;
    TimePoint m_freeAt;
    TimePoint m_lastReceived;
};

LinkPtr NarrowNetwork::connect(Link::Hooks hooks, AcceptHook accept)
{
    const boost::intrusive_ptr<End> node(new End(*this, false));
    const boost::intrusive_ptr<End> replica(new End(*this, true));
    node->setHooks(std::move(hooks));
    m_ends.insert(m_ends.end(), { node, replica });
    schedule(m_now + 2 * latency, [this, node, replica, accept = std::move(accept)] {
        if (m_isSilent)
            return;
        replica->open(*node);
        accept(replica);
        node->open(*replica);
        node->reportOpened();
    });
    return node;
}

void NarrowNetwork::runUntil(TimePoint end)
{
    while (!m_events.empty() && m_events.begin()->first <= end) {
        const auto event = m_events.begin();
        m_now = std::max(m_now, event->first);
        const std::function<void()> action = std::move(event->second);
        m_events.erase(event);
        action();
    }
    m_now = end;
}

void NarrowNetwork::runSoon(std::function<void()> event)
{
    schedule(m_now + latency, std::move(event));
}

DistributionSimulation::DistributionSimulation(double bytesPerSecond)
    : m_network(bytesPerSecond)
{
    startReplica();
    startNode();
}

void DistributionSimulation::startReplica()
{
    ControlServiceSettings settings;
    settings.folder = "data";
    settings.address = "replica";
    settings.bootstrap = true;
    settings.newReplica = ReplicaId(1);
    settings.newCluster = ClusterId(1);
    ControlServiceHooks hooks;
    hooks.documentChanged = [this](const StoredDocument&) { m_subscriptions->documentsChanged(); };
    m_service = std::move(ControlService::open(settings, m_files, std::move(hooks), m_network.now()).value());
    m_subscriptions = std::make_unique<NodeSubscriptions>(*m_service);
}

void DistributionSimulation::startNode()
{
    ControlSubscription::Hooks hooks;
    hooks.now = [this] { return m_network.now(); };
    hooks.connect = [this](const std::string&, Link::Hooks linkHooks) {
        ++m_connectionCount;
        m_nodeLink = m_network.connect(std::move(linkHooks), [this](const LinkPtr& link) {
            const NodeSubscriptions::SubscriberId id = m_subscriptions->add(link);
            Link::Hooks replicaHooks;
            replicaHooks.received = [this, id](std::string_view bytes) { receiveAtReplica(id, std::string(bytes)); };
            replicaHooks.closed = [this, id] { m_subscriptions->remove(id); };
            link->setHooks(std::move(replicaHooks));
        });
        return m_nodeLink;
    };
    hooks.document = [this](const DocumentMessage& document, const DocumentSender&) { return apply(document); };
    hooks.fetchFromNode = [this](const NodeId&, const ServiceName&) {
        ++m_fetchCount;
        m_network.runSoon([this] { offerFromOtherNode(std::prev(m_commits.end())->first); });
    };
    hooks.proved = [](TimePoint) {};
    hooks.claimAnswered = [](const AttemptId&, ResultCode) {};
    m_node = std::make_unique<ControlSubscription>(NodeIdentity { NodeId("node"), Incarnation(1), DataCentre("east") }, std::vector<std::string> { "replica" }, false, std::move(hooks));
    m_node->start();
    m_nextCheck = m_network.now();
}

void DistributionSimulation::restartNode()
{
    m_nodeLink->abort();
    m_node.reset();
    m_inForce = DocumentVersion();
    startNode();
}

void DistributionSimulation::offerFromOtherNode(DocumentVersion version)
{
    const std::string& text = m_commits.at(version).text;
    m_node->offer({ routingDocumentName(), version, text }, { false, "other", text.size() });
}

void DistributionSimulation::hintFromOtherNode()
{
    m_node->hint(NodeId("other"), routingDocumentName(), std::prev(m_commits.end())->first);
}

void DistributionSimulation::checkProof()
{
    const TimePoint now = m_network.now();
    if (!m_node->isFresh())
        return;
    const TimePoint provedAt = now - m_node->staleness(now);
    for (const auto& [version, commit] : m_commits) {
        if (commit.committedAt < provedAt && version > m_inForce)
            m_hasProvedCorrectly = false;
    }
}

void DistributionSimulation::receiveAtReplica(NodeSubscriptions::SubscriberId id, const std::string& bytes)
{
    const ControlMessage message = decodeControlMessage(LinkChannel::unwrap(bytes)).value();
    if (const auto* subscribe = std::get_if<SubscribeMessage>(&message))
        m_subscriptions->subscribe(id, *subscribe);
    else if (const auto* request = std::get_if<FreshnessRequestMessage>(&message))
        m_subscriptions->answerFreshness(id, *request, m_network.now());
    else if (const auto* inForce = std::get_if<InForceMessage>(&message))
        m_subscriptions->reportInForce(id, *inForce, m_network.now());
    else if (std::holds_alternative<UpdatesAcceptedMessage>(message) && !m_ignoresUpdatesAccepted)
        m_subscriptions->acceptUpdates(id);
}

bool DistributionSimulation::apply(const DocumentMessage& message)
{
    const auto commit = m_commits.find(message.version);
    if (commit == m_commits.end() || commit->second.text != message.text || message.version <= m_inForce)
        m_hasAppliedCorrectly = false;
    m_inForce = message.version;
    for (auto& [version, pending] : m_commits) {
        if (version <= m_inForce)
            pending.inForceAt = std::min(pending.inForceAt, m_network.now());
    }
    return true;
}

void DistributionSimulation::commit(const std::string& text)
{
    const StoredDocument* current = m_service->state().documents().find(routingDocumentName());
    DocumentEdit edit;
    edit.service = routingDocumentName();
    edit.expected = current ? current->version : DocumentVersion();
    edit.change = ChangeId("change-" + std::to_string(edit.expected.value()));
    edit.text = text;
    edit.author = "test";
    edit.authenticatedTeam = "operations";
    m_commits[DocumentVersion(edit.expected.value() + 1)] = { text, m_network.now() };
    m_service->edit(
        edit, [](const Result<EditResult>&) {}, m_network.now());
    m_service->flush(m_network.now());
}

void DistributionSimulation::run(Duration time)
{
    const TimePoint end = m_network.now() + time;
    while (m_network.now() < end) {
        m_network.runUntil(m_network.now() + stepTime);
        m_service->tick(m_network.now());
        m_service->flush(m_network.now());
        checkProof();
        if (m_network.now() < m_nextCheck)
            continue;
        m_node->check();
        m_nextCheck = m_network.now() + ControlSubscription::checkInterval;
    }
}

Duration DistributionSimulation::longestDelay() const
{
    Duration longest { 0 };
    for (const auto& entry : m_commits)
        longest = std::max(longest, std::min(entry.second.inForceAt, m_network.now()) - entry.second.committedAt);
    return longest;
}

std::string routingDocumentOf(std::size_t routes, std::size_t edit)
{
    constexpr std::size_t nameLength = 8;
    constexpr unsigned letterCount = 26;
    std::mt19937_64 random(routes);
    const auto word = [&random] {
        std::string text;
        for (std::size_t index = 0; index < nameLength; ++index)
            text += static_cast<char>('a' + random() % letterCount);
        return text;
    };
    std::string text = R"({"Version":")" + std::to_string(edit) + R"(","Paths":[)";
    for (std::size_t route = 0; route < routes; ++route) {
        const std::size_t timeout = route == edit % routes ? edit : 1;
        text += R"({"Name":"r-)" + word() + R"(","PathPrefix":"/)" + word() + R"(/","Kind":"safe","TimeoutS":)" + std::to_string(timeout) + R"(,"TargetLatencyS":0.25,"Priority":1,"Service":"huvo11a","MaxAttempts":2},)";
    }
    return text + "]}";
}

} // namespace Knapweedquay
