#include "coordination/membership/EvidenceGossip.h"

#include "protocol/GossipMessages.h"

namespace Knapweedquay {

namespace {

/// Number of queued rumors above which hearing known evidence counts as several of its transmissions, since other members
/// pass it on as well.
constexpr std::size_t suppressionThreshold = 16;
constexpr std::uint32_t suppressedTransmissions = 5;
/// Transmissions after which a rumor that is heard again is dropped; no deployment makes more of one rumor.
constexpr std::uint32_t suppressionLimit = 20;

} // namespace

bool EvidenceGossip::add(const CrashEvidence& evidence, TimePoint now)
{
    if (m_table.merge(evidence, now)) {
        m_rumors.add(evidence.digest);
        return true;
    }
    if (m_rumors.size() > suppressionThreshold)
        m_rumors.markSent(evidence.digest, suppressionLimit, suppressedTransmissions);
    return false;
}

std::vector<CrashEvidence> EvidenceGossip::takeRumors(std::size_t maximumBytes, std::uint32_t transmissionLimit, TimePoint now)
{
    std::size_t bytes = 0;
    std::vector<CrashEvidence> taken;
    std::vector<RequestDigest> dropped;
    m_rumors.visit([&](const RequestDigest& digest) {
        const CrashEvidence* evidence = m_table.find(digest);
        if (!evidence) {
            dropped.push_back(digest);
            return true;
        }
        bytes += encodedSize(*evidence, now);
        if (bytes > maximumBytes)
            return false;
        taken.push_back(*evidence);
        return true;
    });
    for (const RequestDigest& digest : dropped)
        m_rumors.remove(digest);
    for (const CrashEvidence& evidence : taken)
        m_rumors.markSent(evidence.digest, transmissionLimit);
    return taken;
}

std::vector<CrashEvidence> EvidenceGossip::repeatedCrashes(std::size_t maximumBytes, std::uint64_t start, TimePoint now) const
{
    std::vector<const CrashEvidence*> repeated;
    for (const auto& [digest, evidence] : m_table.requests()) {
        if (evidence.crashes.size() > 1)
            repeated.push_back(&evidence);
    }
    std::size_t bytes = 0;
    std::vector<CrashEvidence> chosen;
    for (std::size_t index = 0; index < repeated.size(); ++index) {
        const CrashEvidence& evidence = *repeated[(start + index) % repeated.size()];
        bytes += encodedSize(evidence, now);
        if (bytes > maximumBytes)
            break;
        chosen.push_back(evidence);
    }
    return chosen;
}

} // namespace Knapweedquay
