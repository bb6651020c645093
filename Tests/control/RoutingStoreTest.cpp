#include "control/RoutingStore.h"

#include "state/FakeFileSystem.h"
#include "state/RoutingParser.h"

#include <gtest/gtest.h>

#include <array>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

using namespace Knapweedquay;
using namespace std::chrono_literals;

namespace {

std::string routingText(std::uint64_t version, const std::string& prefix = "/a/")
{
    return "version = " + std::to_string(version) + "\n[[services]]\nname = \"s\"\n[[routes]]\nhost = \"h\"\npath = \"" + prefix + "\"\n[[routes.targets]]\nservice = \"s\"\n";
}

/// A routing document with one route of each host, all with the same prefix.
std::string routingOfHosts(std::uint64_t version, const std::vector<std::string>& hosts)
{
    std::string text = "version = " + std::to_string(version) + "\n[[services]]\nname = \"s\"\n";
    for (const std::string& host : hosts)
        text += "[[routes]]\nhost = \"" + host + "\"\npath = \"/a/\"\n[[routes.targets]]\nservice = \"s\"\n";
    return text;
}

/// A single replica that leads its store, with a simulated clock. Edits are flushed immediately.
class RoutingStoreTest : public ::testing::Test {
protected:
    void SetUp() override
    {
        ControlServiceSettings settings;
        settings.folder = "data";
        settings.address = "replica";
        settings.bootstrap = true;
        settings.newReplica = ReplicaId(1);
        settings.newCluster = ClusterId(1);
        m_service = std::move(ControlService::open(settings, m_files, {}, m_now).value());
        m_store = std::make_unique<RoutingStore>(*m_service, parseRoutingToml, RoutingStore::Hooks { [this] { return m_now; }, [this] { m_service->flush(m_now); }, {} });
        becomeLeader();
    }

    void becomeLeader()
    {
        for (int step = 0; step < 1000 && !m_service->log()->canAccept(m_now); ++step) {
            m_now += 20ms;
            m_service->tick(m_now);
            m_service->flush(m_now);
        }
    }

    ResultCode change(const std::string& text, std::uint64_t base)
    {
        std::optional<ResultCode> code;
        becomeLeader();
        m_store->change({ text, base, "tester" }, [&code](const Result<std::uint64_t>& result) {
            code = result.has_error() ? result.error().code : ResultCode::Ok;
        });
        return code.value_or(ResultCode::TimedOut);
    }

    FakeFileSystem m_files;
    TimePoint m_now { 100s };
    std::unique_ptr<ControlService> m_service;
    std::unique_ptr<RoutingStore> m_store;
};

/// Three replicas of one store with a simulated clock, of which some may be cut off. Messages between them take no time.
class RoutingStoresTest : public ::testing::Test {
protected:
    static constexpr std::size_t replicaCount = 3;

    struct Replica {
        FakeFileSystem files;
        std::unique_ptr<ControlService> service;
        std::unique_ptr<RoutingStore> store;
        bool isCut = false;
        /// Jobs of its storage wait while its disk is slow.
        bool isDiskSlow = false;
        std::vector<std::pair<std::function<Result<void>()>, std::function<void(Result<void>, TimePoint)>>> jobs;
    };

    void SetUp() override
    {
        for (std::size_t index = 0; index < replicaCount; ++index)
            startReplica(index);
        runUntil([this] { return leader() < replicaCount && m_replicas[0].service->leaderAddress() == m_replicas[2].service->leaderAddress(); });
        ASSERT_LT(leader(), replicaCount);
    }

    void startReplica(std::size_t index)
    {
        Replica& replica = m_replicas[index];
        ControlServiceSettings settings;
        settings.folder = "data";
        settings.address = std::to_string(index);
        settings.founders = { "0", "1", "2" };
        settings.bootstrap = true;
        settings.newReplica = ReplicaId(index + 1);
        settings.newCluster = ClusterId(1);
        settings.log.seed = index + 1;
        ControlServiceHooks hooks;
        hooks.send = [this, index](const std::string& address, const ReplicaMessage& message) {
            post(index, std::stoul(address), [this, message](Replica& receiver) { receiver.service->receive(message, m_now); });
        };
        hooks.runStorageJob = [&replica](std::function<Result<void>()> job, std::function<void(Result<void>, TimePoint)> done) {
            replica.jobs.emplace_back(std::move(job), std::move(done));
        };
        replica.service = std::move(ControlService::open(settings, replica.files, hooks, m_now).value());
        RoutingStore::Hooks storeHooks { [this] { return m_now; }, [&replica, this] { replica.service->flush(m_now); }, {} };
        storeHooks.forward = [this, index](const std::string& address, const ControlMessage& sent) {
            ++m_forwarded;
            const auto message = std::get<RoutingChangeMessage>(decodeControlMessage(encode(sent)).value());
            post(index, std::stoul(address), [this, index, address, message](Replica& receiver) {
                receiver.store->changeAsLeader({ message.text, message.baseVersion, message.author }, [this, index, address, message](const Result<std::uint64_t>& result) {
                    const RoutingChangeAnswerMessage answer { message.request, result.has_error() ? result.error().code : ResultCode::Ok, {} };
                    if (!m_loseAnswers)
                        post(std::stoul(address), index, [bytes = encode(answer)](Replica& sender) { sender.store->leaderAnswered(std::get<RoutingChangeAnswerMessage>(decodeControlMessage(bytes).value())); });
                });
            });
        };
        replica.store = std::make_unique<RoutingStore>(*replica.service, parseRoutingToml, storeHooks);
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
            flushAll();
        }
    }

    void flushAll()
    {
        for (Replica& replica : m_replicas) {
            replica.service->flush(m_now);
            while (!replica.isDiskSlow && !replica.jobs.empty()) {
                for (const auto& [job, done] : std::exchange(replica.jobs, {}))
                    done(job(), m_now);
                replica.service->flush(m_now);
            }
        }
    }

    void runUntil(const std::function<bool()>& isDone)
    {
        for (int step = 0; step < 200 && !isDone(); ++step) {
            m_now += 20ms;
            for (Replica& replica : m_replicas) {
                replica.service->tick(m_now);
                flushAll();
                deliverAll();
                replica.store->tick(m_now);
                deliverAll();
            }
        }
    }

    /// Index of the replica that accepts changes; replicaCount for none.
    std::size_t leader() const
    {
        for (std::size_t index = 0; index < replicaCount; ++index) {
            if (!m_replicas[index].isCut && m_replicas[index].service->log()->canAccept(m_now))
                return index;
        }
        return replicaCount;
    }

    /// Sends a change to a replica and returns its result, TimedOut if there is none after a second, and the time it took.
    std::pair<ResultCode, Duration> change(std::size_t index, const std::string& text, std::uint64_t base)
    {
        std::optional<ResultCode> code;
        const TimePoint start = m_now;
        m_replicas[index].store->change({ text, base, "tester" }, [&code](const Result<std::uint64_t>& result) {
            code = result.has_error() ? result.error().code : ResultCode::Ok;
        });
        deliverAll();
        runUntil([&] { return code || m_now - start > 1s; });
        return { code.value_or(ResultCode::TimedOut), m_now - start };
    }

    TimePoint m_now { 100s };
    std::array<Replica, replicaCount> m_replicas;
    std::deque<std::function<void()>> m_messages;
    std::size_t m_forwarded = 0;
    bool m_loseAnswers = false;
};

} // namespace

TEST_F(RoutingStoreTest, ChangeOnCurrentVersion_Sent_IsAccepted)
{
    EXPECT_EQ(ResultCode::Ok, change(routingText(3), 0));
    EXPECT_EQ(ResultCode::Ok, change(routingText(7), 3));
    EXPECT_EQ(DocumentVersion(2), m_service->state().documents().find(routingDocumentName())->version);
}

TEST_F(RoutingStoreTest, AcceptedChange_Resent_IsAcceptedAgainAlsoAfterLaterChanges)
{
    ASSERT_EQ(ResultCode::Ok, change(routingText(3), 0));
    EXPECT_EQ(ResultCode::Ok, change(routingText(3), 0));
    ASSERT_EQ(ResultCode::Ok, change(routingText(4), 3));
    EXPECT_EQ(ResultCode::Ok, change(routingText(3), 0));
    EXPECT_EQ(routingText(4), m_service->state().documents().find(routingDocumentName())->text);
}

TEST_F(RoutingStoreTest, TwoChanges_WithTheSameBaseVersion_OnlyFirstIsAccepted)
{
    ASSERT_EQ(ResultCode::Ok, change(routingText(3), 0));
    EXPECT_EQ(ResultCode::Ok, change(routingText(5, "/one/"), 3));
    EXPECT_EQ(ResultCode::VersionConflict, change(routingText(5, "/two/"), 3));
    EXPECT_EQ(ResultCode::VersionConflict, change(routingText(6, "/two/"), 3));
    EXPECT_EQ(routingText(5, "/one/"), m_service->state().documents().find(routingDocumentName())->text);
}

TEST_F(RoutingStoreTest, InvalidChanges_Sent_ChangeNothing)
{
    ASSERT_EQ(ResultCode::Ok, change(routingText(3), 0));
    EXPECT_EQ(ResultCode::InvalidDocument, change(routingText(3, "/b/"), 3));
    EXPECT_EQ(ResultCode::InvalidDocument, change(routingText(2), 3));
    EXPECT_EQ(ResultCode::InvalidDocument, change("version = 9", 3));
    EXPECT_EQ(ResultCode::VersionConflict, change(routingText(9), 2));
    EXPECT_EQ(routingText(3), m_service->state().documents().find(routingDocumentName())->text);
}

// Two routes that nodes read as one were acknowledged, and the requests of both ran at the service of the later one.
TEST_F(RoutingStoreTest, RoutesThatNodesReadAsOne_Sent_AreRefused)
{
    for (const auto& [first, second] : std::vector<std::pair<std::string, std::string>> { { "f.example", "F.example" }, { "f.example", "f.example:8141" }, { "f.example:1", "f.example:2" }, { "[::1]", "[::1]:8141" }, { ":1", "f.example" } }) {
        EXPECT_EQ(ResultCode::InvalidDocument, change(routingOfHosts(1, { first, second }), 0)) << first << ' ' << second;
        EXPECT_EQ(ResultCode::InvalidDocument, change(routingOfHosts(1, { second, first }), 0)) << first << ' ' << second;
    }
    EXPECT_EQ(ResultCode::Ok, change(routingOfHosts(1, { "f.example", "g.example:8141", "[::1]", "[::2]" }), 0));
}

// A release that refuses what an older one acknowledged would have no configuration after an upgrade.
TEST_F(RoutingStoreTest, RoutesThatNodesReadAsOne_AcknowledgedByAnOlderRelease_StayInForceAndCanBeReplaced)
{
    const std::string text = routingOfHosts(1, { "f.example", "f.example:8141" });
    DocumentEdit edit;
    edit.service = routingDocumentName();
    edit.change = ChangeId("older");
    edit.text = text;
    edit.author = "operator";
    edit.authenticatedTeam = "operations";
    bool isAccepted = false;
    m_service->edit(
        edit, [&isAccepted](const Result<EditResult>& result) { isAccepted = result.has_value() && result.value().code == ResultCode::Ok; }, m_now);
    m_service->flush(m_now);
    ASSERT_TRUE(isAccepted);
    EXPECT_EQ(ResultCode::VersionConflict, change(routingText(2), 0));
    EXPECT_EQ(ResultCode::Ok, change(routingText(2), 1));
}

TEST_F(RoutingStoreTest, Read_NoProofInTime_IsRefused)
{
    ASSERT_EQ(ResultCode::Ok, change(routingText(3), 0));
    std::optional<ResultCode> code;
    m_now += 1ms;
    m_store->read([&code](const Result<std::string>& text) { code = text.has_error() ? text.error().code : ResultCode::Ok; });
    // The last quorum round started before the read arrived.
    m_store->tick(m_now);
    EXPECT_FALSE(code);
    m_now += 1s;
    m_store->tick(m_now);
    EXPECT_EQ(ResultCode::NoQuorum, code);
}

TEST_F(RoutingStoreTest, Read_QuorumRoundStartedAfterIt_ReturnsNewestText)
{
    ASSERT_EQ(ResultCode::Ok, change(routingText(3), 0));
    std::string read;
    m_store->read([&read](const Result<std::string>& text) { read = text.value(); });
    for (int step = 0; step < 10; ++step) {
        m_now += 20ms;
        m_service->tick(m_now);
        m_service->flush(m_now);
        m_store->tick(m_now);
    }
    EXPECT_EQ(routingText(3), read);
}

// A redirect was one more response that could be lost, at the cost of a second.
TEST_F(RoutingStoresTest, Change_SentToAFollower_IsAcceptedThroughTheLeader)
{
    const std::size_t follower = (leader() + 1) % replicaCount;
    EXPECT_EQ(ResultCode::Ok, change(follower, routingText(3), 0).first);
    EXPECT_EQ(ResultCode::VersionConflict, change(follower, routingText(4), 0).first);
    EXPECT_EQ(ResultCode::InvalidDocument, change(follower, routingText(2), 3).first);
    const TimePoint heardAt = m_now + 200ms;
    runUntil([this, heardAt] { return m_now >= heardAt; });
    EXPECT_EQ(ResultCode::Ok, change(follower, routingText(3), 0).first);
    EXPECT_EQ(3u, m_forwarded) << "the follower knows the accepted change itself";
    EXPECT_EQ(ResultCode::InvalidDocument, change(follower, "version = 9", 3).first);
    EXPECT_EQ(3u, m_forwarded);
}

TEST_F(RoutingStoresTest, Change_SentWhileThereIsNoLeader_WaitsForTheElection)
{
    ASSERT_EQ(ResultCode::Ok, change(0, routingText(3), 0).first);
    const std::size_t former = leader();
    m_replicas[former].isCut = true;
    const auto [code, time] = change((former + 1) % replicaCount, routingText(4), 3);
    EXPECT_EQ(ResultCode::Ok, code);
    EXPECT_LE(time, Duration(800ms));
}

// A change on top of the version that a follower had acknowledged was told a conflict with an older one, while the leader's disk was slow.
TEST_F(RoutingStoresTest, ChangeOnAcknowledgedVersion_LeadersDiskIsSlow_IsNoConflict)
{
    Replica& leading = m_replicas[leader()];
    const std::size_t follower = (leader() + 1) % replicaCount;
    ASSERT_EQ(ResultCode::Ok, change(follower, routingText(3), 0).first);
    leading.isDiskSlow = true;
    ASSERT_EQ(ResultCode::Ok, change(follower, routingText(4), 3).first);
    std::optional<ResultCode> code;
    m_replicas[follower].store->change({ routingText(5), 4, "tester" }, [&code](const Result<std::uint64_t>& result) {
        code = result.has_error() ? result.error().code : ResultCode::Ok;
    });
    const TimePoint sentAt = m_now;
    runUntil([&] { return m_now - sentAt > 200ms; });
    EXPECT_FALSE(code.has_value());
    leading.isDiskSlow = false;
    runUntil([&] { return code.has_value(); });
    EXPECT_EQ(ResultCode::Ok, code.value_or(ResultCode::TimedOut));
    // A true conflict is told as before.
    EXPECT_EQ(ResultCode::VersionConflict, change(follower, routingText(6), 3).first);
}

TEST_F(RoutingStoresTest, LeadersAnswer_Lost_CommitAnswersTheChange)
{
    m_loseAnswers = true;
    EXPECT_EQ(ResultCode::Ok, change((leader() + 1) % replicaCount, routingText(3), 0).first);
}

TEST_F(RoutingStoresTest, Majority_Gone_ChangeFailsBeforeItsOperatorGivesUp)
{
    const std::size_t alone = leader();
    for (std::size_t index = 0; index < replicaCount; ++index)
        m_replicas[index].isCut = index != alone;
    runUntil([this] { return leader() == replicaCount; });
    const auto [code, time] = change(alone, routingText(3), 0);
    EXPECT_EQ(ResultCode::NoQuorum, code);
    EXPECT_LE(time, Duration(900ms));
}

// An operator whose try met the smaller side of a split waited there for nearly a second.
TEST_F(RoutingStoresTest, NoLeaderForLong_ChangeIsRefusedAtOnce)
{
    const std::size_t alone = (leader() + 1) % replicaCount;
    for (std::size_t index = 0; index < replicaCount; ++index)
        m_replicas[index].isCut = index != alone;
    const TimePoint cutAt = m_now;
    runUntil([this, cutAt] { return m_now - cutAt > 3s; });
    const auto [code, time] = change(alone, routingText(3), 0);
    EXPECT_EQ(ResultCode::NoQuorum, code);
    EXPECT_LE(time, Duration(20ms));
}

TEST_F(RoutingStoresTest, ManyChanges_WithoutALeader_AreBounded)
{
    for (Replica& replica : m_replicas)
        replica.isCut = true;
    runUntil([this] { return leader() == replicaCount; });
    m_now += 1s;
    std::size_t overloaded = 0;
    for (std::uint64_t version = 1; version <= 100; ++version) {
        m_replicas[0].store->change({ routingText(version), 0, "tester" }, [&overloaded](const Result<std::uint64_t>& result) {
            overloaded += result.has_error() && result.error().code == ResultCode::Overloaded ? 1 : 0;
        });
    }
    EXPECT_EQ(36u, overloaded);
}
