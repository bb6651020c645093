#include "coordination/transfers/TransferSchedule.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <iterator>
#include <map>
#include <numeric>
#include <vector>

using namespace Knapweedquay;

namespace {

constexpr std::size_t partBytes = 10;
constexpr std::size_t linkWindow = 40;

class TransferScheduleTest : public testing::Test {
protected:
    /// Numbers of the transfers of all parts that may be sent now.
    std::vector<std::uint64_t> takeAll()
    {
        std::vector<std::uint64_t> transfers;
        while (const auto part = m_schedule.next())
            transfers.push_back(part->transfer.value());
        return transfers;
    }

    TransferSchedule m_schedule { { partBytes, linkWindow } };
};

TEST_F(TransferScheduleTest, Body_WindowIsNotOpen_NothingIsSent)
{
    m_schedule.add(TransferId(1), 100);
    EXPECT_FALSE(m_schedule.next());
    EXPECT_EQ(100U, m_schedule.unsentBytes());
    m_schedule.grant(TransferId(1), 15);
    EXPECT_EQ((std::vector<std::uint64_t> { 1, 1 }), takeAll());
    EXPECT_EQ(85U, m_schedule.unsentBytes());
}

// A small body waited until all of a large one before it was sent.
TEST_F(TransferScheduleTest, TwoBodies_InTheirWindows_TakeTurns)
{
    m_schedule.add(TransferId(1), 1000);
    m_schedule.add(TransferId(2), 20);
    m_schedule.grant(TransferId(1), 1000);
    m_schedule.grant(TransferId(2), 1000);
    EXPECT_EQ((std::vector<std::uint64_t> { 1, 2, 1, 2 }), takeAll());
}

TEST_F(TransferScheduleTest, BodyWithoutRoomAtItsReceiver_OthersPassIt)
{
    m_schedule.add(TransferId(1), 1000);
    m_schedule.add(TransferId(2), 20);
    m_schedule.grant(TransferId(2), 20);
    EXPECT_EQ((std::vector<std::uint64_t> { 2, 2 }), takeAll());
}

TEST_F(TransferScheduleTest, RemovedBody_ItsUnacknowledgedBytes_LeaveTheLinksWindow)
{
    m_schedule.add(TransferId(1), 1000);
    m_schedule.add(TransferId(2), 1000);
    m_schedule.grant(TransferId(1), 1000);
    EXPECT_EQ(4U, takeAll().size());
    m_schedule.grant(TransferId(2), 1000);
    EXPECT_TRUE(takeAll().empty());
    m_schedule.remove(TransferId(1));
    EXPECT_EQ((std::vector<std::uint64_t> { 2, 2, 2, 2 }), takeAll());
}

/// Sends bodies over a link whose receiver opens windows, acknowledges and refuses at random.
RC_GTEST_PROP(TransferScheduleProperty, AnyBodies_AreSentInOrderWithinTheirWindows, ())
{
    struct Receiver {
        std::size_t bytes = 0;
        std::size_t received = 0;
        std::size_t allowed = 0;
        std::size_t unacknowledged = 0;
    };
    TransferSchedule schedule({ partBytes, linkWindow });
    std::map<std::uint64_t, Receiver> receivers;
    std::uint64_t last = 0;
    const auto anyReceiver = [&receivers] { return std::next(receivers.begin(), *rc::gen::inRange<std::ptrdiff_t>(0, static_cast<std::ptrdiff_t>(receivers.size()))); };
    const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 10));
    for (const int step : steps) {
        if (step == 0 || receivers.empty()) {
            const std::size_t bytes = *rc::gen::inRange<std::size_t>(1, 200);
            receivers[++last].bytes = bytes;
            schedule.add(TransferId(last), bytes);
        } else if (step == 1) {
            const auto receiver = anyReceiver();
            schedule.remove(TransferId(receiver->first));
            receivers.erase(receiver);
        } else if (step <= 5) {
            const auto receiver = anyReceiver();
            Receiver& state = receiver->second;
            const std::size_t credit = state.allowed == 0 ? *rc::gen::inRange<std::size_t>(1, 60) : *rc::gen::inRange<std::size_t>(0, state.unacknowledged + 1);
            state.unacknowledged -= state.allowed == 0 ? 0 : credit;
            state.allowed += credit;
            schedule.grant(TransferId(receiver->first), credit);
            if (state.received == state.bytes && state.unacknowledged == 0)
                receivers.erase(receiver);
        } else if (const auto part = schedule.next()) {
            RC_ASSERT(receivers.count(part->transfer.value()) == 1u);
            Receiver& state = receivers[part->transfer.value()];
            RC_ASSERT(part->offset == state.received);
            RC_ASSERT(part->bytes > 0u);
            RC_ASSERT(part->bytes <= partBytes);
            state.received += part->bytes;
            state.unacknowledged += part->bytes;
            RC_ASSERT(state.received <= std::min(state.bytes, state.allowed));
            RC_ASSERT(part->isLast == (state.received == state.bytes));
        } else {
            const auto isDue = [](const auto& entry) { return entry.second.received < std::min(entry.second.bytes, entry.second.allowed); };
            const auto add = [](std::size_t sum, const auto& entry) { return sum + entry.second.unacknowledged; };
            const bool isFull = std::accumulate(receivers.begin(), receivers.end(), std::size_t { 0 }, add) >= linkWindow;
            RC_ASSERT(isFull || std::none_of(receivers.begin(), receivers.end(), isDue));
        }
        std::size_t unsent = 0;
        std::size_t unacknowledged = 0;
        for (const auto& entry : receivers) {
            unsent += entry.second.bytes - entry.second.received;
            unacknowledged += entry.second.unacknowledged;
        }
        RC_ASSERT(unacknowledged <= linkWindow);
        RC_ASSERT(schedule.unsentBytes() == unsent);
    }
}

} // namespace
