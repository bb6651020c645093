#include "coordination/presence/BackendState.h"

#include <gtest/gtest.h>

using namespace Knapweedquay;
using namespace std::chrono_literals;

namespace {

using ResponseTo = BackendState::ResponseTo;

class BackendStateReportTest : public ::testing::Test {
protected:
    BackendState::Report limit(const HttpHeaders& headers, ResponseTo request = ResponseTo::Call) { return m_state.apply(headers, request, m_now); }
    BackendState::Report limit(const std::string& value, ResponseTo request = ResponseTo::Call) { return limit({ { m_names.requestLimit, value } }, request); }

    CallHeaders m_names;
    TimePoint m_now { 100s };
    BackendState m_state { m_names, 40ms };
};

} // namespace

TEST_F(BackendStateReportTest, Limit_NamedChangedAndNoLongerNamed_IsInForceAsLongAsItIsNamed)
{
    EXPECT_TRUE(limit("10.7").hasLimitChanged);
    EXPECT_FALSE(limit("10.7").hasLimitChanged);
    EXPECT_TRUE(limit("7.5").hasLimitChanged);
    EXPECT_EQ(RequestRate(7.5), m_state.requestLimit());
    EXPECT_TRUE(limit(HttpHeaders {}).hasLimitChanged);
    EXPECT_FALSE(m_state.requestLimit());
}

TEST_F(BackendStateReportTest, UnreadableLimit_AfterAReadableOne_ChangesNothing)
{
    limit("8");
    for (const char* value : { "", "-1", "many", "1e9" }) {
        EXPECT_EQ(1u, limit(value).unreadable.size()) << value;
        EXPECT_EQ(RequestRate(8), m_state.requestLimit()) << value;
    }
}

TEST_F(BackendStateReportTest, SeveralLimits_InOneResponse_LowestCounts)
{
    limit({ { m_names.requestLimit, "9" }, { m_names.requestLimit, "4.5" } });
    EXPECT_EQ(RequestRate(4.5), m_state.requestLimit());
    EXPECT_EQ(1u, limit("6, x, 5").unreadable.size());
    EXPECT_EQ(RequestRate(5), m_state.requestLimit());
}

TEST_F(BackendStateReportTest, HugeLimit_Named_IsNoLimit)
{
    limit("8");
    EXPECT_TRUE(limit("1000000").hasLimitChanged);
    EXPECT_FALSE(m_state.requestLimit());
}

TEST_F(BackendStateReportTest, LimitNamedToCallsOnly_HealthCheckAnswered_EndsItOnlyAfterLong)
{
    limit("8");
    limit(HttpHeaders {}, ResponseTo::HealthCheck);
    EXPECT_TRUE(m_state.requestLimit());
    m_now += 16s;
    limit(HttpHeaders {}, ResponseTo::HealthCheck);
    EXPECT_FALSE(m_state.requestLimit());
}

TEST_F(BackendStateReportTest, NewRun_AfterALimitAndALeaving_BeginsWithoutThem)
{
    limit({ { m_names.requestLimit, "8" }, { m_names.leaving, "1" } });
    EXPECT_TRUE(m_state.isLeaving());
    m_state.reset();
    EXPECT_FALSE(m_state.requestLimit());
    EXPECT_FALSE(m_state.isLeaving());
    EXPECT_FALSE(m_state.hasResponded());
}

TEST_F(BackendStateReportTest, Leaving_ToldOnce_NeverEnds)
{
    EXPECT_TRUE(limit({ { m_names.leaving, "1" } }).startsToLeave);
    EXPECT_FALSE(limit({ { m_names.leaving, "1" } }).startsToLeave);
    limit(HttpHeaders {});
    EXPECT_TRUE(m_state.isLeaving());
}

TEST_F(BackendStateReportTest, UnreadableLeaving_Told_IsIgnored)
{
    for (const char* value : { "", "0", "yes", "11" })
        EXPECT_EQ(1u, limit({ { m_names.leaving, value } }).unreadable.size()) << value;
    EXPECT_FALSE(m_state.isLeaving());
}

// A limit that only calls had named was held for 15 seconds after its end when no more calls came.
TEST_F(BackendStateReportTest, LimitNamedToACall_HealthCheckIsDueSoon_SoThatALaterOneCanEndIt)
{
    limit("1");
    m_state.checkSent(m_now);
    m_state.checkEnded();
    EXPECT_TRUE(m_state.isCheckDue(true, m_now + 250ms));
    limit("1", ResponseTo::HealthCheck);
    EXPECT_FALSE(m_state.isCheckDue(true, m_now + 3s));
    limit(HttpHeaders {}, ResponseTo::HealthCheck);
    EXPECT_FALSE(m_state.requestLimit());
}

// Calls took each request that the limit allowed, so the first health check came after the end of the limit.
TEST_F(BackendStateReportTest, LimitNamedToACall_HealthCheckIsDueWhateverCallsTake_AtMostAQuarterOfTheLimit)
{
    EXPECT_FALSE(m_state.mustAskForLimit(m_now));
    m_state.checkSent(m_now);
    limit("1");
    EXPECT_FALSE(m_state.mustAskForLimit(m_now)) << "a check is pending";
    m_state.checkEnded();
    limit(HttpHeaders {}, ResponseTo::HealthCheck);
    EXPECT_TRUE(m_state.mustAskForLimit(m_now)) << "the check was sent before the limit was named";
    m_state.checkSent(m_now);
    m_state.checkEnded();
    EXPECT_FALSE(m_state.mustAskForLimit(m_now + 3s));
    EXPECT_TRUE(m_state.mustAskForLimit(m_now + 4s)) << "the check failed";
    m_state.checkSent(m_now + 4s);
    m_state.checkEnded();
    limit("1", ResponseTo::HealthCheck);
    EXPECT_FALSE(m_state.mustAskForLimit(m_now + 1min));
    limit(HttpHeaders {}, ResponseTo::HealthCheck);
    EXPECT_FALSE(m_state.requestLimit());
}

TEST_F(BackendStateReportTest, LimitedBackendServer_Asked_TakesAtMostAQuarterOfTheLimit)
{
    const std::pair<const char*, Duration> cases[] = { { "100", 250ms }, { "8", 500ms }, { "1", 4s }, { "0", 10s } };
    for (const auto& [value, interval] : cases) {
        m_state.reset();
        limit(value, ResponseTo::HealthCheck);
        m_state.checkSent(m_now);
        EXPECT_FALSE(m_state.isCheckDue(true, m_now + 1min)) << "a check is pending";
        m_state.checkEnded();
        EXPECT_FALSE(m_state.isCheckDue(true, m_now + interval - 1ms)) << value;
        EXPECT_TRUE(m_state.isCheckDue(true, m_now + interval)) << value;
    }
}
