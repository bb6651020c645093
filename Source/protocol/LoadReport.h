#pragma once

#include "protocol/Ids.h"
#include "protocol/RequestRate.h"
#include "protocol/Time.h"

#include <cstdint>
#include <numeric>
#include <optional>
#include <vector>

namespace Knapweedquay {

/// Load of one endpoint as measured by its node. Sent with each answer, refusal and probe answer.
struct LoadReport {
    /// Calls that run at the backend server.
    std::uint32_t running = 0;
    /// Current limit of calls that the node lets run at once.
    std::uint32_t concurrencyLimit = 0;
    /// Queued calls by priority; index 0 is the most urgent.
    std::vector<std::uint32_t> queued;
    /// Smoothed service time of one call at the backend server.
    Duration serviceTime { 0 };
    /// Smoothed service time by priority, since the work of priorities may differ widely. Zero where it is unknown; the
    /// list may end before the last priority.
    std::vector<Duration> serviceTimes;
    /// Calls completed since the backend server announced itself.
    std::uint64_t completedCalls = 0;
    /// Smoothed share of calls that failed at the backend server, in thousandths. With it, nodes avoid an endpoint that
    /// fails fast without first losing a call there.
    std::uint32_t failuresPerThousand = 0;
    /// Current duration of work at the backend server, in percent of the nominal duration. The service times above are
    /// scaled to 100.
    std::uint32_t slowdownPercent = 100;
    /// True when the backend server finishes its calls and takes no new ones.
    bool draining = false;
    /// Requests per second that the backend server takes from all callers together; not set when it names no limit.
    std::optional<RequestRate> requestRate;

    /// Running and queued calls.
    std::uint32_t backlog() const { return std::accumulate(queued.begin(), queued.end(), running); }
};

} // namespace Knapweedquay
