#pragma once

#include "protocol/Ids.h"
#include "protocol/Time.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Knapweedquay {

/// Time that each suspect member has to refute.
///
/// Lifeguard's rule (2017): the time starts at the maximum and shrinks to the minimum as other members confirm
/// the suspicion, so that one slow member cannot have a healthy one declared dead quickly.
class SuspicionTimers {
public:
    SuspicionTimers(Duration minimum, Duration maximum, std::size_t wantedConfirmations);

    /// availableConfirmers: members that could confirm at all; in a small deployment fewer are waited for.
    void start(const NodeId& suspect, const NodeId& suspectedBy, std::size_t availableConfirmers, TimePoint now);
    /// True when the confirmation is of a further member and is worth passing on.
    bool confirm(const NodeId& suspect, const NodeId& suspectedBy);
    void cancel(const NodeId& suspect);
    /// Lets time that this process was frozen count for nothing.
    void postpone(Duration);

    /// Removes and returns the members whose time is up.
    std::vector<NodeId> takeExpired(TimePoint now);
    std::optional<TimePoint> nextDeadline() const;

private:
    struct Suspicion {
        TimePoint startedAt;
        std::set<NodeId> suspectedBy;
        std::size_t wantedConfirmations = 0;
    };

    TimePoint deadline(const Suspicion&) const;

    const Duration m_minimum;
    const Duration m_maximum;
    const std::size_t m_wantedConfirmations;
    std::map<NodeId, Suspicion> m_suspicions;
};

} // namespace Knapweedquay
