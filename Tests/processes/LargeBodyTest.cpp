#include "Load/EchoAnswer.h"
#include "processes/ProcessFixture.h"

#include <algorithm>
#include <csignal>
#include <string>
#include <thread>
#include <vector>

namespace Knapweedquay::Load {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t megabyte = 1000 * 1000;
constexpr std::size_t memoryMegabytes = 260;

constexpr const char* largestBodies = R"(version = 1
[limits]
body_bytes = 67108864
[[services]]
name = "dispatch"
)";

/// Sends bookings over the links to two backend servers, beside large uploads over the same links.
class LargeBodyTest : public ProcessTest {
protected:
    void SetUp() override
    {
        ProcessTest::SetUp();
        plans[0].hasBackend = false;
        for (NodePlan& plan : plans)
            plan.slots = 60;
    }

    /// Uploads a body through node "a" and returns the status of the answer; 0 if the answer isn't the one to it.
    unsigned upload(std::size_t bytes, std::size_t answerBytes = 10, std::chrono::milliseconds deadline = 2500ms)
    {
        const std::string target = "/call/dispatch/uploads?id=upload&size=" + std::to_string(answerBytes);
        HttpMessage message = plainRequest("POST", target, std::string(bytes, 'x'));
        message.headers["knapweedquay-deadline-ms"] = std::to_string(deadline.count());
        const HttpMessage answer = exchangeOnce(callAddress("a"), message, deadline + 1500ms);
        return answer.status != 200 || answer.body == echoAnswer("upload", message.body, answerBytes) ? answer.status : 0;
    }

    /// Codes of the bookings that were not answered.
    std::string refusals() const
    {
        std::string text;
        for (const TestCallPointer& call : m_caller.calls()) {
            if (!call->isAnsweredCorrectly())
                text += call->id + ' ' + std::to_string(call->answer.status) + ' ' + std::to_string(call->code()) + '\n';
        }
        return text;
    }

    std::size_t answeredBookings() const
    {
        const auto& calls = m_caller.calls();
        return static_cast<std::size_t>(std::count_if(calls.begin(), calls.end(), [](const TestCallPointer& call) { return call->isAnsweredCorrectly(); }));
    }
};

} // namespace

// A link that was lost under an upload gave back copies of bookings as never sent, though their resends had arrived: they ran twice.
TEST_F(LargeBodyTest, UploadsLargerThanAMessage_BesideBookings_NoBookingRunsTwiceOrIsRefusedFalsely)
{
    start();
    allowLargeBodies();
    ASSERT_TRUE(m_deployment->applyRouting(largestBodies, 5s));
    m_caller.runFor(1s);
    std::thread uploads([this] {
        for (int count = 0; count < 4; ++count) {
            EXPECT_EQ(200u, upload(24 * megabyte));
            std::this_thread::sleep_for(500ms);
        }
    });
    sendMany(800, "a", "POST", "/bookings/slow", 2500ms);
    uploads.join();
    ASSERT_TRUE(m_caller.waitForAnswers(6s));
    expectGuaranteesHold();
    EXPECT_GT(answeredBookings(), 700u);
}

// A booking was answered "not run" although it had run, when its node was killed while ten uploads waited for the link to it.
TEST_F(LargeBodyTest, NodeKilled_WhileUploadsWaitForItsLink_NoBookingIsRefusedFalsely)
{
    plans = { plans[0], plans[1] };
    start();
    allowLargeBodies();
    for (const std::chrono::milliseconds delay : { 150ms, 250ms }) {
        sendMany(10, "a", "POST", "/bookings/slow", 2500ms);
        // The uploads fill the link, and are read once the bookings wait behind them.
        m_deployment->node("b").signal(SIGSTOP);
        std::vector<std::thread> uploads;
        uploads.reserve(10);
        for (int count = 0; count < 10; ++count)
            uploads.emplace_back([this] { upload(3 * megabyte); });
        m_caller.runFor(100ms);
        sendMany(20, "a", "POST", "/bookings/slow", 2500ms);
        m_deployment->node("b").signal(SIGCONT);
        m_caller.runFor(delay);
        m_deployment->node("b").signal(SIGKILL);
        for (std::thread& thread : uploads)
            thread.join();
        m_deployment->restartNode("b");
        ASSERT_TRUE(m_deployment->waitUntilReady(5s));
        m_caller.runFor(500ms);
    }
    ASSERT_TRUE(m_caller.waitForAnswers(6s));
    expectGuaranteesHold();
}

// Uploads and answers between 17 MB and the limit of bodies were refused or lost, however often their callers came back.
TEST_F(LargeBodyTest, BodiesOfTheLargestSize_ThroughNodesOfLittleMemory_PassBesideBookings)
{
    constexpr std::size_t largest = 64 * 1024 * 1024;
    // The answer has a few bytes besides those that are asked for.
    constexpr std::size_t largestAnswer = largest - 1000;
    plans = { plans[0], plans[1] };
    for (NodePlan& plan : plans)
        plan.furtherSettings = "[memory]\nmaximum_mb = " + std::to_string(memoryMegabytes) + "\n";
    start();
    allowLargeBodies();
    ASSERT_TRUE(m_deployment->applyRouting(largestBodies, 5s));
    m_caller.runFor(1s);
    std::thread bodies([this] {
        for (int count = 0; count < 3; ++count) {
            EXPECT_EQ(200u, upload(largest));
            EXPECT_EQ(200u, upload(1000, largestAnswer));
            EXPECT_EQ(200u, upload(largest, largestAnswer));
        }
    });
    sendMany(800, "a", "POST", "/bookings", 2500ms);
    bodies.join();
    ASSERT_TRUE(m_caller.waitForAnswers(6s));
    expectGuaranteesHold();
    EXPECT_EQ(m_caller.calls().size(), answeredBookings()) << refusals();
    for (const char* node : { "a", "b" }) {
        EXPECT_GT(peakMemory(node), 0u);
        EXPECT_LT(peakMemory(node), memoryMegabytes) << "node " << node;
    }
}

// Calls that had run were answered 502 where their answers were larger than the requests that the configuration allows.
TEST_F(LargeBodyTest, AnswersLargerThanRequestsMayBe_ReachTheirCallers)
{
    constexpr std::size_t answerBytes = 10 * megabyte;
    start();
    EXPECT_EQ(200u, upload(60000, answerBytes)) << "requests have at most 65536 bytes";
    EXPECT_EQ(413u, upload(70000));
}

// A call that had run was answered 504 where its link closed under an answer larger than those that are kept for resends.
TEST_F(LargeBodyTest, LinkLost_UnderALargeAnswer_ItStillReachesItsCaller)
{
    plans = { plans[0], plans[1] };
    plans[1].arePeersForwarded = true;
    start();
    allowLargeBodies();
    for (const std::chrono::milliseconds delay : { 30ms, 50ms, 70ms, 90ms, 110ms }) {
        std::thread call([this] { EXPECT_EQ(200u, upload(1000, 60 * megabyte, 8s)); });
        std::this_thread::sleep_for(delay);
        Deployment::command(m_deployment->peerLink("b"), "/silence");
        call.join();
    }
}

} // namespace Knapweedquay::Load
