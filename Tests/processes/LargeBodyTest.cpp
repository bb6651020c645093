#include "processes/ProcessFixture.h"

#include <string>
#include <thread>

namespace Knapweedquay::Load {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t megabyte = 1000 * 1000;

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

    /// Uploads a body through node "a" and returns the status of the answer.
    unsigned upload(std::size_t bytes)
    {
        HttpMessage message = plainRequest("POST", "/call/dispatch/uploads?id=upload&size=10", std::string(bytes, 'x'));
        message.headers["knapweedquay-deadline-ms"] = "2500";
        return exchangeOnce(callAddress("a"), message, 4s).status;
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
            EXPECT_EQ(503u, upload(24 * megabyte)) << "refused at once, as no link takes it";
            std::this_thread::sleep_for(500ms);
        }
    });
    sendMany(800, "a", "POST", "/bookings/slow", 2500ms);
    uploads.join();
    ASSERT_TRUE(m_caller.waitForAnswers(6s));
    expectGuaranteesHold();
    std::size_t answered = 0;
    for (const TestCallPointer& call : m_caller.calls())
        answered += call->isAnsweredCorrectly() ? 1 : 0;
    EXPECT_GT(answered, 700u);
}

} // namespace Knapweedquay::Load
