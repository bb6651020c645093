#pragma once

#include <chrono>
#include <random>
#include <string>
#include <vector>

namespace Knapweedquay::Load {

/// Draws how long a stand-in works on a request, by the prefix of its path.
class ServiceTimes {
public:
    explicit ServiceTimes(std::uint64_t seed)
        : m_random(seed)
    {
    }

    /// Adds "prefix=distribution:mean", the mean in milliseconds; distributions are exponential, lognormal and constant.
    ///
    /// Throws std::invalid_argument for any other text.
    void add(const std::string& rule);
    /// A time for a path, by its longest matching prefix; without one, exponential with a mean of 10 ms.
    std::chrono::microseconds draw(const std::string& path);

private:
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
