#include "coordination/placing/ProbePlanner.h"

#include <gtest/gtest.h>

using namespace Knapweedquay;

namespace {

constexpr Duration millisecond { 1000 };
constexpr Duration second { 1000000 };

class ProbePlannerTest : public testing::Test {
protected:
    EndpointStatus& add(const std::string& name, Duration reportAge, Duration predictedTime = 5 * millisecond)
    {
        EndpointStatus status;
        status.id = { NodeId(name), Incarnation(1) };
        status.reportedAt = m_now - reportAge;
        status.predictedTime = predictedTime;
        m_endpoints.push_back(status);
        return m_endpoints.back();
    }

    /// Returns the node name of the next endpoint to probe, or an empty string, and registers the probe as sent.
    std::string probeNext()
    {
        const auto id = m_planner.next(m_endpoints, m_now);
        if (!id)
            return "";
        m_planner.probeSent(*id, m_now);
        return id->node.value();
    }

    TimePoint m_now { 1000 * second };
    ProbePlanner m_planner;
    std::vector<EndpointStatus> m_endpoints;
};

TEST_F(ProbePlannerTest, ReportsOfVariousAges_ProbesPlanned_OldestLikelyEndpointIsFirst)
{
    add("fresh", 10 * millisecond);
    add("old", 200 * millisecond);
    add("slow", 900 * millisecond, second);
    add("older", 300 * millisecond);
    add("ejected", 800 * millisecond).ejected = true;
    EndpointStatus& draining = add("draining", 9 * second);
    draining.draining = true;
    draining.isDrainAnnounced = true;
    add("unknown", 0 * millisecond).reportedAt.reset();
    EXPECT_EQ("unknown", probeNext());
    EXPECT_EQ("older", probeNext());
    EXPECT_EQ("old", probeNext());
    EXPECT_EQ("ejected", probeNext());
    EXPECT_EQ("slow", probeNext());
    EXPECT_EQ("", probeNext());
}

// Nodes that had stopped sending calls to a limited endpoint did not learn that the limit had ended.
TEST_F(ProbePlannerTest, EndpointThatReportedALimit_IsProbedOnceASecond)
{
    add("likely", 900 * millisecond);
    add("limited", second, second).requestRate = RequestRate(8);
    add("limited and recent", 500 * millisecond, second).requestRate = RequestRate(8);
    EXPECT_EQ("limited", probeNext());
    EXPECT_EQ("likely", probeNext());
    EXPECT_EQ("", probeNext());
}

TEST_F(ProbePlannerTest, EndpointThatReportedThatItTakesNoCalls_IsProbedOnceASecond)
{
    add("likely", 900 * millisecond);
    add("unavailable", second).draining = true;
    EXPECT_EQ("unavailable", probeNext());
    EXPECT_EQ("likely", probeNext());
    m_planner.probeEnded(m_endpoints[1].id);
    m_endpoints[1].reportedAt = m_now;
    m_now += 900 * millisecond;
    EXPECT_EQ("", probeNext());
    m_now += 100 * millisecond;
    EXPECT_EQ("unavailable", probeNext());
}

TEST_F(ProbePlannerTest, ProbeWithoutResponse_TimeoutElapsed_EndpointIsProbedAgain)
{
    add("only", second);
    EXPECT_EQ("only", probeNext());
    m_now += 500 * millisecond;
    EXPECT_EQ("", probeNext());
    m_now += 500 * millisecond;
    EXPECT_EQ("only", probeNext());
    m_planner.probeEnded(m_endpoints[0].id);
    EXPECT_EQ("only", probeNext());
}

} // namespace
