#include "transport/StopDeadline.h"

#include "transport/DaemonMain.h"

#include <gtest/gtest.h>

#include <mutex>
#include <thread>

using namespace Knapweedquay;
using namespace std::chrono_literals;

// Some processes were still there when the platform's grace ended.
TEST(StopDeadlineTest, BlockedThread_TimePasses_ProcessEnds)
{
    testing::FLAGS_gtest_death_test_style = "threadsafe";
    const auto stopWhileBlocked = [] {
        std::mutex blocked;
        blocked.lock();
        std::thread storage([&blocked] { blocked.lock(); });
        endProcessAfter(100ms);
        storage.join();
    };
    EXPECT_EXIT(stopWhileBlocked(), testing::ExitedWithCode(exitFailed), "did not stop within 100 ms");
}
