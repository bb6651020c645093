#pragma once

#include <chrono>
#include <random>
#include <string>
#include <vector>

namespace Knapweedquay::Load {

/// Draws the service time of a request by rules that match a prefix of its path.
class ServiceTimes {
public:
    explicit ServiceTimes(std::uint64_t seed)
        : m_random(seed)
    {
    }

    /// Adds a rule "prefix=distribution:mean", with the mean in milliseconds.
    ///
    /// The distribution is exponential, lognormal or constant. Throws std::invalid_argument for any other text.
    void add(const std::string& rule);
    /// Draws a time by the rule with the longest matching prefix; without one, exponential with a mean of 10 ms.
    std::chrono::microseconds draw(const std::string& path);

private:
    /// Distribution of the service times of all paths with a prefix.
    struct Rule {
        std::string prefix;
        std::string distribution;
        double meanMilliseconds = 10;
    };

    double drawMilliseconds(const Rule&);

    std::mt19937_64 m_random;
    std::vector<Rule> m_rules;
};

} // namespace Knapweedquay::Load
