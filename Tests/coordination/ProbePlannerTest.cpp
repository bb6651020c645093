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

    /// Name of the endpoint to probe next; a probe is sent to it.
    std::string next()
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

TEST_F(ProbePlannerTest, ReportsOfSeveralAges_Asked_OldestLikelyOneComesFirst)
{
    add("fresh", 10 * millisecond);
    add("old", 200 * millisecond);
    add("slow", 900 * millisecond, second);
    add("older", 300 * millisecond);
    add("ejected", 800 * millisecond).ejected = true;
    add("draining", 900 * millisecond).draining = true;
    add("unknown", 0 * millisecond).reportedAt.reset();
    EXPECT_EQ("unknown", next());
    EXPECT_EQ("older", next());
    EXPECT_EQ("old", next());
    EXPECT_EQ("ejected", next());
    EXPECT_EQ("slow", next());
    EXPECT_EQ("", next());
}

TEST_F(ProbePlannerTest, ProbeWithoutAnswer_TimePasses_IsAskedAgain)
{
    add("only", second);
    EXPECT_EQ("only", next());
    m_now += 500 * millisecond;
    EXPECT_EQ("", next());
    m_now += 500 * millisecond;
    EXPECT_EQ("only", next());
    m_planner.probeEnded(m_endpoints[0].id);
    EXPECT_EQ("only", next());
}

} // namespace
