#pragma once

#include <cstddef>

namespace Knapweedquay {

/// Limits the extra attempts of one service at one node to a share of its callers' calls.
///
/// A token bucket that calls fill and extra attempts drain, so that retries cannot multiply the load of an overloaded
/// service (The Tail at Scale, CACM '13). Attempts that this node starts stop at zero. Calls of repeated runs, whose run would
/// be wasted, may take the bucket as far below zero as the burst is high. Over any number of calls at most
/// share * calls + max(burst, 1) + burst extra attempts are allowed.
///
/// The load pattern that it answers: a fault that hits every node at once, such as crashed backend servers or a service
/// that fails all its calls. Each node then spends all that it has stored, so what the backend servers must bear is the sum
/// over the fleet. burstOfNode() divides the burst of the whole fleet among its nodes.
class RetryBudget {
public:
    /// Burst in attempts; also allows a service with few calls to retry at all.
    static constexpr double defaultBurst = 10;
    /// Tokens of a node that has just started, and the least that it may store: fewer would allow no retry at all.
    static constexpr double minimumTokens = 1;

    /// share: extra attempts per call, 0..1; 0 allows none, not even a burst.
    /// initialTokens: tokens in the bucket before the first call.
    explicit RetryBudget(double share, double burst = defaultBurst, double initialTokens = defaultBurst);

    /// The part of a burst of the whole fleet that belongs to one of its nodes.
    static double burstOfNode(double burstOfFleet, std::size_t nodes);

    /// Sets the share from a newer service document.
    void setShare(double share) { m_share = share; }
    /// Sets the burst; stored tokens beyond it are lost.
    void setBurst(double);
    /// Adds the share of one call. Must not be called for a call that is itself a repeat of an upstream level.
    void addCall();
    /// True when an extra attempt may be started now.
    bool canTake() const { return m_share > 0 && m_tokens >= 1; }
    /// Takes the token for one extra attempt; returns false when there is none.
    bool tryTake();
    /// Takes the token for a call that a repeated run makes; returns false when the bucket is too far below zero.
    bool tryTakeForRepeatedRun();
    /// Tokens in the bucket; negative while calls of repeated runs have taken more than there was.
    double availableTokens() const { return m_tokens; }

private:
    double m_share;
    double m_burst;
    double m_tokens;
};

} // namespace Knapweedquay
