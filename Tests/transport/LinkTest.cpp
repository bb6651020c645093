#include "transport/Link.h"
#include "transport/SteadyTime.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <functional>
#include <memory>
#include <string>

using namespace Knapweedquay;
using namespace std::chrono_literals;

namespace {

using Tcp = asio::ip::tcp;

constexpr std::size_t messageBytes = 1024 * 1024;
/// A link of 3.4 Mbit/s.
constexpr std::size_t bytesPerSecond = 425000;
/// Links that are silent for longer are tested by a ping, and replaced after three times as long.
constexpr Duration maximumSilence = 400ms;
constexpr std::chrono::seconds waitTimeout { 10 };

/// Passes bytes from one socket to another at a limited rate, or not at all while it is paused.
class Relay {
public:
    Relay(asio::io_context& context, Tcp::socket& from, Tcp::socket& to)
        : m_from(from)
        , m_to(to)
        , m_timer(context)
    {
    }

    /// Both sockets must be connected.
    void start()
    {
        // A small buffer, so that the bytes wait at the sender.
        constexpr int receiveBufferBytes = 64 * 1024;
        m_from.set_option(asio::socket_base::receive_buffer_size(receiveBufferBytes));
        readNext();
    }
    void setPaused() { m_isPaused = true; }

private:
    static constexpr int chunkBytes = 8 * 1024;

    void readNext()
    {
        m_from.async_read_some(asio::buffer(m_chunk), [this](const asio::error_code& error, std::size_t bytes) {
            if (!error)
                pass(bytes);
        });
    }

    void pass(std::size_t bytes)
    {
        m_timer.expires_after(std::chrono::microseconds(1000000 * bytes / bytesPerSecond));
        m_timer.async_wait([this, bytes](const asio::error_code& error) {
            if (error || m_isPaused)
                return;
            asio::async_write(m_to, asio::buffer(m_chunk, bytes), [this](const asio::error_code& failed, std::size_t) {
                if (!failed)
                    readNext();
            });
        });
    }

    Tcp::socket& m_from;
    Tcp::socket& m_to;
    asio::steady_timer m_timer;
    std::array<char, chunkBytes> m_chunk {};
    bool m_isPaused = false;
};

/// A link between a client and a server over a relay with limited bandwidth.
class LinkTest : public ::testing::Test {
protected:
    void SetUp() override
    {
        ASSERT_FALSE(m_server.start("127.0.0.1", 0).has_error());
        m_relayAcceptor.async_accept(m_nearClient, [this](const asio::error_code& error) {
            ASSERT_FALSE(error);
            m_nearServer.connect({ asio::ip::make_address("127.0.0.1"), m_server.port() });
            m_toClient.start();
            m_toServer.start();
        });
        Link::Hooks hooks;
        hooks.received = [this](std::string_view bytes) { m_receivedBytes += bytes.size(); };
        m_client = m_clients.connect("127.0.0.1:" + std::to_string(m_relayAcceptor.local_endpoint().port()), std::move(hooks));
        ASSERT_TRUE(runUntil([this] { return m_client->isOpen() && m_accepted; }));
    }

    void accept(const LinkPtr& link)
    {
        Link::Hooks hooks;
        hooks.received = [this](std::string_view bytes) { m_receivedBytes += bytes.size(); };
        link->setHooks(std::move(hooks));
        m_accepted = link;
    }

    /// Runs the event loop until the condition holds; false on a timeout.
    bool runUntil(const std::function<bool()>& condition)
    {
        const auto end = std::chrono::steady_clock::now() + waitTimeout;
        while (!condition() && std::chrono::steady_clock::now() < end)
            m_context.run_one_for(10ms);
        return condition();
    }

    /// Runs until the message has arrived, and returns the longest silence that the link reported meanwhile.
    Duration longestSilence(const LinkPtr& link)
    {
        Duration longest { 0 };
        TimePoint nextLook;
        EXPECT_TRUE(runUntil([&] {
            const TimePoint now = steadyNow();
            if (now >= nextLook) {
                longest = std::max(longest, now - link->lastReceived());
                nextLook = now + 100ms;
            }
            return m_receivedBytes >= messageBytes;
        }));
        return longest;
    }

    asio::io_context m_context;
    LinkServer m_server { m_context, 2 * messageBytes, [this](const LinkPtr& link) { accept(link); } };
    LinkClient m_clients { m_context, 2 * messageBytes, "first second" };
    Tcp::acceptor m_relayAcceptor { m_context, { asio::ip::make_address("127.0.0.1"), 0 } };
    Tcp::socket m_nearClient { m_context };
    Tcp::socket m_nearServer { m_context };
    Relay m_toClient { m_context, m_nearServer, m_nearClient };
    Relay m_toServer { m_context, m_nearClient, m_nearServer };
    LinkPtr m_client;
    LinkPtr m_accepted;
    std::size_t m_receivedBytes = 0;
};

} // namespace

// A link that was busy with a large message was taken for a silent one and replaced, and what had arrived was lost.
TEST_F(LinkTest, LargeMessage_Arriving_LinkIsNotSilent)
{
    ASSERT_TRUE(m_accepted->send(std::string(messageBytes, 'x')));
    EXPECT_LE(longestSilence(m_client), maximumSilence);
}

TEST_F(LinkTest, Client_WithFeatures_TellsThemToTheServer)
{
    EXPECT_EQ(m_accepted->peerFeatures(), "first second");
    EXPECT_EQ(m_client->peerFeatures(), "");
}

TEST_F(LinkTest, LargeMessage_Leaving_LinkIsNotSilent)
{
    ASSERT_TRUE(m_client->send(std::string(messageBytes, 'x')));
    EXPECT_LE(longestSilence(m_client), maximumSilence);
}

TEST_F(LinkTest, Peer_StopsInTheMiddleOfAMessage_LinkIsSilent)
{
    ASSERT_TRUE(m_accepted->send(std::string(messageBytes, 'x')));
    const TimePoint start = steadyNow();
    runUntil([&] { return steadyNow() - start > 500ms; });
    m_toClient.setPaused();
    const TimePoint paused = steadyNow();
    runUntil([&] { m_client->lastReceived(); return steadyNow() - paused > 1000ms; });
    EXPECT_GE(steadyNow() - m_client->lastReceived(), Duration(700ms));
}

TEST_F(LinkTest, Pings_ToAPeerThatDoesNotAnswer_LinkIsSilent)
{
    m_toClient.setPaused();
    m_toServer.setPaused();
    const TimePoint start = steadyNow();
    TimePoint nextPing;
    runUntil([&] {
        if (steadyNow() >= nextPing) {
            m_client->ping();
            nextPing = steadyNow() + 100ms;
        }
        m_client->lastReceived();
        return steadyNow() - start > 1000ms;
    });
    EXPECT_GE(steadyNow() - m_client->lastReceived(), Duration(700ms));
}
