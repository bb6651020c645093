#pragma once

#include "protocol/Time.h"

#include <cstdint>
#include <optional>

namespace Knapweedquay {

/// Estimates one quantile of a stream of durations in constant memory (Robbins-Monro stochastic approximation).
class QuantileEstimate {
public:
    /// quantile: between 0 and 1, exclusive
    explicit QuantileEstimate(double quantile);

    void add(Duration);
    /// The estimate; nothing until there are enough samples.
    std::optional<Duration> value() const;

private:
    double m_quantile;
    /// The current estimate.
    double m_microseconds = 0;
    /// Moving average of the samples, which scales the steps of the estimate.
    double m_meanMicroseconds = 0;
    std::uint64_t m_count = 0;
};

} // namespace Knapweedquay
