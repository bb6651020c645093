#include "coordination/quotas/QuotaHolder.h"
#include "coordination/quotas/QuotaPlan.h"

#include <gtest/gtest.h>

using namespace Knapweedquay;
using namespace std::chrono_literals;

/// A node that is named as the holder of all slices, without delays.
class QuotaHolderTest : public testing::Test {
protected:
    QuotaHolderTest()
    {
        m_holder.setQuotas({ { m_workspace, {}, std::nullopt, { 100, 100 } } }, m_now);
        m_holder.setHolders(document("a", 1), m_now);
    }

    static QuotaHolderDocument document(const char* holder, std::uint64_t tenure)
    {
        QuotaHolderDocument document;
        document.slices.fill({ NodeId(holder), tenure });
        return document;
    }

    /// True if a node that asks for a credit gets an answer.
    bool answers()
    {
        QuotaRequestMessage request;
        request.slice = QuotaSlice(static_cast<std::uint32_t>(quotaGroupOf(m_workspace) * slicesPerQuota));
        request.node = NodeId("b");
        request.clock = ++m_clock;
        QuotaNeed need;
        need.workspace = m_workspace;
        need.wanted = 1;
        request.needs.push_back(need);
        return m_holder.answer(request, m_now).has_value();
    }

    const WorkspaceName m_workspace { "harbour" };
    const QuotaBound m_bound { 5s, 0.1, 20 };
    TimePoint m_now { 100s };
    std::uint64_t m_clock = 0;
    QuotaHolder m_holder { NodeId("a"), m_bound, m_now };
};

TEST_F(QuotaHolderTest, NoProof_DoesNotAnswer)
{
    m_now += 10s;
    EXPECT_FALSE(answers());
    m_holder.proved(m_now);
    EXPECT_TRUE(answers());
}

TEST_F(QuotaHolderTest, ProofGrowsOld_StopsUntilTheNextOne)
{
    m_now += 10s;
    m_holder.proved(m_now);
    m_now += holderLease - 1us;
    EXPECT_TRUE(answers());
    m_now += 1us;
    EXPECT_FALSE(answers());
    m_holder.proved(m_now - 1s);
    EXPECT_TRUE(answers());
}

TEST_F(QuotaHolderTest, ProcessJustStarted_WaitsForTheCreditOfTheOneBefore)
{
    m_now += creditLifetime(m_bound) - 1us;
    m_holder.proved(m_now);
    EXPECT_FALSE(answers());
    m_now += 1us;
    EXPECT_TRUE(answers());
}

TEST_F(QuotaHolderTest, AnotherNodeIsNamed_Stops)
{
    m_now += 10s;
    m_holder.proved(m_now);
    EXPECT_TRUE(answers());
    m_holder.setHolders(document("b", 2), m_now);
    EXPECT_FALSE(answers());
}
