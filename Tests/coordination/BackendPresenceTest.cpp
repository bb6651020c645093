#include "coordination/presence/BackendPresence.h"

#include <gtest/gtest.h>

using namespace Knapweedquay;
using namespace std::chrono_literals;

namespace {

class BackendPresenceTest : public ::testing::Test {
protected:
    static BackendAnnouncement announcement(const std::string& instance, std::uint64_t startedAt, std::uint64_t sequence, bool draining = false)
    {
        BackendAnnouncement result;
        result.instance = instance;
        result.startedAt = startedAt;
        result.sequence = sequence;
        result.service = ServiceName("dispatch");
        result.address = { "10.0.0.1", 8080 };
        result.slots = 12;
        result.draining = draining;
        return result;
    }

    PresenceChange announce(const BackendAnnouncement& received) { return m_presence.announce(received, m_now); }

    TimePoint m_now { 100s };
    BackendPresence m_presence { 6s };
};

} // namespace

// A node that started again took a late announcement of a run that had deregistered, and bookings went to it for seconds.
TEST_F(BackendPresenceTest, LateAnnouncement_AfterRestart_IsNotUsedUntilConfirmed)
{
    m_presence.requireConfirmation();
    EXPECT_EQ(PresenceChange::Unconfirmed, announce(announcement("a", 10, 4)));
    EXPECT_EQ(PresenceChange::Unconfirmed, announce(announcement("a", 10, 4)));
    EXPECT_EQ(PresenceChange::Unconfirmed, announce(announcement("a", 10, 3)));
    EXPECT_FALSE(m_presence.current());
    EXPECT_EQ(PresenceChange::Draining, m_presence.confirm({ "a", 10 }, true, m_now));
    EXPECT_EQ(PresenceChange::None, announce(announcement("a", 10, 5)));
    EXPECT_TRUE(m_presence.isDraining());
}

TEST_F(BackendPresenceTest, LateAnnouncementOfADepartedRun_LeavesThePresentRunAsItIs)
{
    m_presence.requireConfirmation();
    announce(announcement("b", 20, 1));
    m_presence.confirm({ "b", 20 }, false, m_now);
    EXPECT_EQ(PresenceChange::Draining, m_presence.startLeaving("b", 20));
    EXPECT_EQ(PresenceChange::Unconfirmed, announce(announcement("a", 10, 4)));
    EXPECT_EQ(PresenceChange::None, m_presence.confirm({ "a", 10 }, true, m_now));
    EXPECT_EQ("b", m_presence.current()->instance);
    EXPECT_EQ(PresenceChange::None, m_presence.undrain()) << "a run that told that it leaves drains to its end";
}

TEST_F(BackendPresenceTest, UnknownRun_ConfirmedOrAnnouncedAgain_IsUsed)
{
    m_presence.requireConfirmation();
    EXPECT_EQ(PresenceChange::Unconfirmed, announce(announcement("a", 10, 4)));
    EXPECT_EQ(PresenceChange::Arrived, m_presence.confirm({ "a", 10 }, false, m_now));
    EXPECT_EQ(PresenceChange::None, m_presence.confirm({ "a", 10 }, false, m_now));
    EXPECT_EQ(PresenceChange::Unconfirmed, announce(announcement("b", 20, 1)));
    EXPECT_EQ("a", m_presence.current()->instance);
    EXPECT_EQ(PresenceChange::Arrived, announce(announcement("b", 20, 2)));
    EXPECT_EQ("b", m_presence.current()->instance);
}

TEST_F(BackendPresenceTest, AnnouncementOfLongAgo_Confirmed_IsNotUsed)
{
    m_presence.requireConfirmation();
    EXPECT_EQ(PresenceChange::Unconfirmed, announce(announcement("a", 10, 4)));
    m_now += 7s;
    EXPECT_EQ(PresenceChange::None, m_presence.confirm({ "a", 10 }, false, m_now));
    EXPECT_FALSE(m_presence.current());
}

TEST_F(BackendPresenceTest, DrainingRun_UnknownHere_DrainsAtOnce)
{
    m_presence.requireConfirmation();
    EXPECT_EQ(PresenceChange::Draining, announce(announcement("a", 10, 5, true)));
    EXPECT_EQ(PresenceChange::Unconfirmed, announce(announcement("a", 10, 4)));
    EXPECT_EQ(PresenceChange::None, m_presence.confirm({ "a", 10 }, true, m_now));
    EXPECT_TRUE(m_presence.isDraining());
}

TEST_F(BackendPresenceTest, RunningBackend_AnnouncedRepeatedly_ArrivesOnce)
{
    EXPECT_EQ(PresenceChange::Arrived, announce(announcement("a", 10, 1)));
    EXPECT_EQ(PresenceChange::None, announce(announcement("a", 10, 2)));
}

TEST_F(BackendPresenceTest, LateReady_AfterDraining_ChangesNothing)
{
    announce(announcement("a", 10, 1));
    EXPECT_EQ(PresenceChange::Draining, announce(announcement("a", 10, 3, true)));
    EXPECT_EQ(PresenceChange::None, announce(announcement("a", 10, 2)));
    EXPECT_TRUE(m_presence.isDraining());
}

TEST_F(BackendPresenceTest, NewerReady_AfterDraining_KeepsDraining)
{
    announce(announcement("a", 10, 1));
    announce(announcement("a", 10, 2, true));
    EXPECT_EQ(PresenceChange::None, announce(announcement("a", 10, 3)));
    EXPECT_TRUE(m_presence.isDraining());
}

TEST_F(BackendPresenceTest, EndedPredecessor_AnnouncedLate_ChangesNothing)
{
    announce(announcement("b", 20, 1));
    EXPECT_EQ(PresenceChange::None, announce(announcement("a", 10, 99, true)));
    EXPECT_EQ("b", m_presence.current()->instance);
    EXPECT_FALSE(m_presence.isDraining());
}

TEST_F(BackendPresenceTest, RestartedInstance_Announced_ArrivesWithNewSequence)
{
    announce(announcement("a", 10, 50, true));
    EXPECT_EQ(PresenceChange::Arrived, announce(announcement("a", 20, 1)));
    EXPECT_FALSE(m_presence.isDraining());
}

TEST_F(BackendPresenceTest, DepartedRun_AnnouncedLate_StaysGone)
{
    announce(announcement("a", 10, 1));
    EXPECT_EQ(PresenceChange::Gone, m_presence.leave("a", 10, m_now));
    EXPECT_EQ(PresenceChange::None, announce(announcement("a", 10, 2)));
    EXPECT_FALSE(m_presence.current());
    EXPECT_EQ(PresenceChange::Arrived, announce(announcement("a", 11, 1)));
}

// One announcement of a service that no configuration has kept the sound backend server of its machine out for five seconds.
TEST_F(BackendPresenceTest, ServiceThatNoConfigurationHas_Announced_DisplacesNobody)
{
    BackendPresence presence(6s, [](const ServiceName& service) { return service == ServiceName("dispatch"); });
    BackendAnnouncement unknown = announcement("z", 1000, 1);
    unknown.service = ServiceName("unknown");
    EXPECT_EQ(PresenceChange::Arrived, presence.announce(unknown, m_now)) << "nothing else is there";
    EXPECT_EQ(PresenceChange::Arrived, presence.announce(announcement("a", 10, 1), m_now));
    unknown.sequence = 2;
    EXPECT_EQ(PresenceChange::None, presence.announce(unknown, m_now));
    unknown = announcement("a", 10, 3);
    unknown.service = ServiceName("unknown");
    EXPECT_EQ(PresenceChange::None, presence.announce(unknown, m_now));
    EXPECT_EQ("a", presence.current()->instance);
    EXPECT_EQ(ServiceName("dispatch"), presence.current()->service);
    EXPECT_EQ(PresenceChange::Gone, presence.expire(m_now + 6001ms)) << "it counts for nothing";
}

// A notice with a start time beyond all others shut out all later runs of the machine for good.
TEST_F(BackendPresenceTest, LeaveWithAStartTimeInTheFuture_ShutsNobodyOut)
{
    announce(announcement("a", 10, 1));
    EXPECT_EQ(PresenceChange::None, m_presence.leave("z", 1000000, m_now));
    m_now += 1500ms;
    announce(announcement("a", 10, 2));
    EXPECT_TRUE(m_presence.isLatest(announcement("a", 10, 2)));
    EXPECT_EQ(PresenceChange::Gone, m_presence.leave("a", 10, m_now));
    EXPECT_EQ(PresenceChange::None, announce(announcement("a", 10, 3))) << "late news of a run that left";
    EXPECT_EQ(PresenceChange::Arrived, announce(announcement("b", 20, 1)));
    EXPECT_EQ(PresenceChange::None, m_presence.leave("z", 1000000, m_now));
    m_now += 7s;
    EXPECT_EQ(PresenceChange::Gone, m_presence.expire(m_now));
    std::uint64_t sequence = 0;
    while (!m_presence.current() && sequence < 5) {
        m_now += 1500ms;
        announce(announcement("c", 30, ++sequence));
    }
    ASSERT_TRUE(m_presence.current());
    EXPECT_EQ("c", m_presence.current()->instance);
}

TEST_F(BackendPresenceTest, EarlierRunsAfterOneThatLeft_AnnouncedLate_StayGone)
{
    announce(announcement("b", 20, 1));
    EXPECT_EQ(PresenceChange::Gone, m_presence.leave("b", 20, m_now));
    EXPECT_EQ(PresenceChange::None, announce(announcement("a", 10, 8)));
    EXPECT_EQ(PresenceChange::None, announce(announcement("a", 10, 9)));
    EXPECT_EQ(PresenceChange::None, announce(announcement("a", 10, 8)));
    EXPECT_FALSE(m_presence.current());
}

TEST_F(BackendPresenceTest, LeaveOfPredecessor_Late_KeepsPresentRun)
{
    announce(announcement("b", 20, 1));
    EXPECT_EQ(PresenceChange::None, m_presence.leave("a", 10, m_now));
    EXPECT_EQ("b", m_presence.current()->instance);
}

TEST_F(BackendPresenceTest, PresentRun_AnnouncementsTimeOut_IsGone)
{
    announce(announcement("a", 10, 1));
    EXPECT_EQ(PresenceChange::None, m_presence.expire(m_now + 6s));
    EXPECT_EQ(PresenceChange::Gone, m_presence.expire(m_now + 6001ms));
}

TEST_F(BackendPresenceTest, ClockSetBackBetweenRuns_ContinuesAnnouncing_ReplacesPresentRun)
{
    announce(announcement("a", 1000, 7));
    EXPECT_EQ(PresenceChange::None, announce(announcement("b", 500, 1)));
    m_now += 1500ms;
    EXPECT_EQ(PresenceChange::None, announce(announcement("b", 500, 2)));
    m_now += 1500ms;
    EXPECT_EQ(PresenceChange::None, announce(announcement("b", 500, 3)));
    m_now += 1500ms;
    EXPECT_EQ(PresenceChange::Arrived, announce(announcement("b", 500, 4)));
    EXPECT_EQ("b", m_presence.current()->instance);
}

TEST_F(BackendPresenceTest, EndedRun_DelayedAnnouncementsWhileNewRunAnnounces_ChangeNothing)
{
    announce(announcement("b", 1000, 1));
    for (std::uint64_t sequence = 1; sequence < 10; ++sequence) {
        m_now += 1500ms;
        announce(announcement("b", 1000, sequence + 1));
        EXPECT_EQ(PresenceChange::None, announce(announcement("a", 500, sequence)));
    }
    EXPECT_EQ("b", m_presence.current()->instance);
}

TEST_F(BackendPresenceTest, RunThatTellsThatItLeaves_AnnouncesReadyAgain_DrainsToItsEnd)
{
    announce(announcement("a", 10, 1));
    EXPECT_EQ(PresenceChange::Draining, m_presence.startLeaving("a", 10));
    EXPECT_EQ(PresenceChange::None, m_presence.startLeaving("a", 10));
    BackendAnnouncement otherSlots = announcement("a", 10, 2);
    otherSlots.slots = 6;
    announce(otherSlots);
    EXPECT_EQ(PresenceChange::None, m_presence.undrain());
    m_now += 7s;
    EXPECT_EQ(PresenceChange::Gone, m_presence.expire(m_now));
    EXPECT_EQ(PresenceChange::Draining, announce(announcement("a", 10, 3)));
    EXPECT_EQ(PresenceChange::Arrived, announce(announcement("a", 20, 1)));
    EXPECT_EQ(PresenceChange::None, m_presence.startLeaving("a", 10)) << "late news of the earlier run";
    EXPECT_FALSE(m_presence.isDraining());
}

TEST_F(BackendPresenceTest, UnnamedRunThatTellsThatItLeaves_AnnouncedAgainAfterATimeout_IsANewRun)
{
    announce(announcement("", 0, 0));
    EXPECT_EQ(PresenceChange::Draining, m_presence.startLeaving("", 0));
    EXPECT_EQ(PresenceChange::None, announce(announcement("", 0, 0)));
    m_now += 7s;
    m_presence.expire(m_now);
    EXPECT_EQ(PresenceChange::Arrived, announce(announcement("", 0, 0)));
}
