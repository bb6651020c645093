#include "coordination/attempts/IdempotencyKeyTable.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <vector>

using namespace Knapweedquay;

namespace {

constexpr std::size_t nodeCount = 3;
constexpr std::size_t keyCount = 2;
constexpr std::size_t stepCount = 200;

/// Simulates several nodes that receive calls and a claim register; messages are lost, delayed and duplicated.
class KeyedCallSimulation {
public:
    explicit KeyedCallSimulation(std::uint64_t seed)
        : m_random(seed)
    {
        for (std::size_t node = 0; node < nodeCount; ++node)
            restart(node);
    }

    void run()
    {
        for (std::size_t step = 0; step < stepCount; ++step) {
            m_now += Duration(1);
            takeStep();
            for (const auto& [key, runs] : m_runs)
                RC_ASSERT(runs <= 1);
        }
    }

private:
    std::size_t randomBelow(std::size_t bound) { return m_random() % bound; }

    void takeStep()
    {
        const std::size_t node = randomBelow(nodeCount);
        switch (randomBelow(8)) {
        case 0:
        case 1:
            return request(node);
        case 2:
            return endCall();
        case 3:
            return m_tables[node]->expire(m_now);
        case 4:
            if (!randomBelow(4))
                restart(node);
            return;
        default:
            return deliver();
        }
    }

    // A new incarnation of the node starts with an empty table.
    void restart(std::size_t node)
    {
        m_tables[node] = std::make_unique<IdempotencyKeyTable>(IdempotencyKeyTableLimits { Duration(20), 2, 16 });
    }

    void request(std::size_t node)
    {
        const ClaimOwner owner { NodeId(std::to_string(node)), Incarnation(1), ++m_sequence };
        const KeyedRequest keyed { ServiceName("dispatch"), IdempotencyKey(std::to_string(randomBelow(keyCount))), RequestFingerprint(1) };
        perform(node, m_tables[node]->request(keyed, owner));
    }

    void perform(std::size_t node, const KeyActions& actions)
    {
        for (const KeyAction& action : actions) {
            if (const auto* claim = std::get_if<RequestClaim>(&action)) {
                m_network.push_back([=, claim = *claim] { receiveClaim(node, claim); });
                m_network.push_back([=, owner = claim->owner] { perform(node, m_tables[node]->claimUnavailable(owner)); });
            } else if (const auto* release = std::get_if<ReleaseClaim>(&action))
                m_network.push_back([=, release = *release] { receiveRelease(release); });
            else if (const auto* start = std::get_if<RunKeyedCall>(&action))
                m_active.push_back({ node, start->owner });
            else if (const auto* replay = std::get_if<ReplayAnswer>(&action))
                RC_ASSERT(replay->answer->body == "answer");
        }
    }

    // The reference model of the claim register: never removes holders or released owners.
    void receiveClaim(std::size_t node, const RequestClaim& claim)
    {
        const auto& key = claim.request.key;
        if (m_released.count(claim.owner))
            return;
        const bool isGranted = m_holders.try_emplace(key, claim.owner).first->second == claim.owner;
        m_keys[claim.owner] = key;
        m_network.push_back([=, owner = claim.owner] {
            perform(node, isGranted ? m_tables[node]->claimGranted(owner) : m_tables[node]->claimDenied(owner, ResultCode::AlreadyRunning));
        });
    }

    void receiveRelease(const ReleaseClaim& release)
    {
        m_released.insert(release.owner);
        const auto holder = m_holders.find(release.request.key);
        if (holder != m_holders.end() && holder->second == release.owner)
            m_holders.erase(holder);
    }

    // After a call that did not run, another call may use the key; every other outcome counts as a run.
    void endCall()
    {
        if (m_active.empty())
            return;
        const std::size_t index = randomBelow(m_active.size());
        const auto [node, owner] = m_active[index];
        m_active.erase(m_active.begin() + static_cast<std::ptrdiff_t>(index));
        CallOutcome outcome;
        outcome.kind = static_cast<CallOutcome::Kind>(randomBelow(3));
        if (outcome.kind == CallOutcome::Kind::Answered)
            outcome.answer = std::make_shared<const HttpResponse>(HttpResponse { 200, {}, "answer" });
        if (outcome.kind != CallOutcome::Kind::NotRun)
            ++m_runs[m_keys.at(owner)];
        perform(node, m_tables[node]->finish(owner, outcome, m_now));
    }

    void deliver()
    {
        if (m_network.empty())
            return;
        const std::size_t index = randomBelow(m_network.size());
        const auto message = m_network[index];
        if (randomBelow(4))
            m_network.erase(m_network.begin() + static_cast<std::ptrdiff_t>(index));
        message();
    }

    std::mt19937_64 m_random;
    TimePoint m_now {};
    std::map<std::size_t, std::unique_ptr<IdempotencyKeyTable>> m_tables;
    std::vector<std::function<void()>> m_network;
    std::vector<std::pair<std::size_t, ClaimOwner>> m_active;
    std::map<IdempotencyKey, ClaimOwner> m_holders;
    std::map<ClaimOwner, IdempotencyKey> m_keys;
    std::set<ClaimOwner> m_released;
    std::map<IdempotencyKey, int> m_runs;
    std::uint64_t m_sequence = 0;
};

RC_GTEST_PROP(IdempotencyKeyProperty, AnySchedule_KeyOnSeveralNodes_RunsAtMostOnce, ())
{
    KeyedCallSimulation(*rc::gen::arbitrary<std::uint64_t>()).run();
}

} // namespace
