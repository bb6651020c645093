#include "processes/ProcessFixture.h"

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <utility>

namespace Knapweedquay::Load {

namespace {

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

/// Crashes after which the request must become known everywhere, the time that this may take, and the runs allowed later.
constexpr std::size_t knownCrashes = 3;
constexpr std::chrono::milliseconds knownTime { 3000 };
constexpr std::size_t allowedLater = 3;
/// Time until a backend server that ended is started again.
constexpr std::chrono::milliseconds restartTime { 1500 };
constexpr int callerRetries = 2;

/// Sends requests that end the backend servers that run them, beside harmless ones.
class PoisonRequestTest : public ProcessTest {
protected:
    /// Starts eight nodes whose backend servers end while they run a request to /catalogue/poison.
    void startFleet()
    {
        NodePlan plan = plans.front();
        plan.crashPath = "/catalogue/poison";
        plan.crashBody = m_crashBody;
        plan.serviceTimes = { "/=constant:40" };
        plans.clear();
        for (const char* name : { "a", "b", "c", "d", "e", "f", "g", "h" }) {
            plan.name = name;
            plan.dataCentre = std::string("amman-") + static_cast<char>('a' + plans.size() % 3);
            plans.push_back(plan);
        }
        start();
        m_hot = m_caller.send(anyNode(), "GET", "/stock", 2s);
        m_caller.runFor(200ms);
    }

    std::string anyNode() { return callAddress(plans[m_random() % plans.size()].name); }

    /// Sends 60 harmless calls a second, two thirds of them the same, and the crashing one every 600 ms.
    void sendFor(std::chrono::milliseconds time)
    {
        auto nextHarmless = Clock::now();
        auto nextPoison = nextHarmless;
        for (const auto end = Clock::now() + time; Clock::now() < end;) {
            if (Clock::now() >= nextHarmless) {
                nextHarmless += 16667us;
                m_harmless.push_back(++m_sent % 3 == 0 ? m_caller.send(anyNode(), "GET", "/stock", 2s) : m_caller.resend(anyNode(), *m_hot));
            }
            if (m_isSendingPoison && Clock::now() >= nextPoison) {
                nextPoison += 600ms;
                sendPoison();
            }
            m_caller.runFor(2ms);
            retryPoison();
            restartBackends();
            watchPoison();
        }
    }

    void sendPoison()
    {
        m_poison.push_back({ m_poison.empty() ? m_caller.send(anyNode(), "GET", "/catalogue/poison", 2s) : m_caller.resend(anyNode(), *m_poison.front().call), callerRetries });
    }

    void retryPoison()
    {
        for (PoisonCall& poison : m_poison) {
            if (!poison.call->isFinished || poison.call->answer.status == 200 || poison.retries == 0)
                continue;
            const int retries = std::exchange(poison.retries, 0) - 1;
            m_poison.push_back({ m_caller.resend(anyNode(), *poison.call), retries });
            return;
        }
    }

    void restartBackends()
    {
        for (const NodePlan& plan : plans) {
            if (m_deployment->backend(plan.name).isRunning())
                continue;
            const auto ended = m_endedAt.emplace(plan.name, Clock::now()).first;
            if (Clock::now() - ended->second < restartTime)
                continue;
            m_endedAt.erase(ended);
            m_deployment->startBackend(plan.name);
        }
    }

    void watchPoison()
    {
        if (m_poison.empty() || Clock::now() < m_nextWatch)
            return;
        m_nextWatch = Clock::now() + 50ms;
        m_runs = executionCount(m_poison.front().call->id);
        if (m_runs < knownCrashes)
            return;
        if (!m_knownBy)
            m_knownBy = Clock::now() + knownTime;
        if (Clock::now() <= *m_knownBy)
            m_runsUntilKnown = m_runs;
    }

    /// Share of the harmless calls from this index on that were answered.
    double answeredShare(std::size_t from) const
    {
        const auto answered = std::count_if(m_harmless.begin() + static_cast<std::ptrdiff_t>(from), m_harmless.end(), [](const TestCallPointer& call) { return call->isAnsweredCorrectly(); });
        return static_cast<double>(answered) / static_cast<double>(m_harmless.size() - from);
    }

    /// A call with the crashing request, and how often its caller still repeats it.
    struct PoisonCall {
        TestCallPointer call;
        int retries = 0;
    };

    /// Only requests with this body end the backend servers, unless empty.
    std::string m_crashBody;
    TestCallPointer m_hot;
    std::vector<TestCallPointer> m_harmless;
    std::deque<PoisonCall> m_poison;
    bool m_isSendingPoison = true;
    std::size_t m_sent = 0;
    std::mt19937 m_random { 20261204 };
    std::map<std::string, Clock::time_point> m_endedAt;
    Clock::time_point m_nextWatch;
    std::uint64_t m_runs = 0;
    /// End of the time in which all nodes must learn of the crashing request.
    std::optional<Clock::time_point> m_knownBy;
    std::uint64_t m_runsUntilKnown = 0;
};

} // namespace

TEST_F(PoisonRequestTest, Request_ThatCrashesBackendServers_IsSentToNoMoreThanThreeLater)
{
    startFleet();
    sendFor(6s);
    const std::size_t known = m_harmless.size();
    sendFor(6s);
    ASSERT_TRUE(m_caller.waitForAnswers(8s));
    EXPECT_GE(m_runs, 1U);
    EXPECT_LE(m_runs - std::max<std::uint64_t>(m_runsUntilKnown, std::min<std::uint64_t>(m_runs, knownCrashes)), allowedLater) << m_runs << " runs in all";
    EXPECT_GE(answeredShare(known), 0.95) << answeredShare(0) << " over the whole time, " << m_runs << " runs of the crashing request";
}

TEST_F(PoisonRequestTest, HeldRequest_IsRefusedUntilAnOperatorReleasesIt)
{
    m_crashBody = "poison";
    startFleet();
    TestCall poison = *m_caller.send(callAddress("a"), "POST", "/catalogue/poison", 2s);
    poison.request.body = "poison";
    m_isSendingPoison = false;
    for (int calls = 0; calls < 4; ++calls) {
        m_caller.resend(callAddress("a"), poison);
        sendFor(500ms);
    }
    const TestCallPointer refused = m_caller.resend(callAddress("h"), poison);
    TestCall other = poison;
    other.request.body = "harmless";
    const TestCallPointer served = m_caller.resend(callAddress("h"), other);
    ASSERT_TRUE(m_caller.waitForAnswers(6s));
    EXPECT_TRUE(refused->isReportedNotRun());
    EXPECT_EQ(212, refused->code()) << refused->answer.body;
    EXPECT_GE(std::stoi(refused->answer.header("retry-after")), 30);
    EXPECT_EQ(200U, served->answer.status) << served->answer.body;
    const nlohmann::json held = m_deployment->nodeStatus("h")["traffic"]["held_requests"];
    ASSERT_EQ(1U, held.size()) << held;

    const std::uint64_t runs = executionCount(poison.id);
    EXPECT_TRUE(m_deployment->release("b", held[0]["digest"]));
    sendFor(1s);
    m_caller.resend(callAddress("h"), poison);
    sendFor(500ms);
    EXPECT_GT(executionCount(poison.id), runs);
}

} // namespace Knapweedquay::Load
