#pragma once

#include "coordination/attempts/IdempotencyKeyTable.h"
#include "coordination/attempts/OutgoingCall.h"
#include "node/CallRequestParser.h"
#include "node/CallTrail.h"
#include "transport/HttpServer.h"
#include "transport/SteadyTime.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace Knapweedquay {

/// One caller's call at the node that took it, from its request to its answer.
struct CallSession {
    std::uint64_t id = 0;
    HttpExchangePtr exchange;
    ParsedCall parsed;
    /// Keeps the route that the parsed call points to.
    std::shared_ptr<const RoutingTable> routing;
    PriorityIndex priority;
    bool isIdempotent = false;
    RetryLimits limits;
    Duration target { 0 };
    /// Time that the caller has spent on earlier attempts of the same request, as far as can be told.
    Duration elapsedBefore { 0 };
    TimePoint startedAt;
    /// An answer after this is worth little; the deadline for the calls that a running request makes.
    TimePoint targetAt;
    TimePoint deadline;
    std::optional<ClaimOwner> claim;
    std::unique_ptr<OutgoingCall> call;
    std::unique_ptr<Timer> timer;
    CallTrail trail;
    bool isCallerGone = false;
    /// Whether the endpoint that is being chosen is for a second attempt beside the first.
    bool isHedging = false;
    bool isAnswered = false;
    /// Sequence numbers of all attempts of this call.
    std::vector<std::uint64_t> attempts;
};

} // namespace Knapweedquay
