#pragma once

#include "coordination/routing/CallResolver.h"
#include "protocol/CallHeaders.h"
#include "protocol/CallerProof.h"
#include "protocol/HttpMessage.h"
#include "protocol/Ids.h"
#include "protocol/KeyDigest.h"
#include "protocol/Result.h"
#include "protocol/Time.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>

namespace Knapweedquay {

/// A caller's request after parsing and validation, before the service's document is consulted.
struct ParsedCall {
    ServiceName service;
    /// Request for the backend server, with the headers to forward. If the target named the service, that prefix is
    /// removed.
    HttpRequest request;
    /// Request id set by the caller; empty if there is none.
    std::string requestId;
    /// Time that the caller allows for the call; not set if the caller gave none.
    std::optional<Duration> deadline;
    /// Name of the priority requested by the caller; not set if the caller requested none.
    std::optional<std::string> priority;
    /// Empty if the caller sent no idempotency key.
    IdempotencyKey key;
    /// True if a caller further up the call chain is retrying, so that this call repeats earlier work.
    bool isRepeat = false;
    /// Level of this call in a chain of calls, as received in the depth header; 0 without one.
    std::uint32_t depth = 0;
    /// Workspace of the caller's key; empty for calls that need no key.
    WorkspaceName workspace;
    /// Digest of the caller's key; not set for calls that need no key.
    std::optional<KeyDigest> callerKey;
    /// Priority of the workspace's calls; not set where the route decides.
    std::optional<PriorityIndex> workspacePriority;
    /// Version of the routing document by which the caller was checked; not set where the deployment has no workspaces.
    std::optional<std::uint64_t> checkedByVersion;
    /// Null if the request itself named the service. Owned by the routing table that was in force during parsing.
    const RoutingTable::Entry* route = nullptr;

    /// What other nodes are told of the caller.
    std::optional<CallerProof> callerProof() const;
};

/// A header of the product's own interface for calls. Backend servers get it from nodes only, if at all.
struct InterfaceHeader {
    const char* name;
    /// Reads the value into the call; null for a header that callers cannot set. Errors: TooManyLevels, InvalidIdempotencyKey,
    /// InvalidHeader.
    Result<void> (*read)(const std::string& value, ParsedCall&);
};

/// All headers that apply where the product's own interface is offered, in addition to those of CallHeaders.
const std::array<InterfaceHeader, 5>& interfaceHeaders();

/// Reads the headers of a request whose service is determined. Where the product's own interface is not offered, its headers
/// are forwarded as they came.
///
/// Errors: InvalidDeadline, and those of the interface's headers.
Result<ParsedCall> parseCall(const HttpRequest&, ResolvedCall, CallInterface, const CallHeaders&);

} // namespace Knapweedquay
