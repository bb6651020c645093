#include "processes/ProcessFixture.h"

#include "Load/Waiting.h"

#include <csignal>

namespace Knapweedquay::Load {

namespace {

using namespace std::chrono_literals;

/// The whole path, and starts, drains and ends without a failure.
class LifecycleTest : public ProcessTest {
protected:
    void expectAllAnswered() const
    {
        for (const TestCallPointer& call : m_caller.calls())
            EXPECT_TRUE(call->isAnsweredRightly()) << call->id << " failure " << static_cast<int>(call->failure) << " status " << call->answer.status << " " << call->answer.body;
    }
};

} // namespace

TEST_F(LifecycleTest, Calls_OfEveryPriorityThroughEveryNode_AreAnswered)
{
    start(3);
    for (const std::string& node : m_deployment->nodeNames()) {
        sendMany(5, node, "POST", "/bookings", 2s);
        sendMany(5, node, "GET", "/stock", 2s);
        sendMany(5, node, "GET", "/catalogue", 2s);
    }
    ASSERT_TRUE(m_caller.finish(6s));
    expectAllAnswered();
    for (const TestCallPointer& call : m_caller.calls())
        EXPECT_GE(runsOf(call->id), 1u);
    expectPromisesKept();
}

TEST_F(LifecycleTest, BackendServer_Terminated_CutsNoCallInFlight)
{
    start();
    // Few enough for the slots and queues that are left, so that no call is refused for overload.
    sendMany(24, "a", "POST", "/bookings/slow", 3s);
    m_deployment->backend("b").signal(SIGTERM);
    sendMany(16, "a", "POST", "/bookings/slow", 3s);
    ASSERT_TRUE(m_caller.finish(8s));
    expectAllAnswered();
    expectPromisesKept();
    EXPECT_TRUE(waitUntil([&] { return !m_deployment->backend("b").isRunning(); }, 5s));
    EXPECT_EQ(m_deployment->backend("b").exitCode(), 0);
}

TEST_F(LifecycleTest, Node_Terminated_CutsNoCallInFlight)
{
    start();
    sendMany(12, "b", "POST", "/bookings/slow", 3s);
    sendMany(12, "a", "POST", "/bookings/slow", 3s);
    m_deployment->node("b").signal(SIGTERM);
    sendMany(16, "a", "POST", "/bookings/slow", 3s);
    ASSERT_TRUE(m_caller.finish(8s));
    expectAllAnswered();
    expectPromisesKept();
    EXPECT_TRUE(waitUntil([&] { return !m_deployment->node("b").isRunning(); }, 8s));
    EXPECT_EQ(m_deployment->node("b").exitCode(), 0);
}

TEST_F(LifecycleTest, BackendServer_ThatLeaves_GetsNoNewWorkAfterThreeSeconds)
{
    start();
    sendMany(30, "a", "GET", "/stock", 2s);
    ASSERT_GT(executedBy("b"), 0u);
    const HttpMessage left = exchangeOnce(m_deployment->addresses("b").admin, plainRequest("POST", "/leave", R"({"service":"dispatch"})"), 2s);
    ASSERT_LT(left.status, 300u);
    const auto leftAt = std::chrono::steady_clock::now();
    while (std::chrono::steady_clock::now() < leftAt + 3s)
        sendMany(10, "a", "GET", "/stock", 2s);
    const std::uint64_t before = executedBy("b");
    for (int round = 0; round < 10; ++round) {
        sendMany(10, "a", "GET", "/stock", 2s);
        sendMany(10, "c", "GET", "/stock", 2s);
    }
    EXPECT_EQ(executedBy("b"), before);
    ASSERT_TRUE(m_caller.finish(6s));
    expectAllAnswered();
}

TEST_F(LifecycleTest, LastBackendServer_ThatLeaves_GivesClearRefusals)
{
    plans.resize(1);
    start();
    exchangeOnce(m_deployment->addresses("a").admin, plainRequest("POST", "/leave", R"({"service":"dispatch"})"), 2s);
    const auto call = m_caller.send(calls("a"), "POST", "/bookings", 2s);
    ASSERT_TRUE(m_caller.finish(6s));
    EXPECT_TRUE(call->isToldNotRun()) << call->answer.status << call->answer.body;
    EXPECT_TRUE(call->code() == 202 || call->code() == 203) << call->answer.body;
    expectPromisesKept();
}

TEST_F(LifecycleTest, Caller_ThatGoesAway_CancelsItsCallAtTheBackendServer)
{
    plans.resize(1);
    start();
    m_caller.answerPatience = 300ms - 5s;
    m_caller.send(calls("a"), "GET", "/catalogue/slow", 5s);
    ASSERT_TRUE(m_caller.finish(3s));
    EXPECT_EQ(m_caller.calls().front()->failure, ExchangeFailure::TimedOut);
    EXPECT_TRUE(waitUntil([&] { return m_deployment->backendStats("a").value("cancelled", 0) == 1; }, 1s));
}

TEST_F(LifecycleTest, Calls_BeyondTheSlots_AreRefusedWithRetryAfterWhenTheDeadlineCannotBeMet)
{
    plans.resize(1);
    start();
    // 12 slots of 300 ms take 40 calls a second; 200 at once can't all be done in one second.
    sendMany(200, "a", "POST", "/bookings/slow", 1s);
    ASSERT_TRUE(m_caller.finish(8s));
    expectPromisesKept();
    std::size_t refused = 0;
    for (const TestCallPointer& call : m_caller.calls()) {
        if (!call->isToldNotRun())
            continue;
        ++refused;
        EXPECT_FALSE(call->answer.header("retry-after").empty()) << call->answer.body;
    }
    EXPECT_GT(refused, 0u);
}

} // namespace Knapweedquay::Load
