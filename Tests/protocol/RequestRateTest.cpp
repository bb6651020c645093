#include "protocol/RequestRate.h"

#include "protocol/ProblemDetails.h"

#include <gtest/gtest.h>

using namespace Knapweedquay;

TEST(RequestRateTest, DecimalNumbers_Parsed_AreAccepted)
{
    const std::pair<const char*, double> cases[] = { { "8", 8 }, { "10.7", 10.7 }, { "0", 0 }, { "0.25", 0.25 }, { " 7.5\t", 7.5 }, { "12.", 12 }, { "1000000000", 1e9 } };
    for (const auto& [text, value] : cases) {
        const auto rate = parseRequestRate(text);
        ASSERT_TRUE(rate) << text;
        EXPECT_EQ(value, rate->value()) << text;
    }
    EXPECT_GE(parseRequestRate(std::string(400, '9'))->value(), unlimitedRequestsPerSecond);
}

TEST(RequestRateTest, OtherTexts_Parsed_AreRejected)
{
    for (const char* text : { "", " ", "-1", "+1", "inf", "nan", "1e3", "0x10", "8 9", "8,9", "8/s", ".5", "eight" })
        EXPECT_FALSE(parseRequestRate(text)) << text;
}

TEST(RetryAfterTest, Responses_OfBackendServers_TellSecondsOrNothing)
{
    using namespace std::chrono_literals;
    const auto retryAfter = [](const char* text) { return retryAfterOf({ 503, { { "retry-after", text } }, {} }); };
    EXPECT_EQ(Duration(250ms), retryAfter("0.25"));
    EXPECT_EQ(Duration(2s), retryAfter("2"));
    EXPECT_EQ(Duration(1h), retryAfter("99999999999999999999"));
    EXPECT_FALSE(retryAfter("Fri, 31 Dec 2027 23:59:59 GMT"));
    EXPECT_FALSE(retryAfterOf({ 503, {}, {} }));
}
