#include "coordination/presence/BackendReachability.h"

namespace Knapweedquay {

namespace {

/// Time since the last refused connection after which calls are admitted again. Longer than the interval of the load
/// requests, so that these detect a recovery first where they are sent.
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
