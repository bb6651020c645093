#include "node/CallTrace.h"

#include <gtest/gtest.h>

using namespace Knapweedquay;
using namespace std::chrono_literals;

namespace {

class TraceSamplerTest : public ::testing::Test {
protected:
    TimePoint m_now { 100s };
    TraceSampler m_sampler { { 100, 16 } };
};

} // namespace

TEST_F(TraceSamplerTest, FailedRequests_WithinTheRateLimit_AreAllWritten)
{
    for (int request = 0; request < 20; ++request)
        EXPECT_TRUE(m_sampler.admits("r-" + std::to_string(request), true, 5, m_now));
    EXPECT_EQ(0u, m_sampler.droppedLines());
}

TEST_F(TraceSamplerTest, FailedRequests_BeyondTheRateLimit_AreDroppedAndCounted)
{
    int lines = 0;
    for (int millisecond = 0; millisecond < 10000; ++millisecond) {
        m_now += 1ms;
        lines += m_sampler.admits("r", true, 5, m_now) ? 5 : 0;
    }
    EXPECT_LE(lines, 100 + 10 * 100);
    EXPECT_GE(lines, 900);
    EXPECT_EQ(50000u, m_sampler.droppedLines() + static_cast<unsigned>(lines));
}

// All nodes that handle a request make the same sampling decision, because it depends on the request id only.
TEST_F(TraceSamplerTest, SuccessfulRequests_TwoNodes_SampleTheSameShare)
{
    const TraceSampler other({ 1000000, 16 });
    int sampled = 0;
    for (int request = 0; request < 4000; ++request) {
        const std::string name = "r-" + std::to_string(request);
        EXPECT_EQ(m_sampler.isSampled(name), other.isSampled(name));
        sampled += m_sampler.isSampled(name);
    }
    EXPECT_NEAR(250, sampled, 60);
}

TEST_F(TraceSamplerTest, TraceEvents_Any_HasNamedValues)
{
    for (const LogEvent event : { LogEvent::CallAccepted, LogEvent::EndpointChosen, LogEvent::AttemptRefused, LogEvent::AttemptOutcomeUnknown, LogEvent::AttemptAnswered,
             LogEvent::CallHedged, LogEvent::CallEnded, LogEvent::AttemptAdmitted, LogEvent::AttemptRejected, LogEvent::AttemptStarted, LogEvent::AttemptEnded })
        EXPECT_STRNE("", traceFields(event)[0]) << static_cast<int>(event);
}
