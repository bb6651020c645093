#include "coordination/placing/ProbePlanner.h"

#include <algorithm>
#include <tuple>

namespace Knapweedquay {

namespace {

/// After this time a probe without an answer no longer keeps the next one back.
constexpr Duration probeTimeout { 1000000 };
/// An endpoint is likely to be chosen up to this multiple of the median predicted time.
constexpr int likelyFactor = 2;

enum class Interest {
    Likely,
    Ejected,
    Slow,
};

Duration medianPredictedTime(const std::vector<EndpointStatus>& endpoints)
{
    std::vector<Duration> times;
    times.reserve(endpoints.size());
    for (const auto& endpoint : endpoints) {
        if (!endpoint.draining)
            times.push_back(endpoint.predictedTime);
    }
    if (times.empty())
        return Duration(0);
    const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
    std::nth_element(times.begin(), middle, times.end());
    return *middle;
}

Interest interestOf(const EndpointStatus& endpoint, Duration median)
{
    if (endpoint.ejected)
        return Interest::Ejected;
    return endpoint.predictedTime <= median * likelyFactor ? Interest::Likely : Interest::Slow;
}

} // namespace

ProbePlanner::ProbePlanner(Duration gap)
    : m_gap(gap)
{
}

std::optional<EndpointId> ProbePlanner::next(const std::vector<EndpointStatus>& endpoints, TimePoint now) const
{
    const auto median = medianPredictedTime(endpoints);
    const EndpointStatus* best = nullptr;
    std::tuple<Interest, TimePoint> bestRank;
    for (const auto& endpoint : endpoints) {
        const auto reportedAt = endpoint.reportedAt.value_or(TimePoint::min());
        const bool isFresh = endpoint.reportedAt && now - reportedAt < m_gap;
        if (endpoint.draining || isFresh || isAsked(endpoint.id, now))
            continue;
        const std::tuple<Interest, TimePoint> rank { interestOf(endpoint, median), reportedAt };
        if (best && rank >= bestRank)
            continue;
        best = &endpoint;
        bestRank = rank;
    }
    if (!best)
        return std::nullopt;
    return best->id;
}

void ProbePlanner::probeSent(const EndpointId& id, TimePoint now)
{
    m_sent[id] = now;
}

void ProbePlanner::probeEnded(const EndpointId& id)
{
    m_sent.erase(id);
}

bool ProbePlanner::isAsked(const EndpointId& id, TimePoint now) const
{
    const auto sent = m_sent.find(id);
    return sent != m_sent.end() && now - sent->second < probeTimeout;
}

} // namespace Knapweedquay
