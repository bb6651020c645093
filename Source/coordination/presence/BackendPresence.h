#pragma once

#include "coordination/presence/DepartureRecords.h"
#include "protocol/Ids.h"
#include "protocol/SocketAddress.h"
#include "protocol/Time.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>

namespace Knapweedquay {

/// An announcement in which a backend server describes itself.
struct BackendAnnouncement {
    /// Name of the instance; empty when it has none.
    std::string instance;
    /// Start time of this run by the server's own clock, in any increasing unit; 0 when not specified.
    std::uint64_t startedAt = 0;
    /// Rises with each announcement of one run; 0 when the announcements are not numbered.
    std::uint64_t sequence = 0;
    ServiceName service;
    SocketAddress address;
    /// Calls that the backend server runs concurrently; 0 when not specified.
    std::uint32_t slots = 0;
    bool draining = false;
    /// Time for which the backend server stays cold.
    Duration warmUp { 0 };
};

/// The effect of an announcement, an operator's order or a timeout on the presence of the backend server.
enum class PresenceChange : std::uint8_t {
    /// No change, such as for an announcement that was late, was repeated or belongs to a run that has ended.
    None,
    /// A run that accepts calls became the present one, or an operator ended the draining of the present run.
    Arrived,
    /// The same run announced other properties.
    Changed,
    /// The present run started to drain, or a run that drains became the present one.
    Draining,
    /// The present run left, or its announcements timed out.
    Gone,
    /// A run that this process doesn't know announced itself; it may have left before the process started. It is used once
    /// confirm() is called, or once it announces itself again.
    Unconfirmed,
};

/// Tracks the presence of this node's backend server from its announcements.
///
/// Announcements may arrive seconds late and out of order, even after their sender has ended. A later run replaces an
/// earlier one, and a higher sequence number a lower one. A draining run drains until an operator ends the draining, or
/// until it announces other properties without draining. A run that told that it leaves drains to its end, whatever it
/// announces. A run that left cannot return if its announcements specify its start time; one that started before it can, if it goes on
/// announcing itself. A run of a service that the configuration
/// doesn't have never takes the place of one that it has.
///
/// An announcement that was sent before this process started proves nothing: an earlier process may have acknowledged since that
/// the run leaves. So a run that specifies its start time is used once the store denies that, or once a second
/// announcement of it with a higher sequence number arrives, as nothing more is announced once a departure is acknowledged.
class BackendPresence {
public:
    /// Returns whether the configuration has a service.
    using KnownServices = std::function<bool(const ServiceName&)>;

    /// announcementTimeout: time without an announcement after which the backend server is no longer present. isKnown: when
    /// unset, all services are known.
    explicit BackendPresence(Duration announcementTimeout, KnownServices isKnown = {});

    /// Makes announce() return Unconfirmed for runs that this process doesn't know.
    void requireConfirmation() { m_requiresConfirmation = true; }
    /// Handles whether a run has told an earlier process that it leaves. If so, it drains to its end.
    PresenceChange confirm(const BackendRun&, bool hasDeparted, TimePoint now);
    PresenceChange announce(const BackendAnnouncement&, TimePoint now);
    /// Handles the notice that a run of the backend server is leaving. startedAt: 0 when not specified.
    PresenceChange leave(const std::string& instance, std::uint64_t startedAt, TimePoint now);
    /// Handles that a run told in its responses that it leaves. It drains until it ends.
    PresenceChange startLeaving(const std::string& instance, std::uint64_t startedAt);
    /// Drains the present run by an operator's order.
    PresenceChange drain();
    /// Ends the draining of the present run by an operator's order.
    PresenceChange undrain();
    /// Removes the present run when its announcements have timed out.
    PresenceChange expire(TimePoint now);

    /// The present run, which accepts calls or drains; empty when there is none.
    const std::optional<BackendAnnouncement>& current() const { return m_current; }
    /// Returns whether this is the latest announcement of the present run.
    bool isLatest(const BackendAnnouncement&) const;
    bool isDraining() const { return m_current && m_current->draining; }

private:
    /// A run whose start time is earlier than that of the present run or of one that left, but which continues to announce itself.
    struct Candidate {
        BackendAnnouncement announcement;
        /// Number of its announcements that count towards replacing the present run.
        std::uint32_t count = 0;
    };

    /// The latest announcement of a run that is not confirmed.
    struct Unconfirmed {
        BackendAnnouncement announcement;
        TimePoint receivedAt;
    };

    bool isConfirmed(const BackendAnnouncement&) const;
    static void addRun(std::deque<BackendRun>&, const BackendRun&);
    PresenceChange considerUnconfirmed(const BackendAnnouncement&, TimePoint now);
    bool isLeaving(const BackendAnnouncement&) const;
    bool isKnown(const ServiceName& service) const { return !m_isKnown || m_isKnown(service); }
    bool belongsToEndedRun(const BackendAnnouncement&) const;
    /// True for a run that started before the present one, or before the latest one that left.
    bool isEarlierRun(const BackendAnnouncement&) const;
    PresenceChange update(const BackendAnnouncement&, TimePoint now);
    PresenceChange adopt(const BackendAnnouncement&, TimePoint now);
    PresenceChange considerCandidate(const BackendAnnouncement&, TimePoint now);

    Duration m_announcementTimeout;
    KnownServices m_isKnown;
    std::optional<BackendAnnouncement> m_current;
    /// The latest run that left.
    std::optional<BackendRun> m_ended;
    /// The latest run that told that it leaves.
    std::optional<BackendRun> m_leaving;
    bool m_requiresConfirmation = false;
    std::optional<Unconfirmed> m_unconfirmed;
    /// The latest runs that may be used as they announce themselves.
    std::deque<BackendRun> m_confirmed;
    /// The latest runs that told an earlier process that they leave.
    std::deque<BackendRun> m_departed;
    std::optional<Candidate> m_candidate;
    /// When the latest announcement of the present run was received.
    TimePoint m_announcedAt;
};

} // namespace Knapweedquay
