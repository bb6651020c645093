#pragma once

#include "coordination/placing/EndpointChooser.h"

#include <map>
#include <optional>
#include <vector>

namespace Knapweedquay {

/// Selects the next endpoint to probe, for one service at one node.
///
/// Responses to calls carry load reports, so probes are needed only where reports are missing or old. Endpoints that
/// are likely to be chosen are probed first, then ejected ones, then slow ones, each group by the age of their reports.
/// An endpoint that last reported that it takes no calls, or that it limits its requests per second, may get no call that
/// would bring another report, so once a second it comes before all others.
/// Call next() when the MeasurementBudget allows a probe. As in Prequal (NSDI '24), the number of probes is
/// proportional to the number of calls, so that an idle service causes no probes.
class ProbePlanner {
public:
    /// minimumReportAge: age from which on a report should be refreshed by a probe
    explicit ProbePlanner(Duration minimumReportAge = defaultMinimumReportAge);

    /// The endpoint to probe next; nothing when each endpoint has announced that it drains, has a recent report or has a
    /// pending probe.
    std::optional<EndpointId> next(const std::vector<EndpointStatus>&, TimePoint now) const;
    void probeSent(const EndpointId&, TimePoint now);
    /// Call when the response was received or the endpoint was removed.
    void probeEnded(const EndpointId&);

private:
    static constexpr Duration defaultMinimumReportAge { 100000 };

    bool isProbePending(const EndpointId&, TimePoint now) const;

    Duration m_minimumReportAge;
    /// Time of sending of each probe that has not ended, by the probed endpoint.
    std::map<EndpointId, TimePoint> m_pendingProbes;
};

} // namespace Knapweedquay
