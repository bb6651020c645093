#pragma once

#include "Load/CallClass.h"
#include "Load/LatencyHistogram.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace Knapweedquay::Load {

/// Results of the calls of one class.
struct CallClassResult {
    /// The class that was sent.
    CallClass calls;
    /// Calls sent; a call that is sent through two nodes counts once.
    std::uint64_t sent = 0;
    /// Complete and correct answers with a status below 500.
    std::uint64_t answered = 0;
    /// Answers of the backend server with a status of 500 or above.
    std::uint64_t failed = 0;
    /// Calls whose outcome was "not-run".
    std::uint64_t notRun = 0;
    /// Calls whose outcome was "unknown" or missing.
    std::uint64_t unknown = 0;
    /// Calls without a response: the connection failed, ended too early or the exchange timed out.
    std::uint64_t errors = 0;
    /// Answers whose body is incomplete or belongs to another call.
    std::uint64_t wrong = 0;
    /// Correct answers whose latency was within the target.
    std::uint64_t withinTarget = 0;
    /// Calls that got a response without the outcome "answered", by result code, or by status when it has none.
    std::map<std::string, std::uint64_t> codes;
    /// Latency of the correct answers, from the time at which the call was scheduled to be sent.
    LatencyHistogram latency;

    // The following are counted after the run, from the execution records of the stand-ins.

    /// Calls that must run at most once and ran more often.
    std::uint64_t doubleRuns = 0;
    /// Calls that were reported as not run although they ran.
    std::uint64_t falseNotRun = 0;
    /// Calls that got a correct answer although no stand-in ran them.
    std::uint64_t answeredWithoutRun = 0;

    /// The codes with their counts, such as "200 x3, 302 x1".
    std::string describeCodes() const;
    /// Share of the sent calls that were answered within the target; 1 when none was sent.
    double withinTargetShare() const { return sent == 0 ? 1 : static_cast<double>(withinTarget) / static_cast<double>(sent); }
};

/// The result as in the JSON output.
nlohmann::json toJson(const CallClassResult&);

} // namespace Knapweedquay::Load
