#include "CallSimulation.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <functional>
#include <string>
#include <utility>
#include <vector>

using namespace Knapweedquay;

namespace {

constexpr std::size_t callCount = 120;
constexpr double budgetShare = 0.1;

FaultProbabilities anyFaults()
{
    const auto upToPercent = [](int percent) { return *rc::gen::inRange(0, percent + 1) / 100.0; };
    return { upToPercent(30), upToPercent(30), upToPercent(20), upToPercent(20), upToPercent(20), upToPercent(10), upToPercent(50), upToPercent(20), upToPercent(100) };
}

// Whatever the faults are, a non-idempotent call runs at most once, and a call reported as "not run" did not run.
void checkGuarantees(const CallSimulation::Call& call, std::size_t index)
{
    RC_ASSERT(call.outcome.has_value());
    RC_ASSERT(call.finishedAt <= call.parameters.deadline + cancelGrace);
    // Attempts refused by the endpoint's node reach no backend server, so they have a limit of their own.
    RC_ASSERT(call.attempts - call.refused.size() <= call.parameters.limits.maximumAttempts);
    RC_ASSERT(call.runs <= call.parameters.limits.maximumAttempts);
    RC_ASSERT(call.attempts <= maximumEndpointsPerCall);
    if (!call.parameters.isIdempotent)
        RC_ASSERT(call.runs <= 1U);
    if (call.outcome->kind == CallOutcome::Kind::NotRun) {
        RC_ASSERT(call.runs == 0U);
        RC_ASSERT(call.outcome->retryAfter > Duration(0));
    }
    if (call.outcome->kind == CallOutcome::Kind::Answered)
        RC_ASSERT(call.outcome->answer->body == std::to_string(index));
}

RC_GTEST_PROP(OutgoingCallProperty, AnyFaults_ManyCalls_KeepEveryGuarantee, ())
{
    CallSimulation simulation(*rc::gen::arbitrary<std::uint64_t>(), anyFaults(), budgetShare);
    simulation.run(callCount);
    RC_ASSERT(simulation.calls().size() == callCount);
    for (std::size_t index = 0; index < simulation.calls().size(); ++index)
        checkGuarantees(simulation.calls()[index], index);
    // Retries and hedges have separate budgets.
    const double allowed = 2 * (budgetShare * static_cast<double>(simulation.nonRepeatCalls()) + RetryBudget::defaultBurst);
    RC_ASSERT(static_cast<double>(simulation.extraAttempts()) <= allowed);
}

RC_GTEST_PROP(OutgoingCallProperty, NoFaults_ManyCalls_AreNeverUnknownBeforeTheirDeadline, ())
{
    CallSimulation simulation(*rc::gen::arbitrary<std::uint64_t>(), {}, budgetShare);
    simulation.run(callCount);
    for (const auto& call : simulation.calls()) {
        RC_ASSERT(call.outcome.has_value());
        if (call.outcome->kind == CallOutcome::Kind::Unknown)
            RC_ASSERT(call.finishedAt >= call.parameters.deadline);
    }
}

RC_GTEST_PROP(RetryBudgetProperty, AnyOrder_ExtraAttempts_StayWithinShare, ())
{
    const double share = *rc::gen::inRange(0, 101) / 100.0;
    RetryBudget budget(share);
    double calls = 0;
    double taken = 0;
    for (const bool isCall : *rc::gen::arbitrary<std::vector<bool>>()) {
        if (isCall) {
            budget.addCall({});
            ++calls;
        } else
            taken += budget.tryTake({});
        RC_ASSERT(taken <= share * calls + RetryBudget::defaultBurst);
    }
    if (share == 0)
        RC_ASSERT(taken == 0);
}

/// Nested calls, 19 levels deep: each run of an attempt makes one call at the next level.
class CallChain {
public:
    static constexpr std::size_t levelCount = 19;

    /// isLossy: returns whether the answers of attempts at this level are lost after they ran.
    explicit CallChain(std::function<bool(std::size_t level)> isLossy)
        : m_isLossy(std::move(isLossy))
    {
    }

    void call(std::size_t level = 0, bool isRepeat = false)
    {
        if (level == levelCount)
            return;
        CallParameters parameters;
        parameters.isIdempotent = true;
        parameters.isRepeat = isRepeat;
        parameters.deadline = TimePoint(Duration(1000000));
        Level& own = m_levels[level];
        OutgoingCall outgoingCall(parameters, { own.retries, own.hedges }, [&] { return AttemptId { NodeId("origin"), Incarnation(1), ++own.attempts }; });
        perform(level, outgoingCall, outgoingCall.handle(CallStarted {}, {}));
    }

    std::uint64_t attempts(std::size_t level) const { return m_levels[level].attempts; }

private:
    struct Level {
        RetryBudget retries;
        RetryBudget hedges;
        std::uint64_t attempts;
    };

    void perform(std::size_t level, OutgoingCall& outgoingCall, const CallActions& actions)
    {
        for (const CallAction& action : actions) {
            if (const auto* choose = std::get_if<ChooseEndpoint>(&action))
                perform(level, outgoingCall, outgoingCall.handle(EndpointChosen { NodeId(std::to_string(choose->excluded.size())), Incarnation(1) }, {}));
            if (const auto* send = std::get_if<SendAttempt>(&action)) {
                call(level + 1, send->isRepeat);
                if (m_isLossy(level))
                    perform(level, outgoingCall, outgoingCall.handle(LinkLost { send->node }, {}));
                else
                    perform(level, outgoingCall, outgoingCall.handle(AttemptAnswered { send->attempt, nullptr }, {}));
            }
        }
    }

    std::function<bool(std::size_t)> m_isLossy;
    std::vector<Level> m_levels = std::vector<Level>(levelCount, Level { RetryBudget(budgetShare), RetryBudget(budgetShare), 0 });
};

TEST(CallChainTest, OneLevelLosesAllAnswers_NineteenLevels_AddOneRetryShare)
{
    constexpr double calls = 2000;
    for (std::size_t lossyLevel = 0; lossyLevel < CallChain::levelCount; lossyLevel += 6) {
        CallChain chain([=](std::size_t level) { return level == lossyLevel; });
        for (int count = 0; count < calls; ++count)
            chain.call();
        for (std::size_t level = 0; level < CallChain::levelCount; ++level)
            EXPECT_LE(chain.attempts(level), calls * (1 + budgetShare) + RetryBudget::defaultBurst);
    }
}

TEST(CallChainTest, EveryLevelLosesAllAnswers_NineteenLevels_DoNotMultiplyRetries)
{
    constexpr double calls = 2000;
    CallChain chain([](std::size_t) { return true; });
    for (int count = 0; count < calls; ++count)
        chain.call();
    // Each level adds its own share of the initial calls; it does not multiply the retries of the levels above.
    for (std::size_t level = 0; level < CallChain::levelCount; ++level) {
        const double levels = static_cast<double>(level) + 1;
        EXPECT_LE(chain.attempts(level), calls * (1 + levels * budgetShare) + levels * RetryBudget::defaultBurst);
    }
}

} // namespace
