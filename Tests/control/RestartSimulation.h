#pragma once

#include "control/NodeSubscriptions.h"
#include "node/ControlSubscription.h"
#include "state/ControlService.h"
#include "state/FakeFileSystem.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace Knapweedquay {

/// All machines of a deployment lose power and start again, in virtual time: five control replicas and many nodes in four data
/// centres, from the start of the processes until each node has proof that its documents are recent.
///
/// A machine without power drops what is sent to it, and the system repeats a SYN only after a second. A process that serves
/// many connections at once serves one after the other.
class RestartSimulation {
public:
    /// When a node reached each step, from the start of its own process.
    struct Times {
        Duration linked { -1 };
        Duration inForce { -1 };
        Duration fresh { -1 };
    };

    RestartSimulation(std::size_t nodes, std::uint64_t seed);

    /// Starts all processes within the given time, and runs until all nodes are fresh or the limit has passed.
    void restart(Duration startsWithin, Duration limit);
    const std::vector<Times>& times() const { return m_times; }
    /// Time from the first start until a replica led.
    Duration electedAfter() const { return m_electedAfter; }
    /// Most connections that replicas were asked for within a tenth of a second, all replicas together.
    std::size_t mostAttempts() const;

private:
    class End;

    /// A control replica and what its process is doing.
    struct Replica {
        std::string address;
        FakeFileSystem disk;
        std::unique_ptr<ControlService> service;
        std::unique_ptr<NodeSubscriptions> subscriptions;
        TimePoint hasPowerAt;
        /// Its process is busy until this time.
        TimePoint busyUntil;
    };

    /// The link from one replica to another.
    struct ReplicaLink {
        bool isOpen = false;
        bool isOpening = false;
        std::string pendingMessage;
    };

    void startReplica(std::size_t index);
    void startNode(std::size_t index);
    void checkNode(std::size_t index);
    LinkPtr connect(std::size_t node, const std::string& address, Link::Hooks);
    void accept(Replica&, const LinkPtr&);
    void receive(Replica&, NodeSubscriptions::SubscriberId, const std::string& bytes);
    void sendBetweenReplicas(std::size_t from, std::size_t to, const ReplicaMessage&);
    void openBetweenReplicas(std::size_t from, std::size_t to);
    void deliver(std::size_t to, const std::string& bytes);
    void tick(std::size_t index);
    void flush(Replica&);
    /// Runs an event once the replica's process has done this work, after what it has to do before.
    void work(Replica&, Duration, std::function<void()>);
    void schedule(TimePoint at, std::function<void()> event) { m_events.emplace(at, std::move(event)); }
    void runUntil(TimePoint);
    Duration latency(std::size_t a, std::size_t b) const;
    bool areAllFresh() const;

    std::mt19937_64 m_random;
    TimePoint m_now { Duration(100000000) };
    std::multimap<TimePoint, std::function<void()>> m_events;
    std::vector<std::unique_ptr<Replica>> m_replicas;
    std::map<std::pair<std::size_t, std::size_t>, ReplicaLink> m_replicaLinks;
    std::vector<std::unique_ptr<ControlSubscription>> m_nodes;
    std::vector<TimePoint> m_nodeStarts;
    std::vector<Times> m_times;
    std::vector<TimePoint> m_attempts;
    /// All ends ever opened, since messages in flight refer to them.
    std::vector<LinkPtr> m_ends;
    TimePoint m_startedAt;
    Duration m_electedAfter { -1 };
    std::uint64_t m_starts = 0;
};

} // namespace Knapweedquay
