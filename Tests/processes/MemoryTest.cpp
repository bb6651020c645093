#include "processes/ProcessFixture.h"

#include <asio/write.hpp>

#include <memory>
#include <string>
#include <vector>

namespace Knapweedquay::Load {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t memoryMegabytes = 128;

/// Sends bytes without end to nodes whose memory is limited.
class MemoryTest : public ProcessTest {
protected:
    void SetUp() override
    {
        ProcessTest::SetUp();
        plans.resize(2);
        for (NodePlan& plan : plans)
            plan.furtherSettings = "[memory]\nmaximum_mb = " + std::to_string(memoryMegabytes) + "\n";
    }

    void expectWithinMemory(const std::string& node)
    {
        EXPECT_GT(peakMemory(node), 0u);
        EXPECT_LT(peakMemory(node), memoryMegabytes) << "node " << node;
    }
};

} // namespace

// One answer without end took its node beyond the memory, and with it all calls that it had in progress.
TEST_F(MemoryTest, Answers_WithoutEnd_NodeStaysWithinItsMemory)
{
    start();
    allowLargeBodies();
    ASSERT_TRUE(m_deployment->setModes("b", { { "endlessBody", true } }));
    for (int call = 0; call < 24; ++call)
        m_caller.send(callAddress("b"), "GET", "/stock", 4s);
    ASSERT_TRUE(m_caller.waitForAnswers(10s));
    expectWithinMemory("a");
    expectWithinMemory("b");
    ASSERT_TRUE(m_deployment->setModes("b", { { "endlessBody", false } }));
    const auto call = m_caller.send(callAddress("b"), "GET", "/stock", 2s);
    ASSERT_TRUE(m_caller.waitForAnswers(6s));
    EXPECT_TRUE(call->isAnsweredCorrectly()) << call->answer.status << call->answer.body;
}

TEST_F(MemoryTest, Uploads_WithoutEnd_NodeStaysWithinItsMemory)
{
    constexpr std::size_t chunkBytes = 0x10000;
    start();
    allowLargeBodies();
    asio::io_context context;
    std::vector<asio::ip::tcp::socket> sockets;
    for (int upload = 0; upload < 24; ++upload) {
        sockets.emplace_back(context).connect(parseEndpoint(callAddress("a")));
        asio::write(sockets.back(), asio::buffer(std::string("POST /call/dispatch/bookings HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n")));
    }
    const std::string chunk = "10000\r\n" + std::string(chunkBytes, 'x') + "\r\n";
    for (int round = 0; round < 200; ++round) {
        for (asio::ip::tcp::socket& socket : sockets) {
            // A refused upload is reset.
            asio::error_code ignored;
            asio::write(socket, asio::buffer(chunk), ignored);
        }
    }
    expectWithinMemory("a");
    const auto call = m_caller.send(callAddress("a"), "GET", "/stock", 2s);
    ASSERT_TRUE(m_caller.waitForAnswers(6s));
    EXPECT_NE(call->answer.status, 0u);
    expectGuaranteesHold();
}

} // namespace Knapweedquay::Load
