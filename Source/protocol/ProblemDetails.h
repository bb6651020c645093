#pragma once

#include "protocol/HttpMessage.h"
#include "protocol/Result.h"
#include "protocol/Time.h"

#include <cstdint>
#include <string>

namespace Knapweedquay {

/// What is known about a call when the node responds to its caller.
enum class CallOutcomeKind : std::uint8_t {
    /// The backend server's complete response is forwarded.
    Answered,
    /// The request did not run and never will.
    NotRun,
    /// The request may have run.
    Unknown,
};

/// Value of the Knapweedquay-Outcome header: "answered", "not-run" or "unknown".
const char* outcomeName(CallOutcomeKind);

/// Names of headers that are the same in all deployments.
namespace HeaderName {
constexpr const char* outcome = "Knapweedquay-Outcome";
constexpr const char* deadlineMilliseconds = "Knapweedquay-Deadline-Ms";
constexpr const char* priority = "Knapweedquay-Priority";
constexpr const char* attempt = "Knapweedquay-Attempt";
constexpr const char* depth = "Knapweedquay-Depth";
constexpr const char* retryAfterMilliseconds = "Knapweedquay-Retry-After-Ms";
constexpr const char* retryAfter = "Retry-After";
constexpr const char* idempotencyKey = "Idempotency-Key";
constexpr const char* authenticate = "WWW-Authenticate";
} // namespace HeaderName

/// Returns a problem details response (RFC 9457) with the numbered code and the outcome. A positive retryAfter adds
/// Retry-After in whole seconds, rounded up (RFC 9110, 10.2.3), and a header with the value in milliseconds.
HttpResponse problemResponse(const Error&, CallOutcomeKind, Duration retryAfter = Duration::zero());

/// Time that the Retry-After header of a response tells, in seconds with an optional fraction and at most an hour. Nothing
/// when there is none or it is a date.
std::optional<Duration> retryAfterOf(const HttpResponse&);

} // namespace Knapweedquay
