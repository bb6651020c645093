#include "coordination/membership/OpeningTimeout.h"

#include <algorithm>

namespace Knapweedquay {

Duration OpeningTimeout::value(bool isReached) const
{
    return isReached ? m_reachedValue : m_value;
}

void OpeningTimeout::expired()
{
    m_reachedValue = std::min(2 * m_reachedValue, longest);
    if (++m_failures >= closeAttempts)
        m_value = std::min(2 * m_value, longest);
}

void OpeningTimeout::opened()
{
    m_value = shortest;
    m_reachedValue = shortestReached;
    m_failures = 0;
}

} // namespace Knapweedquay
