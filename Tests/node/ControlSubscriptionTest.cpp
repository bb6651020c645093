#include "node/ControlSubscription.h"

#include "protocol/LinkChannel.h"

#include <gtest/gtest.h>

using namespace Knapweedquay;
using namespace std::chrono_literals;

namespace {

/// A link that opens when the test says so, and answers freshness requests.
class FakeLink final : public Link {
public:
    FakeLink(std::string peer, Hooks hooks)
        : m_peer(std::move(peer))
        , m_hooks(std::move(hooks))
    {
    }

    bool send(const std::string& message) override
    {
        const auto decoded = decodeControlMessage(LinkChannel::unwrap(message));
        if (const auto* request = std::get_if<FreshnessRequestMessage>(&decoded.value()))
            m_hooks.received(LinkChannel::wrap(LinkChannel::node, encode(FreshnessMessage { request->clock, 1, 1, Duration(0) })));
        return true;
    }
    void ping() override { }
    void abort() override
    {
        m_isAborted = true;
        if (const auto closed = std::exchange(m_hooks, {}).closed)
            closed();
    }
    bool isOpen() const override { return m_isOpen; }
    bool isReached() const override { return m_isOpen || m_isReached; }
    TimePoint lastReceived() override { return {}; }
    void setHooks(Hooks hooks) override { m_hooks = std::move(hooks); }
    std::string peerFeatures() const override { return {}; }

    const std::string& peer() const { return m_peer; }
    bool isAborted() const { return m_isAborted; }
    void reach() { m_isReached = true; }
    void open()
    {
        m_isOpen = true;
        m_hooks.opened();
    }

private:
    std::string m_peer;
    Hooks m_hooks;
    bool m_isOpen = false;
    bool m_isReached = false;
    bool m_isAborted = false;
};

/// A node whose replicas have machines without power: connections to them neither open nor fail.
class ControlSubscriptionTest : public ::testing::Test {
protected:
    ControlSubscription::Hooks hooks()
    {
        ControlSubscription::Hooks hooks;
        hooks.now = [this] { return m_now; };
        hooks.connect = [this](const std::string& address, Link::Hooks linkHooks) {
            m_link = new FakeLink(address, std::move(linkHooks));
            m_attempts.push_back(m_now);
            m_links.push_back(m_link);
            return m_link;
        };
        hooks.document = [](const DocumentMessage&, const DocumentSender&) { return true; };
        hooks.proved = [this](TimePoint) { ++m_proofs; };
        return hooks;
    }

    void runFor(Duration time)
    {
        for (const TimePoint end = m_now + time; m_now < end; m_now += m_subscription.nextCheck())
            m_subscription.check();
    }

    TimePoint m_now { 100s };
    boost::intrusive_ptr<FakeLink> m_link;
    std::vector<boost::intrusive_ptr<FakeLink>> m_links;
    std::vector<TimePoint> m_attempts;
    int m_proofs = 0;
    ControlSubscription m_subscription { { NodeId("node"), Incarnation(1), {} }, { "replica-1:1", "replica-2:1", "replica-3:1" }, true, hooks() };
};

} // namespace

// After a power cut, nodes whose first attempt met a machine that was not up yet served no call for a second.
TEST_F(ControlSubscriptionTest, ReplicaWithoutPower_IsGivenUpForTheNextOneSoon)
{
    m_subscription.start();
    const std::string first = m_link->peer();
    runFor(175ms);
    ASSERT_EQ(2u, m_attempts.size());
    EXPECT_NE(first, m_link->peer());
    m_link->open();
    EXPECT_EQ(1, m_proofs);
    runFor(900ms);
    EXPECT_EQ(2u, m_attempts.size());
}

TEST_F(ControlSubscriptionTest, AllReplicasWithoutPower_AttemptsBecomeRare)
{
    m_subscription.start();
    runFor(10s);
    EXPECT_GE(m_attempts.size(), 9u);
    EXPECT_LE(m_attempts.size(), 14u);
}

// The machines of a power cut start within some tenths of a second, so a replica that was tried first may be up first.
TEST_F(ControlSubscriptionTest, ReplicaThatOpensAfterTheNextWasTried_IsTaken)
{
    m_subscription.start();
    runFor(175ms);
    ASSERT_EQ(2u, m_links.size());
    m_links[0]->open();
    EXPECT_EQ(1, m_proofs);
    EXPECT_EQ(m_links[0]->peer(), m_subscription.currentReplica());
    EXPECT_TRUE(m_links[1]->isAborted());
    runFor(900ms);
    EXPECT_EQ(2u, m_attempts.size());
}

// Many nodes that start at once make replicas slow to accept; further attempts would add to their work.
TEST_F(ControlSubscriptionTest, ReplicasThatAreReachedAndSlow_AreGivenTime)
{
    m_subscription.start();
    for (int check = 0; check < 40; ++check) {
        m_link->reach();
        runFor(25ms);
    }
    EXPECT_EQ(3u, m_attempts.size());
    for (const auto& link : m_links)
        EXPECT_FALSE(link->isAborted());
}

TEST_F(ControlSubscriptionTest, RefusedConnections_AreRepeatedSoonAndNotAtOnce)
{
    m_subscription.start();
    for (int check = 0; check < 40; ++check) {
        if (!m_link->isAborted())
            m_link->abort();
        runFor(25ms);
    }
    EXPECT_GE(m_attempts.size(), 10u);
    EXPECT_LE(m_attempts.size(), 15u);
}
