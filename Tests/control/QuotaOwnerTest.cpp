#include "control/QuotaOwner.h"

#include "control/RoutingStore.h"
#include "state/FakeFileSystem.h"
#include "state/RoutingParser.h"

#include <gtest/gtest.h>

#include <memory>

using namespace Knapweedquay;
using namespace std::chrono_literals;

namespace {

/// Parses a routing document, to which a workspace belongs whose rate and burst are ten times the version.
Result<RoutingDocument> parseWithWorkspace(std::string_view text)
{
    auto routing = parseRoutingToml(text);
    if (routing.has_value()) {
        constexpr double ratePerVersion = 10;
        const double rate = ratePerVersion * static_cast<double>(routing.value().version);
        const WorkspaceQuota quota { rate, rate };
        routing.value().workspaces.push_back({ WorkspaceName("harbour"), {}, std::nullopt, quota });
    }
    return routing;
}

std::string routingText(std::uint64_t version)
{
    return "version = " + std::to_string(version) + "\n[[services]]\nname = \"s\"\n[[routes]]\nhost = \"h\"\npath = \"/a/\"\n[[routes.targets]]\nservice = \"s\"\n";
}

} // namespace

/// A single replica that leads its store, with a simulated clock.
class QuotaOwnerTest : public testing::Test {
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
        m_store = std::make_unique<RoutingStore>(*m_service, parseWithWorkspace, RoutingStore::Hooks { [this] { return m_now; }, [this] { m_service->flush(m_now); }, {} });
        m_owner = std::make_unique<QuotaOwner>(*m_service, parseWithWorkspace, QuotaBound { 5s, 0.1, 20 });
    }

    void run(Duration time)
    {
        for (Duration step { 0 }; step < time; step += 20ms) {
            m_now += 20ms;
            m_service->tick(m_now);
            m_service->flush(m_now);
            m_owner->tick(m_now);
        }
    }

    void change(std::uint64_t version)
    {
        m_store->change({ routingText(version), version - 1, "tester" }, [](const Result<std::uint64_t>& result) { EXPECT_TRUE(result.has_value()); });
        run(20ms);
    }

    /// Credit granted to a node that asks for this much; -1 without an answer.
    int granted(std::uint64_t wanted)
    {
        QuotaRequestMessage request;
        request.node = NodeId("a");
        request.clock = ++m_clock;
        QuotaNeed need;
        need.workspace = WorkspaceName("harbour");
        need.wanted = wanted;
        request.needs.push_back(need);
        const auto answer = m_owner->answer(request, m_now);
        return answer ? static_cast<int>(answer->grants.at(0).credit) : -1;
    }

    FakeFileSystem m_files;
    TimePoint m_now { 100s };
    std::unique_ptr<ControlService> m_service;
    std::unique_ptr<RoutingStore> m_store;
    std::unique_ptr<QuotaOwner> m_owner;
    std::uint64_t m_clock = 0;
};

TEST_F(QuotaOwnerTest, LeadsWithoutDocument_DoesNotAnswer)
{
    EXPECT_EQ(granted(1), -1);
    run(2s);
    EXPECT_EQ(granted(1), -1);
}

TEST_F(QuotaOwnerTest, Leads_GrantsByTheQuotaInForce)
{
    run(2s);
    change(1);
    run(5s);
    const int small = granted(1000);
    EXPECT_GT(small, 5);
    run(2s);
    change(2);
    run(5s);
    EXPECT_GT(granted(1000), small);
}

TEST_F(QuotaOwnerTest, WakesAfterItsLease_GrantsNothingUntilItLeadsAgain)
{
    run(2s);
    change(1);
    run(5s);
    m_now += 1s;
    EXPECT_EQ(granted(1), -1);
    run(2s);
    EXPECT_EQ(granted(1), 1);
}
