#pragma once

#include "coordination/admission/KneeEstimate.h"
#include "protocol/Ids.h"
#include "protocol/Time.h"

#include <cstdint>
#include <vector>

namespace Knapweedquay {

/// How many calls the node lets run at once at its backend server.
///
/// Starts at the announced slots and never goes above them. A backend server that slows down under its calls gets
/// fewer, so that the rest waits in the node's queue, where priorities and deadlines count. The rule is the latency
/// gradient of TCP Vegas (SIGCOMM '94) as Netflix concurrency-limits applies it to servers, with a multiplicative
/// decrease when the backend server sheds a call itself. Latencies are compared per priority, because work of
/// different kinds takes different times.
class ConcurrencyLimit {
public:
    explicit ConcurrencyLimit(std::uint32_t slots);

    std::uint32_t value(TimePoint now) const;
    std::uint32_t slots() const { return m_slots; }
    /// Slots as announced now. A higher number is reached step by step, a lower one applies at once.
    void setSlots(std::uint32_t);

    /// The backend server tells its load, so that its slots are taken as they are, but for those that are not worth it.
    /// A latency that grows has other reasons then: a slow machine, or the calls that its calls make.
    void setTellsLoad(bool tells) { m_tellsLoad = tells; }

    /// Takes in a call that succeeded; runningAtStart counts the calls that ran when it started, itself included.
    void observe(PriorityIndex, Duration latency, std::uint32_t runningAtStart, TimePoint now);
    /// Takes in a call that the backend server refused because of its own load (503).
    void observeShed(std::uint32_t running);

private:
    struct Baseline {
        double microseconds = 0;
        std::uint32_t samples = 0;
        double windowSum = 0;
        std::uint32_t windowCount = 0;
    };

    void updateBaseline(Baseline&, double latency, bool isLowLoad);
    std::uint32_t adaptedValue() const;
    void closeWindow();
    void setLimit(double);

    std::uint32_t m_slots;
    double m_limit;
    std::vector<Baseline> m_baselines;
    double m_inflationSum = 0;
    std::uint32_t m_samples = 0;
    std::uint32_t m_peakRunning = 0;
    bool m_shedInWindow = false;
    bool m_tellsLoad = false;
    KneeEstimate m_knee;
};

} // namespace Knapweedquay
