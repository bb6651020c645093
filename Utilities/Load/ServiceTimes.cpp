#include "Load/ServiceTimes.h"

#include <cmath>
#include <set>
#include <stdexcept>

namespace Knapweedquay::Load {

void ServiceTimes::add(const std::string& text)
{
    static const std::set<std::string> knownDistributions { "exponential", "lognormal", "constant" };
    const std::size_t equals = text.find('=');
    const std::size_t colon = text.find(':', equals == std::string::npos ? 0 : equals);
    if (equals == std::string::npos || colon == std::string::npos)
        throw std::invalid_argument("service time '" + text + "' is not prefix=distribution:mean");
    Rule rule { text.substr(0, equals), text.substr(equals + 1, colon - equals - 1), std::stod(text.substr(colon + 1)) };
    if (knownDistributions.count(rule.distribution) == 0)
        throw std::invalid_argument("unknown distribution '" + rule.distribution + "'");
    m_rules.push_back(std::move(rule));
}

std::chrono::microseconds ServiceTimes::draw(const std::string& path)
{
    Rule best { "", "exponential", 10 };
    for (const Rule& rule : m_rules) {
        if (path.compare(0, rule.prefix.size(), rule.prefix) == 0 && rule.prefix.size() >= best.prefix.size())
            best = rule;
    }
    return std::chrono::microseconds(std::llround(drawMilliseconds(best) * 1000));
}

double ServiceTimes::drawMilliseconds(const Rule& rule)
{
    if (rule.distribution == "constant")
        return rule.meanMilliseconds;
    if (rule.distribution == "exponential")
        return std::exponential_distribution<>(1 / rule.meanMilliseconds)(m_random);
    // The mean of a log-normal distribution is exp(mu + sigma^2 / 2).
    constexpr double sigma = 0.8;
    return std::lognormal_distribution<>(std::log(rule.meanMilliseconds) - sigma * sigma / 2, sigma)(m_random);
}

} // namespace Knapweedquay::Load
