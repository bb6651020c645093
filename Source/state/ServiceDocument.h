#pragma once

#include "protocol/Ids.h"
#include "protocol/Time.h"

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace Knapweedquay {

/// Priority class of the calls of a service. A document lists them in order of urgency, most urgent first.
struct Priority {
    std::string name;
    /// A call answered within this time counts as within target.
    Duration target { 100000 };
    /// Relative value of one call answered within target.
    double worth = 1;
    /// Share of the service's capacity, 0..1, that is reserved for this priority under overload. The sum over all
    /// priorities is at most 1.
    double minimumShare = 0;
    /// Maximum time that a call of this priority may wait in the queue of an endpoint's node.
    Duration maximumQueueTime { 1000000 };
    /// Whether less urgent calls leave some slots free for calls of this priority that are likely to arrive meanwhile.
    bool reservesSlots = true;

    friend bool operator==(const Priority& a, const Priority& b)
    {
        return std::tie(a.name, a.target, a.worth, a.minimumShare, a.maximumQueueTime, a.reservesSlots) == std::tie(b.name, b.target, b.worth, b.minimumShare, b.maximumQueueTime, b.reservesSlots);
    }
};

/// Assigns a priority to the calls that match a method and a path prefix.
struct Route {
    /// HTTP method, or "*" for any.
    std::string method = "*";
    /// Path prefix after the service name; the longest match wins.
    std::string path = "/";
    PriorityIndex priority;
    /// Whether a call may run more than once without harm (RFC 9110, 9.2.2).
    bool idempotent = false;
};

/// Limits on the cost of measuring the load of a service's endpoints.
struct MeasurementLimits {
    /// Maximum number of probes per call sent, over any time window; 0 disables probing.
    double probesPerCall = 0.05;
    /// Maximum bytes per second of probes and their responses at one node.
    double bytesPerSecond = 2000;
};

/// Limits on retries and hedges of the calls of a service.
struct RetryLimits {
    /// Maximum number of attempts of one call, including the first.
    std::uint32_t maximumAttempts = 3;
    /// Maximum ratio of retries to calls sent, for each service at each node.
    double retryShare = 0.1;
    /// Maximum ratio of hedged attempts to calls sent; 0 disables hedging.
    double hedgeShare = 0.05;
};

/// Limits on the ejection of endpoints with a high error rate.
struct EjectionLimits {
    /// Maximum share of a service's endpoints that a node may eject at the same time.
    double maximumShare = 0.34;
    /// Duration of the first ejection of an endpoint; each repeated ejection doubles it.
    Duration baseTime { 1000000 };
};

/// Configuration of one service by the team that owns it. Times are in microseconds, shares in 0..1.
struct ServiceDocument {
    ServiceName service;
    /// Team that owns the document. An edit requires its credential.
    std::string team;
    /// Maximum number of concurrent calls at an endpoint that announces no number of slots.
    std::uint32_t defaultSlots = 12;
    /// Time limit of calls for which the caller gives none.
    Duration defaultDeadline { 1000000 };
    /// Maximum time limit of a call; larger limits of callers are reduced to it.
    Duration maximumDeadline { 30000000 };
    /// Maximum size of a request body in bytes.
    std::uint64_t maximumBodyBytes = 1048576;
    /// Time after its start during which an endpoint's share of the calls grows from a tenth to the full share.
    Duration rampTime { 5000000 };
    /// Number of completed calls after which the ramp ends early.
    std::uint32_t rampCalls = 200;
    /// Time for calls in flight to complete when an endpoint drains.
    Duration drainTime { 30000000 };
    MeasurementLimits measurement;
    RetryLimits retries;
    EjectionLimits ejection;
    std::vector<Priority> priorities;
    std::vector<Route> routes;
};

} // namespace Knapweedquay
