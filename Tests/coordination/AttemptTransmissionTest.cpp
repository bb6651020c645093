#include "coordination/attempts/AttemptTransmission.h"

#include <gtest/gtest.h>

using namespace Knapweedquay;

namespace {

class AttemptTransmissionTest : public ::testing::Test {
protected:
    AttemptTransmission m_transmission;
};

} // namespace

TEST_F(AttemptTransmissionTest, OnlyCopy_Returned_HasCertainlyNotRun)
{
    m_transmission.copyHandedOver();
    EXPECT_TRUE(m_transmission.copyReturned());
}

// A booking whose resend had arrived was taken for not run, as its first copy came back, and ran at a second endpoint.
TEST_F(AttemptTransmissionTest, FirstCopy_ReturnedAfterAResendWasSent_MayHaveRun)
{
    m_transmission.copyHandedOver();
    m_transmission.copyHandedOver();
    m_transmission.copySent();
    EXPECT_FALSE(m_transmission.copyReturned());
}

TEST_F(AttemptTransmissionTest, Resend_ReturnedAfterTheFirstCopyWasSent_MayHaveRun)
{
    m_transmission.copyHandedOver();
    m_transmission.copySent();
    m_transmission.copyHandedOver();
    EXPECT_FALSE(m_transmission.copyReturned());
}

TEST_F(AttemptTransmissionTest, OneOfTwoWaitingCopies_Returned_MayStillRun)
{
    m_transmission.copyHandedOver();
    m_transmission.copyHandedOver();
    EXPECT_FALSE(m_transmission.copyReturned());
    EXPECT_TRUE(m_transmission.hasWaitingCopy());
    EXPECT_TRUE(m_transmission.copyReturned());
    EXPECT_FALSE(m_transmission.hasWaitingCopy());
}
