#include "coordination/presence/DepartureRecords.h"

#include <gtest/gtest.h>

#include <utility>

using namespace Knapweedquay;
using namespace std::chrono_literals;

namespace {

class DepartureRecordsTest : public ::testing::Test {
protected:
    DepartureRecordsTest()
        : m_records({ [this](std::uint64_t number, const BackendRun&, DepartureRecords::Request request) { m_sent.emplace_back(number, request); },
            [this](const BackendRun&, bool hasDeparted) { m_found.push_back(hasDeparted); } })
    {
    }

    void record()
    {
        m_records.record(m_run, m_now, [this](bool isRecorded) { m_results.push_back(isRecorded); });
    }

    void check(Duration later)
    {
        m_now += later;
        m_records.check(m_now);
    }

    const BackendRun m_run { "i-1", 10 };
    TimePoint m_now { 100s };
    std::vector<std::pair<std::uint64_t, DepartureRecords::Request>> m_sent;
    std::vector<bool> m_results;
    std::vector<bool> m_found;
    DepartureRecords m_records;
};

} // namespace

// A node acknowledged a deregistration that it alone knew, and forgot it with its process.
TEST_F(DepartureRecordsTest, Departure_StoreSilent_IsNotAcknowledged)
{
    record();
    ASSERT_EQ(1u, m_sent.size());
    EXPECT_TRUE(m_results.empty());
    check(300ms);
    ASSERT_EQ(2u, m_sent.size());
    EXPECT_EQ(m_sent[0], m_sent[1]);
    m_records.answered(m_sent[0].first, ResultCode::ClaimUnavailable);
    check(500ms);
    EXPECT_EQ(m_results, std::vector<bool> { false });
    // Sent again by the backend server, which got no acknowledgement.
    record();
    m_records.answered(m_sent.back().first, ResultCode::Ok);
    record();
    EXPECT_EQ(m_results, (std::vector<bool> { false, true, true }));
}

TEST_F(DepartureRecordsTest, RecordOfAnEarlierProcess_CountsAsRecorded)
{
    record();
    m_records.answered(m_sent.back().first, ResultCode::AlreadyRunning);
    EXPECT_EQ(m_results, std::vector<bool> { true });
}

TEST_F(DepartureRecordsTest, LookUp_Answered_TellsWhetherTheRunDeparted)
{
    m_records.lookUp(m_run, m_now);
    m_records.lookUp(m_run, m_now);
    ASSERT_EQ(1u, m_sent.size());
    EXPECT_EQ(DepartureRecords::Request::LookUp, m_sent.back().second);
    check(300ms);
    m_records.answered(m_sent.back().first, ResultCode::Ok);
    m_records.answered(m_sent.back().first, ResultCode::Ok);
    m_records.lookUp(m_run, m_now);
    m_records.answered(m_sent.back().first, ResultCode::AlreadyRan);
    EXPECT_EQ(m_found, (std::vector<bool> { false, true }));
}

TEST_F(DepartureRecordsTest, UnansweredRequest_IsGivenUp)
{
    m_records.lookUp(m_run, m_now);
    check(11s);
    const std::size_t sent = m_sent.size();
    check(300ms);
    EXPECT_EQ(sent, m_sent.size());
    EXPECT_TRUE(m_found.empty());
}
