#pragma once

#include "protocol/Ids.h"
#include "protocol/KeyDigest.h"
#include "protocol/Time.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace Knapweedquay {

/// Urgency rank of a route or a workspace; 0 is the most urgent.
using Rank = StrongType<struct RankTag, std::uint32_t>;

/// Requests that all nodes together run for a workspace.
struct WorkspaceQuota {
    /// Requests per second; 0 for no limit.
    double requestsPerSecond = 0;
    /// Requests beyond that rate which may run at once.
    double burst = 0;

    bool isLimited() const { return requestsPerSecond > 0; }
};

/// A group of callers with keys, a priority and a quota of its own.
struct Workspace {
    WorkspaceName name;
    /// Digests of the keys that identify the workspace's callers.
    std::vector<KeyDigest> keys;
    /// Replaces the rank of the route; not set where the route decides.
    std::optional<Rank> rank;
    WorkspaceQuota quota;
};

/// Promises about quotas that a deployment makes beyond the limits themselves.
struct QuotaBound {
    /// Length of the window over which runs are counted.
    Duration window { 5000000 };
    /// Share by which the runs in a window may exceed the limit.
    double overage = 0;
    /// Runs in a window that are allowed in addition.
    double slack = 0;
};

} // namespace Knapweedquay
