#include "coordination/placing/ProbePlanner.h"

#include <algorithm>
#include <tuple>

namespace Knapweedquay {

namespace {

/// Time after which a probe without a response no longer prevents the next one.
constexpr Duration probeTimeout { 1000000 };
/// An endpoint counts as likely to be chosen up to this multiple of the median predicted time.
constexpr int likelyFactor = 2;

/// Age from which on the report of an endpoint that takes few or no calls is refreshed.
constexpr Duration unavailableReportAge { 1000000 };

/// Groups of endpoints in the order in which they are probed.
enum class ProbeOrder {
    Unavailable,
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

bool isUnavailable(const EndpointStatus& endpoint)
{
    return endpoint.draining || endpoint.requestRate;
}

ProbeOrder probeOrderOf(const EndpointStatus& endpoint, Duration median)
{
    if (isUnavailable(endpoint))
        return ProbeOrder::Unavailable;
    if (endpoint.ejected)
        return ProbeOrder::Ejected;
    return endpoint.predictedTime <= median * likelyFactor ? ProbeOrder::Likely : ProbeOrder::Slow;
}

} // namespace

ProbePlanner::ProbePlanner(Duration minimumReportAge)
    : m_minimumReportAge(minimumReportAge)
{
}

std::optional<EndpointId> ProbePlanner::next(const std::vector<EndpointStatus>& endpoints, TimePoint now) const
{
    const auto median = medianPredictedTime(endpoints);
    const EndpointStatus* best = nullptr;
    std::tuple<ProbeOrder, TimePoint> bestRank;
    for (const auto& endpoint : endpoints) {
        const auto reportedAt = endpoint.reportedAt.value_or(TimePoint::min());
        const Duration refreshAge = isUnavailable(endpoint) ? unavailableReportAge : m_minimumReportAge;
        const bool isRecent = endpoint.reportedAt && now - reportedAt < refreshAge;
        if (endpoint.isDrainAnnounced || isRecent || isProbePending(endpoint.id, now))
            continue;
        const std::tuple<ProbeOrder, TimePoint> rank { probeOrderOf(endpoint, median), reportedAt };
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
    m_pendingProbes[id] = now;
}

void ProbePlanner::probeEnded(const EndpointId& id)
{
    m_pendingProbes.erase(id);
}

bool ProbePlanner::isProbePending(const EndpointId& id, TimePoint now) const
{
    const auto sent = m_pendingProbes.find(id);
    return sent != m_pendingProbes.end() && now - sent->second < probeTimeout;
}

} // namespace Knapweedquay
