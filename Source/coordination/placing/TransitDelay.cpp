#include "coordination/placing/TransitDelay.h"

#include <algorithm>

namespace Knapweedquay {

Duration TransitDelay::excess(TimePoint sentAt, TimePoint receivedAt)
{
    const Duration difference = receivedAt - sentAt;
    if (receivedAt - m_windowStart > window) {
        m_previousSmallest = m_smallest;
        m_smallest = Duration::max();
        m_windowStart = receivedAt;
    }
    m_smallest = std::min(m_smallest, difference);
    return difference - std::min(m_smallest, m_previousSmallest);
}

} // namespace Knapweedquay
