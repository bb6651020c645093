#pragma once

#include "protocol/ControlMessages.h"
#include "protocol/Time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <optional>
#include <string>

namespace Knapweedquay {

/// Holds the changes that arrive at a replica which cannot accept them, and passes them on to the leader.
///
/// Operators pick any replica, and a try without a response costs them a second. A redirect is one more response that may
/// be lost, and there is no replica to redirect to while a leader is being elected. So a change waits here until a leader
/// answers it, is sent again when the leader changes, and fails before its operator gives up.
class WaitingChanges {
public:
    /// Longest wait. Operators' clients try another replica after 1 second.
    static constexpr Duration answerTimeout { 800000 };

    /// Sends a message to the replica with this link address.
    using ForwardHook = std::function<void(const std::string& leader, const ControlMessage&)>;

    /// A change that waits for its result.
    struct Change {
        ChangeId id;
        /// Version that the change is based on, for the log.
        std::uint64_t baseVersion = 0;
        /// Version that the handler gets once the change is accepted.
        std::uint64_t version = 0;
        /// Returns the message to the leader. The answer repeats the number of the request.
        std::function<ControlMessage(std::uint64_t request)> message;
        /// Submits the change at this replica, which leads now.
        std::function<void()> submit;
        std::function<void(const Result<std::uint64_t>&)> handler;
    };

    /// The leader's answer to a change.
    struct Answer {
        std::uint64_t request = 0;
        ResultCode code = ResultCode::NotLeader;
        std::string detail;
    };

    explicit WaitingChanges(ForwardHook);

    /// Takes a change that this replica cannot accept now. Fails with Overloaded if too many wait, and with NoQuorum if there
    /// has been no leader for longer than an election takes, as on the smaller side of a split.
    /// arrivedAt: when the operator's request came.
    void add(Change, TimePoint arrivedAt, TimePoint now);
    /// Registers whether a replica leads, this one or another.
    void setHasLeader(bool hasLeader, TimePoint now);
    /// Sends the changes to the leader that it has not received from this replica, then fails those that have waited too long, or
    /// all if there has been no leader for long. leader: its link address; empty when no other replica is known to lead.
    void tick(const std::string& leader, TimePoint now);
    /// Handles the leader's answer to a change.
    void answer(const Answer&, TimePoint now);
    /// Removes and returns the changes that the predicate selects.
    std::list<Change> take(const std::function<bool(const Change&)>& isSelected);
    bool isEmpty() const { return m_entries.empty(); }

private:
    struct Entry {
        std::uint64_t request = 0;
        Change change;
        TimePoint arrivedAt;
        /// Link address of the replica that the change was sent to and has not refused to handle; empty for none.
        std::string forwardedTo;
        /// The change is not sent before this time.
        TimePoint forwardAt;
    };

    std::list<Change> takeEntries(const std::function<bool(const Entry&)>& isSelected);
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
