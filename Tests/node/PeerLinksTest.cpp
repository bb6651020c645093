#include "node/PeerLinks.h"

#include "transport/SteadyTime.h"

#include <asio/ip/tcp.hpp>

#include <gtest/gtest.h>

#include <chrono>
#include <string>
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
        hooks.opened = [this, opened = link.get()] { opened->send(encode(HelloMessage { m_peer, Incarnation(1), 0, m_features })); };
        hooks.received = [this](std::string_view bytes) {
            const auto message = decodePeerMessage(bytes);
            m_probes += message.has_value() && std::holds_alternative<ProbeMessage>(message.value()) ? 1 : 0;
            m_limits += message.has_value() && std::holds_alternative<CallLimitMessage>(message.value()) ? 1 : 0;
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

    /// Sends an attempt to a machine that does not answer; true if it comes back unsent within the time.
    bool isReturned(const std::string& address, Duration time)
    {
        m_links.setAddress(m_peer, address);
        CallRequestMessage attempt;
        attempt.service = ServiceName("s");
        m_links.addPendingAnswers(m_peer, 1);
        EXPECT_TRUE(m_links.send(m_peer, attempt));
        runFor(time);
        return m_unsent == 1;
    }

    bool sendProbe() { return m_links.send(m_peer, ProbeMessage { 1, ServiceName("s") }); }

    asio::io_context m_context;
    NodeId m_peer { "peer" };
    LinkServer m_server;
    std::vector<LinkPtr> m_serverLinks;
    int m_accepted = 0;
    int m_closed = 0;
    int m_probes = 0;
    int m_limits = 0;
    int m_unsent = 0;
    /// What the other node tells that it understands.
    std::string m_features;
    PeerLinks m_links { m_context, { NodeId("self"), Incarnation(1), DataCentre("a") }, {}, { [](const NodeId&, const PeerMessage&) {}, [](const NodeId&) {}, [](const NodeId&, Incarnation) {}, [](const NodeId&, const PeerMessage&, std::size_t) {}, [this](const NodeId&, const PeerMessage&, ResultCode) { ++m_unsent; } }, 300ms };
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

// A node of an earlier release closes the link on a message that it doesn't know.
TEST_F(PeerLinksTest, Limit_ToANodeThatDoesNotKnowIt_IsLeftOut)
{
    const auto sendLimit = [this] { return m_links.send(m_peer, CallLimitMessage { { NodeId("self"), Incarnation(1), 1 }, Incarnation(1), 1s, 0 }); };
    EXPECT_TRUE(sendLimit());
    runFor(150ms);
    EXPECT_TRUE(sendLimit());
    runFor(50ms);
    EXPECT_EQ(0, m_limits);
    runFor(700ms);
    m_features = std::string(bodyPartsFeature) + ' ' + answerLimitsFeature;
    EXPECT_TRUE(sendLimit());
    runFor(150ms);
    EXPECT_EQ(1, m_limits);
}

// Callers got "the outcome is unknown" at their deadline for attempts that had never left this node.
TEST_F(PeerLinksTest, MachineThatDoesNotAnswer_AttemptIsReturnedUnsentSoon)
{
    // Connections beyond a full backlog get no answer.
    asio::ip::tcp::acceptor silent(m_context, asio::ip::tcp::v4());
    silent.bind({ asio::ip::make_address("127.0.0.1"), 0 });
    silent.listen(0);
    std::vector<asio::ip::tcp::socket> fillers;
    for (int index = 0; index < 4; ++index) {
        fillers.emplace_back(m_context);
        fillers.back().async_connect(silent.local_endpoint(), [](const asio::error_code&) {});
    }
    runFor(20ms);
    EXPECT_TRUE(isReturned("127.0.0.1:" + std::to_string(silent.local_endpoint().port()), 190ms));
}

TEST_F(PeerLinksTest, NodeThatAcceptsAndDoesNotAnswer_AttemptIsReturnedUnsentSoon)
{
    const asio::ip::tcp::acceptor frozen(m_context, { asio::ip::make_address("127.0.0.1"), 0 });
    EXPECT_TRUE(isReturned("127.0.0.1:" + std::to_string(frozen.local_endpoint().port()), 190ms));
    EXPECT_EQ(1U, m_links.openLinks());
}

TEST_F(PeerLinksTest, NodeThatRefuses_AttemptIsReturnedUnsentAtOnce)
{
    asio::ip::tcp::acceptor port(m_context, { asio::ip::make_address("127.0.0.1"), 0 });
    const std::string address = "127.0.0.1:" + std::to_string(port.local_endpoint().port());
    port.close();
    EXPECT_TRUE(isReturned(address, 50ms));
}

TEST_F(PeerLinksTest, LinkWithPendingAnswers_StaysOpen)
{
    EXPECT_TRUE(sendProbe());
    m_links.addPendingAnswers(m_peer, 1);
    runFor(800ms);
    EXPECT_EQ(1U, m_links.openLinks());
    EXPECT_EQ(0, m_closed);
}

// A message for an open link with too many unsent bytes waited until the link closed, though later messages were sent over it.
TEST_F(PeerLinksTest, OpenLink_WithTooManyUnsentBytes_RefusesMessagesUntilThereIsRoom)
{
    EXPECT_TRUE(sendProbe());
    runFor(150ms);
    CallRequestMessage large;
    large.service = ServiceName("s");
    large.request.body = std::string(4 * 1024 * 1024, 'x');
    int sent = 0;
    while (sent < 20 && m_links.send(m_peer, large))
        ++sent;
    EXPECT_LT(sent, 20);
    EXPECT_FALSE(sendProbe());
    runFor(1s);
    EXPECT_TRUE(sendProbe());
    runFor(150ms);
    EXPECT_EQ(2, m_probes);
    m_serverLinks.back()->abort();
    runFor(50ms);
    EXPECT_EQ(0, m_unsent);
}

// A message that the other node does not read closed the link, and with it everything else on its way there, again and again.
TEST_F(PeerLinksTest, MessageLargerThanTheOtherNodeReads_IsRefusedAndTheLinkStays)
{
    CallRequestMessage large;
    large.service = ServiceName("s");
    large.request.body = std::string(maximumPeerMessageBytes, 'x');
    EXPECT_TRUE(m_links.send(m_peer, large)) << "waits for the link to open";
    runFor(150ms);
    EXPECT_EQ(1, m_unsent);
    EXPECT_FALSE(m_links.send(m_peer, large));
    EXPECT_TRUE(sendProbe());
    runFor(150ms);
    EXPECT_EQ(1, m_probes);
    EXPECT_EQ(1, m_accepted);
    EXPECT_EQ(0, m_closed);
}

} // namespace
