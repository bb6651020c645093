#pragma once

#include "coordination/attempts/FateTable.h"
#include "coordination/attempts/OutgoingCall.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace Knapweedquay {

/// How often things go wrong in a CallSimulation; faultProbabilities are 0..1.
struct FaultProbabilities {
    double messageLost = 0;
    double messageDuplicated = 0;
    double linkUnresponsive = 0;
    double linkLost = 0;
    double nodeRestarted = 0;
    double refused = 0;
    double callerDisconnected = 0;
};

/// One origin node and some endpointOf nodes with real fate tables, over a faulty network in virtual time.
class CallSimulation {
public:
    struct Call {
        std::unique_ptr<OutgoingCall> stateMachine;
        CallParameters parameters;
        std::optional<CallOutcome> outcome;
        TimePoint finishedAt;
        std::size_t attempts = 0;
        /// Attempts that the endpointOf's node refused, or that were never sent.
        std::set<AttemptId> refused;
        std::size_t runs = 0;
        std::size_t timerGeneration = 0;
    };

    CallSimulation(std::uint64_t seed, const FaultProbabilities&, double budgetShare);

    /// Starts the calls within the next second and runs until nothing is left to happen.
    void run(std::size_t callCount);

    const std::vector<Call>& calls() const { return m_calls; }
    /// Attempts after the first of endpoint call, but for those that replace an attempt which reached no backend server.
    std::size_t extraAttempts() const;
    std::size_t nonRepeatCalls() const { return m_nonRepeatCalls; }

private:
    struct Endpoint {
        NodeId node;
        Incarnation incarnation { 1 };
        std::unique_ptr<FateTable> table;
        std::set<AttemptId> queued;
        ConnectionId connection { 1 };
        bool isLinkUp = true;
        bool isLinkUnresponsive = false;
    };

    void schedule(Duration delay, std::function<void()>);
    void transmit(const Endpoint&, std::function<void()> deliver);
    bool chance(double probability) { return std::bernoulli_distribution(probability)(m_random); }
    Duration randomUpTo(Duration longest) { return Duration(std::uniform_int_distribution<std::int64_t>(1, longest.count())(m_random)); }

    void startCall();
    void injectFaults(Endpoint&);
    void loseLink(Endpoint&);
    void restoreLink(Endpoint&);
    void restart(Endpoint&);
    void dispatch(std::size_t call, const CallEvent&);
    void dispatchToAll(const CallEvent&);

    void perform(std::size_t call, const ChooseEndpoint&);
    void perform(std::size_t call, const SendAttempt&);
    void perform(std::size_t call, const CancelAttempt&);
    void perform(std::size_t call, const ReplaceLink&);
    void perform(std::size_t call, const SetTimer&);
    void perform(std::size_t call, const ClearTimer&);
    void perform(std::size_t call, const FinishCall&);

    void performFate(Endpoint&, const FateActions&, Duration remaining);
    void reply(Endpoint&, const AttemptId&, const CallEvent&);
    void admit(Endpoint&, const AttemptId&, Duration remaining);
    void startAttempt(Endpoint&, const AttemptId&, TimePoint deadline);
    Endpoint& endpointOf(const NodeId& node) { return m_endpoints.at(std::stoul(node.value())); }

    std::mt19937_64 m_random;
    FaultProbabilities m_faultProbabilities;
    TimePoint m_now {};
    std::multimap<TimePoint, std::function<void()>> m_eventQueue;
    std::vector<Endpoint> m_endpoints;
    std::vector<Call> m_calls;
    std::map<AttemptId, std::size_t> m_callOf;
    RetryBudget m_retries;
    RetryBudget m_hedges;
    std::uint64_t m_sequence = 0;
    std::size_t m_nonRepeatCalls = 0;
};

} // namespace Knapweedquay
