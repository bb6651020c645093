#include "coordination/placing/TransitDelay.h"

#include <gtest/gtest.h>

using namespace Knapweedquay;
using namespace std::chrono_literals;

namespace {

class TransitDelayTest : public testing::Test {
protected:
    /// Excess delay of a message, where the sender's clock is five hours ahead of the receiver's.
    Duration excessOf(Duration sentAt, Duration transitTime) { return m_delay.excess(TimePoint(sentAt + 5h), TimePoint(sentAt + transitTime)); }

    TransitDelay m_delay;
};

TEST_F(TransitDelayTest, ConstantDelay_ClocksDiffer_NoExcess)
{
    EXPECT_EQ(0us, excessOf(1s, 1ms));
    EXPECT_EQ(0us, excessOf(2s, 1ms));
}

TEST_F(TransitDelayTest, ReceiverSuspended_MessageReadLate_WaitIsExcess)
{
    excessOf(1s, 1ms);
    EXPECT_EQ(3s, excessOf(2s, 3001ms));
    EXPECT_EQ(0us, excessOf(6s, 1ms));
}

TEST_F(TransitDelayTest, ClockDrift_AfterTwoWindows_NoExcess)
{
    excessOf(1s, 1ms);
    excessOf(100s, 5ms);
    EXPECT_EQ(0us, excessOf(200s, 5ms));
}

} // namespace
