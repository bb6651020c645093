#include "transport/MembershipAgent.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <memory>

using namespace Knapweedquay;

namespace {

/// A free UDP port of the loopback interface.
SocketAddress freeAddress(asio::io_context& context)
{
    UdpSocket socket(context, [](const SocketAddress&, std::string_view) {});
    EXPECT_TRUE(socket.open({ "127.0.0.1", 0 }).has_value());
    return socket.localAddress();
}

class MembershipAgentTest : public ::testing::Test {
protected:
    MembershipAgentTest()
    {
        for (int index = 0; index < 3; ++index) {
            MembershipSettings settings;
            settings.deployment = "test";
            settings.node = NodeId("node-" + std::to_string(index));
            settings.incarnation = Incarnation(1);
            settings.gossipAddress = freeAddress(context);
            if (index > 0)
                settings.seeds = { agents.front()->self().gossipAddress };
            agents.push_back(std::make_unique<MembershipAgent>(context, settings, index, MembershipAgent::Hooks {}));
            EXPECT_TRUE(agents.back()->start().has_value());
        }
    }

    bool runUntil(const std::function<bool()>& condition)
    {
        constexpr auto limit = std::chrono::seconds(10);
        const auto end = std::chrono::steady_clock::now() + limit;
        while (!condition() && std::chrono::steady_clock::now() < end)
            context.run_one_for(std::chrono::milliseconds(10));
        return condition();
    }

    bool doAllKnow(const std::function<bool(const MemberRecord&)>& condition)
    {
        return std::all_of(agents.begin(), agents.end(), [&condition](const auto& agent) {
            const auto members = agent->members();
            return members.size() == 3 && std::all_of(members.begin(), members.end(), condition);
        });
    }

    asio::io_context context;
    std::vector<std::unique_ptr<MembershipAgent>> agents;
};

TEST_F(MembershipAgentTest, ThreeAgentsOverUdp_JoinAndLeave_AreKnownToAll)
{
    EXPECT_TRUE(runUntil([this] { return doAllKnow([](const MemberRecord& member) { return member.isPresent(); }); }));
    bool hasLeft = false;
    agents[2]->leave([&hasLeft] { hasLeft = true; });
    EXPECT_TRUE(runUntil([&] {
        return hasLeft && doAllKnow([](const MemberRecord& member) { return member.hasLeft() == (member.node == NodeId("node-2")); });
    }));
    EXPECT_GT(agents[0]->bytesReceived(), 0u);
    for (const auto& agent : agents)
        agent->stop();
}

TEST_F(MembershipAgentTest, AddressInUse_Started_TellsTheAddress)
{
    MembershipSettings settings;
    settings.node = NodeId("late");
    settings.gossipAddress = agents[0]->self().gossipAddress;
    MembershipAgent late(context, settings, 1, {});
    const auto result = late.start();
    ASSERT_TRUE(result.has_error());
    EXPECT_NE(std::string::npos, result.error().detail.find(toText(settings.gossipAddress)));
}

} // namespace
