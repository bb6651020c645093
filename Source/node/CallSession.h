#pragma once

#include "coordination/attempts/IdempotencyKeyTable.h"
#include "coordination/attempts/OutgoingCall.h"
#include "coordination/quotas/QuotaCredit.h"
#include "node/CallRequestParser.h"
#include "node/CallTrace.h"
#include "transport/HttpServer.h"
#include "transport/SteadyTime.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace Knapweedquay {

/// State of one call at the node that accepted it, from the caller's request to the response.
struct CallSession {
    /// Sequence number assigned by the gateway.
    std::uint64_t id = 0;
    /// The caller's request, and the means to respond to it.
    HttpExchangePtr exchange;
    ParsedCall parsed;
    RequestDigest digest;
    /// Keeps the routing table alive that parsed.route points into.
    std::shared_ptr<const RoutingTable> routing;
    PriorityIndex priority;
    bool isIdempotent = false;
    /// Limits of retries and hedges, from the route or the service's document.
    RetryLimits limits;
    /// Latency target of the call's priority or route.
    Duration target { 0 };
    /// Estimated time that the caller has already spent on earlier attempts of the same request.
    Duration elapsedBefore { 0 };
    TimePoint startedAt;
    /// Time by which the answer should arrive to meet the latency target; a later answer is worth little. For a call
    /// made by a request that the local backend server is running, this is the deadline.
    TimePoint targetAt;
    /// The call is not run, or its outcome is unknown, if there is no answer by then. For a call made by a request that the local
    /// backend server is running, this is no later than that request's.
    TimePoint deadline;
    /// Made by a request that the local backend server is running.
    bool isCallOfRun = false;
    /// Credit that the call took from the quota of its workspace.
    std::optional<QuotaTicket> credit;
    /// Owner of the claim on the call's idempotency key; not set without a key, or if the key decided the outcome.
    std::optional<ClaimOwner> claim;
    /// State machine that decides on attempts, retries and hedges.
    std::unique_ptr<OutgoingCall> call;
    /// Timer requested by the call's OutgoingCall.
    std::unique_ptr<Timer> timer;
    CallTrace trace;
    /// True once the caller disconnected.
    bool isCallerDisconnected = false;
    /// True if the endpoint being chosen is for a hedge.
    bool isHedging = false;
    /// True once the call ended with an answer from a backend server.
    bool isAnswered = false;
    /// Sequence numbers of all attempts of this call, without resends.
    std::vector<std::uint64_t> attempts;
};

} // namespace Knapweedquay
