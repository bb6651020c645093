#pragma once

#include "protocol/Time.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace Knapweedquay {

/// Limits the extra attempts of one service at one node to a share of its callers' calls, so that retries cannot multiply the
/// load of an overloaded service (The Tail at Scale, CACM '13).
///
/// In the window that ends with an extra attempt, there are at most share * calls + max(burst, 1) of them. Calls of repeated runs,
/// whose run would be wasted, are allowed up to share * calls + 2 * burst. A window that slides, unlike a token bucket, neither
/// loses what was not used at once nor lets it add up to more than one window allows.
///
/// The load pattern that it answers: a fault that hits every node at once, such as crashed backend servers or a service
/// that fails all its calls. Each node then spends all that it may, so what the backend servers must bear is the sum over
/// the fleet. burstOfNode() divides the burst of the whole fleet among its nodes.
class RetryBudget {
public:
    /// Length of the window.
    static constexpr Duration window { 10000000 };
    /// Burst of a budget that is not part of a fleet's.
    static constexpr double defaultBurst = 10;
    /// The most that burstOfNode() gives: a node that has just started knows few of the others.
    static constexpr double maximumBurstOfNode = 3;

    /// share: extra attempts per call, 0..1; 0 allows none, not even a burst.
    explicit RetryBudget(double share, double burst = defaultBurst);

    /// The part of a burst of the whole fleet that belongs to one of its nodes.
    static double burstOfNode(double burstOfFleet, std::size_t nodes);

    /// Sets the share from a newer service document.
    void setShare(double share) { m_share = share; }
    void setBurst(double burst) { m_burst = burst; }
    /// Adds the share of one call. Must not be called for a call that is itself a repeat of an upstream level.
    void addCall(TimePoint now);
    /// True when an extra attempt may be started now.
    bool canTake(TimePoint now) const;
    /// Takes one extra attempt from the budget; returns false when it is exhausted.
    bool tryTake(TimePoint now);
    /// Returns an extra attempt that was taken within the window and certainly reached no backend server.
    void giveBack(TimePoint now);
    /// Takes the call of a repeated run from the budget; returns false when even that is too much.
    bool tryTakeForRepeatedRun(TimePoint now);
    /// Extra attempts that may be started now; negative while calls of repeated runs have taken more than that.
    double available(TimePoint now) const;

private:
    using Second = std::int64_t;
    /// Calls and extra attempts of one second.
    struct Counts {
        Second second = -1;
        std::uint32_t calls = 0;
        std::uint32_t extra = 0;
    };
    static constexpr std::size_t windowSeconds = std::chrono::duration_cast<std::chrono::seconds>(window).count();

    Counts& current(TimePoint now);
    /// The sums that matter now. The extra attempts are those of a whole window and the second in progress, the calls those of
    /// the window up to now, so that the part of a second errs on the side of fewer extra attempts.
    Counts sum(TimePoint now) const;

    double m_share;
    double m_burst;
    /// By second, modulo the size.
    std::array<Counts, windowSeconds + 1> m_counts {};
};

} // namespace Knapweedquay
