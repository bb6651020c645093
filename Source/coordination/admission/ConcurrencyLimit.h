#pragma once

#include "coordination/admission/KneeEstimate.h"
#include "protocol/Ids.h"
#include "protocol/Time.h"

#include <cstdint>
#include <vector>

namespace Knapweedquay {

/// Adaptive limit of the number of calls that run concurrently at the node's backend server.
///
/// Starts at the number of announced slots and does not exceed it. If the latency of the backend server increases under
/// load, the limit is reduced, so that further calls wait in the node's queue, where priorities and deadlines are
/// observed. The algorithm is the latency gradient of TCP Vegas (SIGCOMM '94), as applied to servers by Netflix
/// concurrency-limits, with a multiplicative decrease when the backend server itself sheds a call. Latencies are
/// compared per priority, because calls of different priorities do different work.
class ConcurrencyLimit {
public:
    explicit ConcurrencyLimit(std::uint32_t slots);

    std::uint32_t value(TimePoint now) const;
    std::uint32_t slots() const { return m_slots; }
    /// Sets the number of announced slots. A lower number applies immediately; a higher one too if the limit was at the
    /// former number, otherwise the limit increases step by step.
    void setSlots(std::uint32_t);

    /// Set when the backend server reports its load itself. The limit is then the number of slots, reduced only by the
    /// KneeEstimate, because an increase in latency has other causes: a slow machine, or downstream calls.
    void setReportsLoad(bool reportsLoad) { m_reportsLoad = reportsLoad; }

    /// Adds a sample of a call that succeeded.
    /// runningAtStart: number of calls that were running when it started, itself included
    void observe(PriorityIndex, Duration latency, std::uint32_t runningAtStart, TimePoint now);
    /// Registers a call that the backend server rejected because of its own load (503).
    /// running: number of calls that were running when it was rejected, itself included
    void observeShed(std::uint32_t running);

private:
    /// Latency of the calls of one priority without contention.
    struct Baseline {
        double microseconds = 0;
        /// Number of samples in the initial mean.
        std::uint32_t samples = 0;
        /// Latencies above low load, which update the baseline by their mean.
        double windowSum = 0;
        std::uint32_t windowCount = 0;
    };

    void updateBaseline(Baseline&, double latency, bool isLowLoad);
    std::uint32_t adaptedValue() const;
    /// Adjusts the limit by the samples of the window and starts the next one.
    void closeWindow();
    void setLimit(double);

    std::uint32_t m_slots;
    /// The adapted limit, from 1 to the number of slots. Has a fraction because it is reduced by factors.
    double m_limit;
    /// Indexed by priority.
    std::vector<Baseline> m_baselines;
    /// Sum over the window of each latency divided by its baseline.
    double m_inflationSum = 0;
    /// Number of samples in the window.
    std::uint32_t m_samples = 0;
    /// Largest number of running calls within the window.
    std::uint32_t m_peakRunning = 0;
    /// True once the limit was reduced in this window because the backend server shed a call.
    bool m_shedInWindow = false;
    /// See setReportsLoad().
    bool m_reportsLoad = false;
    KneeEstimate m_knee;
};

} // namespace Knapweedquay
