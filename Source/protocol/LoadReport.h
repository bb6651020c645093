#pragma once

#include "protocol/Ids.h"
#include "protocol/Time.h"

#include <cstdint>
#include <numeric>
#include <vector>

namespace Knapweedquay {

/// Load of one endpoint as the node beside it sees it. It rides on each answer, refusal and probe answer.
struct LoadReport {
    /// Calls running at the backend server now.
    std::uint32_t running = 0;
    /// Calls that the node lets run at once now.
    std::uint32_t concurrencyLimit = 0;
    /// Calls waiting, per priority; index 0 is the most urgent.
    std::vector<std::uint32_t> queued;
    /// Smoothed time that the backend server takes for one call.
    Duration serviceTime { 0 };
    /// The same for each priority, whose work may differ widely; zero where it is not known, and the list may be short.
    std::vector<Duration> serviceTimes;
    /// Calls completed since the backend server announced itself.
    std::uint64_t completedCalls = 0;
    /// Smoothed share of calls that failed at the backend server, in thousandths. It lets every node keep away from an
    /// endpoint that fails fast without losing a call there first.
    std::uint32_t failuresPerThousand = 0;
    /// How long work takes at the backend server now, in percent of the usual. The service time is that at 100.
    std::uint32_t slowdownPercent = 100;
    bool draining = false;

    /// Calls that run or wait.
    std::uint32_t backlog() const { return std::accumulate(queued.begin(), queued.end(), running); }
};

} // namespace Knapweedquay
