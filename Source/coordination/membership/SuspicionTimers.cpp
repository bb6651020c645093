#include "coordination/membership/SuspicionTimers.h"

#include <algorithm>
#include <cmath>

namespace Knapweedquay {

SuspicionTimers::SuspicionTimers(Duration minimum, Duration maximum, std::size_t wantedConfirmations)
    : m_minimum(minimum)
    , m_maximum(maximum)
    , m_wantedConfirmations(wantedConfirmations)
{
}

void SuspicionTimers::start(const NodeId& suspect, const NodeId& suspectedBy, std::size_t availableConfirmers, TimePoint now)
{
    Suspicion suspicion;
    suspicion.startedAt = now;
    suspicion.suspectedBy.insert(suspectedBy);
    suspicion.wantedConfirmations = std::min(m_wantedConfirmations, availableConfirmers);
    m_suspicions[suspect] = suspicion;
}

bool SuspicionTimers::confirm(const NodeId& suspect, const NodeId& suspectedBy)
{
    const auto found = m_suspicions.find(suspect);
    if (found == m_suspicions.end() || suspectedBy.value().empty())
        return false;
    Suspicion& suspicion = found->second;
    if (suspicion.suspectedBy.size() > suspicion.wantedConfirmations)
        return false;
    return suspicion.suspectedBy.insert(suspectedBy).second;
}

void SuspicionTimers::cancel(const NodeId& suspect)
{
    m_suspicions.erase(suspect);
}

void SuspicionTimers::postpone(Duration time)
{
    for (auto& [node, suspicion] : m_suspicions)
        suspicion.startedAt += time;
}

std::vector<NodeId> SuspicionTimers::takeExpired(TimePoint now)
{
    std::vector<NodeId> expired;
    for (auto suspicion = m_suspicions.begin(); suspicion != m_suspicions.end();) {
        if (deadline(suspicion->second) > now) {
            ++suspicion;
            continue;
        }
        expired.push_back(suspicion->first);
        suspicion = m_suspicions.erase(suspicion);
    }
    return expired;
}

std::optional<TimePoint> SuspicionTimers::nextDeadline() const
{
    std::optional<TimePoint> next;
    for (const auto& [node, suspicion] : m_suspicions) {
        const TimePoint candidate = deadline(suspicion);
        if (!next || candidate < *next)
            next = candidate;
    }
    return next;
}

TimePoint SuspicionTimers::deadline(const Suspicion& suspicion) const
{
    if (suspicion.wantedConfirmations == 0)
        return suspicion.startedAt + m_minimum;
    const double confirmations = static_cast<double>(suspicion.suspectedBy.size() - 1);
    const double progress = std::log(confirmations + 1) / std::log(static_cast<double>(suspicion.wantedConfirmations) + 1);
    const double range = static_cast<double>((m_maximum - m_minimum).count());
    const Duration shrunk = m_maximum - Duration(static_cast<Duration::rep>(range * progress));
    return suspicion.startedAt + std::max(m_minimum, shrunk);
}

} // namespace Knapweedquay
