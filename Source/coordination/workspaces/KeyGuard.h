#pragma once

#include "coordination/routing/RoutingTable.h"
#include "coordination/workspaces/RevocationLease.h"
#include "protocol/CallerProof.h"
#include "protocol/Time.h"

#include <memory>
#include <optional>

namespace Knapweedquay {

/// Whether a call that was accepted may go on.
enum class KeyVerdict {
    Allowed,
    /// This node has no recent proof that it knows of all withdrawals.
    LeaseEnded,
    /// The key was withdrawn, or given to another workspace, after the caller was checked.
    Withdrawn,
    /// The caller was not checked, because the node that accepted the call knew of no workspaces.
    NotChecked,
};

/// Checks accepted calls again, at the node that took the call before each attempt and at the endpoint's node right before the
/// backend server gets the request.
///
/// Answers calls that wait while their key is withdrawn, and nodes that wake from a suspension with calls in hand.
class KeyGuard {
public:
    explicit KeyGuard(std::optional<Duration> revocationTime);

    void setRouting(std::shared_ptr<const RoutingTable> routing) { m_routing = std::move(routing); }
    /// Registers that the routing document in force here was the newest one at that time.
    void proved(TimePoint provedAt) { m_lease.proved(provedAt); }

    /// proof: not set where the node that accepted the call knew of no workspaces.
    KeyVerdict check(const std::optional<CallerProof>& proof, TimePoint now) const;
    bool isLeaseHeld(TimePoint now) const { return m_lease.isHeld(now); }

private:
    RevocationLease m_lease;
    /// Null until the first routing document.
    std::shared_ptr<const RoutingTable> m_routing;
};

} // namespace Knapweedquay
