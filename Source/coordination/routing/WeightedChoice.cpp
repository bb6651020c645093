#include "coordination/routing/WeightedChoice.h"

#include <cmath>

namespace Knapweedquay {

namespace {

constexpr double goldenRatioConjugate = 0.6180339887498949;
/// Limits the memory used for routes that no longer exist.
constexpr std::size_t maximumPositions = 50000;

} // namespace

WeightedChoice::WeightedChoice(double start)
    : m_start(start)
{
}

const ServiceName& WeightedChoice::choose(const RoutingRule& rule)
{
    if (rule.targets.size() == 1)
        return rule.targets.front().service;
    if (m_positions.size() > maximumPositions)
        m_positions.clear();
    double& position = m_positions.emplace(rule.host + rule.pathPrefix, m_start).first->second;
    position = std::fmod(position + goldenRatioConjugate, 1.0);
    double weights = 0;
    for (const RouteTarget& target : rule.targets)
        weights += target.weight;
    double remainder = position * weights;
    for (const RouteTarget& target : rule.targets) {
        remainder -= target.weight;
        if (remainder < 0)
            return target.service;
    }
    return rule.targets.back().service;
}

} // namespace Knapweedquay
