#pragma once

#include "control/RoutingChange.h"
#include "protocol/ControlMessages.h"
#include "protocol/Time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <optional>
#include <string>

namespace Knapweedquay {

/// Holds the changes of the routing document that arrive at a replica which cannot accept them, and passes them on to the
/// leader.
///
/// Operators pick any replica, and a try without a response costs them a second. A redirect is one more response that may
/// be lost, and there is no replica to redirect to while a leader is being elected. So a change waits here until a leader
/// answers it, is sent again when the leader changes, and fails before its operator gives up.
class WaitingChanges {
public:
    /// Sends a change to the replica with this link address.
    using ForwardHook = std::function<void(const std::string& leader, const RoutingChangeMessage&)>;

    /// A change that waits for its result.
    struct Entry {
        std::uint64_t request = 0;
        RoutingChange change;
        ChangeId id;
        /// Version in the text of the change.
        std::uint64_t version = 0;
        RoutingChangeHandler handler;
        TimePoint arrivedAt;
        /// Link address of the replica that the change was sent to and has not refused to handle; empty for none.
        std::string forwardedTo;
        /// The change is not sent before this time.
        TimePoint forwardAt;
    };

    explicit WaitingChanges(ForwardHook);

    /// Takes a change that this replica cannot accept now. Fails with Overloaded if too many wait, and with NoQuorum if there
    /// has been no leader for longer than an election takes, as on the smaller side of a split.
    void add(const RoutingChange&, const ChangeId&, std::uint64_t version, const RoutingChangeHandler&, TimePoint now);
    /// Registers whether a replica leads, this one or another.
    void setHasLeader(bool hasLeader, TimePoint now);
    /// Sends the changes to the leader that it has not received from this replica, then fails those that have waited too long, or
    /// all if there has been no leader for long. leader: its link address; empty when no other replica is known to lead.
    void tick(const std::string& leader, TimePoint now);
    /// Handles the leader's answer to a change.
    void answer(const RoutingChangeAnswerMessage&, TimePoint now);
    /// Removes and returns the changes that the predicate selects.
    std::list<Entry> take(const std::function<bool(const Entry&)>& isSelected);
    bool isEmpty() const { return m_entries.empty(); }

private:
    bool isLeaderlessForLong(TimePoint now) const;
    void forward(const std::string& leader, TimePoint now);
    void expire(const std::string& leader, TimePoint now);

    ForwardHook m_forward;
    /// When a replica was last known to lead, or since when none has been; not set before the first call.
    std::optional<TimePoint> m_leaderSeenAt;
    /// Oldest first.
    std::list<Entry> m_entries;
    std::uint64_t m_lastRequest = 0;
};

} // namespace Knapweedquay
