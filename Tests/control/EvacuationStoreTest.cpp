#include "control/EvacuationStore.h"

#include "state/FakeFileSystem.h"

#include <gtest/gtest.h>

#include <array>
#include <deque>
#include <memory>
#include <optional>
#include <utility>

using namespace Knapweedquay;
using namespace std::chrono_literals;

namespace {

using Action = EvacuationOrder::Action;

/// Three replicas of one store with a simulated clock, of which some may be cut off. Messages between them take no time.
class EvacuationStoreTest : public ::testing::Test {
protected:
    static constexpr std::size_t replicaCount = 3;

    struct Replica {
        std::unique_ptr<FakeFileSystem> files = std::make_unique<FakeFileSystem>();
        std::unique_ptr<ControlService> service;
        std::unique_ptr<EvacuationStore> store;
        bool isCut = false;
    };

    void SetUp() override
    {
        for (std::size_t index = 0; index < replicaCount; ++index)
            start(index, ReplicaId(index + 1), true);
        runUntil([this] { return leader() < replicaCount && m_replicas[0].service->leaderAddress() == m_replicas[2].service->leaderAddress(); });
        ASSERT_LT(leader(), replicaCount);
    }

    /// Starts a replica on the disk that it has.
    void start(std::size_t index, ReplicaId newReplica, bool isFounder)
    {
        Replica& replica = m_replicas[index];
        ControlServiceSettings settings;
        settings.folder = "data";
        settings.address = std::to_string(index);
        settings.peers = { "0", "1", "2" };
        settings.peers.erase(settings.peers.begin() + static_cast<std::ptrdiff_t>(index));
        settings.bootstrap = isFounder;
        if (isFounder)
            settings.founders = { "0", "1", "2" };
        settings.newReplica = newReplica;
        settings.newCluster = ClusterId(1);
        settings.log.seed = index + 1;
        settings.log.targetVoters = replicaCount;
        ControlServiceHooks hooks;
        hooks.send = [this, index](const std::string& address, const ReplicaMessage& message) {
            post(index, std::stoul(address), [this, message](Replica& receiver) { receiver.service->receive(message, m_now); });
        };
        replica.service = std::move(ControlService::open(settings, *replica.files, hooks, m_now).value());
        EvacuationStore::Hooks storeHooks { [this] { return m_now; }, [&replica, this] { replica.service->flush(m_now); }, {} };
        storeHooks.forward = [this, index](const std::string& address, const ControlMessage& sent) { forward(index, std::stoul(address), sent); };
        replica.store = std::make_unique<EvacuationStore>(*replica.service, std::vector<DataCentre> { DataCentre("north"), DataCentre("south") }, storeHooks);
    }

    void forward(std::size_t from, std::size_t to, const ControlMessage& sent)
    {
        ++m_forwarded;
        const auto message = std::get<EvacuationOrderMessage>(decodeControlMessage(encode(sent)).value());
        auto deliver = [this, from, to, message](Replica& receiver) {
            const EvacuationOrder order { message.dataCentre, message.isStart ? Action::Start : Action::Finish, message.author };
            receiver.store->orderAsLeader(order, message.expected, [this, from, to, message](const Result<std::uint64_t>& result) {
                const EvacuationAnswerMessage answer { message.request, result.has_error() ? result.error().code : ResultCode::Ok, {} };
                if (!m_loseAnswers)
                    post(to, from, [bytes = encode(answer)](Replica& sender) { sender.store->leaderAnswered(std::get<EvacuationAnswerMessage>(decodeControlMessage(bytes).value())); });
            });
        };
        if (m_holdForwarded)
            m_heldMessages.push_back([this, from, to, deliver] { post(from, to, deliver); });
        else
            post(from, to, deliver);
    }

    void post(std::size_t from, std::size_t to, std::function<void(Replica&)> deliver)
    {
        m_messages.push_back([this, from, to, deliver = std::move(deliver)] {
            if (!m_replicas[from].isCut && !m_replicas[to].isCut)
                deliver(m_replicas[to]);
        });
    }

    void deliverAll()
    {
        while (!m_messages.empty()) {
            const auto message = std::move(m_messages.front());
            m_messages.pop_front();
            message();
            for (Replica& replica : m_replicas)
                replica.service->flush(m_now);
        }
    }

    void runUntil(const std::function<bool()>& isDone)
    {
        for (int step = 0; step < 400 && !isDone(); ++step) {
            m_now += 20ms;
            for (Replica& replica : m_replicas) {
                replica.service->tick(m_now);
                replica.service->flush(m_now);
                deliverAll();
                replica.store->tick(m_now);
                deliverAll();
            }
        }
    }

    void run(Duration time)
    {
        const TimePoint end = m_now + time;
        runUntil([this, end] { return m_now >= end; });
    }

    /// Index of the replica that accepts orders; replicaCount for none.
    std::size_t leader() const
    {
        for (std::size_t index = 0; index < replicaCount; ++index) {
            if (!m_replicas[index].isCut && m_replicas[index].service->log() && m_replicas[index].service->log()->canAccept(m_now))
                return index;
        }
        return replicaCount;
    }

    std::size_t follower() const { return (leader() + 1) % replicaCount; }

    /// Sends an order to a replica. The result is set once it is answered.
    std::shared_ptr<std::optional<ResultCode>> send(std::size_t index, const std::string& dataCentre, Action action)
    {
        auto code = std::make_shared<std::optional<ResultCode>>();
        m_replicas[index].store->order({ DataCentre(dataCentre), action, "rania" }, [code](const Result<std::uint64_t>& result) {
            *code = result.has_error() ? result.error().code : ResultCode::Ok;
        });
        return code;
    }

    /// Sends an order and returns its result, TimedOut if there is none after a second, and the time it took.
    std::pair<ResultCode, Duration> order(std::size_t index, const std::string& dataCentre, Action action)
    {
        const TimePoint start = m_now;
        const auto code = send(index, dataCentre, action);
        deliverAll();
        runUntil([&] { return *code || m_now - start > 1s; });
        return { code->value_or(ResultCode::TimedOut), m_now - start };
    }

    /// The emptied data centres as a replica knows them, separated by blanks.
    std::string emptied(std::size_t index) const
    {
        std::string names;
        const EvacuationDocument known = m_replicas[index].store->evacuations().value();
        for (const DataCentre& dataCentre : known.emptied)
            names += dataCentre.value() + " ";
        return names;
    }

    TimePoint m_now { 100s };
    std::array<Replica, replicaCount> m_replicas;
    std::deque<std::function<void()>> m_messages;
    /// Orders on their way to the leader while m_holdForwarded is set.
    std::deque<std::function<void()>> m_heldMessages;
    std::size_t m_forwarded = 0;
    bool m_loseAnswers = false;
    bool m_holdForwarded = false;
};

} // namespace

TEST_F(EvacuationStoreTest, OrdersAtTheLeader_Sent_AreAcceptedAndAudited)
{
    EXPECT_EQ(ResultCode::Ok, order(leader(), "north", Action::Start).first);
    EXPECT_EQ("north ", emptied(leader()));
    EXPECT_EQ(ResultCode::Ok, order(leader(), "south", Action::Start).first) << "all at once is the operators' decision";
    EXPECT_EQ("north south ", emptied(leader()));
    EXPECT_EQ(ResultCode::Ok, order(leader(), "north", Action::Finish).first);
    EXPECT_EQ("south ", emptied(leader()));
    const auto audit = m_replicas[leader()].service->state().documents().audit(evacuationDocumentName(), 10);
    ASSERT_EQ(3u, audit.size());
    EXPECT_EQ("rania", audit[0].author);
    EXPECT_EQ("operations", audit[0].team);
    EXPECT_EQ(ChangeId("evacuation-finish-north-2"), audit[0].change);
}

TEST_F(EvacuationStoreTest, OrderThatChangesNothing_Sent_IsAccepted)
{
    EXPECT_EQ(ResultCode::Ok, order(leader(), "south", Action::Finish).first) << "without a start";
    EXPECT_EQ("", emptied(leader()));
    EXPECT_EQ(ResultCode::Ok, order(leader(), "north", Action::Start).first);
    EXPECT_EQ(ResultCode::Ok, order(leader(), "north", Action::Start).first) << "resent";
    EXPECT_EQ(ResultCode::Ok, order(follower(), "north", Action::Start).first) << "resent to another replica";
    EXPECT_EQ("north ", emptied(leader()));
}

TEST_F(EvacuationStoreTest, UnknownDataCentre_Ordered_IsRefusedByAnyReplica)
{
    for (std::size_t index = 0; index < replicaCount; ++index) {
        EXPECT_EQ(ResultCode::UnknownResource, order(index, "nowhere", Action::Start).first);
        EXPECT_EQ(ResultCode::UnknownResource, order(index, "nowhere", Action::Finish).first);
        EXPECT_EQ(ResultCode::UnknownResource, order(index, "", Action::Start).first);
    }
    EXPECT_EQ(0u, m_forwarded);
    EXPECT_EQ(nullptr, m_replicas[leader()].service->state().documents().find(evacuationDocumentName()));
}

TEST_F(EvacuationStoreTest, OrderAtAFollower_Sent_IsAcceptedThroughTheLeader)
{
    EXPECT_EQ(ResultCode::Ok, order(follower(), "north", Action::Start).first);
    EXPECT_EQ(1u, m_forwarded);
    m_loseAnswers = true;
    EXPECT_EQ(ResultCode::Ok, order(follower(), "south", Action::Start).first) << "the commit answers the order";
    run(200ms);
    for (std::size_t index = 0; index < replicaCount; ++index)
        EXPECT_EQ("north south ", emptied(index));
}

TEST_F(EvacuationStoreTest, OrdersAtAllReplicasAtOnce_Sent_AreAllAccepted)
{
    const auto first = send(0, "north", Action::Start);
    const auto second = send(1, "south", Action::Start);
    const auto third = send(2, "north", Action::Start);
    const TimePoint start = m_now;
    runUntil([&] { return *first && *second && *third; });
    EXPECT_EQ(ResultCode::Ok, *first);
    EXPECT_EQ(ResultCode::Ok, *second);
    EXPECT_EQ(ResultCode::Ok, *third);
    EXPECT_LE(m_now - start, Duration(800ms));
    EXPECT_EQ("north south ", emptied(leader()));
}

TEST_F(EvacuationStoreTest, OrderWhileThereIsNoLeader_Sent_WaitsForTheElection)
{
    ASSERT_EQ(ResultCode::Ok, order(leader(), "south", Action::Start).first);
    const std::size_t former = leader();
    m_replicas[former].isCut = true;
    const auto [code, time] = order((former + 1) % replicaCount, "north", Action::Start);
    EXPECT_EQ(ResultCode::Ok, code);
    EXPECT_LE(time, Duration(800ms));
    EXPECT_EQ("north south ", emptied(leader()));
}

TEST_F(EvacuationStoreTest, MajorityCutOff_Ordered_IsRefusedBeforeTheOperatorGivesUp)
{
    const std::size_t alone = leader();
    for (std::size_t index = 0; index < replicaCount; ++index)
        m_replicas[index].isCut = index != alone;
    const auto [code, time] = order(alone, "north", Action::Start);
    EXPECT_NE(ResultCode::Ok, code);
    EXPECT_LE(time, Duration(1020ms));
    run(2s);
    EXPECT_EQ(ResultCode::NoQuorum, order(alone, "north", Action::Start).first);
}

// An operator who gave up an order and sent the opposite one would otherwise find the first in force in the end.
TEST_F(EvacuationStoreTest, GivenUpOrder_ArrivesAfterTheOppositeOne_IsRefused)
{
    const std::size_t forwarder = follower();
    m_holdForwarded = true;
    EXPECT_EQ(ResultCode::NotLeader, order(forwarder, "north", Action::Start).first);
    m_holdForwarded = false;
    ASSERT_EQ(ResultCode::Ok, order(leader(), "north", Action::Finish).first) << "changes nothing";
    ASSERT_EQ(1u, m_heldMessages.size());
    m_heldMessages.front()();
    deliverAll();
    run(1s);
    EXPECT_EQ("", emptied(leader()));
}

TEST_F(EvacuationStoreTest, ReplicasRestarted_AndOneWithAnEmptyDisk_KnowTheEvacuations)
{
    ASSERT_EQ(ResultCode::Ok, order(leader(), "north", Action::Start).first);
    for (std::size_t index = 0; index < replicaCount; ++index) {
        m_replicas[index].store.reset();
        m_replicas[index].service.reset();
        start(index, ReplicaId(index + 1), true);
    }
    m_messages.clear();
    runUntil([this] { return leader() < replicaCount; });
    EXPECT_EQ("north ", emptied(leader()));

    const std::size_t lost = leader();
    m_replicas[lost].store.reset();
    m_replicas[lost].service.reset();
    m_replicas[lost].files = std::make_unique<FakeFileSystem>();
    start(lost, ReplicaId(10), false);
    EXPECT_EQ("", emptied(lost));
    runUntil([&] { return leader() < replicaCount && emptied(lost) == "north "; });
    EXPECT_EQ("north ", emptied(lost));
    EXPECT_EQ("north ", emptied(leader()));
    EXPECT_EQ(ResultCode::Ok, order(lost, "north", Action::Finish).first);
}
