#include "protocol/ProblemDetails.h"

#include <nlohmann/json.hpp>

namespace Knapweedquay {

const char* outcomeName(CallOutcomeKind outcome)
{
    switch (outcome) {
    case CallOutcomeKind::Answered:
        return "answered";
    case CallOutcomeKind::NotRun:
        return "not-run";
    case CallOutcomeKind::Unknown:
        return "unknown";
    }
    return "unknown";
}

HttpResponse problemResponse(const Error& error, CallOutcomeKind outcome, Duration retryAfter)
{
    const auto code = static_cast<std::uint16_t>(error.code);
    HttpResponse response;
    response.status = httpStatus(error.code);
    const nlohmann::json body = {
        { "type", "urn:knapweedquay:result:" + std::to_string(code) },
        { "title", title(error.code) },
        { "status", response.status },
        { "detail", error.detail },
        { "code", code },
        { "outcome", outcomeName(outcome) },
    };
    response.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    response.headers.push_back({ "Content-Type", "application/problem+json" });
    response.headers.push_back({ HeaderName::outcome, outcomeName(outcome) });
    if (retryAfter > Duration::zero()) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(retryAfter).count();
        const auto milliseconds = std::chrono::ceil<std::chrono::milliseconds>(retryAfter).count();
        response.headers.push_back({ HeaderName::retryAfter, std::to_string(seconds) });
        response.headers.push_back({ HeaderName::retryAfterMilliseconds, std::to_string(milliseconds) });
    }
    return response;
}

std::optional<Duration> retryAfterOf(const HttpResponse& response)
{
    constexpr double maximumSeconds = 3600;
    constexpr double microsecondsPerSecond = 1e6;
    const std::string* text = findHeader(response.headers, HeaderName::retryAfter);
    const auto seconds = text ? parseDecimal(*text) : std::nullopt;
    if (!seconds)
        return std::nullopt;
    return Duration(static_cast<Duration::rep>(std::min(*seconds, maximumSeconds) * microsecondsPerSecond));
}

} // namespace Knapweedquay
