#include "processes/ProcessFixture.h"

#include "Load/Waiting.h"

#include <csignal>
#include <fstream>
#include <iterator>
#include <string>

namespace Knapweedquay::Load {

namespace {

using namespace std::chrono_literals;

/// Sends calls through a healthy deployment, also while processes drain and stop in an orderly way.
class LifecycleTest : public ProcessTest {
protected:
    /// Sends calls through each node for the given time.
    void sendThroughEachNode(std::chrono::milliseconds time)
    {
        const auto end = std::chrono::steady_clock::now() + time;
        while (std::chrono::steady_clock::now() < end) {
            for (const std::string& node : m_deployment->nodeNames())
                sendMany(4, node, "GET", "/stock", 2s);
        }
    }

    /// Expects that calls through each node reach the backend server of `node` once all other backend servers have left.
    void expectReachedFromEachNode(const std::string& node)
    {
        for (const std::string& other : m_deployment->nodeNames()) {
            if (other != node && m_deployment->hasBackend(other))
                exchangeOnce(m_deployment->addresses(other).admin, plainRequest("POST", "/leave", "{}"), 2s);
        }
        sendThroughEachNode(1s);
        for (const std::string& origin : m_deployment->nodeNames()) {
            const std::uint64_t before = executedBy(node);
            sendMany(10, origin, "GET", "/stock", 2s);
            EXPECT_GT(executedBy(node), before) << "no calls through node " << origin << ": " << m_deployment->nodeStatus(origin)["traffic"]["endpoints"].dump();
        }
    }

    void expectAllAnswered() const
    {
        for (const TestCallPointer& call : m_caller.calls())
            EXPECT_TRUE(call->isAnsweredCorrectly()) << call->id << " failure " << static_cast<int>(call->failure) << " status " << call->answer.status << " " << call->answer.body;
    }
};

} // namespace

TEST_F(LifecycleTest, Calls_OfEachPriorityThroughEachNode_AreAnswered)
{
    start(3);
    for (const std::string& node : m_deployment->nodeNames()) {
        sendMany(5, node, "POST", "/bookings", 2s);
        sendMany(5, node, "GET", "/stock", 2s);
        sendMany(5, node, "GET", "/catalogue", 2s);
    }
    ASSERT_TRUE(m_caller.waitForAnswers(6s));
    expectAllAnswered();
    for (const TestCallPointer& call : m_caller.calls())
        EXPECT_GE(executionCount(call->id), 1u);
    expectGuaranteesHold();
}

TEST_F(LifecycleTest, BackendServer_Terminated_CallsInFlightAreAnswered)
{
    start();
    // The calls fit into the slots and queues of the remaining endpoints, so that none is refused for overload.
    sendMany(24, "a", "POST", "/bookings/slow", 3s);
    m_deployment->backend("b").signal(SIGTERM);
    sendMany(16, "a", "POST", "/bookings/slow", 3s);
    ASSERT_TRUE(m_caller.waitForAnswers(8s));
    expectAllAnswered();
    expectGuaranteesHold();
    EXPECT_TRUE(waitUntil([&] { return !m_deployment->backend("b").isRunning(); }, 5s));
    EXPECT_EQ(m_deployment->backend("b").exitCode(), 0);
}

TEST_F(LifecycleTest, Node_Terminated_CallsInFlightAreAnswered)
{
    start();
    sendMany(12, "b", "POST", "/bookings/slow", 3s);
    sendMany(12, "a", "POST", "/bookings/slow", 3s);
    m_deployment->node("b").signal(SIGTERM);
    sendMany(16, "a", "POST", "/bookings/slow", 3s);
    ASSERT_TRUE(m_caller.waitForAnswers(8s));
    expectAllAnswered();
    expectGuaranteesHold();
    EXPECT_TRUE(waitUntil([&] { return !m_deployment->node("b").isRunning(); }, 8s));
    EXPECT_EQ(m_deployment->node("b").exitCode(), 0);
}

TEST_F(LifecycleTest, BackendServer_Leaves_ReceivesNoCallsAfterThreeSeconds)
{
    start();
    sendMany(30, "a", "GET", "/stock", 2s);
    ASSERT_GT(executedBy("b"), 0u);
    const HttpMessage response = exchangeOnce(m_deployment->addresses("b").admin, plainRequest("POST", "/leave", R"({"service":"dispatch"})"), 2s);
    ASSERT_LT(response.status, 300u);
    const auto leftAt = std::chrono::steady_clock::now();
    while (std::chrono::steady_clock::now() < leftAt + 3s)
        sendMany(10, "a", "GET", "/stock", 2s);
    const std::uint64_t before = executedBy("b");
    for (int round = 0; round < 10; ++round) {
        sendMany(10, "a", "GET", "/stock", 2s);
        sendMany(10, "c", "GET", "/stock", 2s);
    }
    EXPECT_EQ(executedBy("b"), before);
    ASSERT_TRUE(m_caller.waitForAnswers(6s));
    expectAllAnswered();
}

// Nodes kept the "draining" of the last load report, and an endpoint that drains gets no call or probe that brings another.
TEST_F(LifecycleTest, BackendServer_TakenBackAfterADrain_ReceivesCallsFromEachNode)
{
    start();
    sendThroughEachNode(500ms);
    exchangeOnce(m_deployment->addresses("b").admin, plainRequest("POST", "/leave", "{}"), 2s);
    sendThroughEachNode(4s);
    exchangeOnce(m_deployment->addresses("b").admin, plainRequest("POST", "/return", "{}"), 2s);
    sendThroughEachNode(3s);
    expectReachedFromEachNode("b");
    ASSERT_TRUE(m_caller.waitForAnswers(6s));
    expectGuaranteesHold();
}

TEST_F(LifecycleTest, BackendServer_BackAfterFourSecondsWithoutAnswer_ReceivesCallsFromEachNode)
{
    start();
    sendThroughEachNode(500ms);
    m_deployment->backend("b").signal(SIGKILL);
    ASSERT_TRUE(waitUntil([&] { return !m_deployment->backend("b").isRunning(); }, 5s));
    sendThroughEachNode(4s);
    m_deployment->startBackend("b");
    sendThroughEachNode(3s);
    expectReachedFromEachNode("b");
    ASSERT_TRUE(m_caller.waitForAnswers(6s));
    expectGuaranteesHold();
}

TEST_F(LifecycleTest, OnlyBackendServer_TakenBackAfterADrain_ReceivesCalls)
{
    plans.resize(1);
    plans.push_back(plans.front());
    plans.back().name = "caller";
    plans.back().hasBackend = false;
    start();
    sendThroughEachNode(500ms);
    exchangeOnce(m_deployment->addresses("a").admin, plainRequest("POST", "/leave", "{}"), 2s);
    sendThroughEachNode(4s);
    exchangeOnce(m_deployment->addresses("a").admin, plainRequest("POST", "/return", "{}"), 2s);
    sendThroughEachNode(3s);
    expectReachedFromEachNode("a");
    ASSERT_TRUE(m_caller.waitForAnswers(6s));
    expectGuaranteesHold();
}

TEST_F(LifecycleTest, LastBackendServer_Leaves_CallsAreRefusedWithCode)
{
    plans.resize(1);
    start();
    exchangeOnce(m_deployment->addresses("a").admin, plainRequest("POST", "/leave", R"({"service":"dispatch"})"), 2s);
    const auto call = m_caller.send(callAddress("a"), "POST", "/bookings", 2s);
    ASSERT_TRUE(m_caller.waitForAnswers(6s));
    EXPECT_TRUE(call->isReportedNotRun()) << call->answer.status << call->answer.body;
    EXPECT_TRUE(call->code() == 202 || call->code() == 203) << call->answer.body;
    expectGuaranteesHold();
}

TEST_F(LifecycleTest, Caller_Disconnects_CallIsCancelledAtTheBackendServer)
{
    plans.resize(1);
    start();
    m_caller.answerMargin = 300ms - 5s;
    m_caller.send(callAddress("a"), "GET", "/catalogue/slow", 5s);
    ASSERT_TRUE(m_caller.waitForAnswers(3s));
    EXPECT_EQ(m_caller.calls().front()->failure, ExchangeFailure::TimedOut);
    EXPECT_TRUE(waitUntil([&] { return m_deployment->backendStats("a").value("cancelled", 0) == 1; }, 1s));
}

TEST_F(LifecycleTest, Calls_UnableToMeetTheirDeadline_AreRefusedWithRetryAfter)
{
    plans.resize(1);
    start();
    // 12 slots with 300 ms per call execute 40 calls per second, so 200 calls cannot all meet a deadline of one second.
    sendMany(200, "a", "POST", "/bookings/slow", 1s);
    ASSERT_TRUE(m_caller.waitForAnswers(8s));
    expectGuaranteesHold();
    std::size_t refused = 0;
    for (const TestCallPointer& call : m_caller.calls()) {
        if (!call->isReportedNotRun())
            continue;
        ++refused;
        EXPECT_FALSE(call->answer.header("retry-after").empty()) << call->answer.body;
    }
    EXPECT_GT(refused, 0u);
}

// Changed settings were ignored without a word.
TEST_F(LifecycleTest, Sighup_ProgramThatReadsSettingsOnce_TellsThatItNeedsARestart)
{
    start();
    m_deployment->node("a").signal(SIGHUP);
    m_deployment->control(0).signal(SIGHUP);
    for (const char* name : { "a", "control-0" }) {
        EXPECT_TRUE(waitUntil(
            [&] {
                std::ifstream log(m_deployment->folder() + "/" + name + ".out");
                const std::string text((std::istreambuf_iterator<char>(log)), {});
                return text.find("changed settings need a restart") != std::string::npos;
            },
            3s))
            << name;
    }
    EXPECT_TRUE(m_deployment->node("a").isRunning());
}

} // namespace Knapweedquay::Load
