#include "node/CallRequestParser.h"

#include "protocol/ProblemDetails.h"

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

namespace Knapweedquay {

namespace {

constexpr std::uint64_t maximumDeadlineMilliseconds = 24ULL * 3600 * 1000;
/// Largest number of levels in a chain of calls.
constexpr std::uint64_t maximumDepth = 32;
constexpr std::size_t maximumKeyBytes = 255;

/// Headers of callers that are not forwarded, in addition to those with configurable names.
constexpr std::array consumedHeaders = {
    HeaderName::priority,
    HeaderName::attempt,
    HeaderName::depth,
    HeaderName::idempotencyKey,
    HeaderName::outcome,
};

bool isConsumedHeader(std::string_view name, const CallHeaders& headers)
{
    if (equalHeaderNames(name, headers.deadline) || equalHeaderNames(name, headers.expectedInstance) || equalHeaderNames(name, headers.callerService))
        return true;
    return std::any_of(consumedHeaders.begin(), consumedHeaders.end(), [name](const char* consumed) { return equalHeaderNames(name, consumed); });
}

bool isValidKey(std::string_view key)
{
    constexpr char firstVisible = 0x21;
    constexpr char lastVisible = 0x7e;
    return !key.empty() && key.size() <= maximumKeyBytes
        && std::all_of(key.begin(), key.end(), [](char letter) { return letter >= firstVisible && letter <= lastVisible; });
}

Result<void> readDeadline(const HttpHeaders& headers, const std::string& name, ParsedCall& call)
{
    const std::string* text = findHeader(headers, name);
    if (!text)
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    const auto milliseconds = parseNumber(*text);
    if (!milliseconds || *milliseconds == 0 || *milliseconds > maximumDeadlineMilliseconds)
        return Error { ResultCode::InvalidDeadline, name + " must be a whole number of milliseconds from 1 to " + std::to_string(maximumDeadlineMilliseconds) };
    call.deadline = std::chrono::milliseconds(*milliseconds);
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

Result<void> readLevels(const HttpHeaders& headers, ParsedCall& call)
{
    if (const std::string* attempt = findHeader(headers, HeaderName::attempt)) {
        const auto number = parseNumber(*attempt);
        if (!number)
            return Error { ResultCode::InvalidHeader, std::string(HeaderName::attempt) + " must be a whole number" };
        call.isRepeat = *number > 0;
    }
    if (const std::string* depth = findHeader(headers, HeaderName::depth)) {
        const auto number = parseNumber(*depth);
        if (!number)
            return Error { ResultCode::InvalidHeader, std::string(HeaderName::depth) + " must be a whole number" };
        if (*number > maximumDepth)
            return Error { ResultCode::TooManyLevels, "a chain of calls may have at most " + std::to_string(maximumDepth) + " levels" };
        call.depth = static_cast<std::uint32_t>(*number);
    }
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

Result<void> readKey(const HttpHeaders& headers, ParsedCall& call)
{
    const std::string* key = findHeader(headers, HeaderName::idempotencyKey);
    if (!key)
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    if (!isValidKey(*key))
        return Error { ResultCode::InvalidIdempotencyKey, std::string(HeaderName::idempotencyKey) + " must have 1 to " + std::to_string(maximumKeyBytes) + " printable ASCII characters" };
    call.key = IdempotencyKey(*key);
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

Result<void> readHeaders(const HttpRequest& source, const CallHeaders& names, ParsedCall& call)
{
    BOOST_OUTCOME_TRYV(readDeadline(source.headers, names.deadline, call));
    BOOST_OUTCOME_TRYV(readLevels(source.headers, call));
    BOOST_OUTCOME_TRYV(readKey(source.headers, call));
    if (const std::string* priority = findHeader(source.headers, HeaderName::priority))
        call.priority = *priority;
    if (const std::string* id = findHeader(source.headers, names.requestId))
        call.requestId = *id;
    call.request.method = source.method;
    call.request.body = source.body;
    call.request.bodyDigest = source.bodyDigest;
    for (const HttpHeader& header : source.headers) {
        if (!isHopByHopHeader(header.name) && !isConsumedHeader(header.name, names))
            call.request.headers.push_back(header);
    }
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

} // namespace

std::optional<CallerProof> ParsedCall::callerProof() const
{
    if (!checkedByVersion)
        return std::nullopt;
    return CallerProof { *checkedByVersion, workspace, callerKey };
}

Result<ParsedCall> parseCall(const HttpRequest& source, ResolvedCall resolved, const CallHeaders& names)
{
    ParsedCall call;
    BOOST_OUTCOME_TRYV(readHeaders(source, names, call));
    call.service = std::move(resolved.service);
    call.request.target = std::move(resolved.target);
    call.route = resolved.route;
    const std::string* host = call.route ? findHeader(source.headers, "Host") : nullptr;
    if (host)
        call.request.headers.push_back({ "Host", *host });
    return call;
}

} // namespace Knapweedquay
