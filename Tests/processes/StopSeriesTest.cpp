#include "processes/EarlyConnection.h"
#include "processes/ProcessFixture.h"

#include "Load/ExecutionRecord.h"
#include "Load/Waiting.h"

#include <array>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <system_error>
#include <thread>
#include <vector>

namespace Knapweedquay::Load {

namespace {

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

constexpr auto defaultDuration = 15s;
constexpr std::size_t callerCount = 16;
/// A connection may end without a response to what was sent this shortly before: the request crossed the close.
constexpr auto crossingTime = 200ms;
/// Time that a caller waits after a refusal.
constexpr auto refusalPause = 100ms;

/// One request of the series and what its caller got.
struct SentCall {
    std::string id;
    bool isIdempotent = false;
    /// Sent behind another one on its connection.
    bool isPipelined = false;
    Clock::duration waited {};
    /// Empty if the connection ended without a whole response.
    std::string outcome {};
};

/// Value of an environment variable; the given one if it is not set.
std::uint64_t numberFromEnvironment(const char* name, std::uint64_t otherwise)
{
    const char* value = std::getenv(name);
    return value ? std::strtoull(value, nullptr, 10) : otherwise;
}

/// Stops nodes in series, also two at a time, while callers go on sending over the connections that they have open.
///
/// All work is short against the stops, so that no call has to be cut. KNAPWEEDQUAY_SERIES_SEED and KNAPWEEDQUAY_SERIES_SECONDS
/// choose other series.
class StopSeriesTest : public ProcessTest {
protected:
    void SetUp() override
    {
        ProcessTest::SetUp();
        for (NodePlan& plan : plans) {
            plan.slots = 2;
            plan.furtherSettings = "[stop]\nnotice_ms = 400\nmaximum_ms = 3000\n";
            plan.serviceTimes = { "/=constant:20", "/bookings=constant:150", "/catalogue=constant:250" };
        }
    }

    void TearDown() override { endCallers(); }

    void startCallers()
    {
        for (std::size_t caller = 0; caller < callerCount; ++caller)
            m_callers.emplace_back([this, caller] { call(caller); });
    }

    /// Stops and restarts nodes until the time is over.
    void stopNodes(std::chrono::seconds duration)
    {
        std::mt19937_64 random(m_seed);
        const auto end = Clock::now() + duration;
        // Node "a" has no seeds: it would depend on the others to find it again.
        const std::vector<std::string> names { "b", "c" };
        while (Clock::now() < end) {
            std::this_thread::sleep_for(std::chrono::milliseconds(300 + random() % 900));
            const std::size_t first = random() % names.size();
            std::vector<std::string> stopped { names[first] };
            stop(names[first]);
            if (random() % 3 == 0) {
                std::this_thread::sleep_for(std::chrono::milliseconds(random() % 1500));
                stopped.push_back(names[1 - first]);
                stop(stopped.back());
            }
            for (const std::string& name : stopped) {
                ASSERT_TRUE(waitUntil([&] { return !m_deployment->node(name).isRunning(); }, 5s)) << name << " did not end";
                EXPECT_EQ(m_deployment->node(name).exitCode(), 0);
                m_deployment->restartNode(name);
            }
            ASSERT_TRUE(m_deployment->waitUntilReady(10s));
        }
    }

    void endCallers()
    {
        m_isEnding = true;
        for (std::thread& caller : m_callers)
            caller.join();
        m_callers.clear();
    }

    void expectNothingLost() const
    {
        const auto runs = readExecutionRecords(m_deployment->recordFiles());
        std::size_t answered = 0;
        for (const SentCall& call : m_calls) {
            const auto found = runs.find(call.id);
            const std::uint64_t count = found == runs.end() ? 0 : found->second;
            answered += call.outcome == "answered" ? 1 : 0;
            EXPECT_TRUE(call.isIdempotent || count <= 1) << call.id << " ran " << count << " times";
            EXPECT_TRUE(call.outcome != "not-run" || count == 0) << call.id << " was refused as not run";
            if (!call.outcome.empty())
                continue;
            const auto waited = std::chrono::duration_cast<std::chrono::milliseconds>(call.waited);
            EXPECT_EQ(count, 0u) << call.id << " ran, and its connection ended without an answer after " << waited.count() << " ms";
            EXPECT_TRUE(call.isPipelined || call.waited < crossingTime) << call.id << " was cut after " << waited.count() << " ms";
        }
        EXPECT_GT(answered, m_calls.size() / 4) << "of " << m_calls.size();
        RecordProperty("calls", static_cast<int>(m_calls.size()));
        RecordProperty("answered", static_cast<int>(answered));
    }

    std::uint64_t m_seed = numberFromEnvironment("KNAPWEEDQUAY_SERIES_SEED", 1);

private:
    void stop(const std::string& name) { m_deployment->node(name).signal(SIGTERM); }

    /// Sends requests, one or two at a time, over a connection for as long as it is open.
    void call(std::size_t caller)
    {
        std::mt19937_64 random(m_seed * callerCount + caller);
        std::unique_ptr<EarlyConnection> connection;
        std::string node;
        for (std::size_t number = 0; !m_isEnding; ++number) {
            if (!connection || !connection->isOpen()) {
                node = std::string(1, static_cast<char>('a' + random() % 3));
                connection = connect(node);
                // Some connections are first used a while later.
                std::this_thread::sleep_for(std::chrono::milliseconds(random() % 5 == 0 ? random() % 800 : 20));
                if (!connection)
                    continue;
            }
            const std::string id = std::to_string(caller) + "-" + std::to_string(number);
            if (!exchange(*connection, caller, id, random))
                connection.reset();
            std::this_thread::sleep_for(m_isRefused[caller] ? refusalPause : 0ms);
        }
    }

    std::unique_ptr<EarlyConnection> connect(const std::string& node) const
    {
        try {
            return std::make_unique<EarlyConnection>(callAddress(node));
        } catch (const std::system_error&) {
            return nullptr;
        }
    }

    /// Sends one request or a pipelined pair, and records what becomes of them. False once the connection has ended.
    bool exchange(EarlyConnection& connection, std::size_t caller, const std::string& id, std::mt19937_64& random)
    {
        constexpr std::array<int, 4> deadlines { 300, 1000, 4000, 8000 };
        const int deadline = deadlines[random() % deadlines.size()];
        std::vector<SentCall> calls;
        std::string text;
        if (random() % 4 == 0) {
            calls.push_back({ id + "-slow", true, false });
            calls.push_back({ id + "-quick", true, true });
            text = request("GET", "/catalogue", calls[0].id, deadline) + request("GET", "/stock", calls[1].id, deadline);
        } else {
            calls.push_back({ id, random() % 2 == 0, false });
            text = calls[0].isIdempotent ? request("GET", "/catalogue", id, deadline) : request("POST", "/bookings", id, deadline);
        }
        const auto sentAt = Clock::now();
        if (!connection.send(text))
            return false;
        const auto responses = connection.receive(calls.size());
        for (std::size_t index = 0; index < calls.size(); ++index) {
            calls[index].waited = Clock::now() - sentAt;
            if (index < responses.size()) {
                const std::string* outcome = findHeader(responses[index].headers, "knapweedquay-outcome");
                calls[index].outcome = outcome ? *outcome : "none";
            }
        }
        m_isRefused[caller] = calls.front().outcome == "not-run";
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_calls.insert(m_calls.end(), calls.begin(), calls.end());
        return responses.size() == calls.size();
    }

    static std::string request(const std::string& method, const std::string& path, const std::string& id, int deadline)
    {
        const std::string body = method == "POST" ? "body" : "";
        return method + " /call/dispatch" + path + "?id=" + id + "&size=100 HTTP/1.1\r\nHost: a\r\nKnapweedquay-Deadline-Ms: " + std::to_string(deadline) + "\r\n"
            + (body.empty() ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n") + "\r\n" + body;
    }

    std::atomic<bool> m_isEnding { false };
    std::vector<std::thread> m_callers;
    /// True for each caller whose last call was refused.
    std::array<bool, callerCount> m_isRefused {};
    std::mutex m_mutex;
    std::vector<SentCall> m_calls;
};

} // namespace

// Around planned stops, calls were cut while they waited elsewhere, behind others, or on their way.
TEST_F(StopSeriesTest, NodesStopInSeries_UnderLoad_NothingIsLost)
{
    start();
    startCallers();
    stopNodes(std::chrono::seconds(numberFromEnvironment("KNAPWEEDQUAY_SERIES_SECONDS", std::chrono::seconds(defaultDuration).count())));
    endCallers();
    expectNothingLost();
}

} // namespace Knapweedquay::Load
