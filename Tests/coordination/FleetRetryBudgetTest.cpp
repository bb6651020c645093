#include "coordination/attempts/OutgoingCall.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <random>
#include <string>
#include <vector>

using namespace Knapweedquay;

namespace {

constexpr double retryShare = 0.06;
constexpr double hedgeShare = 0.12;
/// What the users allow to the whole fleet within any window of this length: a share of the callers' calls, and a slack in
/// proportion to the nodes.
constexpr double allowedShare = 0.2;
constexpr double allowedSlackPerNode = 2.1;
constexpr int windowSeconds = 10;
constexpr int seconds = 30;
/// Calls from outside at one node in a second.
constexpr double frontCallsPerNode = 5.1;
constexpr double backCallsPerNode = 1.3;
/// Share of the front service's runs that call the back service.
constexpr double nestedShare = 0.5;

/// A time in which attempts fail, and the services that it concerns.
struct Storm {
    std::string name;
    int from = 0;
    int until = 0;
    bool hitsFront = false;
    bool hitsBack = false;
    /// Each call is slow enough for a hedge.
    bool isSlow = false;
};

std::ostream& operator<<(std::ostream& stream, const Storm& storm)
{
    return stream << storm.name;
}

/// A fleet in which every node calls two services, and the runs of the first call the second.
class Fleet {
public:
    Fleet(std::size_t nodes, const Storm& storm)
        : m_storm(storm)
    {
        const double burst = RetryBudget::burstOfNode(allowedSlackPerNode / 2 * static_cast<double>(nodes), nodes);
        for (std::size_t index = 0; index < nodes; ++index)
            m_nodes.push_back({ Service(burst), Service(burst) });
    }

    void run()
    {
        for (m_second = 0; m_second < seconds; ++m_second) {
            m_front.emplace_back();
            m_back.emplace_back();
            for (Node& node : m_nodes) {
                for (int count = std::poisson_distribution<>(frontCallsPerNode)(m_random); count > 0; --count)
                    call(node.front, true, false);
                for (int count = std::poisson_distribution<>(backCallsPerNode)(m_random); count > 0; --count)
                    call(node.back, false, false);
            }
        }
    }

    /// Extra attempts of a window.
    struct Window {
        double extra = 0;
        double allowed = 0;
    };
    Window worstFront() const { return worst(m_front); }
    Window worstBack() const { return worst(m_back); }
    /// Calls of repeated runs that the budget refused, as a share of the callers' calls to the service that was called.
    double refusedShare() const
    {
        Second sum;
        for (const Second& second : m_back) {
            sum.calls += second.calls;
            sum.refusedRepeats += second.refusedRepeats;
        }
        return sum.refusedRepeats / sum.calls;
    }

private:
    struct Service {
        explicit Service(double burst)
            : extra(retryShare + hedgeShare, burst)
            , hedges(hedgeShare, burst)
        {
        }
        RetryBudget extra;
        RetryBudget hedges;
    };
    struct Node {
        Service front;
        Service back;
    };
    /// Counts of one second.
    struct Second {
        double calls = 0;
        double extra = 0;
        /// Calls of repeated runs that the budget refused.
        double refusedRepeats = 0;
    };
    bool fails(bool isFront) const
    {
        return m_second >= m_storm.from && m_second < m_storm.until && (isFront ? m_storm.hitsFront : m_storm.hitsBack);
    }

    void call(Service& service, bool isFront, bool isRepeat)
    {
        Second& counts = isFront ? m_front.back() : m_back.back();
        counts.calls += isRepeat ? 0 : 1;
        CallParameters parameters;
        parameters.isIdempotent = true;
        parameters.isRepeat = isRepeat;
        const TimePoint now { Duration(1000000) * m_second };
        parameters.deadline = now + Duration(1000000);
        if (m_storm.isSlow)
            parameters.hedgeDelay = Duration(100000);
        std::uint64_t sequence = 0;
        OutgoingCall call(parameters, { service.extra, service.hedges }, [&sequence] { return AttemptId { NodeId("origin"), Incarnation(1), ++sequence }; });
        std::deque<CallAction> actions;
        const auto handle = [&](const CallEvent& event, TimePoint now) {
            for (const CallAction& action : call.handle(event, now))
                actions.push_back(action);
        };
        handle(CallStarted {}, now);
        while (!actions.empty()) {
            const CallAction action = actions.front();
            actions.pop_front();
            if (const auto* finish = std::get_if<FinishCall>(&action))
                counts.refusedRepeats += finish->outcome.code == ResultCode::RepeatBudgetSpent ? 1 : 0;
            if (const auto* choose = std::get_if<ChooseEndpoint>(&action))
                handle(EndpointChosen { NodeId(std::to_string(choose->excluded.size())), Incarnation(1) }, now);
            if (const auto* send = std::get_if<SendAttempt>(&action)) {
                runAttempt(isFront, *send, counts);
                if (fails(isFront))
                    handle(AttemptUnknown { send->attempt, ResultCode::AnswerIncomplete }, now);
                else if (m_storm.isSlow && sequence == 1) {
                    handle(AttemptAccepted { send->attempt }, now);
                    handle(TimerFired {}, now + Duration(110000));
                } else
                    handle(AttemptAnswered { send->attempt, nullptr }, now);
            }
        }
    }

    // A run of the front service makes its call at the node beside its backend server, which may be any.
    void runAttempt(bool isFront, const SendAttempt& send, Second& counts)
    {
        counts.extra += send.isRepeat ? 1 : 0;
        if (isFront && std::bernoulli_distribution(nestedShare)(m_random)) {
            Node& node = m_nodes[std::uniform_int_distribution<std::size_t>(0, m_nodes.size() - 1)(m_random)];
            call(node.back, false, send.isRepeat);
        }
    }

    Window worst(const std::vector<Second>& counts) const
    {
        Window worst { 0, 1 };
        for (int start = 0; start + windowSeconds <= seconds; ++start) {
            Window window;
            for (int second = start; second < start + windowSeconds; ++second) {
                window.extra += counts[second].extra;
                window.allowed += allowedShare * counts[second].calls;
            }
            window.allowed += allowedSlackPerNode * static_cast<double>(m_nodes.size());
            if (window.extra * worst.allowed >= worst.extra * window.allowed)
                worst = window;
        }
        return worst;
    }

    Storm m_storm;
    std::mt19937_64 m_random { 20261204 };
    std::vector<Node> m_nodes;
    int m_second = 0;
    std::vector<Second> m_front;
    std::vector<Second> m_back;
};

class FleetRetryBudgetTest : public testing::TestWithParam<std::tuple<std::size_t, Storm>> {
};

TEST_P(FleetRetryBudgetTest, EveryNodeRetriesAtOnce_ExtraAttempts_StayWithinWhatTheFleetIsAllowed)
{
    const auto& [nodes, storm] = GetParam();
    Fleet fleet(nodes, storm);
    fleet.run();
    const auto record = [](const std::string& service, const Fleet::Window& window) {
        RecordProperty(service + "_extra", std::to_string(static_cast<int>(window.extra)));
        RecordProperty(service + "_allowed", std::to_string(static_cast<int>(window.allowed)));
        EXPECT_LE(window.extra, window.allowed) << service;
    };
    record("front", fleet.worstFront());
    record("back", fleet.worstBack());
    RecordProperty("refused_repeats_percent", std::to_string(static_cast<int>(100 * fleet.refusedShare())));
}

INSTANTIATE_TEST_SUITE_P(Sizes, FleetRetryBudgetTest, testing::Combine(testing::Values(14, 300, 720), testing::Values(Storm { "back_fails_from_the_start", 0, seconds, false, true, false }, Storm { "front_fails_from_the_start", 0, seconds, true, false, false }, Storm { "both_fail_for_one_second", 12, 13, true, true, false }, Storm { "both_fail_for_ten_seconds", 12, 22, true, true, false }, Storm { "all_calls_slow", 0, 0, false, false, true }, Storm { "slow_and_failing", 12, 22, true, true, true })));

TEST(RetryBudgetTest, Burst_OfTheFleet_IsDividedByItsNodes)
{
    EXPECT_DOUBLE_EQ(2, RetryBudget::burstOfNode(30, 15));
    EXPECT_DOUBLE_EQ(0.5, RetryBudget::burstOfNode(360, 720));
    // A node that knows no other yet doesn't take the whole.
    EXPECT_DOUBLE_EQ(RetryBudget::maximumBurstOfNode, RetryBudget::burstOfNode(630, 1));
}

TEST(RetryBudgetTest, ExtraAttempts_AnyMoments_StayWithinTheWindowBeforeEach)
{
    constexpr double share = 0.2;
    std::mt19937_64 random(7);
    RetryBudget budget(share, 2);
    std::deque<TimePoint> calls;
    std::deque<TimePoint> taken;
    TimePoint now { Duration(1000000) };
    for (int step = 0; step < 20000; ++step) {
        now += Duration(std::uniform_int_distribution<std::int64_t>(0, 40000)(random));
        if (std::bernoulli_distribution(0.7)(random)) {
            budget.addCall(now);
            calls.push_back(now);
            continue;
        }
        if (!budget.tryTake(now))
            continue;
        taken.push_back(now);
        while (!calls.empty() && calls.front() <= now - RetryBudget::window)
            calls.pop_front();
        while (!taken.empty() && taken.front() <= now - RetryBudget::window)
            taken.pop_front();
        ASSERT_LE(static_cast<double>(taken.size()), share * static_cast<double>(calls.size()) + 2 + 1e-9);
    }
}

TEST(RetryBudgetTest, QuietTime_Unused_IsNotSpentLater)
{
    RetryBudget budget(0.1, 1);
    for (int call = 0; call < 1000; ++call)
        budget.addCall(TimePoint(Duration(1000000)));
    EXPECT_TRUE(budget.canTake(TimePoint(Duration(5000000))));
    EXPECT_DOUBLE_EQ(1, budget.available(TimePoint(Duration(13000000))));
}

TEST(RetryBudgetTest, RepeatedRuns_MayTakeTheBurstTwice_AndNoMore)
{
    RetryBudget budget(0.1, 2);
    const TimePoint now { Duration(1000000) };
    int taken = 0;
    for (int count = 0; count < 10; ++count)
        taken += budget.tryTakeForRepeatedRun(now);
    EXPECT_EQ(4, taken);
    EXPECT_FALSE(budget.tryTake(now));
}

} // namespace
