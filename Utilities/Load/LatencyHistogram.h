#pragma once

#include <boost/histogram.hpp>

namespace Knapweedquay::Load {

/// Latencies in buckets that are 1% wide, from 10 us to 100 s.
class LatencyHistogram {
public:
    LatencyHistogram();

    void add(double milliseconds);
    std::uint64_t count() const { return m_count; }
    /// Upper edge of the bucket that holds the quantile, in milliseconds; 0 when it is empty.
    double quantile(double share) const;

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;

    boost::histogram::histogram<std::tuple<Axis>> m_buckets;
    std::uint64_t m_count = 0;
    double m_longest = 0;
};

} // namespace Knapweedquay::Load
