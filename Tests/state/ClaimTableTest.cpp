#include "state/ClaimTable.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Knapweedquay;

namespace {

class ClaimTableTest : public ::testing::Test {
protected:
    ClaimRequest request(const std::string& key, std::uint64_t attempt, std::uint64_t time = 0, std::uint64_t fingerprint = 5)
    {
        return { { ServiceName("dispatch"), IdempotencyKey(key) }, fingerprint, { NodeId("node"), Incarnation(1), attempt }, NodeId("node"), WallTime(time + 100), WallTime(time) };
    }

    ClaimUpdate change(const std::string& key, std::uint64_t attempt, ClaimChange change, const std::string& node = "node")
    {
        return { { ServiceName("dispatch"), IdempotencyKey(key) }, { NodeId("node"), Incarnation(1), attempt }, NodeId(node), change, WallTime(0) };
    }

    ClaimTable m_table;
};

TEST_F(ClaimTableTest, TwoAttempts_ClaimOneKey_FirstIsGrantedRepeatedly)
{
    EXPECT_EQ(ResultCode::Ok, m_table.apply(request("k", 1)).code);
    EXPECT_EQ(ResultCode::AlreadyRunning, m_table.apply(request("k", 2)).code);
    EXPECT_EQ(ResultCode::Ok, m_table.apply(request("k", 1)).code);
    EXPECT_EQ(ResultCode::KeyReusedForOtherRequest, m_table.apply(request("k", 3, 0, 6)).code);
}

TEST_F(ClaimTableTest, Query_TellsHolder_AndClaimsNothing)
{
    const ClaimQuery query { request("k", 1).key };
    EXPECT_EQ(ResultCode::Ok, m_table.apply(query).code);
    EXPECT_EQ(0u, m_table.size());
    EXPECT_EQ(ResultCode::Ok, m_table.apply(request("k", 1)).code);
    EXPECT_EQ(ResultCode::AlreadyRunning, m_table.apply(query).code);
}

TEST_F(ClaimTableTest, Release_ByHolderOnly_FreesKey)
{
    m_table.apply(request("k", 1));
    EXPECT_EQ(ResultCode::AlreadyRunning, m_table.apply(change("k", 2, ClaimChange::Release)).code);
    EXPECT_EQ(ResultCode::AlreadyRunning, m_table.apply(change("k", 1, ClaimChange::Release, "other node")).code);
    EXPECT_EQ(ResultCode::AlreadyRunning, m_table.apply(request("k", 2)).code);
    EXPECT_EQ(ResultCode::Ok, m_table.apply(change("k", 1, ClaimChange::Release)).code);
    EXPECT_EQ(ResultCode::Ok, m_table.apply(request("k", 2)).code);
}

TEST_F(ClaimTableTest, CompletedClaim_ReleasedOrClaimed_StaysUntilExpiry)
{
    m_table.apply(request("k", 1));
    m_table.apply(change("k", 1, ClaimChange::Complete));
    EXPECT_EQ(ResultCode::AlreadyRan, m_table.apply(change("k", 1, ClaimChange::Release)).code);
    auto reloaded = ClaimTable::load(m_table.save());
    ASSERT_TRUE(reloaded.has_value());
    EXPECT_EQ(ResultCode::AlreadyRan, reloaded.value().apply(request("k", 2, 99)).code);
    EXPECT_EQ(ResultCode::Ok, reloaded.value().apply(request("k", 2, 100)).code);
    // A leader whose clock is behind neither restores an expired claim nor grants one that has already expired.
    EXPECT_EQ(ResultCode::AlreadyRunning, reloaded.value().apply(request("k", 3, 0)).code);
    EXPECT_EQ(ResultCode::ClaimUnavailable, reloaded.value().apply(request("other", 4, 0)).code);
}

TEST_F(ClaimTableTest, FullTable_NewClaim_IsRefused)
{
    for (std::size_t i = 0; i < ClaimTable::maximumClaims; ++i)
        m_table.apply(request(std::to_string(i), i));
    EXPECT_EQ(ResultCode::ClaimUnavailable, m_table.apply(request("one more", 1)).code);
    EXPECT_EQ(ResultCode::Ok, m_table.apply(request("one more", 1, 100)).code);
    EXPECT_EQ(1u, m_table.size());
}

} // namespace
