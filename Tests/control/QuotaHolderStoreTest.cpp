#include "control/QuotaHolderStore.h"

#include "control/RoutingStore.h"
#include "coordination/quotas/QuotaPlan.h"
#include "state/FakeFileSystem.h"
#include "state/RoutingParser.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <set>
#include <utility>

using namespace Knapweedquay;
using namespace std::chrono_literals;

namespace {

/// Parses a routing document, to which a workspace belongs that has a quota from the second version on.
Result<RoutingDocument> parseWithWorkspace(std::string_view text)
{
    auto routing = parseRoutingToml(text);
    if (routing.has_value()) {
        const WorkspaceQuota quota { routing.value().version > 1 ? 10.0 : 0, 10 };
        routing.value().workspaces.push_back({ WorkspaceName("harbour"), {}, std::nullopt, quota });
    }
    return routing;
}

std::string routingText(std::uint64_t version)
{
    return "version = " + std::to_string(version) + "\n[[services]]\nname = \"s\"\n[[routes]]\nhost = \"h\"\npath = \"/a/\"\n[[routes.targets]]\nservice = \"s\"\n";
}

MemberRecord node(const char* name, const char* dataCentre)
{
    MemberRecord member;
    member.node = NodeId(name);
    member.version = { Incarnation(1), 1 };
    member.dataCentre = DataCentre(dataCentre);
    member.endpoint.service = ServiceName("s");
    member.endpoint.lifecycle = EndpointLifecycle::Ready;
    return member;
}

} // namespace

/// A single replica that leads its store, with a simulated clock.
class QuotaHolderStoreTest : public testing::Test {
protected:
    void SetUp() override
    {
        ControlServiceSettings settings;
        settings.folder = "data";
        settings.address = "replica";
        settings.bootstrap = true;
        settings.newReplica = ReplicaId(1);
        settings.newCluster = ClusterId(1);
        m_service = std::move(ControlService::open(settings, m_files, {}, m_now).value());
        const auto flush = [this] { m_service->flush(m_now); };
        m_routing = std::make_unique<RoutingStore>(*m_service, parseWithWorkspace, RoutingStore::Hooks { [this] { return m_now; }, flush, {} });
        m_holders = std::make_unique<QuotaHolderStore>(*m_service, parseWithWorkspace, m_bound, QuotaHolderStore::Hooks { [this] { return m_members; }, flush });
        for (const auto& [name, dataCentre] : { std::pair("a", "x"), std::pair("b", "x"), std::pair("c", "y"), std::pair("d", "z") })
            m_members.push_back(node(name, dataCentre));
    }

    void run(Duration time)
    {
        for (Duration step { 0 }; step < time; step += 20ms) {
            m_now += 20ms;
            m_service->tick(m_now);
            m_service->flush(m_now);
            m_holders->tick(m_now);
        }
    }

    void change(std::uint64_t version)
    {
        m_routing->change({ routingText(version), version - 1, "tester" }, [](const Result<std::uint64_t>& result) { EXPECT_TRUE(result.has_value()); });
        run(20ms);
    }

    /// The committed document; one without holders if there is none.
    QuotaHolderDocument holders() const
    {
        const StoredDocument* stored = m_service->state().documents().find(quotaHolderDocumentName());
        return stored ? parseQuotaHolders(stored->text).value() : QuotaHolderDocument();
    }

    bool isHolder(const NodeId& name) const
    {
        const QuotaHolderDocument document = holders();
        return std::any_of(document.slices.begin(), document.slices.end(), [&name](const auto& slice) { return slice.holder == name; });
    }

    const QuotaBound m_bound { 5s, 0.1, 20 };
    FakeFileSystem m_files;
    TimePoint m_now { 100s };
    std::unique_ptr<ControlService> m_service;
    std::unique_ptr<RoutingStore> m_routing;
    std::unique_ptr<QuotaHolderStore> m_holders;
    std::vector<MemberRecord> m_members;
};

TEST_F(QuotaHolderStoreTest, NoQuotas_NamesNoHolders)
{
    run(2s);
    change(1);
    run(5s);
    EXPECT_EQ(m_service->state().documents().find(quotaHolderDocumentName()), nullptr);
}

TEST_F(QuotaHolderStoreTest, Quotas_NamesAHolderInEachDataCentre)
{
    run(2s);
    change(1);
    change(2);
    run(2s);
    const QuotaHolderDocument document = holders();
    for (std::size_t first = 0; first < quotaSlices; first += slicesPerQuota) {
        std::set<DataCentre> dataCentres;
        for (const MemberRecord& member : m_members) {
            const auto begin = document.slices.begin() + static_cast<std::ptrdiff_t>(first);
            if (std::any_of(begin, begin + slicesPerQuota, [&member](const auto& slice) { return slice.holder == member.node; }))
                dataCentres.insert(member.dataCentre);
        }
        EXPECT_EQ(dataCentres.size(), slicesPerQuota) << first;
    }
}

TEST_F(QuotaHolderStoreTest, HolderDies_SliceStaysEmptyUntilItsCreditHasExpired)
{
    run(2s);
    change(1);
    change(2);
    run(2s);
    const NodeId lost("d");
    ASSERT_TRUE(isHolder(lost));
    m_members.back().health = MemberHealth::Dead;
    TimePoint takenAway;
    while (isHolder(lost))
        run(20ms);
    EXPECT_FALSE(isHolder(lost));
    takenAway = m_now;
    run(holderLease + creditLifetime(m_bound));
    EXPECT_TRUE(isHolder(NodeId()));
    run(500ms);
    EXPECT_FALSE(isHolder(NodeId()));
    EXPECT_FALSE(isHolder(lost));
}

TEST_F(QuotaHolderStoreTest, HolderRestarts_KeepsItsSlice)
{
    run(2s);
    change(1);
    change(2);
    run(2s);
    const QuotaHolderDocument before = holders();
    m_members.back().health = MemberHealth::Dead;
    run(700ms);
    m_members.back() = node("d", "z");
    m_members.back().version.incarnation = Incarnation(2);
    run(10s);
    EXPECT_EQ(holders(), before);
}

// After a restart of the control store all holders lost their slices, before their nodes were heard of again.
TEST_F(QuotaHolderStoreTest, LeaderKnowsNoMembersYet_TakesNoSliceAway)
{
    run(2s);
    change(1);
    change(2);
    run(2s);
    const QuotaHolderDocument before = holders();
    const std::vector<MemberRecord> all = std::exchange(m_members, {});
    run(4s);
    EXPECT_EQ(holders(), before);
    m_members = all;
    run(10s);
    EXPECT_EQ(holders(), before);
}

TEST_F(QuotaHolderStoreTest, MostHoldersSuspectedForAMoment_TakesNoSliceAway)
{
    run(2s);
    change(1);
    change(2);
    run(2s);
    const QuotaHolderDocument before = holders();
    for (MemberRecord& member : m_members)
        member.health = MemberHealth::Suspect;
    run(4s);
    for (MemberRecord& member : m_members)
        member.health = MemberHealth::Alive;
    run(10s);
    EXPECT_EQ(holders(), before);
}

TEST_F(QuotaHolderStoreTest, OneNodeAtFirst_SlicesMoveToNodesThatJoin)
{
    const std::vector<MemberRecord> all = m_members;
    m_members.resize(1);
    run(2s);
    change(1);
    change(2);
    run(2s);
    EXPECT_EQ(holders().slice(QuotaSlice(2)).holder, NodeId("a"));
    m_members = all;
    run(2 * quotaSlices * sliceVacancy(m_bound));
    const QuotaHolderDocument moved = holders();
    for (const MemberRecord& member : m_members)
        EXPECT_TRUE(isHolder(member.node)) << member.node;
    // It comes to rest.
    run(10 * sliceVacancy(m_bound));
    EXPECT_EQ(holders(), moved);
}
