#pragma once

#include "coordination/routing/RoutingTable.h"
#include "protocol/CallHeaders.h"
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
    /// Request for the backend server: headers that are passed on, and the target without the service when that was
    /// named in it.
    HttpRequest request;
    /// The caller's name for this request; empty when it gave none.
    std::string requestId;
    std::optional<Duration> deadline;
    std::optional<std::string> priority;
    IdempotencyKey key;
    /// The call repeats work of an upper level.
    bool isRepeat = false;
    std::uint32_t depth = 0;
    /// Null when the request itself named the service. Owned by the routing table in force at that time.
    const RoutingTable::Entry* route = nullptr;
};

/// Reads "/call/SERVICE/PATH" and the headers of docs/PROTOCOL.md.
///
/// Errors: UnknownResource, InvalidDeadline, TooManyLevels, InvalidIdempotencyKey, InvalidHeader.
Result<ParsedCall> parseCall(const HttpRequest&, const CallHeaders& = {});

/// Reads a request whose service its route decides; its target is passed on unchanged.
///
/// Errors: as parseCall, but for the target.
Result<ParsedCall> parseRoutedCall(const HttpRequest&, const CallHeaders&, const RoutingTable::Entry&);

/// True for a request that names its service in its target.
bool namesService(const HttpRequest&);

} // namespace Knapweedquay
