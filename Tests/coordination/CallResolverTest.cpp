#include "coordination/routing/CallResolver.h"
#include "state/RoutingParser.h"

#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

using namespace Knapweedquay;
using namespace std::chrono_literals;

namespace {

constexpr Duration recent = 100ms;
constexpr Duration old = 2s;

/// Targets of the product's own interface, in all forms that it reads, and some beside it.
std::vector<std::string> ownTargets()
{
    const std::string prefix(callTargetPrefix);
    return { prefix + "dispatch/x", prefix + "dispatch", prefix + "dispatch?u=/u/", prefix + "dispatch/u/", prefix + "inventory/x", prefix + "nowhere/x", prefix + "/x", prefix, "/call" };
}

std::shared_ptr<const RoutingTable> routes(int version, const std::vector<std::string>& prefixes)
{
    std::string text = "version = " + std::to_string(version) + "\n[[services]]\nname = \"dispatch\"\n[[services]]\nname = \"inventory\"\n";
    for (const std::string& prefix : prefixes)
        text += "[[routes]]\nhost = \"a.example\"\npath = \"" + prefix + "\"\n[[routes.targets]]\nservice = \"inventory\"\n";
    return std::make_shared<const RoutingTable>(parseRoutingToml(text).value());
}

class CallResolverTest : public ::testing::Test {
protected:
    static Result<ResolvedCall> resolve(CallResolver& resolver, const std::string& target, Duration proofAge = recent, const std::string& host = "a.example")
    {
        HttpRequest request;
        request.method = "POST";
        request.target = target;
        request.headers = { { "Host", host } };
        return resolver.resolve(request, proofAge);
    }

    /// Expects that none of the own targets leads anywhere, whatever their host.
    void expectNoService(ResultCode code, Duration proofAge = recent)
    {
        for (const std::string& target : ownTargets()) {
            for (const char* host : { "a.example", "other.example", "127.0.0.1:8141", "" }) {
                const auto call = resolve(m_routesOnly, target, proofAge, host);
                ASSERT_TRUE(call.has_error()) << host << target;
                EXPECT_EQ(code, call.error().code) << host << target;
            }
        }
    }

    CallResolver m_routesOnly { CallInterface::RoutesOnly, 0 };
    CallResolver m_both { CallInterface::RoutesAndTargets, 0 };
};

} // namespace

// Requests whose target named a service ran there in every state of the routes.
TEST_F(CallResolverTest, OwnTargets_WhereRoutesDecide_LeadNowhereInAnyState)
{
    expectNoService(ResultCode::StaleConfiguration);
    m_routesOnly.setRouting(routes(1, {}));
    expectNoService(ResultCode::UnknownRoute);
    m_routesOnly.setRouting(routes(2, { "/u/", "/call/dispatch/" }));
    m_routesOnly.setRouting(routes(3, { "/u/" }));
    expectNoService(ResultCode::UnknownRoute);
}

TEST_F(CallResolverTest, UnknownRoute_WithoutRecentProof_MayExist)
{
    m_routesOnly.setRouting(routes(1, { "/u/" }));
    expectNoService(ResultCode::StaleConfiguration, old);
    EXPECT_EQ(ResultCode::StaleConfiguration, resolve(m_routesOnly, "/v/", old).error().code);
    EXPECT_TRUE(resolve(m_routesOnly, "/u/x", old).has_value());
}

TEST_F(CallResolverTest, RouteWithAnOwnPrefix_WhileInForce_DecidesServiceAndKeepsTarget)
{
    for (CallResolver* resolver : { &m_routesOnly, &m_both }) {
        resolver->setRouting(routes(1, { "/call/dispatch/" }));
        const auto call = resolve(*resolver, "/call/dispatch/x?y");
        ASSERT_TRUE(call.has_value());
        EXPECT_EQ(ServiceName("inventory"), call.value().service);
        EXPECT_EQ("/call/dispatch/x?y", call.value().target);
        EXPECT_NE(nullptr, call.value().route);
    }
}

TEST_F(CallResolverTest, OwnTargets_WhereTheyAreOffered_NameTheirService)
{
    for (const bool hasRoutes : { false, true }) {
        if (hasRoutes)
            m_both.setRouting(routes(1, { "/u/" }));
        for (const auto& [target, forwarded] : { std::pair<const char*, const char*> { "/call/dispatch/x?y", "/x?y" }, { "/call/dispatch", "/" }, { "/call/dispatch?y", "/?y" } }) {
            const auto call = resolve(m_both, target);
            ASSERT_TRUE(call.has_value()) << target;
            EXPECT_EQ(ServiceName("dispatch"), call.value().service);
            EXPECT_EQ(forwarded, call.value().target);
            EXPECT_EQ(nullptr, call.value().route);
        }
        EXPECT_EQ(ResultCode::UnknownResource, resolve(m_both, "/call//x").error().code);
        EXPECT_EQ(hasRoutes ? ResultCode::UnknownRoute : ResultCode::UnknownResource, resolve(m_both, "/v/").error().code);
    }
}
