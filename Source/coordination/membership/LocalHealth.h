#pragma once

#include <algorithm>
#include <cstdint>

namespace Knapweedquay {

/// Score of how likely this process itself is slow or cut off; 0 means healthy.
///
/// Lifeguard's local health multiplier (2017): a process that is starved of processor time or cut off sees timeouts
/// of all members, so it lengthens its probes before it suspects others.
class LocalHealth {
public:
    void recordSuccess() { m_score = m_score == 0 ? 0 : m_score - 1; }
    void recordFailure() { m_score = std::min(m_score + 1, maximumScore); }
    void reset() { m_score = 0; }

    /// Factor for the probe period and timeout, at least 1.
    std::int64_t multiplier() const { return m_score + 1; }

private:
    static constexpr std::int64_t maximumScore = 4;

    std::int64_t m_score = 0;
};

} // namespace Knapweedquay
