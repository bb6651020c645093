#pragma once

#include "state/RoutingDocument.h"

#include <map>
#include <string>

namespace Knapweedquay {

/// Distributes the calls of each route over its services by weight.
///
/// Advances by the golden ratio conjugate, whose multiples modulo 1 are evenly spread over 0..1, so that even a few
/// hundred calls match the weights closely. Each process starts at a different position, so that processes do not all
/// choose the same service at the same time.
class WeightedChoice {
public:
    /// start: initial position of every route, 0..1.
    explicit WeightedChoice(double start);

    /// Chooses the service for the next call of the route.
    const ServiceName& choose(const RoutingRule&);

private:
    double m_start;
    /// Position of each route in the sequence, 0..1, keyed by its host and path prefix.
    std::map<std::string, double> m_positions;
};

} // namespace Knapweedquay
