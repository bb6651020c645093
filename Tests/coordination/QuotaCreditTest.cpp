#include "coordination/quotas/QuotaCredit.h"
#include "coordination/quotas/QuotaLedger.h"
#include "coordination/quotas/QuotaPlan.h"
#include "protocol/PeerMessages.h"

#include <gtest/gtest.h>

#include <algorithm>

using namespace Knapweedquay;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Two nodes and the holders of all slices, without delays.
class QuotaCreditTest : public testing::Test {
protected:
    QuotaCreditTest()
    {
        replaceHolders();
        m_node.setSlices(allSlices());
        m_other.setSlices(allSlices());
        advance(seconds(5));
    }

    void setQuota(double rate, double burst)
    {
        Workspace workspace;
        workspace.name = m_workspace;
        workspace.quota = { rate, burst };
        for (QuotaLedger& ledger : m_ledgers)
            ledger.setQuotas({ workspace }, m_now);
    }

    /// Lets other holders begin, which know nothing of what was granted before.
    void replaceHolders()
    {
        ++m_tenure;
        m_ledgers.clear();
        for (const QuotaSlice slice : allSlices())
            m_ledgers.emplace_back(m_bound, slice, m_tenure, m_now);
        setQuota(10, 5);
    }

    static std::vector<QuotaSlice> allSlices()
    {
        std::vector<QuotaSlice> slices;
        for (std::size_t i = 0; i < slicesPerQuota; ++i)
            slices.push_back(slice(i));
        return slices;
    }

    /// A slice of the group of the workspace.
    static QuotaSlice slice(std::size_t index) { return QuotaSlice(static_cast<std::uint32_t>(quotaGroupOf(WorkspaceName("harbour")) * slicesPerQuota + index)); }

    std::uint64_t outstanding()
    {
        std::uint64_t sum = 0;
        for (QuotaLedger& ledger : m_ledgers)
            sum += ledger.outstanding(m_workspace, m_now);
        return sum;
    }

    void advance(Duration time) { m_now += time; }

    QuotaCredit::Decision take(QuotaCredit& node) { return node.take(m_workspace, ++m_call, m_now + milliseconds(80), m_now); }

    QuotaGrantMessage answer(const QuotaRequestMessage& request) { return m_ledgers.at(request.slice.value() % slicesPerQuota).answer(request, m_now); }

    /// Lets the node ask the holders until it has nothing more to ask, and returns its decisions.
    std::vector<QuotaCredit::Decision> exchange(QuotaCredit& node)
    {
        std::vector<QuotaCredit::Decision> decisions;
        for (auto requests = node.nextRequests(m_now); !requests.empty(); requests = node.nextRequests(m_now)) {
            for (const QuotaRequestMessage& request : requests) {
                const auto received = decodePeerMessage(encode(PeerMessage(request)));
                const auto grant = decodePeerMessage(encode(PeerMessage(answer(std::get<QuotaRequestMessage>(received.value())))));
                const auto decided = node.receive(std::get<QuotaGrantMessage>(grant.value()), m_now);
                decisions.insert(decisions.end(), decided.begin(), decided.end());
            }
        }
        return decisions;
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
    std::uint64_t m_tenure = 0;
    std::vector<QuotaLedger> m_ledgers;
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
    m_node.nextRequests(m_now);
    advance(milliseconds(80));
    const auto decisions = m_node.expire(m_now);
    ASSERT_EQ(decisions.size(), 1U);
    EXPECT_EQ(decisions[0].code, ResultCode::QuotaUnproved);
}

TEST_F(QuotaCreditTest, GrantArrivesAfterItsLifetime_IsWorthNothing)
{
    EXPECT_FALSE(take(m_node).code);
    const QuotaGrantMessage grant = answer(m_node.nextRequests(m_now).at(0));
    advance(creditLifetime(m_bound));
    for (const QuotaCredit::Decision& decision : m_node.receive(grant, m_now))
        EXPECT_NE(decision.code, ResultCode::Ok);
    EXPECT_EQ(m_node.inHand(m_now), 0U);
    EXPECT_EQ(outstanding(), 0U);
}

TEST_F(QuotaCreditTest, NodeFrozenForTheLifetime_WhatItHeldIsWorthNothing)
{
    take(m_node);
    const auto requests = m_node.nextRequests(m_now);
    m_node.cancel(m_call);
    m_node.receive(answer(requests.at(0)), m_now);
    EXPECT_EQ(m_node.inHand(m_now), 1U);
    advance(creditLifetime(m_bound));
    EXPECT_NE(take(m_node).code, ResultCode::Ok);
    EXPECT_EQ(outstanding(), 0U);
}

TEST_F(QuotaCreditTest, CallThatDidNotRun_ItsCreditServesTheNext)
{
    EXPECT_FALSE(take(m_node).code);
    const auto decisions = exchange(m_node);
    m_node.giveBack(m_workspace, decisions.at(0).ticket, m_now);
    EXPECT_EQ(m_node.inHand(m_now), 1U);
    EXPECT_EQ(take(m_node).code, ResultCode::Ok);
}

TEST_F(QuotaCreditTest, NodeBecomesIdle_ItsCreditReturnsToTheHolders)
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
    EXPECT_EQ(outstanding(), 0U);
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

TEST_F(QuotaCreditTest, NewHolder_TakesNoReportsOnGrantsOfTheFormer)
{
    EXPECT_FALSE(take(m_node).code);
    ASSERT_EQ(exchange(m_node).size(), 1U);
    replaceHolders();
    advance(milliseconds(300));
    EXPECT_FALSE(take(m_other).code);
    exchange(m_other);
    const std::uint64_t before = outstanding();
    EXPECT_GT(before, 0U);
    exchange(m_node);
    EXPECT_EQ(outstanding(), before);
}

TEST_F(QuotaCreditTest, FormerHoldersGrantArrivesAfterItsSuccessors_IsNotUsed)
{
    m_node.setSlices({ slice(0) });
    EXPECT_FALSE(take(m_node).code);
    const QuotaGrantMessage late = answer(m_node.nextRequests(m_now).at(0));
    replaceHolders();
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

TEST_F(QuotaCreditTest, HolderSilent_CallRunsWithCreditOfAnotherSlice)
{
    EXPECT_FALSE(take(m_node).code);
    EXPECT_EQ(m_node.nextRequests(m_now).at(0).slice, slice(0));
    advance(milliseconds(40));
    const auto requests = m_node.nextRequests(m_now);
    ASSERT_EQ(requests.size(), 1U);
    EXPECT_EQ(requests[0].slice, slice(1));
    const auto decisions = m_node.receive(answer(requests[0]), m_now);
    ASSERT_EQ(decisions.size(), 1U);
    EXPECT_EQ(decisions[0].code, ResultCode::Ok);
}

TEST_F(QuotaCreditTest, SliceUsedUp_CallsRunWithCreditOfTheOthers)
{
    // The bucket of a slice holds three credits.
    EXPECT_EQ(runs(m_node, 9), 9);
}

TEST_F(QuotaCreditTest, SliceWithoutHolder_RefusedAsUnprovedWhenTheOthersAreUsedUp)
{
    m_node.setSlices({ slice(0), slice(1) });
    QuotaCredit::Decision refused;
    for (int i = 0; i < 200 && !refused.code; ++i) {
        const QuotaCredit::Decision taken = take(m_node);
        refused = taken.code && *taken.code != ResultCode::Ok ? taken : refused;
        for (const QuotaCredit::Decision& decision : exchange(m_node))
            refused = *decision.code == ResultCode::Ok ? refused : decision;
        advance(milliseconds(10));
        for (const QuotaCredit::Decision& decision : m_node.expire(m_now))
            refused = *decision.code == ResultCode::Ok ? refused : decision;
    }
    EXPECT_EQ(refused.code, ResultCode::QuotaUnproved);
}

// One lost answer moved the requests of a data centre to another one for good.
TEST_F(QuotaCreditTest, HolderWasSilentOnce_IsAskedFirstAgainSoon)
{
    EXPECT_FALSE(take(m_node).code);
    m_node.nextRequests(m_now);
    advance(milliseconds(40));
    exchange(m_node);
    for (int i = 0; i < 10; ++i) {
        advance(milliseconds(400));
        take(m_node);
        exchange(m_node);
    }
    advance(milliseconds(10));
    while (take(m_node).code)
        ASSERT_LT(m_call, 1000U);
    const auto requests = m_node.nextRequests(m_now);
    const auto asksForCredit = [](const QuotaRequestMessage& request) { return request.needs.at(0).wanted > 0; };
    const auto asked = std::find_if(requests.begin(), requests.end(), asksForCredit);
    ASSERT_NE(asked, requests.end());
    EXPECT_EQ(asked->slice, slice(0));
}

// Callers that got 503 for a quota that was used up came back before there was credit.
TEST_F(QuotaCreditTest, SliceWithoutHolder_RetryAfterIsTheTimeThatTheOthersTold)
{
    m_node.setSlices({ slice(0), slice(1) });
    Duration longest { 0 };
    for (int i = 0; i < 400; ++i) {
        for (int call = 0; call < 20; ++call) {
            const QuotaCredit::Decision taken = take(m_node);
            longest = taken.code == ResultCode::QuotaUnproved ? std::max(longest, taken.retryAfter) : longest;
        }
        exchange(m_node);
        advance(milliseconds(10));
        m_node.expire(m_now);
    }
    // Without them it is half a second.
    EXPECT_GT(longest, milliseconds(500));
}

TEST_F(QuotaCreditTest, HolderAnswersSoon_SilenceIsNoticedSoon)
{
    for (int i = 0; i < 40; ++i) {
        take(m_node);
        exchange(m_node);
        advance(milliseconds(400));
        m_node.expire(m_now);
    }
    while (take(m_node).code)
        ASSERT_LT(m_call, 1000U);
    EXPECT_EQ(m_node.nextRequests(m_now).at(0).slice, slice(0));
    advance(milliseconds(8));
    const auto requests = m_node.nextRequests(m_now);
    ASSERT_EQ(requests.size(), 1U);
    EXPECT_EQ(requests[0].slice, slice(1));
}

TEST_F(QuotaCreditTest, NoHolderKnown_RefusedAtOnce)
{
    m_node.setSlices({});
    EXPECT_EQ(take(m_node).code, ResultCode::QuotaUnproved);
}
