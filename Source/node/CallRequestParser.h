#pragma once

#include "protocol/HttpMessage.h"
#include "protocol/Ids.h"
#include "protocol/Result.h"
#include "protocol/Time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Knapweedquay {

/// A caller's request, taken apart and checked, before any document is looked at.
struct ParsedCall {
    ServiceName service;
    /// Request for the backend server: path without the service, headers that are passed on.
    HttpRequest request;
    std::optional<Duration> deadline;
    std::optional<std::string> priority;
    IdempotencyKey key;
    /// The call repeats work of an upper level.
    bool isRepeat = false;
    std::uint32_t depth = 0;
};

/// Reads "/call/SERVICE/PATH" and the headers of docs/PROTOCOL.md.
///
/// Errors: UnknownResource, InvalidDeadline, TooManyLevels, InvalidIdempotencyKey, InvalidHeader.
Result<ParsedCall> parseCall(const HttpRequest&);

} // namespace Knapweedquay
