#pragma once

#include "protocol/Ids.h"
#include "protocol/RequestDigest.h"
#include "protocol/Time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace Knapweedquay {

/// Identity of one crash of one backend server, unique in the deployment.
using CrashId = StrongType<struct CrashIdTag, std::uint64_t>;

/// A crash of a backend server while it ran a request.
struct Crash {
    CrashId id;
    /// On the clock of the process that holds it.
    TimePoint at;
};

/// Crashes that are kept for one request; of more the latest ones.
constexpr std::size_t maximumCrashesOfRequest = 8;

/// What the deployment knows of one request that was running when backend servers crashed.
///
/// Two pieces of evidence about one request are merged by uniting their crashes and taking the later of their times, so that the
/// order in which the pieces arrive, and how often each does, make no difference.
struct CrashEvidence {
    RequestDigest digest;
    ServiceName service;
    /// Crashes in which the request was running, by id.
    std::vector<Crash> crashes;
    /// When a backend server last ran the request without a crash; not set if that is not known.
    std::optional<TimePoint> succeededAt;
    /// When an operator last released the request.
    std::optional<TimePoint> releasedAt;
    /// When a single run was last admitted to find out whether the request still crashes backend servers.
    std::optional<TimePoint> triedAt;
};

} // namespace Knapweedquay
