#pragma once

#include "protocol/Time.h"

#include <cstdint>
#include <optional>

namespace Knapweedquay {

/// Follows one quantile of a stream of times in constant memory (Robbins and Monro's stochastic approximation).
class QuantileEstimate {
public:
    /// quantile: 0..1, exclusive.
    explicit QuantileEstimate(double quantile);

    void add(Duration);
    /// Nothing until enough values came.
    std::optional<Duration> value() const;

private:
    double m_quantile;
    double m_microseconds = 0;
    double m_meanMicroseconds = 0;
    std::uint64_t m_count = 0;
};

} // namespace Knapweedquay
