#pragma once

#include "protocol/Ids.h"

#include <cstdint>
#include <string>

namespace Knapweedquay {

/// The local backend server, as described by its last announcement.
struct LocalBackend {
    ServiceName service;
    /// "ip:port".
    std::string address;
    /// Number of requests that it can run concurrently; 0 if not announced.
    std::uint32_t slots = 0;
    /// Name of the instance, which the backend server receives with each request; empty if not announced.
    std::string instance;
    /// Start time of its run, as announced; 0 if not announced.
    std::uint64_t startedAt = 0;

    /// True if a later run can be told apart from this one.
    bool isRunKnown() const { return !instance.empty() || startedAt != 0; }
    /// True if both descriptions are of the same run, as far as it can be told apart from others.
    bool isSameRun(const LocalBackend& other) const { return service == other.service && address == other.address && instance == other.instance && startedAt == other.startedAt; }
};

} // namespace Knapweedquay
