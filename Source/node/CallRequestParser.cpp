#include "node/CallRequestParser.h"

#include "protocol/ProblemDetails.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace Knapweedquay {

namespace {

constexpr std::uint64_t maximumDeadlineMilliseconds = 24ULL * 3600 * 1000;
/// Largest number of levels in a chain of calls.
constexpr std::uint64_t maximumDepth = 32;
constexpr std::size_t maximumKeyBytes = 255;

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

Result<void> readPriority(const std::string& text, ParsedCall& call)
{
    call.priority = text;
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

Result<void> readAttempt(const std::string& text, ParsedCall& call)
{
    const auto number = parseNumber(text);
    if (!number)
        return Error { ResultCode::InvalidHeader, std::string(HeaderName::attempt) + " must be a whole number" };
    call.isRepeat = *number > 0;
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

Result<void> readDepth(const std::string& text, ParsedCall& call)
{
    const auto number = parseNumber(text);
    if (!number)
        return Error { ResultCode::InvalidHeader, std::string(HeaderName::depth) + " must be a whole number" };
    if (*number > maximumDepth)
        return Error { ResultCode::TooManyLevels, "a chain of calls may have at most " + std::to_string(maximumDepth) + " levels" };
    call.depth = static_cast<std::uint32_t>(*number);
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

Result<void> readKey(const std::string& text, ParsedCall& call)
{
    if (!isValidKey(text))
        return Error { ResultCode::InvalidIdempotencyKey, std::string(HeaderName::idempotencyKey) + " must have 1 to " + std::to_string(maximumKeyBytes) + " printable ASCII characters" };
    call.key = IdempotencyKey(text);
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

Result<void> readInterfaceHeaders(const HttpHeaders& headers, ParsedCall& call)
{
    for (const InterfaceHeader& known : interfaceHeaders()) {
        const std::string* value = known.read ? findHeader(headers, known.name) : nullptr;
        if (value) {
            BOOST_OUTCOME_TRYV(known.read(*value, call));
        }
    }
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

/// True for headers that the node reads itself, or sets for backend servers.
bool isConsumedHeader(std::string_view name, CallInterface callInterface, const CallHeaders& names)
{
    if (equalHeaderNames(name, names.deadline) || equalHeaderNames(name, names.expectedInstance) || equalHeaderNames(name, names.callerService))
        return true;
    return callInterface == CallInterface::RoutesAndTargets
        && std::any_of(interfaceHeaders().begin(), interfaceHeaders().end(), [name](const InterfaceHeader& known) { return equalHeaderNames(name, known.name); });
}

} // namespace

std::optional<CallerProof> ParsedCall::callerProof() const
{
    if (!checkedByVersion)
        return std::nullopt;
    return CallerProof { *checkedByVersion, workspace, callerKey };
}

const std::array<InterfaceHeader, 5>& interfaceHeaders()
{
    static constexpr std::array<InterfaceHeader, 5> headers { {
        { HeaderName::priority, &readPriority },
        { HeaderName::attempt, &readAttempt },
        { HeaderName::depth, &readDepth },
        { HeaderName::idempotencyKey, &readKey },
        { HeaderName::outcome, nullptr },
    } };
    return headers;
}

Result<ParsedCall> parseCall(const HttpRequest& source, ResolvedCall resolved, CallInterface callInterface, const CallHeaders& names)
{
    ParsedCall call;
    call.service = std::move(resolved.service);
    call.route = resolved.route;
    BOOST_OUTCOME_TRYV(readDeadline(source.headers, names.deadline, call));
    if (callInterface == CallInterface::RoutesAndTargets) {
        BOOST_OUTCOME_TRYV(readInterfaceHeaders(source.headers, call));
    }
    if (const std::string* id = findHeader(source.headers, names.requestId))
        call.requestId = *id;
    call.request.method = source.method;
    call.request.target = std::move(resolved.target);
    call.request.body = source.body;
    call.request.bodyDigest = source.bodyDigest;
    for (const HttpHeader& header : source.headers) {
        if (!isHopByHopHeader(header.name) && !isConsumedHeader(header.name, callInterface, names))
            call.request.headers.push_back(header);
    }
    const std::string* host = call.route ? findHeader(source.headers, "Host") : nullptr;
    if (host)
        call.request.headers.push_back({ "Host", *host });
    return call;
}

} // namespace Knapweedquay
