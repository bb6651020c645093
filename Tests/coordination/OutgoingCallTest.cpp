#include "coordination/attempts/OutgoingCall.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>

using namespace Knapweedquay;

namespace {

class OutgoingCallTest : public ::testing::Test {
protected:
    OutgoingCallTest() { m_parameters.deadline = m_now + Duration(1000000); }

    static AttemptId attempt(std::uint64_t sequence) { return { NodeId("origin"), Incarnation(1), sequence }; }

    void makeCall()
    {
        m_call = std::make_unique<OutgoingCall>(m_parameters, CallBudgets { m_retries, m_hedges }, [this] { return attempt(++m_sequence); });
    }

    void begin()
    {
        makeCall();
        handle(CallStarted {});
        handle(EndpointChosen { NodeId("a"), Incarnation(1) });
    }

    /// Begins an idempotent call and lets the time pass after which it is hedged.
    void beginUntilHedge()
    {
        m_parameters.isIdempotent = true;
        m_parameters.hedgeDelay = Duration(1000);
        begin();
        handle(AttemptAccepted { attempt(1) });
        advance(Duration(1000));
    }

    void handle(const CallEvent& event)
    {
        for (auto& action : m_call->handle(event, m_now))
            m_actions.push_back(std::move(action));
    }

    void advance(Duration duration)
    {
        m_now += duration;
        handle(TimerFired {});
    }

    template <typename Action>
    std::size_t count() const
    {
        return std::count_if(m_actions.begin(), m_actions.end(), [](const auto& action) { return std::holds_alternative<Action>(action); });
    }

    template <typename Action>
    const Action& last() const
    {
        const auto found = std::find_if(m_actions.rbegin(), m_actions.rend(), [](const auto& action) { return std::holds_alternative<Action>(action); });
        return std::get<Action>(*found);
    }

    void expectOutcome(CallOutcome::Kind kind, ResultCode code)
    {
        ASSERT_TRUE(m_call->isFinished());
        EXPECT_EQ(kind, last<FinishCall>().outcome.kind);
        EXPECT_EQ(code, last<FinishCall>().outcome.code);
    }

    TimePoint m_now {};
    CallParameters m_parameters;
    RetryBudget m_retries { 0.1 };
    RetryBudget m_hedges { 0.1 };
    std::uint64_t m_sequence = 0;
    std::unique_ptr<OutgoingCall> m_call;
    CallActions m_actions;
};

// The timer of the first attempt was overwritten by that of the event before, so that neither a silent link nor a due hedge was noticed.
TEST_F(OutgoingCallTest, ChoiceAnsweredWhileItIsPerformed_LastTimerIsThatOfTheAttempt)
{
    m_parameters.isIdempotent = true;
    m_parameters.hedgeDelay = Duration(1000);
    makeCall();
    std::optional<TimePoint> timer;
    const std::function<void(const CallEvent&)> perform = [&](const CallEvent& event) {
        for (const CallAction& action : m_call->handle(event, m_now)) {
            if (std::holds_alternative<ChooseEndpoint>(action))
                perform(EndpointChosen { NodeId("a"), Incarnation(1) });
            else if (const auto* set = std::get_if<SetTimer>(&action))
                timer = set->at;
        }
    };
    perform(CallStarted {});
    ASSERT_TRUE(timer);
    EXPECT_EQ(m_now + Duration(1000), *timer);
    perform(AttemptAccepted { attempt(1) });
    EXPECT_EQ(m_now + Duration(1000), *timer);
}

TEST_F(OutgoingCallTest, ExpiredCall_Started_IsNotRun)
{
    m_parameters.deadline = m_now + hopMargin;
    begin();
    EXPECT_EQ(0u, count<ChooseEndpoint>());
    EXPECT_EQ(0u, count<SendAttempt>());
    expectOutcome(CallOutcome::Kind::NotRun, ResultCode::DeadlineExpired);
}

// A call whose attempt was lost with the endpoint's node was held until its own node ended, and cut.
TEST_F(OutgoingCallTest, NodeEnds_AttemptsAreLost_IsUnknownAtOnce)
{
    begin();
    handle(LinkLost { NodeId("a") });
    handle(NodeEnds {});
    expectOutcome(CallOutcome::Kind::Unknown, ResultCode::OutcomeUnknown);
}

TEST_F(OutgoingCallTest, NodeEnds_AttemptIsInHand_GoesOn)
{
    begin();
    handle(AttemptAccepted { attempt(1) });
    handle(NodeEnds {});
    EXPECT_FALSE(m_call->isFinished());
    handle(AttemptAnswered { attempt(1), std::make_shared<const HttpResponse>(HttpResponse { 200, {}, "answer" }) });
    expectOutcome(CallOutcome::Kind::Answered, ResultCode::Ok);
}

TEST_F(OutgoingCallTest, NodeEnds_NothingWasSent_IsNotRun)
{
    m_call = std::make_unique<OutgoingCall>(m_parameters, CallBudgets { m_retries, m_hedges }, [this] { return attempt(++m_sequence); });
    handle(NodeEnds {});
    expectOutcome(CallOutcome::Kind::NotRun, ResultCode::Draining);
}

// Calls that waited at another node when theirs stopped were cut, and ran afterwards.
TEST_F(OutgoingCallTest, NodeStops_AttemptWaitsElsewhere_IsLimitedAndThenNotRun)
{
    begin();
    handle(AttemptAccepted { attempt(1) });
    handle(NodeStops { m_now + Duration(400000) });
    ASSERT_EQ(1u, count<LimitAttempt>());
    EXPECT_EQ(Duration(400000), last<LimitAttempt>().answerWithin);
    handle(AttemptRefused { attempt(1), { ResultCode::DeadlineCannotBeMet } });
    handle(NoEndpointAvailable {});
    expectOutcome(CallOutcome::Kind::NotRun, ResultCode::Draining);
}

// An attempt is limited once its endpoint's node has it: after the order, over another link, or whole at last.
TEST_F(OutgoingCallTest, NodeStops_AttemptIsAcceptedLater_IsLimitedThen)
{
    begin();
    handle(NodeStops { m_now + Duration(400000) });
    EXPECT_EQ(0u, count<LimitAttempt>());
    advance(Duration(100000));
    handle(AttemptAccepted { attempt(1) });
    EXPECT_EQ(Duration(300000), last<LimitAttempt>().answerWithin);
    handle(LinkLost { NodeId("a") });
    handle(LinkRestored { NodeId("a"), Incarnation(1) });
    handle(AttemptAccepted { attempt(1) });
    EXPECT_EQ(2u, count<LimitAttempt>());
}

TEST_F(OutgoingCallTest, NodeStops_HedgedCall_BothAttemptsAreLimited)
{
    beginUntilHedge();
    handle(EndpointChosen { NodeId("b"), Incarnation(1) });
    handle(AttemptAccepted { attempt(2) });
    handle(NodeStops { m_now + Duration(400000) });
    EXPECT_EQ(2u, count<LimitAttempt>());
}

TEST_F(OutgoingCallTest, NodeStops_DeadlineIsEarlier_NothingIsLimited)
{
    begin();
    handle(AttemptAccepted { attempt(1) });
    handle(NodeStops { m_parameters.deadline });
    EXPECT_EQ(0u, count<LimitAttempt>());
}

TEST_F(OutgoingCallTest, NodeStops_TimeIsUp_NoOtherAttemptIsSent)
{
    begin();
    handle(AttemptAccepted { attempt(1) });
    handle(NodeStops { m_now + Duration(400000) });
    advance(Duration(400000));
    handle(AttemptRefused { attempt(1), { ResultCode::DeadlineCannotBeMet } });
    EXPECT_EQ(1u, count<ChooseEndpoint>());
    expectOutcome(CallOutcome::Kind::NotRun, ResultCode::Draining);
}

TEST_F(OutgoingCallTest, GivenUp_AttemptIsInHand_IsUnknownAndCancelled)
{
    begin();
    handle(AttemptAccepted { attempt(1) });
    handle(CallGivenUp {});
    EXPECT_EQ(1u, count<CancelAttempt>());
    expectOutcome(CallOutcome::Kind::Unknown, ResultCode::OutcomeUnknown);
}

// An attempt that was in hand when its node was about to end was cut if its link was lost only then.
TEST_F(OutgoingCallTest, NodeEnds_AttemptIsLostAfterwards_IsUnknownAtOnce)
{
    begin();
    handle(AttemptAccepted { attempt(1) });
    handle(NodeEnds {});
    EXPECT_FALSE(m_call->isFinished());
    handle(LinkLost { NodeId("a") });
    expectOutcome(CallOutcome::Kind::Unknown, ResultCode::OutcomeUnknown);
}

TEST_F(OutgoingCallTest, Attempt_Answered_FinishesWithItsAnswer)
{
    begin();
    EXPECT_EQ(Duration(1000000) - hopMargin, last<SendAttempt>().remaining);
    handle(AttemptAnswered { attempt(1), std::make_shared<const HttpResponse>(HttpResponse { 200, {}, "answer" }) });
    expectOutcome(CallOutcome::Kind::Answered, ResultCode::Ok);
    EXPECT_EQ("answer", last<FinishCall>().outcome.answer->body);
}

TEST_F(OutgoingCallTest, NonIdempotentDeadline_CancelAcknowledgedNotRun_IsNotRun)
{
    begin();
    handle(AttemptAccepted { attempt(1) });
    advance(Duration(1000000));
    EXPECT_EQ(1u, count<CancelAttempt>());
    EXPECT_FALSE(m_call->isFinished());
    handle(CancelAcknowledged { attempt(1), CancelResult::NotRun });
    expectOutcome(CallOutcome::Kind::NotRun, ResultCode::DeadlineExpired);
}

TEST_F(OutgoingCallTest, NonIdempotentDeadline_NoAcknowledgement_IsUnknownAfterGrace)
{
    begin();
    handle(AttemptAccepted { attempt(1) });
    advance(Duration(1000000));
    advance(cancelGrace);
    expectOutcome(CallOutcome::Kind::Unknown, ResultCode::OutcomeUnknown);
}

TEST_F(OutgoingCallTest, UnresponsiveLink_AcceptanceTimeout_IsReplacedAndAttemptResent)
{
    begin();
    advance(m_parameters.acceptanceTimeout);
    EXPECT_EQ(1u, count<ReplaceLink>());
    handle(LinkRestored { NodeId("a"), Incarnation(1) });
    EXPECT_EQ(2u, count<SendAttempt>());
    EXPECT_TRUE(last<SendAttempt>().isResend);
    EXPECT_EQ(attempt(1), last<SendAttempt>().attempt);
}

TEST_F(OutgoingCallTest, NonIdempotentLinkLost_NewIncarnation_IsUnknown)
{
    begin();
    handle(LinkLost { NodeId("a") });
    EXPECT_EQ(1u, count<ChooseEndpoint>());
    handle(LinkRestored { NodeId("a"), Incarnation(2) });
    EXPECT_EQ(1u, count<SendAttempt>());
    expectOutcome(CallOutcome::Kind::Unknown, ResultCode::OutcomeUnknown);
}

TEST_F(OutgoingCallTest, NonIdempotentRefused_OtherEndpoint_IsTried)
{
    begin();
    handle(AttemptRefused { attempt(1), { ResultCode::Overloaded, Duration(5), false } });
    ASSERT_EQ(2u, count<ChooseEndpoint>());
    EXPECT_EQ(std::vector<NodeId> { NodeId("a") }, last<ChooseEndpoint>().excluded);
    handle(EndpointChosen { NodeId("b"), Incarnation(1) });
    EXPECT_FALSE(last<SendAttempt>().isRepeat);
}

TEST_F(OutgoingCallTest, RefusedForLackOfProofOfItsKey_OtherEndpoint_IsTried)
{
    begin();
    handle(AttemptRefused { attempt(1), { ResultCode::KeyUnproved, Duration(5) } });
    ASSERT_EQ(2u, count<ChooseEndpoint>());
    handle(NoEndpointAvailable { { ResultCode::NoEndpoint } });
    expectOutcome(CallOutcome::Kind::NotRun, ResultCode::KeyUnproved);
}

TEST_F(OutgoingCallTest, FleetWideOverload_Refused_FinishesAtOnceWithRetryAfter)
{
    begin();
    handle(AttemptRefused { attempt(1), { ResultCode::Overloaded, Duration(5), true } });
    expectOutcome(CallOutcome::Kind::NotRun, ResultCode::Overloaded);
    EXPECT_EQ(Duration(5), last<FinishCall>().outcome.retryAfter);
}

TEST_F(OutgoingCallTest, IdempotentLinkLost_OtherEndpoint_IsTriedAsRepeat)
{
    m_parameters.isIdempotent = true;
    begin();
    handle(LinkLost { NodeId("a") });
    handle(EndpointChosen { NodeId("b"), Incarnation(1) });
    EXPECT_TRUE(last<SendAttempt>().isRepeat);
    handle(AttemptRefused { attempt(2), { ResultCode::Overloaded, Duration(0), true } });
    advance(Duration(1000000));
    expectOutcome(CallOutcome::Kind::Unknown, ResultCode::OutcomeUnknown);
}

TEST_F(OutgoingCallTest, RepeatOfUpstreamLevel_LinkLost_IsNotRetried)
{
    m_parameters.isIdempotent = true;
    m_parameters.isRepeat = true;
    begin();
    handle(LinkLost { NodeId("a") });
    EXPECT_EQ(1u, count<ChooseEndpoint>());
}

TEST_F(OutgoingCallTest, SlowIdempotentCall_HedgeAnswersFirst_OtherIsCancelled)
{
    beginUntilHedge();
    EXPECT_TRUE(last<ChooseEndpoint>().isHedge);
    handle(EndpointChosen { NodeId("b"), Incarnation(1) });
    handle(AttemptAnswered { attempt(2), std::make_shared<const HttpResponse>(HttpResponse { 200, {}, "answer" }) });
    expectOutcome(CallOutcome::Kind::Answered, ResultCode::Ok);
    EXPECT_EQ(attempt(1), last<CancelAttempt>().attempt);
}

// What an endpoint's node refuses has not reached the backend server, so it isn't an extra attempt there.
TEST_F(OutgoingCallTest, HedgeRefusedByItsNode_Budgets_GetItBack)
{
    beginUntilHedge();
    const double before = m_retries.available(m_now);
    handle(EndpointChosen { NodeId("b"), Incarnation(1) });
    handle(AttemptRefused { attempt(2), { ResultCode::Overloaded } });
    EXPECT_DOUBLE_EQ(before + 1, m_retries.available(m_now));
    EXPECT_DOUBLE_EQ(m_retries.available(m_now), m_hedges.available(m_now));
}

TEST_F(OutgoingCallTest, BackendServers_ThatCrashUnderACall_AreAtMostTwo)
{
    m_parameters.isIdempotent = true;
    m_parameters.limits.maximumAttempts = 4;
    begin();
    handle(AttemptUnknown { attempt(1), ResultCode::BackendCrashed });
    EXPECT_EQ(2U, count<ChooseEndpoint>());
    handle(EndpointChosen { NodeId("b"), Incarnation(1) });
    handle(AttemptUnknown { attempt(2), ResultCode::BackendCrashed });
    expectOutcome(CallOutcome::Kind::Unknown, ResultCode::BackendCrashed);
}

// The first attempt may have reached a backend server, so whichever attempt runs after it is an extra one.
TEST_F(OutgoingCallTest, RetryAfterALossRefusedByItsNode_NextAttempt_IsCharged)
{
    m_parameters.isIdempotent = true;
    m_parameters.limits.maximumAttempts = 3;
    begin();
    const double before = m_retries.available(m_now);
    handle(AttemptUnknown { attempt(1), ResultCode::AnswerIncomplete });
    for (std::uint64_t refused = 2; refused < 4; ++refused) {
        handle(EndpointChosen { NodeId("b" + std::to_string(refused)), Incarnation(1) });
        handle(AttemptRefused { attempt(refused), { ResultCode::Overloaded } });
    }
    EXPECT_EQ(4U, count<ChooseEndpoint>());
    EXPECT_DOUBLE_EQ(before - 1, m_retries.available(m_now));
}

TEST_F(OutgoingCallTest, HedgeRefusedByTheBackendServer_Budgets_StayCharged)
{
    beginUntilHedge();
    const double before = m_retries.available(m_now);
    handle(EndpointChosen { NodeId("b"), Incarnation(1) });
    handle(AttemptRefused { attempt(2), { ResultCode::BackendRefused } });
    EXPECT_DOUBLE_EQ(before, m_retries.available(m_now));
}

TEST_F(OutgoingCallTest, SlowIdempotentCall_HedgeBudgetExhausted_IsNotHedged)
{
    while (m_hedges.tryTake(m_now)) { }
    beginUntilHedge();
    EXPECT_EQ(1u, count<ChooseEndpoint>());
}

TEST_F(OutgoingCallTest, CallerDisconnected_BeforeStart_SendsNothing)
{
    m_call = std::make_unique<OutgoingCall>(m_parameters, CallBudgets { m_retries, m_hedges }, [this] { return attempt(++m_sequence); });
    handle(CallerDisconnected {});
    handle(CallStarted {});
    EXPECT_EQ(0u, count<ChooseEndpoint>());
    expectOutcome(CallOutcome::Kind::NotRun, ResultCode::CancelledBeforeStart);
}

TEST_F(OutgoingCallTest, CallerDisconnected_NonIdempotentQueued_IsCancelled)
{
    begin();
    handle(CallerDisconnected {});
    EXPECT_EQ(1u, count<CancelAttempt>());
    handle(CancelAcknowledged { attempt(1), CancelResult::NotRun });
    expectOutcome(CallOutcome::Kind::NotRun, ResultCode::CancelledBeforeStart);
}

TEST_F(OutgoingCallTest, SuspendedOrigin_RefusalHandledAfterDeadline_StartsNoAttempt)
{
    begin();
    m_now += Duration(5000000);
    handle(AttemptRefused { attempt(1), Refusal { ResultCode::Overloaded } });
    EXPECT_EQ(1u, count<ChooseEndpoint>());
    EXPECT_EQ(CallOutcome::Kind::NotRun, last<FinishCall>().outcome.kind);
}

TEST_F(OutgoingCallTest, RefusedByNodes_BudgetExhausted_IsSentToOtherEndpointsUpToLimit)
{
    while (m_retries.tryTake(m_now)) { }
    m_parameters.limits.maximumAttempts = 2;
    begin();
    for (std::uint64_t sequence = 1; sequence < maximumEndpointsPerCall; ++sequence) {
        handle(AttemptRefused { attempt(sequence), { ResultCode::Overloaded, Duration(1000) } });
        ASSERT_EQ(sequence + 1, count<ChooseEndpoint>());
        handle(EndpointChosen { NodeId("node-" + std::to_string(sequence)), Incarnation(1) });
    }
    handle(AttemptRefused { attempt(maximumEndpointsPerCall), { ResultCode::Overloaded, Duration(1000) } });
    EXPECT_EQ(maximumEndpointsPerCall, count<SendAttempt>());
    expectOutcome(CallOutcome::Kind::NotRun, ResultCode::Overloaded);
}

TEST_F(OutgoingCallTest, RefusedByBackendServer_BudgetExhausted_IsNotSentAgain)
{
    while (m_retries.tryTake(m_now)) { }
    begin();
    handle(AttemptRefused { attempt(1), { ResultCode::BackendRefused, Duration(1000) } });
    EXPECT_EQ(1u, count<SendAttempt>());
    expectOutcome(CallOutcome::Kind::NotRun, ResultCode::BackendRefused);
}

TEST_F(OutgoingCallTest, IdempotentFailure_OtherEndpointAnswers_ReportsThatAnswer)
{
    m_parameters.isIdempotent = true;
    begin();
    handle(AttemptFailed { attempt(1), std::make_shared<const HttpResponse>(HttpResponse { 200, {}, "failure" }) });
    ASSERT_EQ(2u, count<ChooseEndpoint>());
    handle(EndpointChosen { NodeId("b"), Incarnation(1) });
    EXPECT_TRUE(last<SendAttempt>().isRepeat);
    handle(AttemptAnswered { attempt(2), std::make_shared<const HttpResponse>(HttpResponse { 200, {}, "answer" }) });
    expectOutcome(CallOutcome::Kind::Answered, ResultCode::Ok);
    EXPECT_EQ("answer", last<FinishCall>().outcome.answer->body);
}

TEST_F(OutgoingCallTest, IdempotentFailure_NoOtherEndpoint_ReportsFailure)
{
    m_parameters.isIdempotent = true;
    begin();
    handle(AttemptFailed { attempt(1), std::make_shared<const HttpResponse>(HttpResponse { 200, {}, "failure" }) });
    handle(NoEndpointAvailable {});
    expectOutcome(CallOutcome::Kind::Answered, ResultCode::Ok);
    EXPECT_EQ("failure", last<FinishCall>().outcome.answer->body);
}

TEST_F(OutgoingCallTest, NonIdempotentFailure_Reported_IsNotSentAgain)
{
    begin();
    handle(AttemptFailed { attempt(1), std::make_shared<const HttpResponse>(HttpResponse { 200, {}, "failure" }) });
    EXPECT_EQ(1u, count<SendAttempt>());
    expectOutcome(CallOutcome::Kind::Answered, ResultCode::Ok);
}

// Guards against a missing hedge when a machine slows down while it runs a call.
TEST_F(OutgoingCallTest, IdempotentCall_EndpointSlowed_IsHedgedAtOnce)
{
    m_parameters.isIdempotent = true;
    m_parameters.target = Duration(250000);
    begin();
    m_now += Duration(50000);
    handle(EndpointSlowed { NodeId("other") });
    EXPECT_EQ(1u, count<ChooseEndpoint>());
    handle(EndpointSlowed { NodeId("a") });
    EXPECT_EQ(2u, count<ChooseEndpoint>());
    handle(EndpointSlowed { NodeId("a") });
    EXPECT_EQ(2u, count<ChooseEndpoint>());
}

TEST_F(OutgoingCallTest, EndpointSlowed_TargetPassedOrNonIdempotent_IsNotHedged)
{
    m_parameters.target = Duration(250000);
    begin();
    handle(EndpointSlowed { NodeId("a") });
    EXPECT_EQ(1u, count<ChooseEndpoint>());
    m_parameters.isIdempotent = true;
    m_actions.clear();
    begin();
    handle(AttemptAccepted { attempt(2) });
    m_now += Duration(260000);
    handle(EndpointSlowed { NodeId("a") });
    EXPECT_EQ(1u, count<ChooseEndpoint>());
}

} // namespace
