#include "MembershipBench/MembershipFleet.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <chrono>

using namespace Knapweedquay;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Time limits stated in docs/design/MEMBERSHIP.md.
constexpr Duration spreadLimit = seconds(3);
constexpr Duration removalLimit = seconds(30);
constexpr Duration healLimit = seconds(60);

MembershipFleet::Options optionsFor(std::size_t members, std::uint64_t seed = 7)
{
    MembershipFleet::Options options;
    options.members = members;
    options.seed = seed;
    return options;
}

bool isDead(const MemberRecord* record) { return record && record->health == MemberHealth::Dead; }
bool isAlive(const MemberRecord* record) { return record && record->isPresent() && record->health == MemberHealth::Alive; }

/// A deployment of 30 members whose tables have converged.
class MembershipTest : public ::testing::Test {
protected:
    MembershipTest()
        : fleet(optionsFor(30))
    {
        fleet.startAll();
        fleet.run(seconds(20));
        EXPECT_TRUE(fleet.hasConverged());
    }

    bool holdsWithin(const std::function<bool()>& condition, Duration limit) { return fleet.runUntil(condition, limit) < limit; }

    MembershipFleet fleet;
};

TEST_F(MembershipTest, DrainAndLeave_Announced_ReachAllMembersInTime)
{
    fleet.setLoss(0.05);
    fleet.setLifecycle(4, EndpointLifecycle::Draining);
    EXPECT_TRUE(holdsWithin([this] {
        return fleet.doAllSee(4, [](const MemberRecord* record) { return record && record->endpoint.lifecycle == EndpointLifecycle::Draining; });
    },
        spreadLimit));
    fleet.leave(4);
    EXPECT_TRUE(holdsWithin([this] { return fleet.doAllSee(4, [](const MemberRecord* record) { return record && record->hasLeft(); }); }, spreadLimit));
    EXPECT_TRUE(holdsWithin([this] { return fleet.membership(4).hasSpreadLeave(); }, spreadLimit));
    fleet.kill(4);
    fleet.run(seconds(30));
    EXPECT_TRUE(fleet.doAllSee(4, [](const MemberRecord* record) { return record && record->hasLeft() && record->health == MemberHealth::Alive; }));
    EXPECT_EQ(0u, fleet.falseDeaths());
}

TEST_F(MembershipTest, KilledMember_ThenRestarted_IsDeclaredDeadAndRejoins)
{
    fleet.kill(9);
    EXPECT_TRUE(holdsWithin([this] { return fleet.doAllSee(9, isDead); }, removalLimit));
    fleet.start(9);
    EXPECT_TRUE(holdsWithin([this] { return fleet.doAllSee(9, isAlive); }, spreadLimit));
    EXPECT_TRUE(holdsWithin([this] { return fleet.hasConverged(); }, healLimit));
}

TEST_F(MembershipTest, QuickRestart_BeforeSuspicion_ReplacesOldIncarnation)
{
    const Incarnation old = fleet.membership(9).self().version.incarnation;
    fleet.kill(9);
    fleet.run(milliseconds(200));
    fleet.start(9);
    EXPECT_TRUE(holdsWithin([&] {
        return fleet.doAllSee(9, [old](const MemberRecord* record) { return isAlive(record) && record->version.incarnation > old; });
    },
        spreadLimit));
}

TEST_F(MembershipTest, FrozenMember_Resumed_RefutesItsDeathAndSuspectsNobody)
{
    fleet.freeze(3);
    EXPECT_TRUE(holdsWithin([this] { return fleet.doAllSee(3, isDead); }, removalLimit));
    const std::uint64_t before = fleet.membership(3).self().version.state;
    fleet.wake(3);
    EXPECT_TRUE(holdsWithin([this] { return fleet.doAllSee(3, isAlive); }, spreadLimit));
    EXPECT_GT(fleet.membership(3).self().version.state, before);
    fleet.run(removalLimit);
    EXPECT_EQ(0u, fleet.falseDeaths());
    EXPECT_EQ(0u, fleet.falseSuspicions());
}

TEST_F(MembershipTest, IdlePeriod_ThenDeath_IsNotTakenForFreeze)
{
    fleet.run(seconds(60));
    std::vector<std::uint64_t> before;
    for (std::size_t member = 0; member < fleet.size(); ++member)
        before.push_back(fleet.membership(member).self().version.state);
    fleet.kill(0);
    fleet.run(removalLimit);
    for (std::size_t member = 1; member < fleet.size(); ++member)
        EXPECT_EQ(before[member], fleet.membership(member).self().version.state) << member;
}

TEST_F(MembershipTest, Partition_Healed_ConvergesAfterGossipOnEachSide)
{
    const auto isOnFirstSide = [](std::size_t member) { return member < 12; };
    fleet.setReachability([isOnFirstSide](std::size_t a, std::size_t b) { return isOnFirstSide(a) == isOnFirstSide(b); });
    EXPECT_TRUE(holdsWithin([&] { return fleet.doAllSee(20, isDead, isOnFirstSide); }, 2 * removalLimit));
    fleet.run(2 * removalLimit);
    // Rumors still spread inside the side that is cut off.
    fleet.setLifecycle(2, EndpointLifecycle::Draining);
    EXPECT_TRUE(holdsWithin([&] {
        return fleet.doAllSee(
            2, [](const MemberRecord* record) { return record->endpoint.lifecycle == EndpointLifecycle::Draining; }, isOnFirstSide);
    },
        spreadLimit));
    // Without seeds, the sides can only find each other by pinging the members that they recorded as dead.
    for (std::size_t seed = 0; seed < 3; ++seed)
        fleet.kill(seed);
    EXPECT_TRUE(holdsWithin([&] { return fleet.doAllSee(0, isDead, isOnFirstSide); }, removalLimit));
    fleet.setReachability({});
    // Death reports from the other side must not make a member declare another one of its own side dead.
    bool sidesStayedPresent = true;
    EXPECT_TRUE(holdsWithin([&] {
        for (std::size_t subject = 3; subject < fleet.size(); ++subject)
            sidesStayedPresent = sidesStayedPresent && fleet.doAllSee(
                                     subject, [](const MemberRecord* record) { return record && record->isPresent(); }, [&](std::size_t member) { return isOnFirstSide(member) == isOnFirstSide(subject); });
        return fleet.hasConverged();
    },
        healLimit));
    EXPECT_TRUE(sidesStayedPresent);
}

TEST_F(MembershipTest, HalfOfTheMembers_RestartedWithSeedsOnly_Converge)
{
    for (std::size_t member = 15; member < 30; ++member)
        fleet.kill(member);
    fleet.run(seconds(5));
    for (std::size_t member = 15; member < 30; ++member)
        fleet.start(member);
    EXPECT_TRUE(holdsWithin([this] { return fleet.hasConverged(); }, healLimit));
}

// After a power cut of the whole deployment, nodes serve what they know of each other.
TEST(MembershipStartTest, ThreeHundredMembers_StartAtOnce_SoonKnowMostOfTheOthers)
{
    MembershipFleet fleet(optionsFor(300));
    fleet.startAll();
    const auto leastKnown = [&fleet](std::size_t rank) {
        std::vector<std::size_t> known;
        for (std::size_t member = 0; member < fleet.size(); ++member)
            known.push_back(fleet.membership(member).table().presentCount());
        std::sort(known.begin(), known.end());
        return known[rank];
    };
    fleet.run(seconds(1));
    EXPECT_GE(leastKnown(fleet.size() / 2), fleet.size() / 2);
    fleet.run(seconds(1));
    EXPECT_GE(leastKnown(0), fleet.size() / 4);
}

// The rumors of all members used their budgets for twenty seconds, four fifths of it between data centres.
TEST(MembershipStartTest, ThreeHundredMembers_StartAtOnce_SendMostWithinDataCentresAndEndSoon)
{
    MembershipFleet fleet(optionsFor(300));
    fleet.startAll();
    const auto total = [&fleet](std::uint64_t MemberTraffic::*field) {
        std::uint64_t sum = 0;
        for (std::size_t member = 0; member < fleet.size(); ++member)
            sum += fleet.traffic(member).*field;
        return sum;
    };
    fleet.run(seconds(6));
    ASSERT_TRUE(fleet.hasConverged());
    fleet.run(seconds(9));
    EXPECT_LE(total(&MemberTraffic::bytesSentAbroad), total(&MemberTraffic::bytesSent) / 2);
    const std::uint64_t before = total(&MemberTraffic::bytesSent);
    fleet.run(seconds(5));
    // A tenth of the budget.
    EXPECT_LE(total(&MemberTraffic::bytesSent) - before, fleet.size() * 5 * 800);
    const auto takenForDistant = [&total] { return total(&MemberTraffic::bytesSent) - total(&MemberTraffic::bytesSentAbroad) - total(&MemberTraffic::bytesMarkedLocal); };
    const std::uint64_t beforeAllWereKnown = takenForDistant();
    fleet.run(seconds(5));
    EXPECT_EQ(beforeAllWereKnown, takenForDistant()) << "bytes to members of the own data centre are marked so";
}

// Members 1 to 4 are alone in their data centres.
TEST(MembershipStartTest, DataCentreOfOneMember_ChangeThere_ReachesAllInTime)
{
    MembershipFleet fleet(optionsFor(6));
    fleet.startAll();
    fleet.run(seconds(20));
    ASSERT_TRUE(fleet.hasConverged());
    fleet.setLifecycle(3, EndpointLifecycle::Draining);
    const auto isDraining = [](const MemberRecord* record) { return record && record->endpoint.lifecycle == EndpointLifecycle::Draining; };
    EXPECT_LT(fleet.runUntil([&] { return fleet.doAllSee(3, isDraining); }, spreadLimit), spreadLimit);
}

TEST_F(MembershipTest, OneWayLink_IndirectProbes_PreventSuspicion)
{
    fleet.setReachability([](std::size_t from, std::size_t to) { return !(from == 1 && to == 2); });
    for (int second = 0; second < 120; ++second) {
        fleet.run(seconds(1));
        ASSERT_EQ(0u, fleet.falseSuspicions());
    }
}

TEST_F(MembershipTest, NewerDocument_PutInForceOnHint_ReachesAllInTime)
{
    const ServiceName service("dispatch");
    std::vector<DocumentVersion> inForce(fleet.size());
    const auto putInForce = [&](std::size_t member, DocumentVersion version) {
        inForce[member] = version;
        fleet.setDocuments(member, { { service, version } });
    };
    for (std::size_t member = 0; member < fleet.size(); ++member)
        putInForce(member, DocumentVersion(3));
    putInForce(5, DocumentVersion(4));
    EXPECT_TRUE(holdsWithin([&] {
        for (std::size_t member = 0; member < fleet.size(); ++member) {
            for (const NewerDocumentHint& hint : std::vector<NewerDocumentHint>(fleet.hints(member))) {
                EXPECT_EQ(DocumentVersion(4), hint.version);
                if (inForce[member] < hint.version)
                    putInForce(member, hint.version);
            }
        }
        return std::all_of(inForce.begin(), inForce.end(), [](DocumentVersion version) { return version == DocumentVersion(4); });
    },
        spreadLimit));
    EXPECT_TRUE(fleet.hints(5).empty());
}

TEST_F(MembershipTest, SteadyState_StateChangeEachSecond_StaysWithinByteLimits)
{
    std::vector<MemberTraffic> before;
    for (std::size_t member = 0; member < fleet.size(); ++member)
        before.push_back(fleet.traffic(member));
    constexpr int time = 60;
    for (int second = 0; second < time; ++second) {
        fleet.setLifecycle(second % 30, second % 2 == 0 ? EndpointLifecycle::Draining : EndpointLifecycle::Ready);
        fleet.run(seconds(1));
    }
    // Half of 22 KB/s in each direction, with a state change of one member every second.
    for (std::size_t member = 0; member < fleet.size(); ++member) {
        EXPECT_LT(fleet.traffic(member).bytesSent - before[member].bytesSent, 11000u * time);
        EXPECT_LT(fleet.traffic(member).bytesReceived - before[member].bytesReceived, 11000u * time);
    }
}

MembershipSettings settingsOf(const std::string& node, const std::string& deployment, std::uint64_t incarnation = 5)
{
    MembershipSettings settings;
    settings.node = NodeId(node);
    settings.deployment = deployment;
    settings.incarnation = Incarnation(incarnation);
    settings.gossipAddress = { "127.0.0.1", static_cast<std::uint16_t>(node.size()) };
    settings.seeds = { { "127.0.0.1", 9 } };
    return settings;
}

std::string firstDatagram(Membership& membership)
{
    for (const MembershipAction& action : membership.tick(TimePoint())) {
        if (const auto* datagram = std::get_if<SendDatagram>(&action))
            return datagram->bytes;
    }
    return {};
}

TEST(MembershipDatagramTest, ForeignAndMalformedDatagrams_Handled_AreIgnored)
{
    Membership membership(settingsOf("a", "one"), 1);
    Membership otherDeployment(settingsOf("bb", "two"), 2);
    EXPECT_TRUE(membership.handle({ "127.0.0.1", 2 }, firstDatagram(otherDeployment), TimePoint()).empty());
    EXPECT_TRUE(membership.handle({ "127.0.0.1", 2 }, "rubbish", TimePoint()).empty());
    EXPECT_EQ(1u, membership.table().size());
}

TEST(MembershipDatagramTest, LaterIncarnationOfSameNode_ReportedByPeer_SupersedesThisOne)
{
    Membership membership(settingsOf("a", "one"), 1);
    Membership peer(settingsOf("bb", "one"), 2);
    Membership successor(settingsOf("a", "one", 6), 3);
    peer.handle({ "127.0.0.1", 1 }, firstDatagram(successor), TimePoint());
    const auto actions = membership.handle({ "127.0.0.1", 2 }, firstDatagram(peer), TimePoint());
    EXPECT_TRUE(std::any_of(actions.begin(), actions.end(), [](const MembershipAction& action) { return std::holds_alternative<IncarnationSuperseded>(action); }));
}

TEST(MembershipDatagramTest, LateTick_AfterFreeze_AnnouncesNewVersion)
{
    Membership membership(settingsOf("a", "one"), 1);
    membership.tick(TimePoint());
    const std::uint64_t before = membership.self().version.state;
    membership.tick(membership.nextTick() + seconds(10));
    EXPECT_EQ(before + 1, membership.self().version.state);
}

RC_GTEST_PROP(MembershipScheduleTest, ArbitraryFaults_Ended_ConvergeToAnnouncedStates, ())
{
    const auto count = *rc::gen::inRange<std::size_t>(3, 13);
    MembershipFleet::Options options = optionsFor(count, *rc::gen::arbitrary<std::uint64_t>());
    options.loss = 0.1;
    options.duplication = 0.1;
    // Long enough that datagrams are often reordered.
    options.maximumDelay = milliseconds(80);
    MembershipFleet fleet(options);
    fleet.startAll();
    fleet.run(seconds(5));
    const auto steps = *rc::gen::inRange(1, 8);
    for (int step = 0; step < steps; ++step) {
        const auto member = *rc::gen::inRange<std::size_t>(0, count);
        switch (*rc::gen::inRange(0, 5)) {
        case 0:
            fleet.kill(member);
            break;
        case 1:
            fleet.kill(member);
            fleet.start(member);
            break;
        case 2:
            if (fleet.isRunning(member)) {
                fleet.freeze(member);
                fleet.run(seconds(*rc::gen::inRange(1, 30)));
                fleet.wake(member);
            }
            break;
        case 3: {
            const auto edge = *rc::gen::inRange<std::size_t>(1, count);
            fleet.setReachability([edge](std::size_t a, std::size_t b) { return (a < edge) == (b < edge); });
            fleet.run(seconds(*rc::gen::inRange(1, 60)));
            fleet.setReachability({});
            break;
        }
        default:
            if (fleet.isRunning(member))
                fleet.setLifecycle(member, *rc::gen::element(EndpointLifecycle::Draining, EndpointLifecycle::Ready));
        }
        fleet.run(milliseconds(*rc::gen::inRange(0, 20000)));
    }
    fleet.setLoss(0);
    for (std::size_t member = 0; member < count; ++member) {
        if (!fleet.isRunning(member))
            fleet.start(member);
    }
    RC_ASSERT(fleet.runUntil([&fleet] { return fleet.hasConverged(); }, 2 * healLimit) < 2 * healLimit);
    fleet.run(removalLimit);
    RC_ASSERT(fleet.hasConverged());
    // All members hold the lifecycle state that each member announced itself.
    for (std::size_t subject = 0; subject < count; ++subject) {
        const auto lifecycle = fleet.membership(subject).self().endpoint.lifecycle;
        RC_ASSERT(fleet.doAllSee(subject, [lifecycle](const MemberRecord* record) { return record->endpoint.lifecycle == lifecycle; }));
    }
}

} // namespace
