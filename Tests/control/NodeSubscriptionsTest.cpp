#include "control/NodeSubscriptions.h"

#include "protocol/LinkChannel.h"
#include "state/FakeFileSystem.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

using namespace Knapweedquay;
using namespace std::chrono_literals;

namespace {

/// A link that records the lists of replicas sent over it.
class RecordingLink final : public Link {
public:
    bool send(const std::string& message) override
    {
        const auto decoded = decodeControlMessage(LinkChannel::unwrap(message));
        if (const auto* list = std::get_if<ReplicaListMessage>(&decoded.value()))
            lists.push_back(list->addresses);
        return true;
    }
    void ping() override { }
    void abort() override { }
    bool isOpen() const override { return true; }
    TimePoint lastReceived() override { return {}; }
    void setHooks(Hooks) override { }
    std::string peerFeatures() const override { return {}; }

    std::vector<std::vector<std::string>> lists;
};

/// The only replica of a store, which another one joins.
class NodeSubscriptionsTest : public ::testing::Test {
protected:
    NodeSubscriptionsTest()
    {
        ControlServiceSettings settings;
        settings.folder = "data";
        settings.address = "first";
        settings.bootstrap = true;
        settings.newReplica = ReplicaId(1);
        settings.newCluster = ClusterId(1);
        m_service = std::move(ControlService::open(settings, m_files, {}, m_now).value());
        advance(2s);
    }

    void advance(Duration time)
    {
        for (const TimePoint end = m_now + time; m_now < end; m_now += 20ms) {
            m_service->tick(m_now);
            m_service->flush(m_now);
        }
    }

    TimePoint m_now { 100s };
    FakeFileSystem m_files;
    std::unique_ptr<ControlService> m_service;
};

} // namespace

// A node that had connected before the other replicas joined knew only the seeds, and got no configuration once they were replaced.
TEST_F(NodeSubscriptionsTest, ReplicaJoins_SubscribedNodesLearnItsAddress)
{
    NodeSubscriptions subscriptions(*m_service);
    const boost::intrusive_ptr<RecordingLink> link(new RecordingLink);
    const auto id = subscriptions.add(link);
    subscriptions.subscribe(id, { NodeId("node"), Incarnation(1), {} });
    subscriptions.spreadReplicas();
    ASSERT_TRUE(m_service->isLeading());
    m_service->receive({ ClusterId(), ReplicaId(2), noReplica(), JoinRequest {}, "second" }, m_now);
    advance(100ms);
    subscriptions.spreadReplicas();
    subscriptions.spreadReplicas();
    ASSERT_FALSE(link->lists.empty());
    EXPECT_EQ(link->lists.back(), (std::vector<std::string> { "first", "second" }));
    EXPECT_EQ(link->lists.size(), 2u) << "each list is sent once";
}
