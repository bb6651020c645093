#pragma once

#include "coordination/membership/RumorQueue.h"
#include "coordination/quarantine/CrashEvidenceTable.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace Knapweedquay {

/// Passes evidence about requests that were running in crashes on to the other members.
///
/// News is sent as rumors. A member that missed a rumor, or that has just started, receives the evidence about requests with
/// several crashes in the answers to its digests.
class EvidenceGossip {
public:
    /// Adds evidence that this process found or received. Returns whether it was news.
    bool add(const CrashEvidence&, TimePoint now);
    /// Takes the next rumors that fit into this number of bytes, and counts their transmission.
    std::vector<CrashEvidence> takeRumors(std::size_t maximumBytes, std::uint32_t transmissionLimit, TimePoint now);
    /// Evidence about requests with several crashes, as much as fits into this number of bytes. start: any number; different
    /// ones select different requests if there are more.
    std::vector<CrashEvidence> repeatedCrashes(std::size_t maximumBytes, std::uint64_t start, TimePoint now) const;
    bool hasRumors() const { return !m_rumors.isEmpty(); }
    const CrashEvidenceTable& table() const { return m_table; }
    void expire(TimePoint now) { m_table.expire(now); }

private:
    CrashEvidenceTable m_table;
    RumorQueue<RequestDigest> m_rumors;
};

} // namespace Knapweedquay
