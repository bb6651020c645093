#include "control/RestartSimulation.h"

#include "protocol/LinkChannel.h"
#include "state/RoutingDocument.h"

#include <algorithm>
#include <utility>

namespace Knapweedquay {

namespace {

constexpr std::size_t replicaCount = 5;
constexpr std::size_t dataCentres = 4;
constexpr Duration latencyNear { 200 };
constexpr Duration latencyFar { 2700 };
constexpr Duration synRepeat { 1000000 };
constexpr Duration syncTime { 5000 };
/// Time to read the data folder.
constexpr Duration openingTime { 30000 };
/// Time that a process with a tenth of a core needs for the opening of a link, for a message, and to apply a document.
constexpr Duration handshakeWork { 3000 };
constexpr Duration messageWork { 500 };
constexpr Duration nodeHandshakeWork { 20000 };
constexpr Duration documentWork { 30000 };
constexpr Duration tickInterval { 20000 };
constexpr Duration replicaRetry { 75000 };
constexpr std::size_t documentBytes = 40000;

} // namespace

/// One end of a link between a node and a replica.
class RestartSimulation::End final : public Link {
public:
    End(RestartSimulation& simulation, Duration latency)
        : m_simulation(simulation)
        , m_latency(latency)
    {
    }

    bool send(const std::string& message) override
    {
        if (m_isOpen)
            m_simulation.schedule(m_simulation.m_now + m_latency, [peer = m_peer, message] { peer->receive(message); });
        return m_isOpen;
    }
    void ping() override { }
    void abort() override
    {
        m_isAborted = true;
        if (m_isOpen)
            m_simulation.schedule(m_simulation.m_now + m_latency, [peer = m_peer] { peer->close(); });
        close();
    }
    bool isOpen() const override { return m_isOpen; }
    bool isReached() const override { return m_isOpen || m_isReached; }
    TimePoint lastReceived() override { return m_simulation.m_now; }
    void setHooks(Hooks hooks) override { m_hooks = std::move(hooks); }
    std::string peerFeatures() const override { return {}; }

    bool isAborted() const { return m_isAborted; }
    void reach() { m_isReached = true; }
    void open(End& peer)
    {
        m_peer = &peer;
        m_isOpen = true;
        if (m_hooks.opened)
            m_hooks.opened();
    }
    void receive(const std::string& message)
    {
        if (m_isOpen && m_hooks.received)
            m_hooks.received(message);
    }
    void close()
    {
        m_isOpen = false;
        if (const auto closed = std::exchange(m_hooks, {}).closed)
            closed();
    }

private:
    RestartSimulation& m_simulation;
    Duration m_latency;
    End* m_peer = nullptr;
    Hooks m_hooks;
    bool m_isOpen = false;
    bool m_isReached = false;
    bool m_isAborted = false;
};

RestartSimulation::RestartSimulation(std::size_t nodes, std::uint64_t seed)
    : m_random(seed)
    , m_nodes(nodes)
    , m_nodeStarts(nodes)
    , m_times(nodes)
{
    for (std::size_t index = 0; index < replicaCount; ++index) {
        m_replicas.push_back(std::make_unique<Replica>());
        m_replicas.back()->address = std::to_string(index);
    }
    for (std::size_t index = 0; index < replicaCount; ++index)
        startReplica(index);
    bool isCommitted = false;
    while (!isCommitted) {
        runUntil(m_now + tickInterval);
        for (const auto& replica : m_replicas) {
            if (!replica->service->log() || !replica->service->log()->canAccept(m_now) || isCommitted)
                continue;
            DocumentEdit edit;
            edit.service = routingDocumentName();
            edit.change = ChangeId("change");
            edit.author = "test";
            edit.authenticatedTeam = "operations";
            while (edit.text.size() < documentBytes)
                edit.text += std::to_string(m_random());
            replica->service->edit(
                edit, [&isCommitted](const Result<EditResult>& result) { isCommitted = result.has_value(); }, m_now);
            flush(*replica);
            runUntil(m_now + 10 * tickInterval);
        }
    }
    runUntil(m_now + 50 * tickInterval);
}

Duration RestartSimulation::latency(std::size_t a, std::size_t b) const
{
    return a % dataCentres == b % dataCentres ? latencyNear : latencyFar;
}

void RestartSimulation::restart(Duration startsWithin, Duration limit)
{
    m_events.clear();
    m_replicaLinks.clear();
    m_startedAt = m_now + Duration(1000000);
    const auto drawStart = [&] { return m_startedAt + Duration(static_cast<std::int64_t>(m_random() % static_cast<std::uint64_t>(startsWithin.count()))); };
    for (std::size_t index = 0; index < replicaCount; ++index) {
        Replica& replica = *m_replicas[index];
        replica.subscriptions.reset();
        replica.service.reset();
        replica.disk.crash(m_random);
        replica.hasPowerAt = drawStart();
        replica.busyUntil = {};
        schedule(replica.hasPowerAt + openingTime, [this, index] { startReplica(index); });
    }
    for (std::size_t node = 0; node < m_nodes.size(); ++node) {
        m_nodeStarts[node] = drawStart();
        schedule(m_nodeStarts[node], [this, node] { startNode(node); });
    }
    while (m_now < m_startedAt + limit && !areAllFresh())
        runUntil(m_now + tickInterval);
}

bool RestartSimulation::areAllFresh() const
{
    return std::all_of(m_times.begin(), m_times.end(), [](const Times& times) { return times.fresh >= Duration(0); });
}

std::size_t RestartSimulation::mostAttempts() const
{
    std::size_t most = 0;
    for (auto first = m_attempts.begin(); first != m_attempts.end(); ++first)
        most = std::max(most, static_cast<std::size_t>(std::upper_bound(first, m_attempts.end(), *first + Duration(100000)) - first));
    return most;
}

void RestartSimulation::startReplica(std::size_t index)
{
    Replica& replica = *m_replicas[index];
    ControlServiceSettings settings;
    settings.folder = "data";
    settings.address = replica.address;
    for (std::size_t other = 0; other < replicaCount; ++other)
        settings.peers.push_back(std::to_string(other));
    settings.founders = settings.peers;
    settings.bootstrap = true;
    settings.newReplica = ReplicaId(1000 + ++m_starts);
    settings.newCluster = ClusterId(1);
    settings.minimumVoters = replicaCount - 1;
    settings.log.targetVoters = replicaCount;
    settings.log.seed = m_random();
    ControlServiceHooks hooks;
    hooks.send = [this, index](const std::string& address, const ReplicaMessage& message) { sendBetweenReplicas(index, std::stoul(address), message); };
    hooks.runStorageJob = [this, index](const std::function<Result<void>()>& job, const std::function<void(Result<void>, TimePoint)>& done) {
        schedule(m_now + syncTime, [this, index, job, done] {
            if (!m_replicas[index]->service)
                return;
            done(job(), m_now);
            flush(*m_replicas[index]);
        });
    };
    hooks.documentChanged = [&replica](const StoredDocument&) {
        if (replica.subscriptions)
            replica.subscriptions->documentsChanged();
    };
    replica.service = std::move(ControlService::open(settings, replica.disk, std::move(hooks), m_now).value());
    replica.subscriptions = std::make_unique<NodeSubscriptions>(*replica.service);
    tick(index);
#ifndef RESTART_SIMULATION_BASELINE
    for (std::size_t other = 0; other < replicaCount; ++other) {
        if (other != index && !std::exchange(m_replicaLinks[{ index, other }].isOpening, true))
            openBetweenReplicas(index, other);
    }
#endif
}

void RestartSimulation::tick(std::size_t index)
{
    Replica& replica = *m_replicas[index];
    replica.service->tick(m_now);
    flush(replica);
    if (replica.service->isLeading() && m_electedAfter < Duration(0) && m_startedAt > TimePoint())
        m_electedAfter = m_now - m_startedAt;
    schedule(m_now + tickInterval, [this, index] { tick(index); });
}

void RestartSimulation::flush(Replica& replica)
{
    replica.service->flush(m_now);
#ifndef RESTART_SIMULATION_BASELINE
    replica.subscriptions->answerWaiting(m_now);
#endif
}

void RestartSimulation::work(Replica& replica, Duration time, std::function<void()> event)
{
    replica.busyUntil = std::max(replica.busyUntil, m_now) + time;
    schedule(replica.busyUntil, std::move(event));
}

void RestartSimulation::sendBetweenReplicas(std::size_t from, std::size_t to, const ReplicaMessage& message)
{
    ReplicaLink& link = m_replicaLinks[{ from, to }];
    const std::string bytes = encodeReplicaMessage(message);
    if (link.isOpen)
        return schedule(m_now + latency(from, to), [this, to, bytes] { deliver(to, bytes); });
    link.pendingMessage = bytes;
    if (!std::exchange(link.isOpening, true))
        openBetweenReplicas(from, to);
}

void RestartSimulation::openBetweenReplicas(std::size_t from, std::size_t to)
{
    const Duration oneWay = latency(from, to);
    schedule(m_now + oneWay, [this, from, to, oneWay] {
        Replica& replica = *m_replicas[to];
        if (!replica.service)
            return schedule(m_now + replicaRetry, [this, from, to] { openBetweenReplicas(from, to); });
        work(replica, handshakeWork, [this, from, to, oneWay] {
            schedule(m_now + 3 * oneWay, [this, from, to] {
                ReplicaLink& link = m_replicaLinks[{ from, to }];
                link.isOpen = true;
                if (!link.pendingMessage.empty())
                    deliver(to, std::exchange(link.pendingMessage, {}));
            });
        });
    });
}

void RestartSimulation::deliver(std::size_t to, const std::string& bytes)
{
    Replica& replica = *m_replicas[to];
    const auto message = decodeReplicaMessage(bytes);
    if (!replica.service || message.has_error())
        return;
    work(replica, messageWork, [this, &replica, message = message.value()] {
        if (!replica.service)
            return;
        replica.service->receive(message, m_now);
        flush(replica);
    });
}

void RestartSimulation::startNode(std::size_t index)
{
    ControlSubscription::Hooks hooks;
    hooks.now = [this] { return m_now; };
    hooks.connect = [this, index](const std::string& address, Link::Hooks linkHooks) { return connect(index, address, std::move(linkHooks)); };
    hooks.document = [this, index](const DocumentMessage&, const DocumentSender&) {
        m_times[index].inForce = m_now + documentWork - m_nodeStarts[index];
        return true;
    };
    hooks.proved = [this, index](TimePoint) {
        Times& times = m_times[index];
        if (times.fresh < Duration(0))
            times.fresh = std::max(m_now - m_nodeStarts[index], times.inForce);
    };
    std::vector<std::string> addresses;
    for (std::size_t replica = 0; replica < replicaCount; ++replica)
        addresses.push_back(std::to_string(replica));
    m_nodes[index] = std::make_unique<ControlSubscription>(NodeIdentity { NodeId("node-" + std::to_string(index)), Incarnation(1), DataCentre("east") }, addresses, false, std::move(hooks));
    m_nodes[index]->start();
    checkNode(index);
}

void RestartSimulation::checkNode(std::size_t index)
{
#ifdef RESTART_SIMULATION_BASELINE
    const Duration next = ControlSubscription::checkInterval;
#else
    const Duration next = m_nodes[index]->nextCheck();
#endif
    schedule(m_now + next, [this, index] {
        m_nodes[index]->check();
        checkNode(index);
    });
}

LinkPtr RestartSimulation::connect(std::size_t node, const std::string& address, Link::Hooks hooks)
{
    const std::size_t to = std::stoul(address);
    const Duration oneWay = latency(node, to);
    const boost::intrusive_ptr<End> end(new End(*this, oneWay));
    end->setHooks(std::move(hooks));
    m_ends.push_back(end);
    m_attempts.push_back(m_now);
    const auto handleSyn = [this, to, oneWay, end, node] {
        Replica& replica = *m_replicas[to];
        if (end->isAborted() || m_now < replica.hasPowerAt)
            return false;
        if (!replica.service) {
            schedule(m_now + oneWay, [end] { end->close(); });
            return true;
        }
        schedule(m_now + oneWay, [end] { end->reach(); });
        work(replica, handshakeWork, [this, &replica, oneWay, end, node] {
            schedule(m_now + 2 * oneWay + nodeHandshakeWork, [this, &replica, oneWay, end, node] {
                if (end->isAborted())
                    return;
                const boost::intrusive_ptr<End> other(new End(*this, oneWay));
                m_ends.push_back(other);
                accept(replica, other);
                other->open(*end);
                end->open(*other);
                if (m_times[node].linked < Duration(0))
                    m_times[node].linked = m_now - m_nodeStarts[node];
            });
        });
        return true;
    };
    schedule(m_now + oneWay, [this, handleSyn] {
        if (!handleSyn())
            schedule(m_now + synRepeat, [handleSyn] { handleSyn(); });
    });
    return end;
}

void RestartSimulation::accept(Replica& replica, const LinkPtr& link)
{
    const NodeSubscriptions::SubscriberId id = replica.subscriptions->add(link);
    Link::Hooks hooks;
    hooks.received = [this, &replica, id](std::string_view bytes) {
        work(replica, messageWork, [this, &replica, id, message = std::string(bytes)] { receive(replica, id, message); });
    };
    hooks.closed = [&replica, id] { replica.subscriptions->remove(id); };
    link->setHooks(std::move(hooks));
}

void RestartSimulation::receive(Replica& replica, NodeSubscriptions::SubscriberId id, const std::string& bytes)
{
    const ControlMessage message = decodeControlMessage(LinkChannel::unwrap(bytes)).value();
    if (const auto* subscribe = std::get_if<SubscribeMessage>(&message))
        replica.subscriptions->subscribe(id, *subscribe);
    else if (const auto* request = std::get_if<FreshnessRequestMessage>(&message))
        replica.subscriptions->answerFreshness(id, *request, m_now);
    else if (const auto* inForce = std::get_if<InForceMessage>(&message))
        replica.subscriptions->reportInForce(id, *inForce, m_now);
    else if (std::holds_alternative<UpdatesAcceptedMessage>(message))
        replica.subscriptions->acceptUpdates(id);
}

void RestartSimulation::runUntil(TimePoint end)
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

} // namespace Knapweedquay
