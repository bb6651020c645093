#pragma once

#include "Load/Deployment.h"
#include "processes/Caller.h"

#include <gtest/gtest.h>

namespace Knapweedquay::Load {

/// Gives each test its own deployment: control replicas, and the nodes "a", "b" and "c" in three data centres, each
/// with a test backend server.
class ProcessTest : public ::testing::Test {
protected:
    ProcessTest();
    ~ProcessTest() override;

    void SetUp() override;
    /// Starts all processes and waits until every node is ready. Each test calls it first.
    void start(std::size_t controls = 1);
    /// Raises the limit of bodies to 64 MiB, once the processes have started.
    void allowLargeBodies();
    /// The nodes that start() starts; a test may modify them before.
    std::vector<NodePlan> plans;

    /// Address of a node for calls, "IP:port".
    std::string callAddress(const std::string& node) const { return m_deployment->addresses(node).calls; }
    /// Sends a number of calls through a node, with a few milliseconds between them.
    void sendMany(std::size_t count, const std::string& node, const std::string& method, const std::string& path, std::chrono::milliseconds deadline);
    /// Number of times that the backend servers together started to execute a call.
    std::uint64_t executionCount(const std::string& id) const;
    /// Number of calls that the backend server of a node has executed.
    std::uint64_t executedBy(const std::string& node);
    /// Most memory that the process of a node has used, in MiB; 0 if that is not known.
    std::size_t peakMemory(const std::string& node);
    /// Expects what holds after any failure: no POST was executed twice, no call that was reported as not run was
    /// executed, and each answer belongs to its call.
    void expectGuaranteesHold() const;

    std::unique_ptr<Deployment> m_deployment;
    Caller m_caller;

private:
    std::string m_folder;
};

} // namespace Knapweedquay::Load
