#include "coordination/attempts/RetryBudget.h"

#include <algorithm>

namespace Knapweedquay {

RetryBudget::RetryBudget(double share, double maximumTokens)
    : m_share(share)
    , m_maximumTokens(maximumTokens)
    , m_tokens(maximumTokens)
{
}

void RetryBudget::setShare(double share)
{
    m_share = share;
}

void RetryBudget::addCall()
{
    m_tokens = std::min(m_tokens + m_share, m_maximumTokens);
}

bool RetryBudget::tryTake()
{
    if (m_share <= 0 || m_tokens < 1)
        return false;
    m_tokens -= 1;
    return true;
}

} // namespace Knapweedquay
