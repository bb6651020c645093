#include "node/PeerChannel.h"

#include <asio/io_context.hpp>

#include <gtest/gtest.h>

#include <chrono>
#include <deque>
#include <string>
#include <vector>

using namespace Knapweedquay;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t megabyte = 1024 * 1024;

/// One end of a link in memory, whose messages arrive when the test delivers them.
class MemoryLink : public Link {
public:
    bool send(const std::string& message) override
    {
        if (m_isOpen)
            m_sent.push_back(message);
        return m_isOpen;
    }
    void ping() override { }
    void abort() override { m_isOpen = false; }
    bool isOpen() const override { return m_isOpen; }
    TimePoint lastReceived() override { return {}; }
    void setHooks(Hooks) override { }
    std::string peerFeatures() const override { return {}; }

    std::deque<std::string> m_sent;
    bool m_isOpen = true;
};

/// The channels at both ends of one link.
class PeerChannelTest : public testing::Test {
protected:
    /// One end, and what its hooks were called with.
    struct End {
        End(asio::io_context& context, BodyBudgets budgets)
            : channel(context, LinkPtr(link), std::move(budgets), hooks())
        {
            channel.setTakesParts(true);
        }

        PeerChannel::Hooks hooks()
        {
            PeerChannel::Hooks hooks;
            hooks.received = [this](const PeerMessage& message) { received.push_back(message); };
            hooks.announced = [this](const PeerMessage&) { return interest; };
            hooks.sent = [this](const PeerMessage&, std::size_t bytes) { sentBytes += bytes; ++sent; };
            hooks.returned = [this](const PeerMessage&, ResultCode code) { returned.push_back(code); };
            return hooks;
        }

        MemoryLink* link = new MemoryLink;
        PeerChannel::Interest interest = PeerChannel::Interest::Whole;
        std::vector<PeerMessage> received;
        std::vector<ResultCode> returned;
        int sent = 0;
        std::size_t sentBytes = 0;
        PeerChannel channel;
    };

    static CallRequestMessage request(std::size_t bytes, std::uint64_t sequence = 1)
    {
        CallRequestMessage message;
        message.attempt = { NodeId("a"), Incarnation(1), sequence };
        message.service = ServiceName("s");
        message.request = { "POST", "/u", {}, std::string(bytes, 'x') };
        return message;
    }

    static CallAnswerMessage answer(std::size_t bytes, std::uint64_t sequence = 1)
    {
        return { { NodeId("a"), Incarnation(1), sequence }, {}, { 200, { { "X-Id", "1" } }, std::string(bytes, 'y') } };
    }

    /// Delivers one message to an end; false if none is on its way.
    static bool deliverOne(End& from, End& to)
    {
        if (from.link->m_sent.empty())
            return false;
        const std::string message = from.link->m_sent.front();
        from.link->m_sent.pop_front();
        EXPECT_TRUE(to.channel.receive(message));
        return true;
    }

    /// Delivers all messages in both directions.
    void deliver()
    {
        while (deliverOne(m_near, m_far) || deliverOne(m_far, m_near)) { }
    }

    /// Bytes that are on their way to the far end.
    std::size_t bytesUnderWay() const
    {
        std::size_t bytes = 0;
        for (const std::string& message : m_near.link->m_sent)
            bytes += message.size();
        return bytes;
    }

    static BodyBudgets budgets(std::size_t requestBytes, std::size_t responseBytes)
    {
        return { std::make_shared<BodyBudget>(BodyBudget::Limits { megabyte, requestBytes }), std::make_shared<BodyBudget>(BodyBudget::Limits { megabyte, responseBytes }) };
    }

    asio::io_context m_context;
    BodyBudgets m_farBudgets = budgets(64 * megabyte, 64 * megabyte);
    End m_near { m_context, {} };
    End m_far { m_context, m_farBudgets };
};

// A body larger than one message of a link was refused for ever.
TEST_F(PeerChannelTest, LargestBodies_PassWhole)
{
    EXPECT_TRUE(m_near.channel.send(request(64 * megabyte)));
    EXPECT_TRUE(m_near.channel.send(answer(64 * megabyte, 2)));
    EXPECT_EQ(0, m_near.sent);
    deliver();
    EXPECT_EQ(2, m_near.sent);
    EXPECT_GT(m_near.sentBytes, 128 * megabyte);
    ASSERT_EQ(2U, m_far.received.size());
    for (const PeerMessage& message : m_far.received) {
        ASSERT_TRUE(bodyOf(message));
        EXPECT_EQ(64 * megabyte, bodyOf(message)->size());
    }
    const auto& received = std::get<CallRequestMessage>(std::get_if<CallRequestMessage>(&m_far.received[0]) ? m_far.received[0] : m_far.received[1]);
    EXPECT_EQ("/u", received.request.target);
    EXPECT_EQ(digestOf(ServiceName("s"), request(64 * megabyte).request, "X"), digestOf(ServiceName("s"), received.request, "X"));
    EXPECT_EQ(64 * megabyte, m_farBudgets.requests->use().largeBytes);
    m_far.received.clear();
    EXPECT_EQ(0U, m_farBudgets.requests->use().largeBytes);
    EXPECT_EQ(0U, m_near.channel.unsentBytes());
}

// Calls waited behind all bytes of the uploads that were handed to their link before.
TEST_F(PeerChannelTest, SmallMessage_BehindManyLargeBodies_WaitsForOneWindowOnly)
{
    for (std::uint64_t sequence = 1; sequence <= 8; ++sequence)
        m_near.channel.send(request(4 * megabyte, sequence));
    for (int message = 0; message < 100; ++message) {
        deliverOne(m_near, m_far);
        deliverOne(m_far, m_near);
        EXPECT_LE(bytesUnderWay(), 600U * 1024);
    }
    m_near.channel.send(request(100, 9));
    while (m_far.received.empty())
        ASSERT_TRUE(deliverOne(m_near, m_far));
    EXPECT_EQ(9U, std::get<CallRequestMessage>(m_far.received.front()).attempt.sequence);
}

// An attempt whose bytes had left only in part was told as perhaps run when its link closed.
TEST_F(PeerChannelTest, LinkCloses_BeforeTheLastPart_MessageIsReturnedAndNeverArrives)
{
    m_near.channel.send(request(megabyte));
    for (int message = 0; message < 5; ++message) {
        deliverOne(m_near, m_far);
        deliverOne(m_far, m_near);
    }
    m_near.link->abort();
    m_near.channel.close();
    m_far.channel.close();
    EXPECT_EQ((std::vector<ResultCode> { ResultCode::PeerUnreachable }), m_near.returned);
    EXPECT_EQ(0, m_near.sent);
    EXPECT_TRUE(m_far.received.empty());
    EXPECT_EQ(0U, m_farBudgets.requests->use().largeBytes);
}

TEST_F(PeerChannelTest, LinkCloses_AfterTheLastPart_MessageIsNotReturned)
{
    m_near.channel.send(request(megabyte));
    while (m_near.sent == 0) {
        deliverOne(m_near, m_far);
        deliverOne(m_far, m_near);
    }
    m_near.channel.close();
    EXPECT_TRUE(m_near.returned.empty());
}

TEST_F(PeerChannelTest, Request_FindsNoRoom_IsReturnedAsOverloaded)
{
    m_near.channel.send(request(40 * megabyte));
    m_near.channel.send(request(40 * megabyte, 2));
    deliver();
    EXPECT_EQ((std::vector<ResultCode> { ResultCode::Overloaded }), m_near.returned);
    EXPECT_EQ(1U, m_far.received.size());
}

// An answer whose call had run was lost where its receiver held other answers.
TEST_F(PeerChannelTest, Answer_FindsNoRoom_WaitsForIt)
{
    m_near.channel.send(answer(40 * megabyte));
    m_near.channel.send(answer(40 * megabyte, 2));
    deliver();
    ASSERT_EQ(1U, m_far.received.size());
    EXPECT_TRUE(m_near.returned.empty());
    m_far.received.clear();
    m_context.run_for(50ms);
    deliver();
    EXPECT_EQ(1U, m_far.received.size());
}

TEST_F(PeerChannelTest, Answer_LargerThanTheBudget_IsReportedAtOnce)
{
    m_near.channel.send(answer(65 * megabyte));
    deliver();
    ASSERT_EQ(1U, m_far.received.size());
    EXPECT_EQ(ResultCode::AnswerIncomplete, std::get<CallUnknownMessage>(m_far.received.front()).code);
}

// An attempt that ran could not be asked for again, since its own body took the room that a resend needed.
TEST_F(PeerChannelTest, AttemptThatIsKnown_SentAgain_NeedsNoRoom)
{
    m_near.channel.send(request(40 * megabyte));
    deliver();
    m_far.interest = PeerChannel::Interest::Head;
    m_near.channel.send(request(40 * megabyte));
    deliver();
    EXPECT_EQ(2, m_near.sent);
    EXPECT_TRUE(m_near.returned.empty());
    ASSERT_EQ(2U, m_far.received.size());
    EXPECT_TRUE(std::get<CallRequestMessage>(m_far.received.back()).request.body.empty());
}

TEST_F(PeerChannelTest, AttemptWhoseOutcomeIsKnown_ItsTransfersEnd)
{
    m_near.channel.send(request(megabyte));
    m_far.channel.send(answer(megabyte, 2));
    deliverOne(m_near, m_far);
    deliverOne(m_far, m_near);
    m_near.channel.forget({ NodeId("a"), Incarnation(1), 1 });
    m_near.channel.forget({ NodeId("a"), Incarnation(1), 2 });
    deliver();
    EXPECT_TRUE(m_far.received.empty());
    EXPECT_TRUE(m_near.received.empty());
    EXPECT_EQ(0U, m_far.channel.unsentBytes());
    EXPECT_EQ(0U, m_farBudgets.requests->use().largeBytes);
}

// An upload on its way when its node was about to end was cut, though it had certainly not run.
TEST_F(PeerChannelTest, Transfer_Forgotten_TellsWhetherItWasSentWhole)
{
    const AttemptId attempt { NodeId("a"), Incarnation(1), 1 };
    m_near.channel.send(request(megabyte));
    deliverOne(m_near, m_far);
    deliverOne(m_far, m_near);
    EXPECT_TRUE(m_near.channel.forget(attempt));
    EXPECT_FALSE(m_near.channel.forget(attempt)) << "nothing is left of it";
    deliver();
    EXPECT_TRUE(m_far.received.empty());
    m_near.channel.send(request(megabyte));
    while (m_near.sent == 0) {
        deliverOne(m_near, m_far);
        deliverOne(m_far, m_near);
    }
    EXPECT_FALSE(m_near.channel.forget(attempt)) << "all parts are on their way";
}

TEST_F(PeerChannelTest, NodeThatTakesNoParts_GetsWholeMessages)
{
    m_near.channel.setTakesParts(false);
    EXPECT_TRUE(m_near.channel.send(request(megabyte)));
    EXPECT_EQ(1, m_near.sent);
    EXPECT_FALSE(m_near.channel.send(request(maximumPeerMessageBytes)));
    deliver();
    EXPECT_EQ(1U, m_far.received.size());
}

TEST_F(PeerChannelTest, PartsBeyondTheAnnouncedSize_AreInvalid)
{
    const std::string head = encode(request(0));
    EXPECT_TRUE(m_far.channel.receive(encode(TransferStartMessage { TransferId(1), 100, head })));
    EXPECT_FALSE(m_far.channel.receive(encodePart({ TransferId(1), std::string(101, 'x') })));
    EXPECT_TRUE(m_far.channel.receive(encodePart({ TransferId(2), "x" }))) << "may be on its way when its transfer ends";
}

} // namespace
