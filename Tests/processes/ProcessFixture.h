#pragma once

#include "Load/Deployment.h"
#include "processes/Caller.h"

#include <gtest/gtest.h>

namespace Knapweedquay::Load {

/// A deployment of its own for each test: control replicas, and nodes "a", "b" and "c" with stand-ins in three data centres.
class ProcessTest : public ::testing::Test {
protected:
    ProcessTest();
    ~ProcessTest() override;

    void SetUp() override;
    /// Starts everything and waits until every node serves; call it first in each test.
    void start(std::size_t controls = 1);
    /// Changes what the nodes are started with.
    std::vector<NodePlan> plans;

    std::string calls(const std::string& node) const { return m_deployment->addresses(node).calls; }
    /// Sends a number of calls through a node, some milliseconds apart.
    void sendMany(std::size_t count, const std::string& node, const std::string& method, const std::string& path, std::chrono::milliseconds deadline);
    /// Times that a call was begun by any stand-in.
    std::uint64_t runsOf(const std::string& id) const;
    std::uint64_t executedBy(const std::string& node);
    /// The promises that hold whatever happened: no double run, no false "not run", no wrong answer.
    void expectPromisesKept() const;

    std::unique_ptr<Deployment> m_deployment;
    Caller m_caller;

private:
    std::string m_folder;
};

} // namespace Knapweedquay::Load
