#pragma once

#include "protocol/Ids.h"
#include "protocol/SocketAddress.h"
#include "protocol/Time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Knapweedquay {

/// What a backend server says of itself.
struct BackendAnnouncement {
    /// Name of the backend server; empty when it has none.
    std::string instance;
    /// When this run of it started, by its own clock, in any unit that grows; 0 when it does not say.
    std::uint64_t startedAt = 0;
    /// Grows with each announcement of one run; 0 when it does not count.
    std::uint64_t sequence = 0;
    ServiceName service;
    SocketAddress address;
    /// Calls that it runs at once; 0 when it did not say.
    std::uint32_t slots = 0;
    bool draining = false;
    /// Time for which it is still slow after its start.
    Duration warmUp { 0 };
};

enum class PresenceChange : std::uint8_t {
    /// Late, repeated, or of a run that is over.
    None,
    Arrived,
    /// The same run, with other particulars.
    Changed,
    Draining,
    Gone,
};

/// Decides what an announcement of the backend server beside this node changes.
///
/// Announcements may arrive seconds late and out of order, also after their sender's end. A later run replaces an
/// earlier one, a greater sequence a smaller one; draining and leaving are final for a run.
class BackendPresence {
public:
    /// silence: time without an announcement after which the backend server counts as gone.
    explicit BackendPresence(Duration silence);

    PresenceChange announce(const BackendAnnouncement&, TimePoint now);
    PresenceChange leave(const std::string& instance, std::uint64_t startedAt, TimePoint now);
    /// An operator's order, which holds for the present run.
    PresenceChange drain();
    PresenceChange undrain();
    PresenceChange expire(TimePoint now);

    /// The run that calls may go to, or that drains; nothing when there is none.
    const std::optional<BackendAnnouncement>& current() const { return m_current; }
    bool isDraining() const { return m_current && m_current->draining; }

private:
    struct Run {
        std::string instance;
        std::uint64_t startedAt = 0;
    };
    /// A run that started earlier than the present one, yet goes on announcing itself.
    struct Contender {
        BackendAnnouncement announcement;
        std::uint32_t count = 0;
    };

    bool isOfEndedRun(const BackendAnnouncement&) const;
    PresenceChange update(const BackendAnnouncement&, TimePoint now);
    PresenceChange adopt(const BackendAnnouncement&, TimePoint now);
    PresenceChange contend(const BackendAnnouncement&, TimePoint now);

    Duration m_silence;
    std::optional<BackendAnnouncement> m_current;
    std::optional<Run> m_ended;
    std::optional<Contender> m_contender;
    TimePoint m_announcedAt;
};

} // namespace Knapweedquay
