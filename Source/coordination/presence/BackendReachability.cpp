#include "coordination/presence/BackendReachability.h"

namespace Knapweedquay {

namespace {

/// Longer than the questions for the load are apart, so that these find out first where they are asked.
constexpr Duration retryInterval { 300000 };

} // namespace

void BackendReachability::connectionRefused(TimePoint now)
{
    m_refusedAt = now;
}

bool BackendReachability::mayTry(TimePoint now) const
{
    return !m_refusedAt || now - *m_refusedAt >= retryInterval;
}

} // namespace Knapweedquay
