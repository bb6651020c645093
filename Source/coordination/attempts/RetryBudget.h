#pragma once

namespace Knapweedquay {

/// Bounds the extra attempts of one service at one node to a share of its calls.
///
/// A token bucket that calls fill and extra attempts empty, so that retries cannot multiply the load
/// of an overloaded service (The Tail at Scale, CACM '13). Over any number of calls the attempts
/// allowed are at most share * calls + maximumTokens.
class RetryBudget {
public:
    /// Attempts that may come in a burst; also lets a service with few calls retry at all.
    static constexpr double defaultMaximumTokens = 10;

    /// share: extra attempts per call, 0..1; 0 allows none, not even a burst.
    explicit RetryBudget(double share, double maximumTokens = defaultMaximumTokens);

    /// Takes over the share of a newer service document.
    void setShare(double share);
    /// A call was sent. Not to be used for a call that is itself a repeat of an upper level.
    void addCall();
    /// Takes the token of one extra attempt; false when the budget is spent.
    bool tryTake();
    /// Extra attempts that may be made now; a part of one is not made.
    double availableTokens() const { return m_tokens; }

private:
    double m_share;
    double m_maximumTokens;
    double m_tokens;
};

} // namespace Knapweedquay
