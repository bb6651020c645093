#pragma once

#include "protocol/Ids.h"
#include "protocol/Time.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Knapweedquay {

/// Deadlines by which suspect members must refute their suspicion.
///
/// Lifeguard's rule (2017): the timeout starts at the maximum and shrinks to the minimum as other members confirm the
/// suspicion, so that one slow member cannot quickly cause a healthy one to be declared dead.
class SuspicionTimers {
public:
    SuspicionTimers(Duration minimum, Duration maximum, std::size_t wantedConfirmations);

    /// availableConfirmers is the number of members that could confirm; it caps the wanted confirmations in a small
    /// deployment.
    void start(const NodeId& suspect, const NodeId& suspectedBy, std::size_t availableConfirmers, TimePoint now);
    /// Returns whether the confirmation is the first from this member and shortens the timeout; it is then to be passed
    /// on to other members.
    bool confirm(const NodeId& suspect, const NodeId& suspectedBy);
    void cancel(const NodeId& suspect);
    /// Extends all deadlines by the time for which this process was frozen.
    void postpone(Duration);

    /// Removes and returns the members whose deadline has passed.
    std::vector<NodeId> takeExpired(TimePoint now);
    std::optional<TimePoint> nextDeadline() const;

private:
    /// The suspicion of one member.
    struct Suspicion {
        TimePoint startedAt;
        /// The member that raised the suspicion and those that confirmed it.
        std::set<NodeId> suspectedBy;
        /// Number of confirmations that shorten the timeout to the minimum.
        std::size_t wantedConfirmations = 0;
    };

    TimePoint deadline(const Suspicion&) const;

    const Duration m_minimum;
    const Duration m_maximum;
    const std::size_t m_wantedConfirmations;
    std::map<NodeId, Suspicion> m_suspicions;
};

} // namespace Knapweedquay
