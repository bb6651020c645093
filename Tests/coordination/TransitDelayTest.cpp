#include "coordination/placing/TransitDelay.h"

#include <gtest/gtest.h>

using namespace Knapweedquay;
using namespace std::chrono_literals;

namespace {

class TransitDelayTest : public testing::Test {
protected:
    /// The sender's clock is some hours away from the receiver's.
    Duration excessOf(Duration sentAt, Duration onItsWay) { return m_delay.excess(TimePoint(sentAt + 5h), TimePoint(sentAt + onItsWay)); }

    TransitDelay m_delay;
};

TEST_F(TransitDelayTest, UsualDelay_AnyClockDifference_HasNoExcess)
{
    EXPECT_EQ(0us, excessOf(1s, 1ms));
    EXPECT_EQ(0us, excessOf(2s, 1ms));
}

TEST_F(TransitDelayTest, ReceiverFrozen_MessageReadLate_HasItsWaitAsExcess)
{
    excessOf(1s, 1ms);
    EXPECT_EQ(3s, excessOf(2s, 3001ms));
    EXPECT_EQ(0us, excessOf(6s, 1ms));
}

TEST_F(TransitDelayTest, ClocksDrifted_AfterTwoWindows_AreNoExcess)
{
    excessOf(1s, 1ms);
    excessOf(100s, 5ms);
    EXPECT_EQ(0us, excessOf(200s, 5ms));
}

} // namespace
