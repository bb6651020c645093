#include "coordination/admission/AdmissionQueue.h"

#include <gtest/gtest.h>

#include <map>

using namespace Knapweedquay;

namespace {

constexpr Duration millisecond { 1000 };
constexpr Duration second { 1000000 };

/// Simulates an endpoint of eight slots, with short urgent calls and long calls of lower urgency.
class AdmissionReserveTest : public testing::Test {
protected:
    static constexpr std::uint32_t slots = 8;
    static constexpr Duration urgentServiceTime = 30 * millisecond;
    static constexpr Duration longServiceTime = 330 * millisecond;

    static ServiceDocument makeDocument()
    {
        ServiceDocument document;
        for (const Duration target : { 120 * millisecond, 1500 * millisecond }) {
            Priority priority;
            priority.target = target;
            priority.maximumQueueTime = 4 * second;
            document.priorities.push_back(priority);
        }
        return document;
    }

    AdmissionKind offer(std::uint32_t priority, Duration targetLeft)
    {
        const CallTicket ticket(++m_lastTicket);
        const AdmissionKind kind = m_queue.offer(ticket, PriorityIndex(priority), m_now + 10 * second, m_now, m_now + targetLeft).kind;
        m_priorities[ticket] = priority;
        if (kind == AdmissionKind::Started)
            start(ticket);
        startQueued();
        return kind;
    }

    void startQueued()
    {
        for (const CallTicket ticket : m_queue.takeStartable(m_now).started)
            start(ticket);
    }

    void start(CallTicket ticket)
    {
        m_ends.emplace(m_now + (m_priorities[ticket] == 0 ? urgentServiceTime : longServiceTime), ticket);
    }

    void advanceTo(TimePoint next)
    {
        while (!m_ends.empty() && m_ends.begin()->first <= next) {
            m_now = m_ends.begin()->first;
            const CallTicket ended = m_ends.begin()->second;
            m_ends.erase(m_ends.begin());
            m_queue.finished(ended, BackendOutcome::Succeeded, m_now);
            startQueued();
        }
        m_now = next;
    }

    TimePoint m_now { second };
    AdmissionQueue m_queue { makeDocument(), slots };
    std::uint64_t m_lastTicket = 0;
    std::map<CallTicket, std::uint32_t> m_priorities;
    std::multimap<TimePoint, CallTicket> m_ends;
};

// A flood of long calls together with a steady stream of short urgent calls. Without reserved slots, most of the urgent
// calls waited for a long call to end.
TEST_F(AdmissionReserveTest, FloodOfLongCalls_SteadyUrgentCalls_UrgentCallsStartImmediately)
{
    int urgent = 0;
    int startedImmediately = 0;
    const TimePoint warmUpEnd = m_now + 2 * second;
    const TimePoint end = m_now + 12 * second;
    for (int step = 0; m_now < end; ++step) {
        advanceTo(m_now + 5 * millisecond);
        offer(1, 1500 * millisecond);
        if (step % 5 != 0)
            continue;
        const AdmissionKind kind = offer(0, 120 * millisecond);
        urgent += m_now > warmUpEnd ? 1 : 0;
        startedImmediately += m_now > warmUpEnd && kind == AdmissionKind::Started ? 1 : 0;
    }
    EXPECT_GE(startedImmediately, urgent * 9 / 10);
    // Only the slots for the usual number of urgent calls are reserved.
    EXPECT_GE(m_queue.report().running, slots / 2);
}

TEST_F(AdmissionReserveTest, NoUrgentCalls_LongCalls_UseAllSlots)
{
    for (std::uint32_t index = 0; index < slots; ++index)
        EXPECT_EQ(AdmissionKind::Started, offer(1, 1500 * millisecond));
}

TEST_F(AdmissionReserveTest, UrgentCallsStop_LongCallsQueued_AllCallsComplete)
{
    for (int step = 0; step < 100; ++step) {
        advanceTo(m_now + 10 * millisecond);
        offer(0, 120 * millisecond);
    }
    for (std::uint32_t index = 0; index < 2 * slots; ++index)
        offer(1, 1500 * millisecond);
    advanceTo(m_now + 3 * second);
    EXPECT_TRUE(m_queue.isEmpty());
}

// A machine slows down to a seventh of its speed. A late call that started on it occupied its slot until long after the
// slowdown.
TEST_F(AdmissionReserveTest, MachineSlowsDown_LateCall_IsRefusedImmediately)
{
    for (int step = 0; step < 200; ++step) {
        advanceTo(m_now + 10 * millisecond);
        offer(0, 120 * millisecond);
    }
    EXPECT_EQ(AdmissionKind::Started, offer(0, Duration(0))) << "late, but at nominal speed";
    m_queue.setSlowdown(700, m_now);
    EXPECT_EQ(AdmissionKind::Refused, offer(0, Duration(0)));
}

} // namespace
