#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>

namespace Knapweedquay::Load {

/// How a stand-in backend server misbehaves at the moment.
struct BackendModes {
    /// Factor on every service time.
    double slowdown = 1;
    /// Answers 500 at once, having run the request.
    bool failFast = false;
    /// Answers 503 at once, without running the request.
    bool refuse = false;
    /// Requests from now on that take coldFactor times as long.
    std::uint64_t coldCalls = 0;
    double coldFactor = 5;
    /// Runs requests but keeps the answers back until it is switched off.
    bool freezeAnswers = false;
    /// Sends half of the body that the Content-Length promises, then closes.
    bool shortBody = false;
    /// Keeps each answer back for this long after the work is done.
    std::uint64_t answerDelayMs = 0;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(BackendModes, slowdown, failFast, refuse, coldCalls, coldFactor, freezeAnswers, shortBody, answerDelayMs)

} // namespace Knapweedquay::Load
