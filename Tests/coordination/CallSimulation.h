#pragma once

#include "coordination/attempts/AttemptTransmission.h"
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

/// Probabilities of the faults that a CallSimulation injects, each 0..1.
struct FaultProbabilities {
    /// Per copy of an attempt: it waits for its link, also while that is up.
    double copyWaits = 0;
    /// Per message.
    double messageLost = 0;
    double messageDuplicated = 0;
    /// Per endpoint and fault interval.
    double linkUnresponsive = 0;
    double linkLost = 0;
    double nodeRestarted = 0;
    /// Per attempt that an endpoint's node receives.
    double refused = 0;
    /// Per call.
    double callerDisconnected = 0;
    /// Per simulation: the origin node stops at some time.
    double originStops = 0;
};

/// Simulates one origin node and several endpoint nodes with real fate tables, over a faulty network in virtual time.
class CallSimulation {
public:
    /// A call of the origin node and what became of its attempts.
    struct Call {
        std::unique_ptr<OutgoingCall> stateMachine;
        CallParameters parameters;
        /// Unset until the call has finished.
        std::optional<CallOutcome> outcome;
        TimePoint finishedAt;
        /// Attempts that the call has requested to send; a resend of the same attempt is not counted.
        std::size_t attempts = 0;
        /// Attempts that the endpoint's node refused, or that were never sent.
        std::set<AttemptId> refused;
        /// Number of attempts that a backend server started to run.
        std::size_t runs = 0;
        /// Invalidates a scheduled timer event when the timer is set again or cleared.
        std::size_t timerGeneration = 0;
    };

    CallSimulation(std::uint64_t seed, const FaultProbabilities&, double budgetShare);

    /// Starts the calls within the next second and runs until no event is scheduled.
    void run(std::size_t callCount);

    const std::vector<Call>& calls() const { return m_calls; }
    /// Attempts after the first of each call, except those that replace an attempt that reached no backend server.
    std::size_t extraAttempts() const;
    /// Calls that are not themselves a retry or hedge of an upstream level.
    std::size_t nonRepeatCalls() const { return m_nonRepeatCalls; }

private:
    /// An endpoint's node with its fate table, and the link from the origin node to it.
    struct Endpoint {
        NodeId node;
        Incarnation incarnation { 1 };
        std::unique_ptr<FateTable> table;
        /// Admitted attempts that wait for a slot.
        std::set<AttemptId> queued;
        /// Id of the current link; it changes whenever the link is restored.
        ConnectionId connection { 1 };
        /// False from a detected loss of the link until it is restored; copies of attempts wait meanwhile.
        bool isLinkUp = true;
        std::vector<SendAttempt> waitingCopies {};
        /// While true, every message is lost although the link is not reported as lost.
        bool isLinkUnresponsive = false;
    };

    void schedule(Duration delay, std::function<void()>);
    void transmit(const Endpoint&, std::function<void()> deliver);
    bool chance(double probability) { return std::bernoulli_distribution(probability)(m_random); }
    Duration randomUpTo(Duration longest) { return Duration(std::uniform_int_distribution<std::int64_t>(1, longest.count())(m_random)); }

    void startCall();
    /// Lets the origin node stop: its calls are limited, those that start later, too, and what waits at its end is ended.
    void stopOrigin();
    void injectFaults(Endpoint&);
    void sendCopy(Endpoint&, const SendAttempt&);
    /// Gives the waiting copies back unsent.
    void returnCopies(Endpoint&);
    void loseLink(Endpoint&);
    void restoreLink(Endpoint&);
    void restart(Endpoint&);
    void dispatch(std::size_t call, const CallEvent&);
    void dispatchToAll(const CallEvent&);

    void perform(std::size_t call, const ChooseEndpoint&);
    void perform(std::size_t call, const SendAttempt&);
    void perform(std::size_t call, const CancelAttempt&);
    void perform(std::size_t call, const LimitAttempt&);
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
    /// Index of the call that each attempt belongs to.
    std::map<AttemptId, std::size_t> m_callOf;
    std::map<AttemptId, AttemptTransmission> m_transmissions;
    RetryBudget m_retries;
    RetryBudget m_hedges;
    std::uint64_t m_sequence = 0;
    std::size_t m_nonRepeatCalls = 0;
    /// Time until which answers are passed on; set once the origin node stops.
    std::optional<TimePoint> m_answersBy;
};

} // namespace Knapweedquay
