#include "control/RoutingStore.h"

#include "state/FakeFileSystem.h"
#include "state/RoutingParser.h"

#include <gtest/gtest.h>

#include <optional>

using namespace Knapweedquay;
using namespace std::chrono_literals;

namespace {

std::string routingText(std::uint64_t version, const std::string& prefix = "/a/")
{
    return "version = " + std::to_string(version) + "\n[[services]]\nname = \"s\"\n[[routes]]\nhost = \"h\"\npath = \"" + prefix + "\"\n[[routes.targets]]\nservice = \"s\"\n";
}

/// A single replica that leads its store, with a simulated clock. Edits are flushed immediately.
class RoutingStoreTest : public ::testing::Test {
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
        m_store = std::make_unique<RoutingStore>(*m_service, parseRoutingToml, RoutingStore::Hooks { [this] { return m_now; }, [this] { m_service->flush(m_now); } });
        becomeLeader();
    }

    void becomeLeader()
    {
        for (int step = 0; step < 1000 && !m_service->log()->canAccept(m_now); ++step) {
            m_now += 20ms;
            m_service->tick(m_now);
            m_service->flush(m_now);
        }
    }

    ResultCode change(const std::string& text, std::uint64_t base)
    {
        std::optional<ResultCode> code;
        becomeLeader();
        m_store->change({ text, base, "tester" }, [&code](const Result<std::uint64_t>& result) {
            code = result.has_error() ? result.error().code : ResultCode::Ok;
        });
        return code.value_or(ResultCode::TimedOut);
    }

    FakeFileSystem m_files;
    TimePoint m_now { 100s };
    std::unique_ptr<ControlService> m_service;
    std::unique_ptr<RoutingStore> m_store;
};

} // namespace

TEST_F(RoutingStoreTest, ChangeOnCurrentVersion_Sent_IsAccepted)
{
    EXPECT_EQ(ResultCode::Ok, change(routingText(3), 0));
    EXPECT_EQ(ResultCode::Ok, change(routingText(7), 3));
    EXPECT_EQ(DocumentVersion(2), m_service->state().documents().find(routingDocumentName())->version);
}

TEST_F(RoutingStoreTest, AcceptedChange_Resent_IsAcceptedAgainAlsoAfterLaterChanges)
{
    ASSERT_EQ(ResultCode::Ok, change(routingText(3), 0));
    EXPECT_EQ(ResultCode::Ok, change(routingText(3), 0));
    ASSERT_EQ(ResultCode::Ok, change(routingText(4), 3));
    EXPECT_EQ(ResultCode::Ok, change(routingText(3), 0));
    EXPECT_EQ(routingText(4), m_service->state().documents().find(routingDocumentName())->text);
}

TEST_F(RoutingStoreTest, TwoChanges_WithTheSameBaseVersion_OnlyFirstIsAccepted)
{
    ASSERT_EQ(ResultCode::Ok, change(routingText(3), 0));
    EXPECT_EQ(ResultCode::Ok, change(routingText(5, "/one/"), 3));
    EXPECT_EQ(ResultCode::VersionConflict, change(routingText(5, "/two/"), 3));
    EXPECT_EQ(ResultCode::VersionConflict, change(routingText(6, "/two/"), 3));
    EXPECT_EQ(routingText(5, "/one/"), m_service->state().documents().find(routingDocumentName())->text);
}

TEST_F(RoutingStoreTest, InvalidChanges_Sent_ChangeNothing)
{
    ASSERT_EQ(ResultCode::Ok, change(routingText(3), 0));
    EXPECT_EQ(ResultCode::InvalidDocument, change(routingText(3, "/b/"), 3));
    EXPECT_EQ(ResultCode::InvalidDocument, change(routingText(2), 3));
    EXPECT_EQ(ResultCode::InvalidDocument, change("version = 9", 3));
    EXPECT_EQ(ResultCode::VersionConflict, change(routingText(9), 2));
    EXPECT_EQ(routingText(3), m_service->state().documents().find(routingDocumentName())->text);
}

TEST_F(RoutingStoreTest, Read_NoProofInTime_IsRefused)
{
    ASSERT_EQ(ResultCode::Ok, change(routingText(3), 0));
    std::optional<ResultCode> code;
    m_now += 1ms;
    m_store->read([&code](const Result<std::string>& text) { code = text.has_error() ? text.error().code : ResultCode::Ok; });
    // The last quorum round started before the read arrived.
    m_store->tick(m_now);
    EXPECT_FALSE(code);
    m_now += 1s;
    m_store->tick(m_now);
    EXPECT_EQ(ResultCode::NoQuorum, code);
}

TEST_F(RoutingStoreTest, Read_QuorumRoundStartedAfterIt_ReturnsNewestText)
{
    ASSERT_EQ(ResultCode::Ok, change(routingText(3), 0));
    std::string read;
    m_store->read([&read](const Result<std::string>& text) { read = text.value(); });
    for (int step = 0; step < 10; ++step) {
        m_now += 20ms;
        m_service->tick(m_now);
        m_service->flush(m_now);
        m_store->tick(m_now);
    }
    EXPECT_EQ(routingText(3), read);
}
