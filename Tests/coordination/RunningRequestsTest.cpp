#include "coordination/routing/RunningRequests.h"

#include <gtest/gtest.h>

using namespace Knapweedquay;

namespace {

class RunningRequestsTest : public testing::Test {
protected:
    RunningRequests m_requests;
};

TEST_F(RunningRequestsTest, RunningRequest_CallWithItsPrefix_HasParent)
{
    m_requests.started("a1.b2", {});
    EXPECT_TRUE(m_requests.parentOf("a1.b2.c3"));
}

TEST_F(RunningRequestsTest, RunningRequest_CallsWithOtherIds_HaveNoParent)
{
    m_requests.started("a1", {});
    m_requests.started("", {});
    for (const char* id : { "a1", "a1.b2.c3", "a1x.b2", ".b2", "", "b2" })
        EXPECT_FALSE(m_requests.parentOf(id)) << id;
}

TEST_F(RunningRequestsTest, EndedRequest_CallWithItsPrefix_HasNoParent)
{
    m_requests.started("a1", {});
    m_requests.ended("a1");
    EXPECT_FALSE(m_requests.parentOf("a1.b2"));
}

TEST_F(RunningRequestsTest, RequestThatRunsTwice_OneRunEnded_StillHasItsCalls)
{
    m_requests.started("a1", {});
    m_requests.started("a1", { true });
    m_requests.ended("a1");
    EXPECT_TRUE(m_requests.parentOf("a1.b2"));
    m_requests.ended("a1");
    EXPECT_FALSE(m_requests.parentOf("a1.b2"));
}

TEST_F(RunningRequestsTest, RunningRequest_CallsWithItsPrefix_KnowWhetherItIsARepeat)
{
    m_requests.started("a1", { true });
    m_requests.started("b1", { false });
    EXPECT_TRUE(m_requests.parentOf("a1.x")->isRepeat);
    EXPECT_FALSE(m_requests.parentOf("b1.x")->isRepeat);
}

TEST_F(RunningRequestsTest, RunningRequest_CallsWithItsPrefix_KnowItsDeadline)
{
    m_requests.started("a1", { false, TimePoint(Duration(7)) });
    EXPECT_EQ(TimePoint(Duration(7)), m_requests.parentOf("a1.x")->deadline);
}

} // namespace
