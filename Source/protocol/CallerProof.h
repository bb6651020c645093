#pragma once

#include "protocol/Ids.h"
#include "protocol/KeyDigest.h"

#include <cstdint>
#include <optional>

namespace Knapweedquay {

/// What the node that accepted a call has checked of its caller, in a deployment with workspaces.
struct CallerProof {
    /// Version of the routing document by which the caller was checked.
    std::uint64_t routingVersion = 0;
    /// Empty for a call that belongs to no workspace.
    WorkspaceName workspace;
    /// The key by which the caller belongs to the workspace; not set without a workspace.
    std::optional<KeyDigest> key;
};

} // namespace Knapweedquay
