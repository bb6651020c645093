#pragma once

#include <boost/histogram.hpp>

namespace Knapweedquay::Load {

/// Histogram of latencies from 10 us to 100 s, in buckets that are 1% wide.
class LatencyHistogram {
public:
    LatencyHistogram();

    void add(double milliseconds);
    std::uint64_t count() const { return m_count; }
    /// Upper edge of the bucket that holds the quantile, at most the largest latency, in milliseconds; 0 when empty.
    double quantile(double share) const;

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;

    boost::histogram::histogram<std::tuple<Axis>> m_buckets;
    std::uint64_t m_count = 0;
    double m_maximum = 0;
};

} // namespace Knapweedquay::Load
