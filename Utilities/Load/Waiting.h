#pragma once

#include <chrono>
#include <thread>

namespace Knapweedquay::Load {

/// Polls until a condition holds; false when it does not hold within the timeout.
template <typename Condition>
bool waitUntil(Condition condition, std::chrono::milliseconds timeout)
{
    constexpr std::chrono::milliseconds pollInterval { 20 };
    const auto end = std::chrono::steady_clock::now() + timeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end)
            return false;
        std::this_thread::sleep_for(pollInterval);
    }
    return true;
}

} // namespace Knapweedquay::Load
