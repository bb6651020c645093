#include "node/PeerLinks.h"

#include "transport/SteadyTime.h"

#include <gtest/gtest.h>

#include <chrono>
#include <vector>

using namespace Knapweedquay;
using namespace std::chrono_literals;

namespace {

/// The links of one node, and another node that answers each link with its name.
class PeerLinksTest : public testing::Test {
protected:
    PeerLinksTest()
        : m_server(m_context, maximumPeerMessageBytes, [this](const LinkPtr& link) { accept(link); })
    {
        EXPECT_TRUE(m_server.start("127.0.0.1", 0).has_value());
        m_links.setAddress(m_peer, "127.0.0.1:" + std::to_string(m_server.port()));
    }

    void accept(const LinkPtr& link)
    {
        ++m_accepted;
        Link::Hooks hooks;
        // The link owns its hooks, so they refer to it by a plain pointer.
        hooks.opened = [this, opened = link.get()] { opened->send(encode(HelloMessage { m_peer, Incarnation(1), 0 })); };
        hooks.received = [this](std::string_view bytes) {
            const auto message = decodePeerMessage(bytes);
            m_probes += message.has_value() && std::holds_alternative<ProbeMessage>(message.value()) ? 1 : 0;
        };
        hooks.closed = [this] { ++m_closed; };
        link->setHooks(std::move(hooks));
        m_serverLinks.push_back(link);
    }

    void runFor(Duration time)
    {
        m_context.restart();
        m_context.run_for(time);
    }

    bool sendProbe() { return m_links.send(m_peer, ProbeMessage { 1, ServiceName("s") }); }

    asio::io_context m_context;
    NodeId m_peer { "peer" };
    LinkServer m_server;
    std::vector<LinkPtr> m_serverLinks;
    int m_accepted = 0;
    int m_closed = 0;
    int m_probes = 0;
    PeerLinks m_links { m_context, { NodeId("self"), Incarnation(1), DataCentre("a") }, { [](const NodeId&, const PeerMessage&) {}, [](const NodeId&) {}, [](const NodeId&, Incarnation) {}, [](const NodeId&, const PeerMessage&, std::size_t) {}, [](const NodeId&, const PeerMessage&) {} }, 300ms };
};

TEST_F(PeerLinksTest, UnusedLink_IsClosed_AndOpenedAgainWhenNeeded)
{
    EXPECT_TRUE(sendProbe());
    runFor(150ms);
    EXPECT_EQ(1U, m_links.openLinks());
    runFor(700ms);
    EXPECT_EQ(0U, m_links.openLinks());
    EXPECT_EQ(1, m_closed);
    EXPECT_TRUE(sendProbe());
    runFor(150ms);
    EXPECT_EQ(1U, m_links.openLinks());
    EXPECT_EQ(2, m_accepted);
    EXPECT_EQ(2, m_probes);
}

TEST_F(PeerLinksTest, LinkWithPendingAnswers_StaysOpen)
{
    EXPECT_TRUE(sendProbe());
    m_links.addPendingAnswers(m_peer, 1);
    runFor(800ms);
    EXPECT_EQ(1U, m_links.openLinks());
    EXPECT_EQ(0, m_closed);
}

} // namespace
