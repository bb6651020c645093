#pragma once

#include <optional>
#include <string>

namespace Knapweedquay::Load {

/// Sums all samples of one metric in a text in the Prometheus format; unset when there are none.
std::optional<double> sumMetric(const std::string& text, const std::string& name);

} // namespace Knapweedquay::Load
