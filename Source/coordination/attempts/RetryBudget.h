#pragma once

namespace Knapweedquay {

/// Limits the extra attempts of one service at one node to a share of its calls.
///
/// A token bucket that calls fill and extra attempts drain, so that retries cannot multiply the load of an overloaded
/// service (The Tail at Scale, CACM '13). Over any number of calls at most share * calls + maximumTokens extra attempts
/// are allowed.
class RetryBudget {
public:
    /// Burst size in attempts; also allows a service with few calls to retry at all.
    static constexpr double defaultMaximumTokens = 10;

    /// share: extra attempts per call, 0..1; 0 allows none, not even a burst.
    explicit RetryBudget(double share, double maximumTokens = defaultMaximumTokens);

    /// Sets the share from a newer service document.
    void setShare(double share);
    /// Adds the share of one call. Must not be called for a call that is itself a repeat of an upstream level.
    void addCall();
    /// Takes the token for one extra attempt; returns false when the budget is exhausted.
    bool tryTake();
    /// Tokens in the bucket; an extra attempt needs a whole one.
    double availableTokens() const { return m_tokens; }

private:
    double m_share;
    double m_maximumTokens;
    double m_tokens;
};

} // namespace Knapweedquay
