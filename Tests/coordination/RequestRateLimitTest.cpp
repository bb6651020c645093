#include "coordination/admission/RequestRateLimit.h"

#include <gtest/gtest.h>

#include <deque>

using namespace Knapweedquay;
using namespace std::chrono_literals;

namespace {

class RequestRateLimitTest : public ::testing::Test {
protected:
    /// Sends a request whenever one is allowed, asking each millisecond, and returns the most requests in four seconds.
    std::size_t mostInFourSeconds(Duration time)
    {
        std::deque<TimePoint> sent;
        std::size_t most = 0;
        for (const TimePoint end = m_now + time; m_now < end; m_now += 1ms) {
            while (m_limit.allows(m_now)) {
                m_limit.count(m_now);
                sent.push_back(m_now);
            }
            while (!sent.empty() && m_now - sent.front() > 4s)
                sent.pop_front();
            most = std::max(most, sent.size());
        }
        return most;
    }

    TimePoint m_now { 100s };
    RequestRateLimit m_limit;
};

} // namespace

TEST_F(RequestRateLimitTest, ConstantRate_AnyWindow_HasNoMoreThanTheRate)
{
    for (const double rate : { 0.25, 1.0, 7.5, 10.7, 130.0, 999.0 }) {
        m_limit.setRate(RequestRate(rate), m_now);
        const double allowed = rate * 4.3 + 1;
        const auto most = static_cast<double>(mostInFourSeconds(20s));
        EXPECT_LE(most, allowed) << rate;
        EXPECT_GE(most, rate * 4 * 0.95) << rate;
        m_now += 30s;
    }
}

TEST_F(RequestRateLimitTest, Idle_ForLong_SavesNoRequestsUp)
{
    m_limit.setRate(RequestRate(8), m_now);
    m_now += 60s;
    m_limit.count(m_now);
    EXPECT_FALSE(m_limit.isDue(m_now + 124ms));
    EXPECT_TRUE(m_limit.isDue(m_now + 125ms));
    m_limit.count(m_now);
    m_limit.count(m_now);
    EXPECT_FALSE(m_limit.allows(m_now)) << "three requests at the same moment";
}

TEST_F(RequestRateLimitTest, ZeroRate_OneRequestInTenSeconds_IsAllowed)
{
    m_limit.setRate(RequestRate(0), m_now);
    m_limit.count(m_now);
    EXPECT_FALSE(m_limit.allows(m_now + 9s));
    EXPECT_TRUE(m_limit.allows(m_now + 10s));
}

TEST_F(RequestRateLimitTest, RateChanged_WhileARequestIsDue_TimeUntilItIsScaled)
{
    m_limit.setRate(RequestRate(1), m_now);
    m_limit.count(m_now);
    m_limit.setRate(RequestRate(4), m_now);
    EXPECT_EQ(m_now + 250ms, m_limit.dueAt());
    m_limit.setRate(std::nullopt, m_now);
    EXPECT_TRUE(m_limit.allows(m_now));
}

TEST_F(RequestRateLimitTest, RequestsNotAsked_Counted_DelayTheNext)
{
    m_limit.setRate(RequestRate(10), m_now);
    for (int request = 0; request < 3; ++request)
        m_limit.count(m_now);
    EXPECT_EQ(m_now + 300ms, m_limit.dueAt());
}
