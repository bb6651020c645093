#include "coordination/presence/BackendPresence.h"

#include <algorithm>
#include <utility>

namespace Knapweedquay {

namespace {

/// Announcements with increasing sequence numbers after which a run replaces the present one although its start time
/// is earlier. All but the first count only once the present run has not announced itself for half the timeout.
constexpr std::uint32_t announcementsToReplaceNewerRun = 3;
constexpr std::size_t maximumKnownRuns = 16;

bool hasSameProperties(const BackendAnnouncement& a, const BackendAnnouncement& b)
{
    return a.service == b.service && a.address.ip == b.address.ip && a.address.port == b.address.port && a.slots == b.slots;
}

BackendRun runOf(const BackendAnnouncement& announcement)
{
    return { announcement.instance, announcement.startedAt };
}

} // namespace

BackendPresence::BackendPresence(Duration announcementTimeout, KnownServices isKnown)
    : m_announcementTimeout(announcementTimeout)
    , m_isKnown(std::move(isKnown))
{
}

bool BackendPresence::isLeaving(const BackendAnnouncement& announcement) const
{
    const BackendRun run = runOf(announcement);
    return (m_leaving && *m_leaving == run) || std::find(m_departed.begin(), m_departed.end(), run) != m_departed.end();
}

bool BackendPresence::belongsToEndedRun(const BackendAnnouncement& announcement) const
{
    return m_ended && announcement.startedAt != 0 && announcement.instance == m_ended->instance && announcement.startedAt == m_ended->startedAt;
}

bool BackendPresence::isEarlierRun(const BackendAnnouncement& announcement) const
{
    const std::uint64_t latest = std::max(m_ended ? m_ended->startedAt : 0, m_current ? m_current->startedAt : 0);
    return announcement.startedAt != 0 && announcement.startedAt < latest;
}

bool BackendPresence::isConfirmed(const BackendAnnouncement& announcement) const
{
    // Without a start time, a later run could not be told from one that left. A run that drains gets no work anyway.
    if (!m_requiresConfirmation || announcement.startedAt == 0 || announcement.draining)
        return true;
    return std::find(m_confirmed.begin(), m_confirmed.end(), runOf(announcement)) != m_confirmed.end();
}

void BackendPresence::addRun(std::deque<BackendRun>& runs, const BackendRun& run)
{
    runs.push_back(run);
    if (runs.size() > maximumKnownRuns)
        runs.pop_front();
}

PresenceChange BackendPresence::considerUnconfirmed(const BackendAnnouncement& announcement, TimePoint now)
{
    const bool isSameRun = m_unconfirmed && runOf(m_unconfirmed->announcement) == runOf(announcement);
    const bool isRepeated = isSameRun && (announcement.sequence == 0 || announcement.sequence > m_unconfirmed->announcement.sequence);
    if (isRepeated) {
        m_unconfirmed.reset();
        addRun(m_confirmed, runOf(announcement));
        return announce(announcement, now);
    }
    if (!isSameRun)
        m_unconfirmed = Unconfirmed { announcement, now };
    return PresenceChange::Unconfirmed;
}

PresenceChange BackendPresence::confirm(const BackendRun& run, bool hasDeparted, TimePoint now)
{
    const auto held = m_unconfirmed && runOf(m_unconfirmed->announcement) == run ? std::exchange(m_unconfirmed, std::nullopt) : std::nullopt;
    if (hasDeparted) {
        addRun(m_departed, run);
        if (m_current && runOf(*m_current) == run)
            return drain();
    }
    addRun(m_confirmed, run);
    const bool isRecent = held && now - held->receivedAt <= m_announcementTimeout;
    return isRecent ? announce(held->announcement, now) : PresenceChange::None;
}

PresenceChange BackendPresence::announce(const BackendAnnouncement& announcement, TimePoint now)
{
    if (belongsToEndedRun(announcement))
        return PresenceChange::None;
    if (!isConfirmed(announcement))
        return considerUnconfirmed(announcement, now);
    if (m_current && isKnown(announcement.service) != isKnown(m_current->service))
        return isKnown(announcement.service) ? adopt(announcement, now) : PresenceChange::None;
    if (m_current && announcement.instance == m_current->instance && announcement.startedAt == m_current->startedAt)
        return update(announcement, now);
    return isEarlierRun(announcement) ? considerCandidate(announcement, now) : adopt(announcement, now);
}

bool BackendPresence::isLatest(const BackendAnnouncement& announcement) const
{
    return m_current && m_current->instance == announcement.instance && m_current->startedAt == announcement.startedAt && m_current->sequence == announcement.sequence;
}

PresenceChange BackendPresence::update(const BackendAnnouncement& announcement, TimePoint now)
{
    if (announcement.sequence != 0 && announcement.sequence <= m_current->sequence)
        return PresenceChange::None;
    m_announcedAt = now;
    const bool isSame = hasSameProperties(announcement, *m_current);
    const bool wasDraining = m_current->draining;
    m_current = announcement;
    // Without sequence numbers a repeated announcement cannot be distinguished from an old one, so draining persists.
    m_current->draining = announcement.draining || (wasDraining && isSame) || isLeaving(announcement);
    if (m_current->draining && !wasDraining)
        return PresenceChange::Draining;
    return isSame ? PresenceChange::None : PresenceChange::Changed;
}

PresenceChange BackendPresence::adopt(const BackendAnnouncement& announcement, TimePoint now)
{
    const bool hasIdentity = !announcement.instance.empty() || announcement.startedAt != 0;
    const bool isLeavingRun = hasIdentity && isLeaving(announcement);
    if (!isLeavingRun)
        m_leaving.reset();
    m_current = announcement;
    m_current->draining = announcement.draining || isLeavingRun;
    m_announcedAt = now;
    m_candidate.reset();
    return m_current->draining ? PresenceChange::Draining : PresenceChange::Arrived;
}

// The machine's clock may have been set back between two runs, or a notice may have named a start time that no run had. Only a live
// run sends new announcements.
PresenceChange BackendPresence::considerCandidate(const BackendAnnouncement& announcement, TimePoint now)
{
    const bool isSameRun = m_candidate && m_candidate->announcement.instance == announcement.instance && m_candidate->announcement.startedAt == announcement.startedAt;
    if (!isSameRun) {
        m_candidate = Candidate { announcement, 1 };
        return PresenceChange::None;
    }
    if (announcement.sequence <= m_candidate->announcement.sequence)
        return PresenceChange::None;
    m_candidate->announcement = announcement;
    if (m_announcedAt + m_announcementTimeout / 2 > now || ++m_candidate->count < announcementsToReplaceNewerRun)
        return PresenceChange::None;
    return adopt(announcement, now);
}

PresenceChange BackendPresence::leave(const std::string& instance, std::uint64_t startedAt, TimePoint)
{
    const bool isCurrent = m_current && m_current->instance == instance && (startedAt == 0 || startedAt == m_current->startedAt);
    const std::uint64_t endedStart = isCurrent ? m_current->startedAt : startedAt;
    if (isCurrent || !m_ended || endedStart >= m_ended->startedAt)
        m_ended = BackendRun { instance, endedStart };
    if (!isCurrent)
        return PresenceChange::None;
    m_current.reset();
    return PresenceChange::Gone;
}

PresenceChange BackendPresence::startLeaving(const std::string& instance, std::uint64_t startedAt)
{
    if (!m_current || m_current->instance != instance || m_current->startedAt != startedAt)
        return PresenceChange::None;
    m_leaving = BackendRun { instance, startedAt };
    return drain();
}

PresenceChange BackendPresence::drain()
{
    if (!m_current || m_current->draining)
        return PresenceChange::None;
    m_current->draining = true;
    return PresenceChange::Draining;
}

PresenceChange BackendPresence::undrain()
{
    if (!isDraining() || isLeaving(*m_current))
        return PresenceChange::None;
    m_current->draining = false;
    return PresenceChange::Arrived;
}

PresenceChange BackendPresence::expire(TimePoint now)
{
    if (!m_current || now - m_announcedAt <= m_announcementTimeout)
        return PresenceChange::None;
    m_current.reset();
    return PresenceChange::Gone;
}

} // namespace Knapweedquay
