#include "control/ReplicaLinks.h"

#include <asio/ip/tcp.hpp>

#include <gtest/gtest.h>

#include <functional>
#include <string>
#include <vector>

using namespace Knapweedquay;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t maximumMessageBytes = 1024;

class ReplicaLinksTest : public ::testing::Test {
protected:
    void runFor(std::chrono::milliseconds time)
    {
        m_context.restart();
        m_context.run_for(time);
    }

    asio::io_context m_context;
    ReplicaLinks m_links { m_context, maximumMessageBytes, [](std::string_view) {} };
    std::vector<std::string> m_received;
    std::vector<LinkPtr> m_accepted;
    LinkServer m_server { m_context, maximumMessageBytes, [this](const LinkPtr& link) {
                             Link::Hooks hooks;
                             hooks.received = [this](std::string_view bytes) { m_received.emplace_back(bytes); };
                             link->setHooks(std::move(hooks));
                             m_accepted.push_back(link);
                         } };
};

} // namespace

// A vote that met a replica which was just starting was sent again only with the next message to it, if there was one.
TEST_F(ReplicaLinksTest, Message_ToAReplicaThatStartsSoon_Arrives)
{
    asio::ip::tcp::acceptor port(m_context, { asio::ip::make_address("127.0.0.1"), 0 });
    const std::uint16_t number = port.local_endpoint().port();
    port.close();
    m_links.send("127.0.0.1:" + std::to_string(number), "vote");
    runFor(50ms);
    ASSERT_FALSE(m_server.start("127.0.0.1", number).has_error());
    runFor(600ms);
    EXPECT_EQ(std::vector<std::string> { "vote" }, m_received);
}

TEST_F(ReplicaLinksTest, LinkOpenedToAReplicaThatStartsSoon_IsOpenBeforeTheFirstMessage)
{
    asio::ip::tcp::acceptor port(m_context, { asio::ip::make_address("127.0.0.1"), 0 });
    const std::uint16_t number = port.local_endpoint().port();
    port.close();
    m_links.open("127.0.0.1:" + std::to_string(number));
    runFor(50ms);
    ASSERT_FALSE(m_server.start("127.0.0.1", number).has_error());
    runFor(300ms);
    EXPECT_EQ(1u, m_accepted.size());
}

// After a power cut, an attempt that met a dark machine was kept for a second although the machine was up by then.
TEST_F(ReplicaLinksTest, AttemptThatGetsNoAnswer_IsRepeatedSoonAndThenMoreRarely)
{
    asio::ip::tcp::acceptor silent(m_context, { asio::ip::make_address("127.0.0.1"), 0 });
    std::vector<asio::ip::tcp::socket> connections;
    std::function<void()> accept = [&] {
        silent.async_accept([&](const asio::error_code& error, asio::ip::tcp::socket socket) {
            if (error)
                return;
            connections.push_back(std::move(socket));
            accept();
        });
    };
    accept();
    const std::string address = "127.0.0.1:" + std::to_string(silent.local_endpoint().port());
    m_links.send(address, "vote");
    runFor(700ms);
    EXPECT_GE(connections.size(), 2u);
    m_links.send(address, "vote");
    runFor(1500ms);
    EXPECT_LE(connections.size(), 5u);
}
