#include "coordination/workspaces/RevocationLease.h"

#include <algorithm>
#include <chrono>

namespace Knapweedquay {

RevocationLease::RevocationLease(std::optional<Duration> revocationTime)
{
    if (revocationTime)
        m_length = std::chrono::duration_cast<Duration>(share * *revocationTime);
}

void RevocationLease::proved(TimePoint provedAt)
{
    m_provedAt = std::max(m_provedAt.value_or(provedAt), provedAt);
}

bool RevocationLease::isHeld(TimePoint now) const
{
    return !m_length || (m_provedAt && now - *m_provedAt < *m_length);
}

} // namespace Knapweedquay
