#include "processes/EarlyConnection.h"
#include "processes/ProcessFixture.h"

#include "Load/Waiting.h"

#include <chrono>
#include <csignal>
#include <memory>
#include <string>
#include <vector>

namespace Knapweedquay::Load {

namespace {

using namespace std::chrono_literals;

/// Stops node "a" by SIGTERM while its callers go on.
class PlannedStopTest : public ProcessTest {
protected:
    void SetUp() override
    {
        ProcessTest::SetUp();
        plans.resize(2);
        for (NodePlan& plan : plans) {
            plan.furtherSettings = "[stop]\nnotice_ms = 400\nmaximum_ms = 2500\n";
            plan.serviceTimes.emplace_back("/bookings/long=constant:1200");
        }
    }

    std::unique_ptr<EarlyConnection> connect(int receiveBuffer = 0) const { return std::make_unique<EarlyConnection>(callAddress("a"), receiveBuffer); }

    void stopNode() { m_deployment->node("a").signal(SIGTERM); }

    /// Starts the nodes with one slot at "b", which one long call occupies beyond the end of "a".
    void startWithBusyEndpoint()
    {
        plans.front().hasBackend = false;
        plans.front().furtherSettings = "[stop]\nnotice_ms = 400\nmaximum_ms = 2000\n";
        plans.back().slots = 1;
        plans.back().serviceTimes.emplace_back("/bookings/hold=constant:2600");
        start();
        m_occupant = std::make_unique<EarlyConnection>(callAddress("b"));
        ASSERT_TRUE(m_occupant->send(request("POST", "/bookings/hold", "hold", 5s)));
        ASSERT_TRUE(waitUntil([&] { return executionCount("hold") == 1; }, 2s));
    }

    /// Expects that no call of "a" that waits for "b" is cut, and that none of them runs afterwards.
    void expectRefusedUnrun(const std::vector<std::pair<std::string, std::unique_ptr<EarlyConnection>>>& calls)
    {
        for (const auto& [id, connection] : calls) {
            const auto responses = connection->receive(1);
            ASSERT_EQ(responses.size(), 1u) << id << " was cut";
            EXPECT_EQ(responses.front().status, 503) << id;
            EXPECT_EQ(outcomeOf(responses.front()), "not-run") << id;
            EXPECT_NE(findHeader(responses.front().headers, "Retry-After"), nullptr) << id;
        }
        EXPECT_EQ(m_occupant->receive(1).size(), 1u);
        std::this_thread::sleep_for(1s);
        for (const auto& call : calls)
            EXPECT_EQ(executionCount(call.first), 0u) << call.first << " ran after it was refused";
    }

    static std::string request(const std::string& method, const std::string& path, const std::string& id, std::chrono::milliseconds deadline, std::size_t answerBytes = 100)
    {
        return method + " /call/dispatch" + path + "?id=" + id + "&size=" + std::to_string(answerBytes) + " HTTP/1.1\r\nHost: a\r\nKnapweedquay-Deadline-Ms: "
            + std::to_string(deadline.count()) + "\r\n" + (method == "POST" ? "Content-Length: 4\r\n" : "") + "\r\n" + (method == "POST" ? "body" : "");
    }

    void expectAnswered(EarlyConnection& connection, const std::string& id) const
    {
        const auto responses = connection.receive(1);
        ASSERT_EQ(responses.size(), 1u);
        EXPECT_EQ(outcomeOf(responses.front()), "answered") << responses.front().body;
        EXPECT_EQ(executionCount(id), 1u);
    }

    static std::string outcomeOf(const HttpResponse& response)
    {
        const std::string* outcome = findHeader(response.headers, "knapweedquay-outcome");
        return outcome ? *outcome : std::string();
    }

    std::unique_ptr<EarlyConnection> m_occupant;
};

} // namespace

// Calls that arrived late in the grace were passed on, and cut when the process ended.
TEST_F(PlannedStopTest, LateCalls_OnConnectionsOpenedAhead_AreAnsweredOrNotRun)
{
    start();
    std::vector<std::unique_ptr<EarlyConnection>> connections;
    constexpr std::size_t calls = 16;
    connections.reserve(calls);
    for (std::size_t call = 0; call < calls; ++call)
        connections.push_back(connect());
    std::size_t sent = 0;
    stopNode();
    for (const auto& connection : connections) {
        if (!connection->send(request("POST", "/bookings/long", "late-" + std::to_string(sent), 3s)))
            break;
        ++sent;
        std::this_thread::sleep_for(150ms);
    }
    std::size_t answered = 0;
    std::size_t refused = 0;
    for (std::size_t call = 0; call < sent; ++call) {
        const auto responses = connections[call]->receive(1);
        const std::uint64_t runs = executionCount("late-" + std::to_string(call));
        if (responses.empty()) {
            EXPECT_EQ(runs, 0u) << "call " << call << " ran, and its connection ended without an answer";
            continue;
        }
        answered += outcomeOf(responses.front()) == "answered" ? 1 : 0;
        refused += outcomeOf(responses.front()) == "not-run" ? 1 : 0;
        EXPECT_EQ(runs, outcomeOf(responses.front()) == "answered" ? 1u : 0u) << "call " << call << " status " << responses.front().status;
    }
    EXPECT_GT(answered, 0u);
    EXPECT_GT(refused, 0u);
}

TEST_F(PlannedStopTest, LateCall_ThatEndsInTime_IsAnswered)
{
    start();
    const auto first = connect();
    const auto late = connect();
    ASSERT_TRUE(first->send(request("POST", "/bookings/long", "first", 2s)));
    std::this_thread::sleep_for(50ms);
    stopNode();
    std::this_thread::sleep_for(800ms);
    ASSERT_TRUE(late->send(request("POST", "/bookings", "late", 500ms)));
    const auto responses = late->receive(1);
    ASSERT_EQ(responses.size(), 1u);
    EXPECT_EQ(outcomeOf(responses.front()), "answered") << responses.front().body;
    EXPECT_EQ(first->receive(1).size(), 1u);
}

// A call counted as ended once its response was queued at the connection, and the rest of it ended with the process.
TEST_F(PlannedStopTest, LongAnswers_ReadSlowly_ArriveWhole)
{
    constexpr std::size_t answerBytes = 8000000;
    constexpr int receiveBuffer = 4096;
    start();
    allowLargeBodies();
    std::vector<std::unique_ptr<EarlyConnection>> connections;
    for (int caller = 0; caller < 3; ++caller) {
        connections.push_back(connect(receiveBuffer));
        ASSERT_TRUE(connections.back()->send(request("GET", "/stock", "long-" + std::to_string(caller), 5s, answerBytes)));
    }
    ASSERT_TRUE(waitUntil([&] { return executedBy("a") + executedBy("b") >= connections.size(); }, 5s));
    std::this_thread::sleep_for(500ms);
    stopNode();
    std::this_thread::sleep_for(1s);
    for (const auto& connection : connections) {
        const auto responses = connection->receive(1);
        ASSERT_EQ(responses.size(), 1u);
        EXPECT_GT(responses.front().body.size(), answerBytes);
    }
}

// Calls whose endpoint's node had ended were held until their own node ended too, and cut.
TEST_F(PlannedStopTest, TwoNodes_EndpointsNodeEndsFirst_CallsAreAnswered)
{
    plans.front().hasBackend = false;
    plans.back().furtherSettings = "[stop]\nnotice_ms = 100\nmaximum_ms = 800\n";
    start();
    std::vector<std::unique_ptr<EarlyConnection>> connections;
    for (int call = 0; call < 4; ++call) {
        connections.push_back(connect());
        ASSERT_TRUE(connections.back()->send(request("POST", "/bookings/long", "held-" + std::to_string(call), 10s)));
    }
    std::this_thread::sleep_for(100ms);
    stopNode();
    m_deployment->node("b").signal(SIGTERM);
    for (const auto& connection : connections)
        EXPECT_EQ(connection->receive(1).size(), 1u);
    expectGuaranteesHold();
}

// Calls that waited in another node's queue were cut when their node ended, and ran afterwards.
TEST_F(PlannedStopTest, CallsQueuedAtAnotherNode_AtTheEnd_AreRefusedUnrun)
{
    startWithBusyEndpoint();
    std::vector<std::pair<std::string, std::unique_ptr<EarlyConnection>>> calls;
    const auto send = [&](const std::string& method, const std::string& path, const std::string& id) {
        calls.emplace_back(id, connect());
        ASSERT_TRUE(calls.back().second->send(request(method, path, id, 6s)));
    };
    send("POST", "/bookings", "before-the-stop");
    std::this_thread::sleep_for(50ms);
    stopNode();
    std::this_thread::sleep_for(150ms);
    send("POST", "/bookings", "booking");
    send("GET", "/catalogue", "lookup");
    expectRefusedUnrun(calls);
}

// The same, while the node in whose queue they waited stopped as well, later.
TEST_F(PlannedStopTest, CallsQueuedAtAnotherNode_ThatStopsLater_AreRefusedUnrun)
{
    plans.back().furtherSettings = "[stop]\nnotice_ms = 400\nmaximum_ms = 4000\n";
    startWithBusyEndpoint();
    std::vector<std::pair<std::string, std::unique_ptr<EarlyConnection>>> calls;
    stopNode();
    std::this_thread::sleep_for(150ms);
    calls.emplace_back("booking", connect());
    ASSERT_TRUE(calls.back().second->send(request("POST", "/bookings", "booking", 6s)));
    std::this_thread::sleep_for(850ms);
    m_deployment->node("b").signal(SIGTERM);
    expectRefusedUnrun(calls);
}

// An answer that waited for an earlier, slower one of its connection was dropped when the process ended.
TEST_F(PlannedStopTest, PipelinedCall_BehindOneThatOutlastsTheNode_IsNotRun)
{
    plans.front().furtherSettings = "[stop]\nnotice_ms = 400\nmaximum_ms = 2000\n";
    start();
    const auto connection = connect();
    stopNode();
    std::this_thread::sleep_for(200ms);
    ASSERT_TRUE(connection->send(request("GET", "/catalogue/slow", "slow", 6s) + request("GET", "/stock", "quick", 6s)));
    const auto responses = connection->receive(2);
    EXPECT_TRUE(waitUntil([&] { return !m_deployment->node("a").isRunning(); }, 3s));
    EXPECT_TRUE(responses.size() == 2 || executionCount("quick") == 0) << "quick ran, and its answer was dropped";
}

// The same, with both passed on before the stop: the answer must not be lost for the sake of one that can't come in time.
TEST_F(PlannedStopTest, PipelinedAnswer_BehindOneThatOutlastsTheNode_IsDelivered)
{
    plans.front().furtherSettings = "[stop]\nnotice_ms = 400\nmaximum_ms = 2000\n";
    plans.front().serviceTimes.emplace_back("/catalogue/long=constant:3000");
    plans.back().serviceTimes.emplace_back("/catalogue/long=constant:3000");
    start();
    const auto connection = connect();
    ASSERT_TRUE(connection->send(request("GET", "/catalogue/long", "slow", 6s) + request("GET", "/stock", "quick", 6s)));
    ASSERT_TRUE(waitUntil([&] { return executionCount("quick") == 1; }, 2s));
    stopNode();
    const auto responses = connection->receive(2);
    ASSERT_EQ(responses.size(), 2u);
    EXPECT_EQ(outcomeOf(responses.front()), "unknown");
    EXPECT_EQ(outcomeOf(responses.back()), "answered") << responses.back().body;
}

// The process ended while the rest of a request was on its way.
TEST_F(PlannedStopTest, RequestInPart_AtTheDrain_IsAnswered)
{
    start();
    const auto connection = connect();
    const std::string text = request("POST", "/bookings", "part", 500ms);
    ASSERT_TRUE(connection->send(text.substr(0, text.size() - 2)));
    stopNode();
    std::this_thread::sleep_for(1500ms);
    EXPECT_TRUE(connection->send(text.substr(text.size() - 2)));
    expectAnswered(*connection, "part");
}

TEST_F(PlannedStopTest, RequestInPart_ThatIsNeverWhole_IsRefusedBeforeTheEnd)
{
    start();
    const auto connection = connect();
    const std::string text = request("POST", "/bookings", "half", 500ms);
    ASSERT_TRUE(connection->send(text.substr(0, text.size() - 2)));
    stopNode();
    const auto responses = connection->receive(1);
    ASSERT_EQ(responses.size(), 1u);
    EXPECT_EQ(outcomeOf(responses.front()), "not-run");
    EXPECT_TRUE(waitUntil([&] { return !m_deployment->node("a").isRunning(); }, 3s));
}

// A platform may repeat its order to stop; the second one ended the process at once.
TEST_F(PlannedStopTest, Sigterm_Repeated_CallInFlightIsAnswered)
{
    start();
    const auto connection = connect();
    ASSERT_TRUE(connection->send(request("POST", "/bookings/long", "running", 2s)));
    std::this_thread::sleep_for(100ms);
    stopNode();
    std::this_thread::sleep_for(200ms);
    stopNode();
    expectAnswered(*connection, "running");
    EXPECT_TRUE(waitUntil([&] { return !m_deployment->node("a").isRunning(); }, 3s));
    EXPECT_EQ(m_deployment->node("a").exitCode(), 0);
}

TEST_F(PlannedStopTest, Node_WithUnusedConnections_EndsOnceIdle)
{
    start();
    const auto connection = connect();
    const auto orderedAt = std::chrono::steady_clock::now();
    stopNode();
    EXPECT_TRUE(waitUntil([&] { return !m_deployment->node("a").isRunning(); }, 3s));
    EXPECT_LT(std::chrono::steady_clock::now() - orderedAt, 2s);
    EXPECT_EQ(m_deployment->node("a").exitCode(), 0);
}

} // namespace Knapweedquay::Load
