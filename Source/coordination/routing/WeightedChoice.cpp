#include "coordination/routing/WeightedChoice.h"

#include <cmath>

namespace Knapweedquay {

namespace {

constexpr double goldenRatio = 0.6180339887498949;
/// Routes that come and go must not fill the memory.
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
    position = std::fmod(position + goldenRatio, 1.0);
    double weights = 0;
    for (const RouteTarget& target : rule.targets)
        weights += target.weight;
    double rest = position * weights;
    for (const RouteTarget& target : rule.targets) {
        rest -= target.weight;
        if (rest < 0)
            return target.service;
    }
    return rule.targets.back().service;
}

} // namespace Knapweedquay
