#include "coordination/placing/TransitDelay.h"

#include <algorithm>

namespace Knapweedquay {

Duration TransitDelay::excess(TimePoint sentAt, TimePoint receivedAt)
{
    const Duration difference = receivedAt - sentAt;
    if (receivedAt - m_windowStart > window) {
        m_previousMinimum = m_minimum;
        m_minimum = Duration::max();
        m_windowStart = receivedAt;
    }
    m_minimum = std::min(m_minimum, difference);
    return difference - std::min(m_minimum, m_previousMinimum);
}

} // namespace Knapweedquay
