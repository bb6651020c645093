#include "Load/LatencyHistogram.h"

#include <algorithm>
#include <cmath>

namespace Knapweedquay::Load {

namespace {

constexpr double lowestMilliseconds = 0.01;
constexpr double highestMilliseconds = 100000;
/// Ratio of the upper edge of a bucket to its lower edge.
constexpr double bucketRatio = 1.01;

unsigned bucketCount()
{
    return static_cast<unsigned>(std::ceil(std::log(highestMilliseconds / lowestMilliseconds) / std::log(bucketRatio)));
}

} // namespace

LatencyHistogram::LatencyHistogram()
    : m_buckets(boost::histogram::make_histogram(Axis(bucketCount(), lowestMilliseconds, highestMilliseconds)))
{
}

void LatencyHistogram::add(double milliseconds)
{
    m_buckets(std::max(milliseconds, lowestMilliseconds));
    m_maximum = std::max(m_maximum, milliseconds);
    ++m_count;
}

double LatencyHistogram::quantile(double share) const
{
    const double rank = std::ceil(share * static_cast<double>(m_count));
    double cumulativeCount = 0;
    for (auto&& bucket : boost::histogram::indexed(m_buckets)) {
        cumulativeCount += *bucket;
        if (cumulativeCount >= rank && cumulativeCount > 0)
            return std::min(bucket.bin().upper(), m_maximum);
    }
    return m_maximum;
}

} // namespace Knapweedquay::Load
