#include "coordination/attempts/IdempotencyKeyTable.h"

#include <gtest/gtest.h>

#include <memory>

using namespace Knapweedquay;

namespace {

class IdempotencyKeyTableTest : public ::testing::Test {
protected:
    static ClaimOwner owner(std::uint64_t sequence) { return { NodeId("origin"), Incarnation(1), sequence }; }
    static KeyedRequest keyed(std::uint64_t fingerprint = 1) { return { ServiceName("dispatch"), IdempotencyKey("booking"), RequestFingerprint(fingerprint) }; }

    template <typename Action>
    static Action only(const KeyActions& actions)
    {
        EXPECT_EQ(1u, actions.size());
        const auto* action = actions.empty() ? nullptr : std::get_if<Action>(&actions.front());
        EXPECT_TRUE(action);
        return action ? *action : Action {};
    }

    void run(std::uint64_t sequence, const CallOutcome& outcome)
    {
        only<RequestClaim>(m_table.request(keyed(), owner(sequence)));
        only<RunKeyedCall>(m_table.claimGranted(owner(sequence)));
        m_table.finish(owner(sequence), outcome, m_now);
    }

    TimePoint m_now {};
    IdempotencyKeyTableLimits m_limits;
    IdempotencyKeyTable m_table;
    CallOutcome m_answered { CallOutcome::Kind::Answered, std::make_shared<const HttpResponse>(HttpResponse { 200, {}, "answer" }) };
};

TEST_F(IdempotencyKeyTableTest, RunningKey_RequestedAgain_IsAlreadyRunning)
{
    only<RequestClaim>(m_table.request(keyed(), owner(1)));
    EXPECT_EQ(ResultCode::AlreadyRunning, only<RejectKeyedCall>(m_table.request(keyed(), owner(2))).code);
    only<RunKeyedCall>(m_table.claimGranted(owner(1)));
    EXPECT_EQ(ResultCode::AlreadyRunning, only<RejectKeyedCall>(m_table.request(keyed(), owner(3))).code);
}

TEST_F(IdempotencyKeyTableTest, AnsweredKey_RequestedAgain_IsReplayed)
{
    run(1, m_answered);
    EXPECT_EQ("answer", only<ReplayAnswer>(m_table.request(keyed(), owner(2))).answer->body);
    EXPECT_EQ(ResultCode::KeyReusedForOtherRequest, only<RejectKeyedCall>(m_table.request(keyed(2), owner(3))).code);
}

TEST_F(IdempotencyKeyTableTest, UnknownOutcome_RequestedAgain_IsNotRun)
{
    run(1, { CallOutcome::Kind::Unknown });
    EXPECT_EQ(ResultCode::OutcomeUnknown, only<RejectKeyedCall>(m_table.request(keyed(), owner(2))).code);
}

TEST_F(IdempotencyKeyTableTest, NotRunCall_Finished_ReleasesClaimAndKey)
{
    only<RequestClaim>(m_table.request(keyed(), owner(1)));
    m_table.claimGranted(owner(1));
    only<ReleaseClaim>(m_table.finish(owner(1), { CallOutcome::Kind::NotRun }, m_now));
    only<RequestClaim>(m_table.request(keyed(), owner(2)));
}

TEST_F(IdempotencyKeyTableTest, ClaimUnavailable_LateGrant_StartsNothing)
{
    m_table.request(keyed(), owner(1));
    const auto actions = m_table.claimUnavailable(owner(1));
    ASSERT_EQ(2u, actions.size());
    EXPECT_TRUE(std::holds_alternative<ReleaseClaim>(actions[0]));
    EXPECT_EQ(ResultCode::ClaimUnavailable, std::get<RejectKeyedCall>(actions[1]).code);
    EXPECT_TRUE(m_table.claimGranted(owner(1)).empty());
}

TEST_F(IdempotencyKeyTableTest, ClaimDenied_RequestedAgain_RequestsNewClaim)
{
    m_table.request(keyed(), owner(1));
    EXPECT_EQ(ResultCode::AlreadyRan, only<RejectKeyedCall>(m_table.claimDenied(owner(1), ResultCode::AlreadyRan)).code);
    only<RequestClaim>(m_table.request(keyed(), owner(2)));
}

TEST_F(IdempotencyKeyTableTest, ExpiredKey_RequestedAgain_RequestsNewClaim)
{
    run(1, m_answered);
    m_table.expire(m_now + m_limits.retentionTime);
    EXPECT_EQ(0u, m_table.size());
    only<RequestClaim>(m_table.request(keyed(), owner(2)));
}

} // namespace
