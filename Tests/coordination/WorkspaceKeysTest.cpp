#include "coordination/workspaces/CallerAuthentication.h"
#include "coordination/workspaces/KeyGuard.h"

#include <gtest/gtest.h>

using namespace Knapweedquay;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint start(Duration(1h));

RoutingDocument routingWith(std::uint64_t version, const std::vector<Workspace>& workspaces)
{
    RoutingDocument routing;
    routing.version = version;
    routing.workspaces = workspaces;
    return routing;
}

Workspace workspace(const std::string& name, const std::vector<std::string>& keys, std::optional<Rank> rank = std::nullopt)
{
    Workspace workspace;
    workspace.name = WorkspaceName(name);
    for (const std::string& key : keys)
        workspace.keys.push_back(digestOfKey(key));
    workspace.rank = rank;
    return workspace;
}

class WorkspaceKeysTest : public testing::Test {
protected:
    /// Result of a call with these headers: name of the workspace, or the code of the refusal.
    std::string result(const HttpHeaders& headers, bool allowsAnonymous = false, bool isOwnBackendCall = false, Duration proofAge = Duration(0))
    {
        const auto caller = authenticate(m_table, { headers, allowsAnonymous, isOwnBackendCall, proofAge });
        return caller ? caller.value().proof.workspace.value() : std::to_string(static_cast<int>(caller.error().code));
    }

    std::shared_ptr<const RoutingTable> table(std::uint64_t version, const std::vector<std::string>& keys)
    {
        return std::make_shared<const RoutingTable>(routingWith(version, { workspace("archive", keys) }));
    }

    const KeyTable m_table { routingWith(7, { workspace("archive", { "k1", "k2" }, Rank(3)), workspace("school", { "k3" }), workspace("nobody", {}, Rank(1)) }) };
    const std::optional<CallerProof> m_proof { CallerProof { 7, WorkspaceName("archive"), digestOfKey("k1") } };
};

} // namespace

TEST_F(WorkspaceKeysTest, KeyTable_KeyOfWorkspace_NamesWorkspaceAndItsPriority)
{
    EXPECT_EQ(WorkspaceName("archive"), m_table.find(digestOfKey("k2"))->workspace);
    EXPECT_EQ(PriorityIndex(2), m_table.find(digestOfKey("k2"))->priority) << "calls of runs, then ranks 1 and 3";
    EXPECT_FALSE(m_table.find(digestOfKey("k3"))->priority);
    EXPECT_EQ(nullptr, m_table.find(digestOfKey("k4")));
    EXPECT_FALSE(KeyTable(RoutingDocument()).isNeeded());
}

TEST_F(WorkspaceKeysTest, RouteThatNeedsKey_AnyHeaders_TakesOneKnownKeyOnly)
{
    for (const char* value : { "Bearer k1", "bearer k2", "BEARER   k1", " Bearer\tk1 " })
        EXPECT_EQ("archive", result({ { "aUTHORIZATION", value } })) << value;
    EXPECT_EQ("school", result({ { "Host", "a.example" }, { "Authorization", "Bearer k3" } }));
    for (const char* value : { "", "Bearer", "Bearer ", "Basic k1", "k1", "Bearerk1", "Bearer k1 k1", "Bearer k1,", "Bearer K1", "Bearer k4" })
        EXPECT_EQ("112", result({ { "Authorization", value } })) << value;
    EXPECT_EQ("112", result({}));
    for (const char* other : { "Bearer k1", "Bearer k3", "" }) {
        EXPECT_EQ("112", result({ { "Authorization", "Bearer k1" }, { "authorization", other } })) << other;
        EXPECT_EQ("112", result({ { "Authorization", other }, { "authorization ", "Bearer k1" } })) << other;
    }
}

// A caller gives up after 401, so a refusal that only an old configuration explains must be another one.
TEST_F(WorkspaceKeysTest, UnknownKey_WithoutRecentProof_IsNotCalledUnknown)
{
    EXPECT_EQ("112", result({ { "Authorization", "Bearer k4" } }, false, false, 1s));
    EXPECT_EQ("215", result({ { "Authorization", "Bearer k4" } }, false, false, 1s + 1us));
    EXPECT_EQ("215", result({}, false, false, 1min));
    EXPECT_EQ("archive", result({ { "Authorization", "Bearer k1" } }, false, false, 1min));
}

TEST_F(WorkspaceKeysTest, CallsThatNeedNoKey_WithAndWithoutOne_BelongToTheWorkspaceOfAKnownKeyOnly)
{
    EXPECT_EQ("", result({}, true));
    EXPECT_EQ("archive", result({ { "Authorization", "Bearer k1" } }, true));
    EXPECT_EQ("", result({ { "Authorization", "Bearer k4" } }, true));
    EXPECT_EQ("", result({ { "Authorization", "Bearer k1" }, { "Authorization", "Bearer k3" } }, true));
    EXPECT_EQ("", result({}, false, true));
    EXPECT_EQ("112", result({ { "Authorization", "Bearer k4" } }, false, true)) << "a backend server gets no key that it could send";
}

TEST_F(WorkspaceKeysTest, Refusal_AnyReason_DoesNotTellTheKey)
{
    const HttpHeaders headers { { "Authorization", "Bearer secret-of-caller" } };
    for (const Duration age : { Duration(0), Duration(1min) })
        EXPECT_EQ(std::string::npos, authenticate(m_table, { headers, false, false, age }).error().detail.find("secret"));
}

TEST_F(WorkspaceKeysTest, ClaimKey_OfTwoWorkspaces_Differs)
{
    const IdempotencyKey key("order-1");
    EXPECT_EQ(key, claimKey({}, key));
    EXPECT_NE(claimKey(WorkspaceName("a"), key), claimKey(WorkspaceName("b"), key));
    EXPECT_EQ(claimKey(WorkspaceName("a"), key), claimKey(WorkspaceName("a"), key));
}

// One workspace's request that crashes backend servers must not hold that of another.
TEST_F(WorkspaceKeysTest, EqualRequests_OfTwoWorkspaces_HaveDifferentDigests)
{
    const HttpRequest request { "POST", "/x", { { "Host", "a.example" } }, "body" };
    const auto digest = [&request](const char* workspace) { return digestOf(ServiceName("dispatch"), request, "Knapweedquay-Caller-Service", WorkspaceName(workspace)); };
    EXPECT_EQ(digest("archive"), digest("archive"));
    EXPECT_NE(digest("archive"), digest("school"));
    EXPECT_NE(digest("archive"), digest(""));
    EXPECT_EQ(digest(""), digestOf(ServiceName("dispatch"), request, "Knapweedquay-Caller-Service"));
}

TEST_F(WorkspaceKeysTest, Lease_ProofsOfDifferentAge_IsHeldForItsShareOfTheRevocationTime)
{
    EXPECT_TRUE(RevocationLease(std::nullopt).isHeld(start));
    RevocationLease lease(5s);
    EXPECT_FALSE(lease.isHeld(start)) << "no proof yet";
    lease.proved(start);
    lease.proved(start - 1s);
    EXPECT_TRUE(lease.isHeld(start + 4s - 1us));
    EXPECT_FALSE(lease.isHeld(start + 4s));
    lease.proved(start + 100ms);
    EXPECT_TRUE(lease.isHeld(start + 4s));
}

TEST_F(WorkspaceKeysTest, Guard_WithoutWorkspaces_AllowsEverything)
{
    KeyGuard guard(5s);
    EXPECT_EQ(KeyVerdict::Allowed, guard.check(std::nullopt, start));
    guard.setRouting(std::make_shared<const RoutingTable>(routingWith(8, {})));
    EXPECT_EQ(KeyVerdict::Allowed, guard.check(std::nullopt, start));
}

TEST_F(WorkspaceKeysTest, Guard_KeyWithdrawnWhileCallWaits_RefusesUnlessItsTableIsOlder)
{
    KeyGuard guard(std::nullopt);
    guard.setRouting(table(6, { "k2" }));
    EXPECT_EQ(KeyVerdict::Allowed, guard.check(m_proof, start)) << "version 7 added the key";
    guard.setRouting(table(7, { "k1", "k2" }));
    EXPECT_EQ(KeyVerdict::Allowed, guard.check(m_proof, start));
    guard.setRouting(table(8, { "k2" }));
    EXPECT_EQ(KeyVerdict::Withdrawn, guard.check(m_proof, start));
    guard.setRouting(std::make_shared<const RoutingTable>(routingWith(9, { workspace("school", { "k1" }) })));
    EXPECT_EQ(KeyVerdict::Withdrawn, guard.check(m_proof, start)) << "another workspace has the key";
    EXPECT_EQ(KeyVerdict::Allowed, guard.check(CallerProof { 7, {}, {} }, start)) << "a call that needed no key";
    EXPECT_EQ(KeyVerdict::NotChecked, guard.check(std::nullopt, start)) << "its node knew of no workspaces";
}

TEST_F(WorkspaceKeysTest, Guard_NodeWakesWithCallsInHand_RefusesThemUntilItsNextProof)
{
    KeyGuard guard(5s);
    guard.setRouting(table(7, { "k1" }));
    EXPECT_EQ(KeyVerdict::LeaseEnded, guard.check(m_proof, start));
    guard.proved(start);
    EXPECT_EQ(KeyVerdict::Allowed, guard.check(m_proof, start + 1s));
    EXPECT_EQ(KeyVerdict::LeaseEnded, guard.check(m_proof, start + 1min));
    EXPECT_EQ(KeyVerdict::Allowed, guard.check(CallerProof { 7, {}, {} }, start + 1min)) << "calls without a key need no lease";
    guard.proved(start + 1min);
    EXPECT_EQ(KeyVerdict::Allowed, guard.check(m_proof, start + 1min));
}
