#include "protocol/PeerMessages.h"

#include "protocol/Cbor.h"

#include <gtest/gtest.h>

using namespace Knapweedquay;

namespace {

ProbeAnswerMessage answerWithRate(std::optional<RequestRate> rate)
{
    ProbeAnswerMessage message;
    message.service = ServiceName("dispatch");
    message.load.draining = true;
    message.load.requestRate = rate;
    return message;
}

} // namespace

// Nodes of release 0.2 close the link on a load report with further fields.
TEST(PeerMessagesTest, LoadReportWithRate_EncodedForEarlierRelease_HasTheFieldsOfThatRelease)
{
    const auto decoded = decodeCbor(encode(answerWithRate(RequestRate(10.7))), maximumPeerMessageBytes);
    ASSERT_TRUE(decoded.has_value());
    constexpr std::size_t typeSequenceServiceAndLoad = 3 + 9;
    EXPECT_EQ(typeSequenceServiceAndLoad, decoded.value().size());
    EXPECT_TRUE(decoded.value().back().is_boolean());
    EXPECT_EQ(encode(answerWithRate(std::nullopt)), encode(answerWithRate(RequestRate(10.7))));
}

TEST(PeerMessagesTest, LoadReport_EncodedByEarlierOrThisRelease_IsRead)
{
    for (const LoadEncoding encoding : { LoadEncoding::Basic, LoadEncoding::Extended }) {
        const auto decoded = decodePeerMessage(encode(answerWithRate(RequestRate(10.7)), encoding));
        ASSERT_TRUE(decoded.has_value());
        const LoadReport& load = *loadOf(decoded.value());
        EXPECT_TRUE(load.draining);
        EXPECT_EQ(encoding == LoadEncoding::Extended ? std::optional(RequestRate(10.7)) : std::nullopt, load.requestRate);
    }
}

TEST(PeerMessagesTest, ExtendedLoadReport_WithFieldsOfALaterRelease_IsRead)
{
    auto fields = decodeCbor(encode(answerWithRate(RequestRate(8)), LoadEncoding::Extended), maximumPeerMessageBytes).value();
    fields.back().push_back("later");
    const auto decoded = decodePeerMessage(encodeCbor(fields));
    ASSERT_TRUE(decoded.has_value());
    EXPECT_EQ(RequestRate(8), loadOf(decoded.value())->requestRate);
    fields.back()[1] = "not a number";
    EXPECT_TRUE(decodePeerMessage(encodeCbor(fields)).has_error());
}
