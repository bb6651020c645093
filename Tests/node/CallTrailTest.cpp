#include "node/CallTrail.h"

#include <gtest/gtest.h>

using namespace Knapweedquay;
using namespace std::chrono_literals;

namespace {

class TrailPolicyTest : public ::testing::Test {
protected:
    TimePoint m_now { 100s };
    TrailPolicy m_policy { { 100, 16 } };
};

} // namespace

TEST_F(TrailPolicyTest, FailedRequests_WithinTheBound_AreAllWritten)
{
    for (int request = 0; request < 20; ++request)
        EXPECT_TRUE(m_policy.admits("r-" + std::to_string(request), true, 5, m_now));
    EXPECT_EQ(0u, m_policy.droppedLines());
}

TEST_F(TrailPolicyTest, FloodOfFailures_BeyondTheBound_IsDroppedAndCounted)
{
    int lines = 0;
    for (int millisecond = 0; millisecond < 10000; ++millisecond) {
        m_now += 1ms;
        lines += m_policy.admits("r", true, 5, m_now) ? 5 : 0;
    }
    EXPECT_LE(lines, 100 + 10 * 100);
    EXPECT_GE(lines, 900);
    EXPECT_EQ(50000u, m_policy.droppedLines() + static_cast<unsigned>(lines));
}

// Both nodes on a request's way choose by its name alone.
TEST_F(TrailPolicyTest, RequestsThatEndWell_TwoNodes_SampleTheSameFew)
{
    const TrailPolicy other({ 1000000, 16 });
    int sampled = 0;
    for (int request = 0; request < 4000; ++request) {
        const std::string name = "r-" + std::to_string(request);
        EXPECT_EQ(m_policy.isSampled(name), other.isSampled(name));
        sampled += m_policy.isSampled(name);
    }
    EXPECT_NEAR(250, sampled, 60);
}

TEST_F(TrailPolicyTest, EventsOfATrail_EachHasNamedValues)
{
    for (const LogEvent event : { LogEvent::CallAccepted, LogEvent::EndpointChosen, LogEvent::AttemptRefused, LogEvent::AttemptOutcomeUnknown, LogEvent::AttemptAnswered,
             LogEvent::CallHedged, LogEvent::CallEnded, LogEvent::AttemptAdmitted, LogEvent::AttemptRejected, LogEvent::AttemptStarted, LogEvent::AttemptEnded })
        EXPECT_STRNE("", trailFields(event)[0]) << static_cast<int>(event);
}
