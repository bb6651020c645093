#include "coordination/admission/AdmissionQueue.h"

#include <gtest/gtest.h>

#include <map>

using namespace Knapweedquay;

namespace {

constexpr Duration millisecond { 1000 };
constexpr Duration second { 1000000 };

/// An endpoint of eight slots with short urgent calls and long ones that may wait.
class AdmissionReserveTest : public testing::Test {
protected:
    static constexpr std::uint32_t slots = 8;
    static constexpr Duration urgentWork = 30 * millisecond;
    static constexpr Duration longWork = 330 * millisecond;

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
        startDue();
        return kind;
    }

    void startDue()
    {
        for (const CallTicket ticket : m_queue.takeStartable(m_now).started)
            start(ticket);
    }

    void start(CallTicket ticket)
    {
        m_ends.emplace(m_now + (m_priorities[ticket] == 0 ? urgentWork : longWork), ticket);
    }

    void advanceTo(TimePoint next)
    {
        while (!m_ends.empty() && m_ends.begin()->first <= next) {
            m_now = m_ends.begin()->first;
            const CallTicket ended = m_ends.begin()->second;
            m_ends.erase(m_ends.begin());
            m_queue.finished(ended, BackendOutcome::Succeeded, m_now);
            startDue();
        }
        m_now = next;
    }

    TimePoint m_now { second };
    AdmissionQueue m_queue { makeDocument(), slots };
    std::uint64_t m_lastTicket = 0;
    std::map<CallTicket, std::uint32_t> m_priorities;
    std::multimap<TimePoint, CallTicket> m_ends;
};

// Replays a flood of long calls beside the short calls of running requests. Without a reserve most of these waited for a
// long call to end.
TEST_F(AdmissionReserveTest, FloodOfLongCalls_UrgentCallsComeSteadily_StartAtOnce)
{
    int urgent = 0;
    int atOnce = 0;
    const TimePoint warm = m_now + 2 * second;
    const TimePoint end = m_now + 12 * second;
    for (int step = 0; m_now < end; ++step) {
        advanceTo(m_now + 5 * millisecond);
        offer(1, 1500 * millisecond);
        if (step % 5 != 0)
            continue;
        const AdmissionKind kind = offer(0, 120 * millisecond);
        urgent += m_now > warm ? 1 : 0;
        atOnce += m_now > warm && kind == AdmissionKind::Started ? 1 : 0;
    }
    EXPECT_GE(atOnce, urgent * 9 / 10);
    // The reserve is for what usually comes, not for all.
    EXPECT_GE(m_queue.report().running, slots / 2);
}

TEST_F(AdmissionReserveTest, NoUrgentCalls_LongOnes_UseAllSlots)
{
    for (std::uint32_t index = 0; index < slots; ++index)
        EXPECT_EQ(AdmissionKind::Started, offer(1, 1500 * millisecond));
}

TEST_F(AdmissionReserveTest, UrgentCallsStop_LongOnesWait_AllStartInTheEnd)
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

// Replays a machine that turns slow sevenfold: a late call that began there held its slot for long after that.
TEST_F(AdmissionReserveTest, MachineTurnsSlow_LateCall_IsRefusedAtOnce)
{
    for (int step = 0; step < 200; ++step) {
        advanceTo(m_now + 10 * millisecond);
        offer(0, 120 * millisecond);
    }
    EXPECT_EQ(AdmissionKind::Started, offer(0, Duration(0))) << "late, but at the usual speed";
    m_queue.setSlowdown(700, m_now);
    EXPECT_EQ(AdmissionKind::Refused, offer(0, Duration(0)));
}

} // namespace
