#include "coordination/admission/AdmissionQueue.h"
#include "state/RoutingDocument.h"

#include <gtest/gtest.h>

#include <map>

using namespace Knapweedquay;

namespace {

constexpr Duration millisecond { 1000 };
constexpr Duration second { 1000000 };

/// Simulates an endpoint with workspaces that gets twice as much new work as it can do, and short calls that requests running at
/// other backend servers make.
class AdmissionRunsTest : public testing::Test {
protected:
    static constexpr std::uint32_t slots = 13;
    static constexpr Duration workServiceTime = 160 * millisecond;
    static constexpr Duration runServiceTime = 32 * millisecond;

    static RoutingDocument makeRouting()
    {
        RoutingDocument routing;
        routing.version = 1;
        const ServiceName service("s");
        RoutedService routed;
        routed.name = service;
        routing.services.push_back(routed);
        for (std::uint32_t rank = 0; rank < 2; ++rank) {
            RoutingRule rule;
            rule.host = "h";
            rule.pathPrefix = "/" + std::to_string(rank) + "/";
            rule.rank = Rank(rank);
            rule.target = rank == 0 ? 500 * millisecond : 120 * millisecond;
            rule.timeout = 3 * second;
            rule.targets.push_back({ service, 1 });
            routing.rules.push_back(rule);
        }
        routing.workspaces.push_back({ WorkspaceName("harbour"), {}, std::nullopt, {} });
        return routing;
    }

    AdmissionDecision offer(PriorityIndex priority, Duration serviceTime, Duration deadline, Duration target)
    {
        const CallTicket ticket(++m_lastTicket);
        m_serviceTimes[ticket] = serviceTime;
        const AdmissionDecision decision = m_queue.offer(ticket, priority, m_now + deadline, m_now, m_now + target);
        if (decision.kind == AdmissionKind::Started)
            start(ticket);
        startQueued();
        return decision;
    }

    void start(CallTicket ticket)
    {
        m_ends.emplace(m_now + m_serviceTimes.at(ticket), ticket);
        m_startedRuns += m_serviceTimes.at(ticket) == runServiceTime ? 1 : 0;
    }

    void startQueued()
    {
        for (const CallTicket ticket : m_queue.takeStartable(m_now).started)
            start(ticket);
    }

    void advance(Duration time)
    {
        const TimePoint next = m_now + time;
        while (!m_ends.empty() && m_ends.begin()->first <= next) {
            m_now = m_ends.begin()->first;
            const CallTicket ended = m_ends.begin()->second;
            m_ends.erase(m_ends.begin());
            m_queue.finished(ended, BackendOutcome::Succeeded, m_now);
            startQueued();
        }
        m_now = next;
        startQueued();
    }

    const RoutingDocument m_routing = makeRouting();
    TimePoint m_now { second };
    AdmissionQueue m_queue { documentFromRoutes(m_routing, ServiceName("s")), slots };
    std::uint64_t m_lastTicket = 0;
    std::map<CallTicket, Duration> m_serviceTimes;
    std::multimap<TimePoint, CallTicket> m_ends;
    int m_startedRuns = 0;
};

} // namespace

TEST_F(AdmissionRunsTest, MoreNewWorkThanFits_CallsOfRunningRequestsAreServed)
{
    const PriorityIndex work = priorityOfRank(m_routing, ranksOf(m_routing), Rank(0));
    constexpr int steps = 2500;
    int calls = 0;
    for (int step = 0; step < steps; ++step) {
        // 167 requests of new work a second, where 81 fit, and 40 calls of runs.
        if (step % 6 < 2)
            offer(work, workServiceTime, 3 * second, 500 * millisecond);
        if (step % 12 == 0) {
            offer(PriorityIndex(runPriorityIndex), runServiceTime, 400 * millisecond, 400 * millisecond);
            ++calls;
        }
        advance(2 * millisecond);
    }
    advance(400 * millisecond);
    constexpr double goal = 0.99;
    EXPECT_GT(m_startedRuns, goal * calls);
}

TEST_F(AdmissionRunsTest, CallsOfRunningRequestsCome_NewWorkTakesAllFreeSlots)
{
    const PriorityIndex work = priorityOfRank(m_routing, ranksOf(m_routing), Rank(0));
    for (int call = 0; call < 100; ++call) {
        offer(PriorityIndex(runPriorityIndex), runServiceTime, 400 * millisecond, 400 * millisecond);
        advance(10 * millisecond);
    }
    advance(second);
    // Soon after the last of them more are likely to come.
    for (int call = 0; call < 3; ++call)
        offer(PriorityIndex(runPriorityIndex), runServiceTime, 400 * millisecond, 400 * millisecond);
    advance(runServiceTime);
    for (std::uint32_t slot = 0; slot < slots; ++slot)
        EXPECT_EQ(AdmissionKind::Started, offer(work, workServiceTime, 3 * second, 500 * millisecond).kind) << slot;
}
