#include "coordination/presence/BackendPresence.h"

#include <algorithm>

namespace Knapweedquay {

namespace {

/// Announcements, each newer than the one before, that prove a run alive although its clock says that it is the older one.
constexpr std::uint32_t announcementsOfALivingRun = 3;

bool hasSameParticulars(const BackendAnnouncement& a, const BackendAnnouncement& b)
{
    return a.service == b.service && a.address.ip == b.address.ip && a.address.port == b.address.port && a.slots == b.slots;
}

} // namespace

BackendPresence::BackendPresence(Duration silence)
    : m_silence(silence)
{
}

bool BackendPresence::isOfEndedRun(const BackendAnnouncement& announcement) const
{
    if (!m_ended || announcement.startedAt == 0)
        return false;
    return announcement.startedAt < m_ended->startedAt || (announcement.instance == m_ended->instance && announcement.startedAt == m_ended->startedAt);
}

PresenceChange BackendPresence::announce(const BackendAnnouncement& announcement, TimePoint now)
{
    if (isOfEndedRun(announcement))
        return PresenceChange::None;
    if (!m_current)
        return adopt(announcement, now);
    if (announcement.instance == m_current->instance && announcement.startedAt == m_current->startedAt)
        return update(announcement, now);
    if (announcement.startedAt != 0 && announcement.startedAt < m_current->startedAt)
        return contend(announcement, now);
    return adopt(announcement, now);
}

PresenceChange BackendPresence::update(const BackendAnnouncement& announcement, TimePoint now)
{
    if (announcement.sequence != 0 && announcement.sequence <= m_current->sequence)
        return PresenceChange::None;
    m_announcedAt = now;
    const bool isSame = hasSameParticulars(announcement, *m_current);
    const bool wasDraining = m_current->draining;
    m_current = announcement;
    // Without a sequence a repeated announcement cannot be told from an old one, so that draining stays as well.
    m_current->draining = announcement.draining || (wasDraining && isSame);
    if (m_current->draining && !wasDraining)
        return PresenceChange::Draining;
    return isSame ? PresenceChange::None : PresenceChange::Changed;
}

PresenceChange BackendPresence::adopt(const BackendAnnouncement& announcement, TimePoint now)
{
    m_current = announcement;
    m_announcedAt = now;
    m_contender.reset();
    return announcement.draining ? PresenceChange::Draining : PresenceChange::Arrived;
}

// The clock of the machine may have been set back between two runs. A run that is over announces nothing new.
PresenceChange BackendPresence::contend(const BackendAnnouncement& announcement, TimePoint now)
{
    const bool isSameRun = m_contender && m_contender->announcement.instance == announcement.instance && m_contender->announcement.startedAt == announcement.startedAt;
    if (!isSameRun) {
        m_contender = Contender { announcement, 1 };
        return PresenceChange::None;
    }
    if (announcement.sequence <= m_contender->announcement.sequence)
        return PresenceChange::None;
    m_contender->announcement = announcement;
    if (m_announcedAt + m_silence / 2 > now || ++m_contender->count < announcementsOfALivingRun)
        return PresenceChange::None;
    return adopt(announcement, now);
}

PresenceChange BackendPresence::leave(const std::string& instance, std::uint64_t startedAt, TimePoint)
{
    const bool isCurrent = m_current && m_current->instance == instance && (startedAt == 0 || startedAt == m_current->startedAt);
    const std::uint64_t endedStart = isCurrent ? m_current->startedAt : startedAt;
    if (!m_ended || endedStart >= m_ended->startedAt)
        m_ended = Run { instance, endedStart };
    if (!isCurrent)
        return PresenceChange::None;
    m_current.reset();
    return PresenceChange::Gone;
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
    if (!isDraining())
        return PresenceChange::None;
    m_current->draining = false;
    return PresenceChange::Arrived;
}

PresenceChange BackendPresence::expire(TimePoint now)
{
    if (!m_current || now - m_announcedAt <= m_silence)
        return PresenceChange::None;
    m_current.reset();
    return PresenceChange::Gone;
}

} // namespace Knapweedquay
