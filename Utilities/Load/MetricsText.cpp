#include "Load/MetricsText.h"

#include <sstream>

namespace Knapweedquay::Load {

std::optional<double> sumMetric(const std::string& text, const std::string& name)
{
    std::optional<double> sum;
    std::istringstream lines(text);
    for (std::string line; std::getline(lines, line);) {
        const std::size_t end = line.find_first_of("{ ");
        const std::size_t value = line.rfind(' ');
        if (line.compare(0, end, name) == 0 && value != std::string::npos)
            sum = sum.value_or(0) + std::stod(line.substr(value + 1));
    }
    return sum;
}

} // namespace Knapweedquay::Load
