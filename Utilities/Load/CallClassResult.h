#pragma once

#include "Load/CallClass.h"
#include "Load/LatencyHistogram.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace Knapweedquay::Load {

/// What became of the calls of one class.
struct CallClassResult {
    CallClass calls;
    std::uint64_t sent = 0;
    /// Whole right answers with a status below 500.
    std::uint64_t answered = 0;
    /// Answers of the backend server with a status of 500 or above.
    std::uint64_t failed = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    /// Exchanges without an answer: not connected, cut short or timed out.
    std::uint64_t errors = 0;
    /// Answers that are not whole or are another call's.
    std::uint64_t wrong = 0;
    std::uint64_t withinTarget = 0;
    std::map<std::string, std::uint64_t> codes;
    /// Latency of the right answers, from the moment the call was meant to be sent.
    LatencyHistogram latency;

    // Counted after the run, from the records of the stand-ins.
    std::uint64_t doubleRuns = 0;
    std::uint64_t falseNotRun = 0;
    std::uint64_t answeredWithoutRun = 0;

    /// The codes of refusals with their counts, such as "200 x3, 302 x1".
    std::string describeCodes() const;
    double withinTargetShare() const { return sent == 0 ? 1 : static_cast<double>(withinTarget) / static_cast<double>(sent); }
};

/// The result as the machine-readable output has it.
nlohmann::json toJson(const CallClassResult&);

} // namespace Knapweedquay::Load
