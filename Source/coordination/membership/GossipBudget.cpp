#include "coordination/membership/GossipBudget.h"

#include <algorithm>
#include <chrono>

namespace Knapweedquay {

GossipBudget::GossipBudget(double rate, double burst)
    : m_rate(rate)
    , m_burst(burst)
    , m_available(burst)
{
}

bool GossipBudget::isAvailable(std::size_t bytes, TimePoint now)
{
    refill(now);
    return m_available >= static_cast<double>(bytes);
}

void GossipBudget::spend(std::size_t bytes, TimePoint now)
{
    refill(now);
    m_available = std::max(m_available - static_cast<double>(bytes), -m_burst);
}

void GossipBudget::refill(TimePoint now)
{
    if (now <= m_refilledAt)
        return;
    const double seconds = std::chrono::duration<double>(now - m_refilledAt).count();
    m_available = std::min(m_burst, m_available + seconds * m_rate);
    m_refilledAt = now;
}

} // namespace Knapweedquay
