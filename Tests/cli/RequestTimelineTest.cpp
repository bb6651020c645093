#include "cli/RequestTimeline.h"

#include <gtest/gtest.h>

using namespace Knapweedquay::Cli;

namespace {

std::string logLine(const std::string& request, int wall, int event, const std::string& node)
{
    return R"({"time":"x","event":)" + std::to_string(event) + R"(,"node":")" + node + R"(","text":"t","fields":{"request":")" + request + R"(","code":"200","wall_us":")" + std::to_string(wall) + "\"}}\n";
}

} // namespace

TEST(RequestTimelineTest, Events_OfTwoNodes_AreSortedByTime)
{
    RequestTimeline timeline("r-1");
    timeline.addLog(logLine("r-1", 1000, 610, "a") + logLine("r-2", 1001, 610, "a") + "no JSON r-1\n" + logLine("r-1", 4000, 616, "a"));
    timeline.addLog("  12.5 collector " + logLine("r-1", 2000, 621, "b"));
    const auto rows = timeline.rows();
    ASSERT_EQ(3u, rows.size());
    EXPECT_EQ(610, rows[0]["event"]);
    EXPECT_EQ(621, rows[1]["event"]);
    EXPECT_EQ("b", rows[1]["node"]);
    EXPECT_EQ(1000, rows[1]["time_us"]);
    EXPECT_EQ("code=200", rows[1]["details"]);
    EXPECT_EQ(616, rows[2]["event"]);
}
