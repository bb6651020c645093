#include "coordination/attempts/RetryBudget.h"

#include <algorithm>

namespace Knapweedquay {

RetryBudget::RetryBudget(double share, double burst, double initialTokens)
    : m_share(share)
    , m_burst(burst)
    , m_tokens(initialTokens)
{
    setBurst(burst);
}

double RetryBudget::burstOfNode(double burstOfFleet, std::size_t nodes)
{
    return burstOfFleet / static_cast<double>(std::max<std::size_t>(nodes, 1));
}

void RetryBudget::setBurst(double burst)
{
    m_burst = burst;
    m_tokens = std::min(m_tokens, std::max(m_burst, minimumTokens));
}

void RetryBudget::addCall()
{
    m_tokens = std::min(m_tokens + m_share, std::max(m_burst, minimumTokens));
}

bool RetryBudget::tryTake()
{
    if (!canTake())
        return false;
    m_tokens -= 1;
    return true;
}

bool RetryBudget::tryTakeForRepeatedRun()
{
    if (m_tokens - 1 < -m_burst)
        return false;
    m_tokens -= 1;
    return true;
}

} // namespace Knapweedquay
