#include "processes/ProcessFixture.h"

#include "Load/Waiting.h"

#include <algorithm>
#include <csignal>
#include <functional>

namespace Knapweedquay::Load {

namespace {

using namespace std::chrono_literals;

class FailureTest : public ProcessTest {
protected:
    std::size_t countOf(const std::function<bool(const TestCall&)>& condition) const
    {
        return static_cast<std::size_t>(std::count_if(m_caller.calls().begin(), m_caller.calls().end(), [&](const TestCallPointer& call) { return condition(*call); }));
    }

    /// Nothing is left of a failure: every one of so many calls through "a" is answered.
    void expectAllAnswered(std::size_t count)
    {
        const std::size_t before = m_caller.calls().size();
        sendMany(count, "a", "POST", "/bookings", 2s);
        ASSERT_TRUE(m_caller.finish(6s));
        for (std::size_t index = before; index < m_caller.calls().size(); ++index) {
            const TestCall& call = *m_caller.calls()[index];
            EXPECT_TRUE(call.isAnsweredRightly()) << call.id << " " << call.answer.status << " " << call.answer.body;
        }
    }

    /// Sends calls through "a" until the stand-in of a node runs more of them; false when it does not within the patience.
    bool getsCallsAgain(const std::string& node, std::chrono::milliseconds patience)
    {
        const std::uint64_t before = executedBy(node);
        const bool got = waitUntil(
            [&] {
                // All at once: one after the other, they would all go to endpoints that did not fail lately.
                for (int sent = 0; sent < 60; ++sent)
                    m_caller.send(calls("a"), "GET", "/stock", 1s);
                m_caller.run(100ms);
                return executedBy(node) > before;
            },
            patience);
        if (!got)
            ADD_FAILURE() << "what node a believes: " << m_deployment->nodeStatus("a").dump() << "\nwhat it did: " << m_deployment->nodeMetrics("a") << "\nat the node: " << m_deployment->nodeMetrics(node);
        return got;
    }
};

bool isRight(const TestCall& call) { return call.isAnsweredRightly(); }

} // namespace

TEST_F(FailureTest, Node_KilledWithPostsInFlight_KeepsThePromises)
{
    start();
    sendMany(40, "a", "POST", "/bookings/slow", 3s);
    m_deployment->node("b").kill();
    sendMany(40, "a", "POST", "/bookings/slow", 3s);
    ASSERT_TRUE(m_caller.finish(10s));
    expectPromisesKept();
    EXPECT_EQ(countOf([](const TestCall& call) { return call.failure != ExchangeFailure::None; }), 0u);
    EXPECT_GT(countOf([](const TestCall& call) { return call.outcome() == "unknown"; }), 0u) << "nothing was in flight at the killed node";
    EXPECT_GT(countOf(isRight), 40u);
}

TEST_F(FailureTest, Node_FrozenAndWoken_KeepsThePromises)
{
    start();
    sendMany(20, "a", "POST", "/bookings/slow", 1s);
    m_deployment->node("b").signal(SIGSTOP);
    sendMany(40, "a", "POST", "/bookings/slow", 1s);
    m_caller.run(3s);
    m_deployment->node("b").signal(SIGCONT);
    sendMany(20, "a", "POST", "/bookings", 1s);
    ASSERT_TRUE(m_caller.finish(8s));
    // Whatever the frozen node still has to do, it does now.
    m_caller.run(1s);
    expectPromisesKept();
    EXPECT_GT(countOf(isRight), 40u);
}

TEST_F(FailureTest, Node_WokenAfterTheDeadlines_StartsNoExpiredCall)
{
    start();
    sendMany(30, "a", "GET", "/stock", 2s);
    ASSERT_TRUE(m_caller.finish(6s));
    // Hedges that lost may still be on their way, and their deadlines have not passed when the node wakes.
    m_caller.run(300ms);
    m_deployment->node("b").signal(SIGSTOP);
    sendMany(40, "a", "POST", "/bookings", 500ms);
    ASSERT_TRUE(m_caller.finish(6s));
    EXPECT_GT(countOf([](const TestCall& call) { return call.outcome() == "unknown"; }), 0u) << "nothing was sent to the frozen node";
    const std::uint64_t before = executedBy("b");
    m_deployment->node("b").signal(SIGCONT);
    m_caller.run(1s);
    EXPECT_EQ(executedBy("b"), before);
    expectPromisesKept();
}

TEST_F(FailureTest, BackendServer_Killed_KeepsThePromises)
{
    start();
    sendMany(40, "a", "POST", "/bookings/slow", 3s);
    m_deployment->backend("b").kill();
    sendMany(40, "a", "POST", "/bookings/slow", 3s);
    ASSERT_TRUE(m_caller.finish(10s));
    expectPromisesKept();
    EXPECT_GT(countOf(isRight), 40u);
}

TEST_F(FailureTest, Key_ResentThroughAnotherNode_RunsOnce)
{
    start(3);
    std::vector<TestCallPointer> firsts;
    for (int number = 0; number < 20; ++number) {
        firsts.push_back(m_caller.send(calls("a"), "POST", "/bookings", 3s, "key-" + std::to_string(number)));
        m_caller.resend(calls("b"), *firsts.back());
        m_caller.run(5ms);
    }
    ASSERT_TRUE(m_caller.finish(10s));
    for (const TestCallPointer& first : firsts)
        m_caller.resend(calls("c"), *first);
    ASSERT_TRUE(m_caller.finish(10s));
    for (const TestCallPointer& first : firsts)
        EXPECT_EQ(runsOf(first->id), 1u) << first->id;
}

TEST_F(FailureTest, Key_ResentAfterItsNodeWasKilled_RunsOnce)
{
    start(3);
    std::vector<TestCallPointer> firsts;
    for (int number = 0; number < 20; ++number) {
        firsts.push_back(m_caller.send(calls("a"), "POST", "/bookings/slow", 3s, "key-" + std::to_string(number)));
        m_caller.run(5ms);
    }
    m_deployment->node("a").kill();
    for (const TestCallPointer& first : firsts)
        m_caller.resend(calls("b"), *first);
    ASSERT_TRUE(m_caller.finish(10s));
    for (const TestCallPointer& first : firsts)
        EXPECT_LE(runsOf(first->id), 1u) << first->id;
}

TEST_F(FailureTest, BackendServer_WithShortBodies_IsNeverPassedOffAsWhole)
{
    start();
    ASSERT_TRUE(m_deployment->setModes("b", { { "shortBody", true } }));
    sendMany(60, "a", "POST", "/bookings", 2s);
    sendMany(60, "a", "GET", "/stock", 2s);
    ASSERT_TRUE(m_caller.finish(10s));
    EXPECT_GT(executedBy("b"), 0u);
    expectPromisesKept();
    for (const TestCallPointer& call : m_caller.calls())
        EXPECT_TRUE(call->isAnsweredRightly() || call->outcome() == "unknown" || call->outcome() == "not-run") << call->id << call->answer.status << call->answer.body;
}

TEST_F(FailureTest, Answers_LaterThanTheirDeadline_ReachNoOtherCall)
{
    start();
    ASSERT_TRUE(m_deployment->setModes("b", { { "answerDelayMs", 400 } }));
    sendMany(60, "a", "GET", "/stock", 200ms);
    sendMany(20, "a", "POST", "/bookings", 200ms);
    ASSERT_TRUE(m_deployment->setModes("b", { { "answerDelayMs", 0 }, { "freezeAnswers", true } }));
    sendMany(20, "a", "GET", "/stock", 200ms);
    ASSERT_TRUE(m_deployment->setModes("b", { { "freezeAnswers", false } }));
    sendMany(60, "a", "GET", "/stock", 1s);
    ASSERT_TRUE(m_caller.finish(10s));
    expectPromisesKept();
    EXPECT_GT(countOf(isRight), 100u);
}

TEST_F(FailureTest, ConnectionsToABackendServer_GoneSilent_AreReplaced)
{
    plans[1].isBackendForwarded = true;
    start();
    sendMany(30, "a", "POST", "/bookings", 2s);
    ASSERT_GT(executedBy("b"), 0u);
    ASSERT_GT(Deployment::command(m_deployment->backendLink("b"), "/silence"), 0u);
    EXPECT_TRUE(getsCallsAgain("b", 10s));
    ASSERT_TRUE(m_caller.finish(6s));
    expectAllAnswered(60);
    // An endpoint whose calls failed may be left out for some seconds, but it comes back.
    EXPECT_TRUE(getsCallsAgain("b", 10s));
    ASSERT_TRUE(m_caller.finish(6s));
    expectPromisesKept();
}

TEST_F(FailureTest, ConnectionsBetweenNodes_GoneSilent_AreReplaced)
{
    plans[1].arePeersForwarded = true;
    start();
    sendMany(30, "a", "POST", "/bookings", 2s);
    ASSERT_GT(executedBy("b"), 0u);
    ASSERT_GT(Deployment::command(m_deployment->peerLink("b"), "/silence"), 0u);
    EXPECT_TRUE(getsCallsAgain("b", 10s));
    ASSERT_TRUE(m_caller.finish(6s));
    expectAllAnswered(60);
    // An endpoint whose calls failed may be left out for some seconds, but it comes back.
    EXPECT_TRUE(getsCallsAgain("b", 10s));
    ASSERT_TRUE(m_caller.finish(6s));
    expectPromisesKept();
}

TEST_F(FailureTest, ConnectionsToTheControlReplicas_GoneSilent_AreReplaced)
{
    plans[0].isControlForwarded = true;
    start();
    for (const ForwardedLink& link : m_deployment->controlLinks("a"))
        ASSERT_GT(Deployment::command(link, "/silence"), 0u);
    const std::string second = "service = \"inventory\"\nteam = \"operations\"\n[[priorities]]\nname = \"stock\"\n[[routes]]\npriority = \"stock\"\n";
    ASSERT_TRUE(m_deployment->apply(second, 0, 5s));
    EXPECT_TRUE(waitUntil([&] { return m_deployment->nodeStatus("a")["documents"].contains("inventory"); }, 10s));
}

TEST_F(FailureTest, Node_CutOffFromTheControlReplicas_GetsDocumentsFromOtherNodes)
{
    plans[0].isControlForwarded = true;
    start();
    for (const ForwardedLink& link : m_deployment->controlLinks("a"))
        ASSERT_GT(Deployment::command(link, "/cut"), 0u);
    const std::string second = "service = \"inventory\"\nteam = \"operations\"\n[[priorities]]\nname = \"stock\"\n[[routes]]\npriority = \"stock\"\n";
    ASSERT_TRUE(m_deployment->apply(second, 0, 5s));
    EXPECT_TRUE(waitUntil([&] { return m_deployment->nodeStatus("a")["documents"].contains("inventory"); }, 10s));
}

} // namespace Knapweedquay::Load
