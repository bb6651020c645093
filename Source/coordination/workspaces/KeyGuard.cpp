#include "coordination/workspaces/KeyGuard.h"

namespace Knapweedquay {

KeyGuard::KeyGuard(std::optional<Duration> revocationTime)
    : m_lease(revocationTime)
{
}

KeyVerdict KeyGuard::check(const std::optional<CallerProof>& proof, TimePoint now) const
{
    const KeyTable* keys = m_routing && m_routing->keys().isNeeded() ? &m_routing->keys() : nullptr;
    if (!proof)
        return keys ? KeyVerdict::NotChecked : KeyVerdict::Allowed;
    if (!proof->key)
        return KeyVerdict::Allowed;
    if (!m_lease.isHeld(now))
        return KeyVerdict::LeaseEnded;
    // An older table than the one that the caller was checked by may lack a key that is new.
    if (!keys || keys->version() < proof->routingVersion)
        return KeyVerdict::Allowed;
    const KeyTable::Holder* holder = keys->find(*proof->key);
    return holder && holder->workspace == proof->workspace ? KeyVerdict::Allowed : KeyVerdict::Withdrawn;
}

} // namespace Knapweedquay
