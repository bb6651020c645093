#include "coordination/attempts/FateTable.h"

#include <gtest/gtest.h>

using namespace Knapweedquay;

namespace {

class FateTableTest : public ::testing::Test {
protected:
    static constexpr std::uint64_t self = 7;

    static AttemptId attempt(std::uint64_t sequence, std::uint64_t incarnation = 1) { return { NodeId("origin"), Incarnation(incarnation), sequence }; }
    static AnswerPointer bytes(const char* text) { return std::make_shared<const HttpResponse>(HttpResponse { 200, {}, text }); }

    FateActions receive(const AttemptId& id, std::uint64_t connection = 1, bool isResend = false, std::uint64_t target = self)
    {
        return m_table.receive({ id, Incarnation(target), isResend, ConnectionId(connection) }, m_now);
    }

    FateActions cancel(const AttemptId& id, std::uint64_t target = self) { return m_table.cancel(id, Incarnation(target), ConnectionId(1), m_now); }

    void runToAnswer(const AttemptId& id)
    {
        receive(id);
        ASSERT_TRUE(m_table.tryStart(id));
        m_table.answer(id, bytes("answer"), m_now);
    }

    template <typename Action>
    static const Action* only(const FateActions& actions)
    {
        return actions.size() == 1 ? std::get_if<Action>(&actions.front()) : nullptr;
    }

    TimePoint m_now {};
    FateTableLimits m_limits { Duration(1000), 4, 16, 4, Duration(5000) };
    FateTable m_table { Incarnation(self), m_limits };
};

TEST_F(FateTableTest, NewAttempt_Received_IsAdmitted)
{
    EXPECT_TRUE(only<AdmitAttempt>(receive(attempt(1))));
}

TEST_F(FateTableTest, RunningAttempt_Resent_IsAnsweredOverNewestConnection)
{
    receive(attempt(1), 1);
    ASSERT_TRUE(m_table.tryStart(attempt(1)));
    EXPECT_TRUE(only<SendInProgress>(receive(attempt(1), 2, true)));
    const auto actions = m_table.answer(attempt(1), bytes("answer"), m_now);
    const auto* answer = only<SendAnswer>(actions);
    ASSERT_TRUE(answer);
    EXPECT_EQ(ConnectionId(2), answer->connection);
}

TEST_F(FateTableTest, AnsweredAttempt_Resent_GetsStoredAnswer)
{
    runToAnswer(attempt(1));
    const auto actions = receive(attempt(1), 2, true);
    const auto* answer = only<SendAnswer>(actions);
    ASSERT_TRUE(answer);
    EXPECT_EQ("answer", answer->answer->body);
    EXPECT_FALSE(m_table.tryStart(attempt(1)));
}

TEST_F(FateTableTest, QueuedAttempt_Cancelled_IsNotRunAndNeverStarts)
{
    receive(attempt(1));
    const auto actions = cancel(attempt(1));
    ASSERT_EQ(2u, actions.size());
    EXPECT_EQ(CancelResult::NotRun, std::get<SendCancelResult>(actions[1]).result);
    EXPECT_FALSE(m_table.tryStart(attempt(1)));
}

TEST_F(FateTableTest, RunningAttempt_Cancelled_IsReportedRunning)
{
    receive(attempt(1));
    ASSERT_TRUE(m_table.tryStart(attempt(1)));
    const auto actions = cancel(attempt(1));
    ASSERT_TRUE(only<SendCancelResult>(actions));
    EXPECT_EQ(CancelResult::Running, only<SendCancelResult>(actions)->result);
}

TEST_F(FateTableTest, RunningIdempotentAttempt_Cancelled_IsAborted)
{
    m_table.receive({ attempt(1), Incarnation(self), false, ConnectionId(1), true }, m_now);
    ASSERT_TRUE(m_table.tryStart(attempt(1)));
    const auto actions = cancel(attempt(1));
    ASSERT_EQ(2u, actions.size());
    EXPECT_TRUE(std::holds_alternative<AbortRunning>(actions[0]));
    EXPECT_EQ(CancelResult::Running, std::get<SendCancelResult>(actions[1]).result);
}

TEST_F(FateTableTest, UnknownAttempt_Cancelled_IsRefusedOnReceipt)
{
    const auto actions = cancel(attempt(1));
    EXPECT_EQ(CancelResult::NotRun, only<SendCancelResult>(actions)->result);
    EXPECT_TRUE(only<SendRefusal>(receive(attempt(1))));
    m_now += m_limits.retentionTime;
    m_table.expire(m_now);
    EXPECT_EQ(0u, m_table.size());
    EXPECT_TRUE(only<SendRefusal>(receive(attempt(1))));
}

TEST_F(FateTableTest, AttemptForOtherIncarnation_Resent_IsUnknown)
{
    EXPECT_TRUE(only<SendUnknown>(receive(attempt(1), 1, true, self - 1)));
    EXPECT_EQ(CancelResult::Unknown, std::get<SendCancelResult>(cancel(attempt(1), self - 1).back()).result);
}

TEST_F(FateTableTest, ExpiredAnswer_Resent_IsUnknownAndNeverRuns)
{
    runToAnswer(attempt(5));
    m_now += m_limits.retentionTime;
    m_table.expire(m_now);
    EXPECT_EQ(0u, m_table.size());
    EXPECT_TRUE(only<SendUnknown>(receive(attempt(5), 1, true)));
    EXPECT_TRUE(only<SendUnknown>(receive(attempt(4))));
    EXPECT_TRUE(only<AdmitAttempt>(receive(attempt(6))));
}

TEST_F(FateTableTest, FullTable_NewAttempt_IsRefusedAndNeverRunsLater)
{
    for (std::uint64_t sequence = 1; sequence <= m_limits.maximumAttempts; ++sequence)
        receive(attempt(sequence));
    EXPECT_TRUE(only<SendRefusal>(receive(attempt(9))));
    m_table.refuse(attempt(1), {}, m_now);
    EXPECT_TRUE(only<SendRefusal>(receive(attempt(9), 2, true)));
}

TEST_F(FateTableTest, AnswersOverByteLimit_Resent_OldestIsReportedAlreadyRan)
{
    runToAnswer(attempt(1));
    runToAnswer(attempt(2));
    runToAnswer(attempt(3));
    EXPECT_LE(m_table.answerBytes(), m_limits.maximumAnswerBytes);
    const auto oldest = receive(attempt(1), 1, true);
    EXPECT_EQ(ResultCode::AlreadyRan, only<SendUnknown>(oldest)->code);
    EXPECT_TRUE(only<SendAnswer>(receive(attempt(3), 1, true)));
}

TEST_F(FateTableTest, AttemptOfEarlierOriginIncarnation_Received_NeverRuns)
{
    receive(attempt(1, 2));
    EXPECT_TRUE(only<SendUnknown>(receive(attempt(9, 1))));
}

TEST_F(FateTableTest, RestartedOrigin_FirstAttempt_IsAdmittedDespiteWatermark)
{
    runToAnswer(attempt(5, 1));
    m_now += m_limits.retentionTime;
    m_table.expire(m_now);
    EXPECT_TRUE(only<AdmitAttempt>(receive(attempt(1, 2))));
}

TEST_F(FateTableTest, ExpiredOrigin_Resent_NeverRuns)
{
    runToAnswer(attempt(5));
    m_now += m_limits.originRetentionTime;
    m_table.expire(m_now);
    EXPECT_EQ(0u, m_table.originCount());
    EXPECT_TRUE(only<SendUnknown>(receive(attempt(5), 1, true)));
    EXPECT_TRUE(only<AdmitAttempt>(receive(attempt(6))));
    EXPECT_TRUE(only<SendUnknown>(receive(attempt(5), 1, true)));
}

} // namespace
