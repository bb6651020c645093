#include "coordination/presence/BackendReachability.h"

#include <gtest/gtest.h>

using namespace Knapweedquay;
using namespace std::chrono_literals;

TEST(BackendReachabilityTest, ConnectionRefused_UntilOneOpens_AdmitsNoCalls)
{
    const TimePoint now { 10s };
    BackendReachability backend;
    EXPECT_TRUE(backend.mayTry(now));
    backend.connectionRefused(now);
    EXPECT_FALSE(backend.isReachable());
    EXPECT_FALSE(backend.mayTry(now + 40ms));
    backend.connectionOpened();
    EXPECT_TRUE(backend.mayTry(now + 40ms));
}

TEST(BackendReachabilityTest, ConnectionRefused_NoOtherProbes_AdmitsCallPerRetryInterval)
{
    const TimePoint now { 10s };
    BackendReachability backend;
    backend.connectionRefused(now);
    EXPECT_TRUE(backend.mayTry(now + 300ms));
    backend.connectionRefused(now + 301ms);
    EXPECT_FALSE(backend.mayTry(now + 400ms));
}
