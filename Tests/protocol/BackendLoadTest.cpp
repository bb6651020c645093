#include "protocol/BackendLoad.h"

#include <gtest/gtest.h>

using namespace Knapweedquay;

TEST(BackendLoadTest, ThreeAndFourNumbers_Parsed_AreAccepted)
{
    const auto three = parseBackendLoad("3,0,8");
    ASSERT_TRUE(three);
    EXPECT_EQ(3u, three->running);
    EXPECT_EQ(8u, three->slots);
    EXPECT_EQ(100u, three->slowdownPercent);
    const auto four = parseBackendLoad("12,4,12,700");
    ASSERT_TRUE(four);
    EXPECT_EQ(4u, four->waiting);
    EXPECT_EQ(700u, four->slowdownPercent);
}

TEST(BackendLoadTest, MalformedTexts_Parsed_AreRejected)
{
    for (const char* text : { "", "3", "3,0", "3,0,8,", "3,0,8,100,1", "a,b,c", "-1,0,8", "3, 0,8", "99999999999,0,8" })
        EXPECT_FALSE(parseBackendLoad(text)) << text;
}

// Times are divided by the slowdown, so a zero would be a division by zero.
TEST(BackendLoadTest, ZeroSlowdown_Parsed_IsClampedToOnePercent)
{
    EXPECT_EQ(1u, parseBackendLoad("0,0,8,0")->slowdownPercent);
}
