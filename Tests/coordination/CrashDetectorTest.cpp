#include "coordination/presence/CrashDetector.h"

#include <gtest/gtest.h>

using namespace Knapweedquay;

namespace {

using std::chrono::milliseconds;

constexpr TimePoint start { Duration(10000000) };

class CrashDetectorTest : public ::testing::Test {
protected:
    bool lose(const std::string& id, Duration at)
    {
        LostRequest request;
        request.requestId = id;
        return m_detector.requestLost(request, start + at);
    }

    std::string takeLost()
    {
        std::string ids;
        for (const LostRequest& request : m_detector.takeCrash().requests)
            ids += request.requestId;
        return ids;
    }

    CrashDetector m_detector;
};

} // namespace

TEST_F(CrashDetectorTest, LostRequests_ThenConnectionRefused_AreOneCrash)
{
    EXPECT_FALSE(lose("a", milliseconds(0)));
    EXPECT_FALSE(lose("b", milliseconds(1)));
    EXPECT_TRUE(m_detector.connectionRefused(start + milliseconds(5)));
    EXPECT_EQ("ab", takeLost());
    // The end of a connection that is seen late, and further refusals, belong to the same crash.
    EXPECT_TRUE(lose("c", milliseconds(20)));
    EXPECT_FALSE(m_detector.connectionRefused(start + milliseconds(45)));
    EXPECT_EQ("c", takeLost());
    EXPECT_EQ(1U, m_detector.takeCrash().number);
}

TEST_F(CrashDetectorTest, LostRequests_WithoutRefusal_AreNoCrash)
{
    EXPECT_FALSE(lose("a", milliseconds(0)));
    m_detector.responseReceived(start + milliseconds(10));
    EXPECT_FALSE(lose("b", milliseconds(500)));
    EXPECT_EQ("", takeLost());
    // Only what was lost shortly before the server ended was lost with it.
    EXPECT_TRUE(m_detector.connectionRefused(start + milliseconds(550)));
    EXPECT_EQ("b", takeLost());
}

TEST_F(CrashDetectorTest, Response_SentBeforeTheCrash_DoesNotEndIt)
{
    lose("a", milliseconds(0));
    m_detector.connectionRefused(start + milliseconds(5));
    m_detector.responseReceived(start + milliseconds(6));
    EXPECT_TRUE(lose("b", milliseconds(7)));
    EXPECT_EQ(1U, m_detector.takeCrash().number);
}

TEST_F(CrashDetectorTest, Server_ThatIsBackAndEndsAgain_HasTwoCrashes)
{
    lose("a", milliseconds(0));
    m_detector.connectionRefused(start + milliseconds(5));
    takeLost();
    m_detector.responseReceived(start + milliseconds(900));
    EXPECT_FALSE(lose("a", milliseconds(950)));
    EXPECT_TRUE(m_detector.connectionRefused(start + milliseconds(955)));
    EXPECT_EQ(2U, m_detector.takeCrash().number);
}

TEST_F(CrashDetectorTest, Run_ReplacedSoonAfterRequestsWereLost_HasCrashed)
{
    lose("a", milliseconds(0));
    EXPECT_TRUE(m_detector.runReplaced(start + milliseconds(600)));
    EXPECT_EQ("a", takeLost());
    EXPECT_FALSE(m_detector.runReplaced(start + milliseconds(700)));
}
