#pragma once

#include "coordination/workspaces/KeyGuard.h"
#include "protocol/AttemptOutcome.h"

#include <cstdint>
#include <memory>
#include <optional>

namespace Knapweedquay {

/// The checks of callers' keys on this node's traffic thread: logs their decisions.
class NodeKeys {
public:
    /// revocationTime: see RevocationLease.
    explicit NodeKeys(std::optional<Duration> revocationTime);

    void setRouting(const std::shared_ptr<const RoutingTable>& routing) { m_guard.setRouting(routing); }
    /// Registers that all documents that were committed at that time are in force.
    void configurationProved(TimePoint);

    /// Refusal of a call that may not go on, or of its attempt; not set if it may.
    std::optional<Refusal> check(const std::optional<CallerProof>&);

private:
    KeyGuard m_guard;
    TimePoint m_provedAt;
    /// Refusals since the lease ended; 0 while it is held.
    std::uint64_t m_refusals = 0;
};

} // namespace Knapweedquay
