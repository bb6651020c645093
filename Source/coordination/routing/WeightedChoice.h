#pragma once

#include "state/RoutingDocument.h"

#include <map>
#include <string>

namespace Knapweedquay {

/// Spreads the calls of each route over its services by weight.
///
/// Steps by the golden ratio, whose multiples lie evenly in 0..1, so that even a few hundred calls keep to the weights
/// closely. Each process begins at a point of its own, so that processes do not move in step.
class WeightedChoice {
public:
    /// start: 0..1.
    explicit WeightedChoice(double start);

    const ServiceName& choose(const RoutingRule&);

private:
    double m_start;
    /// Position of each route, by its host and prefix.
    std::map<std::string, double> m_positions;
};

} // namespace Knapweedquay
