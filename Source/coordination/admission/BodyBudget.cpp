#include "coordination/admission/BodyBudget.h"

#include <utility>

namespace Knapweedquay {

BodyReservation::BodyReservation(BodyBudgetPointer budget)
    : m_budget(std::move(budget))
{
}

BodyReservation::~BodyReservation()
{
    used(m_bytes) -= m_bytes;
}

bool BodyReservation::tryResize(std::size_t bytes)
{
    const std::size_t limit = bytes > largeBodyBytes ? m_budget->m_limits.largeBytes : m_budget->m_limits.smallBytes;
    used(m_bytes) -= m_bytes;
    const std::size_t others = used(bytes);
    const bool hasRoom = bytes <= m_bytes || (bytes <= limit && others <= limit - bytes);
    if (hasRoom)
        m_bytes = bytes;
    used(m_bytes) += m_bytes;
    return hasRoom;
}

std::size_t& BodyReservation::used(std::size_t bytes) const
{
    return bytes > largeBodyBytes ? m_budget->m_use.largeBytes : m_budget->m_use.smallBytes;
}

} // namespace Knapweedquay
