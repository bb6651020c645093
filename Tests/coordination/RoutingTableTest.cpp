#include "coordination/routing/CallerDeadlines.h"
#include "coordination/routing/RoutingTable.h"
#include "coordination/routing/WeightedChoice.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cmath>
#include <map>

using namespace Knapweedquay;

namespace {

RoutingRule rule(const std::string& host, const std::string& prefix, std::uint32_t rank = 0, std::vector<RouteTarget> targets = { { ServiceName("a"), 1 } })
{
    RoutingRule result;
    result.host = host;
    result.pathPrefix = prefix;
    result.rank = Rank(rank);
    result.targets = std::move(targets);
    return result;
}

RoutingDocument document(std::vector<RoutingRule> rules)
{
    RoutingDocument result;
    result.version = 1;
    result.services = { { ServiceName("a"), 0, {}, Duration(0), {} }, { ServiceName("b"), 0, {}, Duration(0), {} } };
    result.rules = std::move(rules);
    return result;
}

class RoutingTableTest : public ::testing::Test {
protected:
    std::string find(std::string_view host, std::string_view target) const
    {
        const RoutingTable::Entry* entry = m_table.find(host, target);
        return entry ? entry->rule.pathPrefix : "none";
    }

    RoutingTable m_table { document({ rule("one.example", "/x/"), rule("one.example", "/x/y/", 4), rule("two.example", "/", 2) }) };
};

} // namespace

TEST_F(RoutingTableTest, Target_MatchingSeveralPrefixes_FindsLongest)
{
    EXPECT_EQ("/x/", find("one.example", "/x/z"));
    EXPECT_EQ("/x/y/", find("one.example", "/x/y/z/w?q=/x/"));
    EXPECT_EQ("/x/", find("one.example", "/x/y"));
    EXPECT_EQ("none", find("one.example", "/x"));
    EXPECT_EQ("none", find("one.example", "/other/x/"));
    EXPECT_EQ("/", find("two.example", "/anything"));
}

TEST_F(RoutingTableTest, Host_WithPortAndCapitals_IsFound)
{
    EXPECT_EQ("/x/", find("ONE.example:8080", "/x/"));
    EXPECT_EQ("none", find("three.example", "/x/"));
}

TEST_F(RoutingTableTest, Ranks_OfAllRoutes_BecomePriorities)
{
    EXPECT_EQ(PriorityIndex(0), m_table.find("one.example", "/x/")->priority);
    EXPECT_EQ(PriorityIndex(1), m_table.find("two.example", "/")->priority);
    EXPECT_EQ(PriorityIndex(2), m_table.find("one.example", "/x/y/")->priority);
    EXPECT_EQ(PriorityIndex(2), priorityOfRank(m_table.document(), ranksOf(m_table.document()), Rank(4)));
}

// Addresses of IPv6 were one host, "[".
TEST_F(RoutingTableTest, Host_WithIPv6Address_IsFoundByItsAddress)
{
    const RoutingTable table(document({ rule("[::1]", "/one/"), rule("[::2]:8141", "/two/") }));
    EXPECT_NE(nullptr, table.find("[::1]:8141", "/one/"));
    EXPECT_NE(nullptr, table.find("[::2]", "/two/"));
    EXPECT_EQ(nullptr, table.find("[::2]", "/one/"));
}

// Hosts had one reading where routes were checked and another where they were applied, so that a route took the place of another.
RC_GTEST_PROP(RoutingTableProperty, AcceptedRoutes_WithAnyHosts_AreEachFoundAsThemselves, ())
{
    const std::vector<std::string> hosts { "f.example", "F.example", "f.Example:8141", "f.example:1", "g.example", "[::1]", "[::1]:1", "[::A]", "[::a]", "[", "[:1", "::1" };
    std::vector<RoutingRule> rules;
    for (int count = *rc::gen::inRange(1, 6); count > 0; --count) {
        RoutingRule route = rule(*rc::gen::elementOf(hosts), *rc::gen::elementOf(std::vector<std::string> { "/", "/x/", "/X/" }));
        route.name = std::to_string(count);
        rules.push_back(route);
    }
    const RoutingDocument routing = document(rules);
    const RoutingTable table(routing);
    const bool areAllFound = std::all_of(rules.begin(), rules.end(), [&table](const RoutingRule& route) { return table.find(route.host, route.pathPrefix)->rule.name == route.name; });
    const bool haveAllHosts = std::none_of(rules.begin(), rules.end(), [](const RoutingRule& route) { return normalizedHost(route.host).empty(); });
    RC_ASSERT(checkHosts(routing).has_value() == (areAllFound && haveAllHosts));
}

// Compares the lookup with a linear search over all routes.
RC_GTEST_PROP(RoutingTableProperty, AnyPaths_Found_AsByLinearSearch, ())
{
    const auto segment = [] { return std::string(1, *rc::gen::elementOf(std::string("abc"))); };
    const auto path = [&](int segments) {
        std::string text = "/";
        for (int index = 0; index < segments; ++index)
            text += segment() + "/";
        return text;
    };
    std::map<std::string, RoutingRule> rules;
    for (int count = *rc::gen::inRange(0, 12); count > 0; --count) {
        const std::string prefix = path(*rc::gen::inRange(0, 4));
        rules.emplace(prefix, rule("h", prefix));
    }
    std::vector<RoutingRule> list;
    list.reserve(rules.size());
    for (const auto& entry : rules)
        list.push_back(entry.second);
    const RoutingTable table(document(list));
    const std::string target = path(*rc::gen::inRange(0, 5)) + segment();
    std::string expected;
    for (const RoutingRule& candidate : list) {
        if (target.compare(0, candidate.pathPrefix.size(), candidate.pathPrefix) == 0 && candidate.pathPrefix.size() > expected.size())
            expected = candidate.pathPrefix;
    }
    const RoutingTable::Entry* found = table.find("h", target);
    RC_ASSERT((found ? found->rule.pathPrefix : std::string()) == expected);
}

RC_GTEST_PROP(WeightedChoiceProperty, FewHundredCalls_Distributed_MatchWeights, ())
{
    const std::uint32_t weight = *rc::gen::inRange(1, 100);
    WeightedChoice choice(*rc::gen::inRange(0, 1000) / 1000.0);
    const RoutingRule split = rule("h", "/", 0, { { ServiceName("a"), weight }, { ServiceName("b"), 100 - weight } });
    constexpr int calls = 200;
    int first = 0;
    for (int call = 0; call < calls; ++call)
        first += choice.choose(split) == ServiceName("a");
    RC_ASSERT(std::abs(first / static_cast<double>(calls) - weight / 100.0) < 0.02);
}

TEST(WeightedChoiceTest, ServiceWithoutWeight_AnyCall_IsNeverChosen)
{
    WeightedChoice choice(0.3);
    const RoutingRule split = rule("h", "/", 0, { { ServiceName("a"), 0 }, { ServiceName("b"), 5 } });
    for (int call = 0; call < 100; ++call)
        EXPECT_EQ(ServiceName("b"), choice.choose(split));
}

TEST(CallerDeadlinesTest, Caller_RetriesWithRemainingDeadline_CountsElapsedTime)
{
    using namespace std::chrono_literals;
    CallerDeadlines deadlines;
    const RoutingRule route = rule("h", "/");
    const TimePoint now(100s);
    EXPECT_EQ(Duration(0), deadlines.elapsed(route, 2000ms, now));
    EXPECT_EQ(Duration(600ms), deadlines.elapsed(route, 1400ms, now + 1s));
    EXPECT_EQ(Duration(0), deadlines.elapsed(route, 1990ms, now + 1s));
    EXPECT_EQ(Duration(0), deadlines.elapsed(route, std::nullopt, now + 1s));
    // A shorter initial deadline is adopted once the longer one has not been received for the retention time.
    EXPECT_EQ(Duration(0), deadlines.elapsed(route, 1400ms, now + 20s));
    EXPECT_EQ(Duration(0), deadlines.elapsed(route, 1400ms, now + 21s));
}
