#pragma once

#include "protocol/Ids.h"
#include "protocol/Time.h"

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace Knapweedquay {

/// One rank of work of a service. The order in the document is the order of urgency, most urgent first.
struct Priority {
    std::string name;
    /// A call answered within this time counts as within target.
    Duration target { 100000 };
    /// Relative value of one call answered within target.
    double worth = 1;
    /// Share of the service's capacity, 0..1, that this priority keeps when others flood; the sum is at most 1.
    double minimumShare = 0;
    /// Longest time that a call of this priority may wait in the queue of an endpoint's node.
    Duration maximumQueueTime { 1000000 };

    friend bool operator==(const Priority& a, const Priority& b)
    {
        return std::tie(a.name, a.target, a.worth, a.minimumShare, a.maximumQueueTime) == std::tie(b.name, b.target, b.worth, b.minimumShare, b.maximumQueueTime);
    }
};

/// Gives the calls that match a method and a path prefix their priority.
struct Route {
    /// HTTP method, or "*" for any.
    std::string method = "*";
    /// Path prefix after the service name; the longest match wins.
    std::string path = "/";
    PriorityIndex priority;
    /// True when the call may run more than once without harm (RFC 9110, 9.2.2).
    bool idempotent = false;
};

/// How much may be spent on measuring the load of a service's endpoints.
struct MeasurementLimits {
    /// Probes sent per call sent, over any window; 0 switches probing off.
    double probesPerCall = 0.05;
    /// Bytes of probes and their answers that one node may spend per second.
    double bytesPerSecond = 2000;
};

struct RetryLimits {
    /// Attempts of one call in all, the first included.
    std::uint32_t maximumAttempts = 3;
    /// Retries allowed per call sent, as a share, for each service at each node.
    double retryShare = 0.1;
    /// Hedged attempts allowed per call sent, as a share; 0 switches hedging off.
    double hedgeShare = 0.05;
};

struct EjectionLimits {
    /// Largest share of a service's endpoints that a node may leave out because they look bad.
    double maximumShare = 0.34;
    Duration baseTime { 1000000 };
};

/// Everything that the owning team decides about one service. Units: microseconds for times, shares 0..1.
struct ServiceDocument {
    ServiceName service;
    /// Team that owns the document; an edit needs its credential.
    std::string team;
    /// Concurrent calls for an endpoint that announces no number of slots.
    std::uint32_t defaultSlots = 12;
    Duration defaultDeadline { 1000000 };
    Duration maximumDeadline { 30000000 };
    /// Largest request and answer body in bytes.
    std::uint64_t maximumBodyBytes = 1048576;
    /// Time after a start in which an endpoint's share of calls grows from a tenth to the whole.
    Duration rampTime { 5000000 };
    /// Completed calls that also end the ramp.
    std::uint32_t rampCalls = 200;
    /// Time that calls in flight have to finish when an endpoint drains.
    Duration drainTime { 30000000 };
    MeasurementLimits measurement;
    RetryLimits retries;
    EjectionLimits ejection;
    std::vector<Priority> priorities;
    std::vector<Route> routes;
};

} // namespace Knapweedquay
