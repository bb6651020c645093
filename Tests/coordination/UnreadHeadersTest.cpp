#include "coordination/presence/UnreadHeaders.h"

#include <gtest/gtest.h>

namespace Knapweedquay {

namespace {

using Names = std::vector<std::string>;

} // namespace

TEST(UnreadHeadersTest, Header_NotKnown_IsReportedOnce)
{
    UnreadHeaders headers({ "Knapweedquay-Load" });
    EXPECT_EQ(headers.add({ { "knapweedquay-load", "1,0,12" }, { "Server-Limit", "8" }, { "Connection", "close" } }), Names { "Server-Limit" });
    EXPECT_EQ(headers.add({ { "SERVER-LIMIT", "9" }, { "Server-Leaving", "1" } }), Names { "Server-Leaving" });
}

TEST(UnreadHeadersTest, Headers_WithNewNamesAgainAndAgain_AreReportedUpToABound)
{
    UnreadHeaders headers({});
    std::size_t reported = headers.add({ { std::string(100, 'a'), "" } }).size();
    EXPECT_EQ(reported, 0u);
    for (int number = 0; number < 1000; ++number)
        reported += headers.add({ { "X-" + std::to_string(number), "" } }).size();
    EXPECT_EQ(reported, 32u);
}

} // namespace Knapweedquay
