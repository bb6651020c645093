#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

namespace Knapweedquay::Load {

/// Faults that a stand-in backend server injects; the defaults inject none. POST /modes changes them.
struct BackendModes {
    /// Factor by which every service time is multiplied.
    double slowdown = 1;
    /// Records the request as run and answers 500 at once.
    bool failFast = false;
    /// Answers 503 at once, without running the request.
    bool refuse = false;
    /// Number of following requests whose service time is multiplied by coldFactor.
    std::uint64_t coldCalls = 0;
    /// Factor on the service time of the cold calls.
    double coldFactor = 5;
    /// Runs requests but sends no answers until this is switched off; they are sent then.
    bool freezeAnswers = false;
    /// Sends half of the body announced by Content-Length, then closes the connection.
    bool shortBody = false;
    /// Time between the end of the work, or the arrival of a health check, and the sending of its answer.
    std::uint64_t answerDelayMs = 0;
    /// Value of the header that limits the requests per second, in every answer; empty to send none.
    std::string requestLimit;
    /// Value of the header that tells that the backend server leaves, in every answer; empty to send none.
    std::string leaving;
    /// Time for which the backend server is cold from the setting of this mode on. Answers to health checks tell what is left of
    /// it; a negative time is not told.
    std::int64_t coldMs = -1;
    /// Sends the load header in every answer.
    bool reportsLoad = false;
    /// Refuses each third request as not run, and sends the refusal once more on its connection while the next request runs there.
    bool repeatsRefusals = false;
    /// Answers with a body that has no length and does not end.
    bool endlessBody = false;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(BackendModes, slowdown, failFast, refuse, coldCalls, coldFactor, freezeAnswers, shortBody, answerDelayMs, requestLimit, leaving, coldMs, reportsLoad, repeatsRefusals, endlessBody)

} // namespace Knapweedquay::Load
