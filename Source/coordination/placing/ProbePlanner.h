#pragma once

#include "coordination/placing/EndpointChooser.h"

#include <map>
#include <optional>
#include <vector>

namespace Knapweedquay {

/// Names the endpoint that is worth a probe next, for one service at one node.
///
/// Answers carry reports, so a probe only fills a gap: the oldest report among the endpoints that are likely to be
/// chosen, then those that are ejected, then the slow ones. Ask when the MeasurementBudget has earned a probe;
/// probes follow the calls, as in Prequal (NSDI '24), so an idle service costs nothing.
class ProbePlanner {
public:
    /// gap: age below which a report needs no probe.
    explicit ProbePlanner(Duration gap = defaultGap);

    /// Nothing when every report is fresh or asked for already.
    std::optional<EndpointId> next(const std::vector<EndpointStatus>&, TimePoint now) const;
    void probeSent(const EndpointId&, TimePoint now);
    /// The answer came, or the endpoint left.
    void probeEnded(const EndpointId&);

private:
    static constexpr Duration defaultGap { 100000 };

    bool isAsked(const EndpointId&, TimePoint now) const;

    Duration m_gap;
    std::map<EndpointId, TimePoint> m_sent;
};

} // namespace Knapweedquay
