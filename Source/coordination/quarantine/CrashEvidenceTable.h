#pragma once

#include "protocol/CrashEvidence.h"

#include <cstddef>
#include <map>
#include <unordered_map>
#include <vector>

namespace Knapweedquay {

/// The evidence that this process holds about requests that were running in crashes.
///
/// Every process of the deployment holds the same evidence once all pieces have reached it. Crashes before the last success
/// or release of their request say nothing, and are not kept. The table is bounded: beyond the limit, the requests with the
/// fewest crashes are dropped, of these the one whose last crash is oldest.
class CrashEvidenceTable {
public:
    /// Largest number of requests that are held.
    static constexpr std::size_t maximumRequests = 1024;
    /// Time after its last event for which a request with less than two crashes, or with more of them, is held.
    static constexpr Duration singleCrashRetention = std::chrono::minutes(10);
    static constexpr Duration repeatedCrashRetention = std::chrono::hours(24);

    /// Merges a piece of evidence. Returns whether the table changed.
    bool merge(const CrashEvidence&, TimePoint now);
    /// Removes the requests that were held for long enough.
    void expire(TimePoint now);

    /// Null if nothing is held about the request.
    const CrashEvidence* find(const RequestDigest&) const;
    std::size_t size() const { return m_requests.size(); }
    bool isEmpty() const { return m_requests.empty(); }
    /// All that is held, by digest.
    const std::map<RequestDigest, CrashEvidence>& requests() const { return m_requests; }

private:
    static bool isExpired(const CrashEvidence&, TimePoint now);
    void dropWeakest();

    std::map<RequestDigest, CrashEvidence> m_requests;
};

/// When the request last succeeded or was released, whichever is later; not set if neither is known.
std::optional<TimePoint> clearedAt(const CrashEvidence&);

} // namespace Knapweedquay
