#include "coordination/admission/BodyBudget.h"

#include <gtest/gtest.h>

#include <string>

using namespace Knapweedquay;

namespace {

constexpr std::size_t smallBytes = 2 * largeBodyBytes;
constexpr std::size_t largeBytes = 10 * largeBodyBytes;

class BodyBudgetTest : public testing::Test {
protected:
    BodyBudgetPointer m_budget = std::make_shared<BodyBudget>(BodyBudget::Limits { smallBytes, largeBytes });
    BodyReservation m_first { m_budget };
    BodyReservation m_second { m_budget };
};

// One upload that took all room had every booking refused until it was over.
TEST_F(BodyBudgetTest, LargeBodies_TakeAllTheirRoom_SmallOnesFindRoom)
{
    EXPECT_TRUE(m_first.tryResize(largeBytes));
    EXPECT_FALSE(m_second.tryResize(largeBodyBytes + 1));
    EXPECT_TRUE(m_second.tryResize(largeBodyBytes));
    EXPECT_EQ(largeBytes, m_budget->use().largeBytes);
    EXPECT_EQ(largeBodyBytes, m_budget->use().smallBytes);
}

TEST_F(BodyBudgetTest, Body_FindsNoRoomToGrow_KeepsWhatItHas)
{
    EXPECT_TRUE(m_first.tryResize(8 * largeBodyBytes));
    EXPECT_TRUE(m_second.tryResize(largeBodyBytes));
    EXPECT_FALSE(m_second.tryResize(3 * largeBodyBytes));
    EXPECT_EQ(largeBodyBytes, m_second.bytes());
    EXPECT_EQ(largeBodyBytes, m_budget->use().smallBytes);
    EXPECT_TRUE(m_second.tryResize(2 * largeBodyBytes));
    EXPECT_EQ(0U, m_budget->use().smallBytes);
    EXPECT_EQ(largeBytes, m_budget->use().largeBytes);
}

TEST_F(BodyBudgetTest, BodyLargerThanTheBudget_FindsNoRoom)
{
    EXPECT_FALSE(m_first.tryResize(largeBytes + 1));
    EXPECT_FALSE(m_first.tryResize(std::string::npos));
    EXPECT_EQ(0U, m_first.bytes());
}

TEST_F(BodyBudgetTest, Body_LastCopyEnds_GivesItsRoomBack)
{
    auto reservation = std::make_shared<BodyReservation>(m_budget);
    EXPECT_TRUE(reservation->tryResize(largeBytes));
    Body body(std::string(largeBytes, 'x'), std::move(reservation));
    Body copy = body;
    EXPECT_EQ(body.bytes().data(), copy.bytes().data());
    body = {};
    EXPECT_EQ(largeBytes, m_budget->use().largeBytes);
    copy = {};
    EXPECT_EQ(0U, m_budget->use().largeBytes);
}

} // namespace
