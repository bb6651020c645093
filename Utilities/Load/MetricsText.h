#pragma once

#include <optional>
#include <string>

namespace Knapweedquay::Load {

/// Sum of all samples of one metric in the Prometheus text format; nothing when it has none.
std::optional<double> sumMetric(const std::string& text, const std::string& name);

} // namespace Knapweedquay::Load
