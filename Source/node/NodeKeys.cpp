#include "node/NodeKeys.h"

#include "transport/Logger.h"
#include "transport/SteadyTime.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace Knapweedquay {

namespace {

/// Retry-After of refusals for lack of a proof: nodes ask for proofs about as often.
constexpr Duration unprovedRetryAfter { 200000 };

} // namespace

NodeKeys::NodeKeys(std::optional<Duration> revocationTime)
    : m_guard(revocationTime)
{
}

void NodeKeys::configurationProved(TimePoint provedAt)
{
    m_provedAt = std::max(m_provedAt, provedAt);
    m_guard.proved(provedAt);
    if (m_refusals > 0 && m_guard.isLeaseHeld(steadyNow()))
        log(LogEvent::KeysProved, { { "refusals", std::to_string(std::exchange(m_refusals, 0)) } });
}

std::optional<Refusal> NodeKeys::check(const std::optional<CallerProof>& proof)
{
    const TimePoint now = steadyNow();
    const KeyVerdict verdict = m_guard.check(proof, now);
    if (verdict == KeyVerdict::Allowed)
        return std::nullopt;
    if (verdict == KeyVerdict::LeaseEnded && m_refusals++ == 0)
        log(LogEvent::KeysUnproved, { { "proof_age_ms", std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(now - m_provedAt).count()) } });
    return Refusal { ResultCode::KeyUnproved, unprovedRetryAfter };
}

} // namespace Knapweedquay
