#include "coordination/quotas/QuotaCredit.h"
#include "coordination/quotas/QuotaLedger.h"

#include <gtest/gtest.h>

using namespace Knapweedquay;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Two nodes and an owner without delays.
class QuotaCreditTest : public testing::Test {
protected:
    QuotaCreditTest()
    {
        m_ledger.lead(1, m_now);
        setQuota(10, 5);
        advance(seconds(5));
    }

    void setQuota(double rate, double burst)
    {
        Workspace workspace;
        workspace.name = m_workspace;
        workspace.quota = { rate, burst };
        m_ledger.setQuotas({ workspace }, m_now);
    }

    void advance(Duration time) { m_now += time; }

    QuotaCredit::Decision take(QuotaCredit& node) { return node.take(m_workspace, ++m_call, m_now + milliseconds(80), m_now); }

    /// Lets the node ask the owner, and returns its decisions.
    std::vector<QuotaCredit::Decision> exchange(QuotaCredit& node)
    {
        const auto request = node.nextRequest(m_now);
        if (!request)
            return {};
        const auto received = decodeControlMessage(encode(*request));
        const auto answer = decodeControlMessage(encode(m_ledger.answer(std::get<QuotaRequestMessage>(received.value()), m_now)));
        return node.receive(std::get<QuotaGrantMessage>(answer.value()), m_now);
    }

    /// Number of calls that the node runs when so many arrive at once.
    int runs(QuotaCredit& node, int calls)
    {
        int count = 0;
        for (int i = 0; i < calls; ++i)
            count += take(node).code == ResultCode::Ok ? 1 : 0;
        for (const QuotaCredit::Decision& decision : exchange(node))
            count += decision.code == ResultCode::Ok ? 1 : 0;
        advance(milliseconds(100));
        for (const QuotaCredit::Decision& decision : node.expire(m_now))
            count += decision.code == ResultCode::Ok ? 1 : 0;
        exchange(node);
        return count;
    }

    const WorkspaceName m_workspace { "harbour" };
    const QuotaBound m_bound { seconds(5), 0.1, 20 };
    TimePoint m_now { std::chrono::hours(1) };
    std::uint64_t m_call = 0;
    QuotaLedger m_ledger { m_bound };
    QuotaCredit m_node { NodeId("a"), Incarnation(1), creditLifetime(m_bound) };
    QuotaCredit m_other { NodeId("b"), Incarnation(1), creditLifetime(m_bound) };
};

TEST_F(QuotaCreditTest, CallWithoutCredit_WaitsAndRunsWithTheGrant)
{
    EXPECT_FALSE(take(m_node).code);
    const auto decisions = exchange(m_node);
    ASSERT_EQ(decisions.size(), 1U);
    EXPECT_EQ(decisions[0].code, ResultCode::Ok);
}

TEST_F(QuotaCreditTest, QuotaSpent_RefusedAtOnceWithTheTimeOfTheNextCredit)
{
    for (int i = 0; i < 10; ++i)
        runs(m_node, 10);
    QuotaCredit::Decision refused;
    for (int i = 0; i < 50 && !refused.code; ++i) {
        refused = take(m_node);
        for (const QuotaCredit::Decision& decision : exchange(m_node))
            refused = *decision.code == ResultCode::Ok ? refused : decision;
    }
    refused = take(m_node);
    EXPECT_EQ(refused.code, ResultCode::QuotaExceeded);
    EXPECT_GT(refused.retryAfter, Duration::zero());
}

TEST_F(QuotaCreditTest, NoAnswer_RefusedAsUnprovedAfterTheWait)
{
    EXPECT_FALSE(take(m_node).code);
    m_node.nextRequest(m_now);
    advance(milliseconds(80));
    const auto decisions = m_node.expire(m_now);
    ASSERT_EQ(decisions.size(), 1U);
    EXPECT_EQ(decisions[0].code, ResultCode::QuotaUnproved);
}

TEST_F(QuotaCreditTest, GrantArrivesAfterItsLifetime_IsWorthNothing)
{
    EXPECT_FALSE(take(m_node).code);
    const auto request = m_node.nextRequest(m_now);
    const QuotaGrantMessage grant = m_ledger.answer(*request, m_now);
    advance(creditLifetime(m_bound));
    for (const QuotaCredit::Decision& decision : m_node.receive(grant, m_now))
        EXPECT_NE(decision.code, ResultCode::Ok);
    EXPECT_EQ(m_node.inHand(m_now), 0U);
    EXPECT_EQ(m_ledger.outstanding(m_workspace, m_now), 0U);
}

TEST_F(QuotaCreditTest, NodeFrozenForTheLifetime_WhatItHeldIsWorthNothing)
{
    take(m_node);
    const auto request = m_node.nextRequest(m_now);
    m_node.cancel(m_call);
    m_node.receive(m_ledger.answer(*request, m_now), m_now);
    EXPECT_EQ(m_node.inHand(m_now), 1U);
    advance(creditLifetime(m_bound));
    EXPECT_NE(take(m_node).code, ResultCode::Ok);
    EXPECT_EQ(m_ledger.outstanding(m_workspace, m_now), 0U);
}

TEST_F(QuotaCreditTest, CallThatDidNotRun_ItsCreditServesTheNext)
{
    EXPECT_FALSE(take(m_node).code);
    const auto decisions = exchange(m_node);
    m_node.giveBack(m_workspace, decisions.at(0).ticket, m_now);
    EXPECT_EQ(m_node.inHand(m_now), 1U);
    EXPECT_EQ(take(m_node).code, ResultCode::Ok);
}

TEST_F(QuotaCreditTest, NodeBecomesIdle_ItsCreditReturnsToTheOwner)
{
    for (int i = 0; i < 40; ++i) {
        take(m_node);
        exchange(m_node);
        advance(milliseconds(100));
    }
    for (int i = 0; i < 20; ++i) {
        exchange(m_node);
        advance(milliseconds(100));
    }
    EXPECT_EQ(m_node.inHand(m_now), 0U);
    EXPECT_EQ(m_ledger.outstanding(m_workspace, m_now), 0U);
}

TEST_F(QuotaCreditTest, SmallNodeBesideOneThatAsksForMore_GetsWhatItNeeds)
{
    int small = 0;
    for (int i = 0; i < 200; ++i) {
        runs(m_node, 20);
        small += i % 10 == 0 ? runs(m_other, 1) : 0;
    }
    EXPECT_GE(small, 16);
}

TEST_F(QuotaCreditTest, NewOwner_TakesNoReportsOnGrantsOfTheFormer)
{
    EXPECT_FALSE(take(m_node).code);
    ASSERT_EQ(exchange(m_node).size(), 1U);
    m_ledger.lead(2, m_now);
    setQuota(10, 5);
    advance(milliseconds(300));
    EXPECT_FALSE(take(m_other).code);
    exchange(m_other);
    const std::uint64_t before = m_ledger.outstanding(m_workspace, m_now);
    EXPECT_GT(before, 0U);
    exchange(m_node);
    EXPECT_EQ(m_ledger.outstanding(m_workspace, m_now), before);
}

TEST_F(QuotaCreditTest, FormerOwnersGrantArrivesAfterItsSuccessors_IsNotUsed)
{
    EXPECT_FALSE(take(m_node).code);
    const auto request = m_node.nextRequest(m_now);
    const QuotaGrantMessage late = m_ledger.answer(*request, m_now);
    m_ledger.lead(2, m_now);
    setQuota(10, 5);
    advance(milliseconds(300));
    take(m_node);
    exchange(m_node);
    const std::uint64_t held = m_node.inHand(m_now);
    m_node.receive(late, m_now);
    EXPECT_EQ(m_node.inHand(m_now), held);
}

TEST_F(QuotaCreditTest, CancelledCall_IsNotDecided)
{
    EXPECT_FALSE(take(m_node).code);
    EXPECT_TRUE(m_node.cancel(m_call));
    EXPECT_FALSE(m_node.cancel(m_call));
    EXPECT_TRUE(exchange(m_node).empty());
}
