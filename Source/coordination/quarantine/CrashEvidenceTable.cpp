#include "coordination/quarantine/CrashEvidenceTable.h"

#include <algorithm>

namespace Knapweedquay {

namespace {

/// Sets the target to the later of two times. Returns whether it changed by more than the transit of a message may.
bool takeLater(std::optional<TimePoint>& target, const std::optional<TimePoint>& other)
{
    constexpr Duration transitTolerance = std::chrono::milliseconds(250);
    if (!other || (target && *other <= *target))
        return false;
    const bool isNews = !target || *other - *target > transitTolerance;
    target = other;
    return isNews;
}

bool hasEarlierId(const Crash& a, const Crash& b)
{
    return a.id < b.id;
}

/// Adds a crash unless it is known. A piece of evidence that waited in the buffer of a suspended process makes its crashes appear
/// later than they were, so the earlier time holds.
bool addCrash(std::vector<Crash>& crashes, const Crash& crash)
{
    const auto place = std::lower_bound(crashes.begin(), crashes.end(), crash, hasEarlierId);
    if (place != crashes.end() && place->id == crash.id) {
        place->at = std::min(place->at, crash.at);
        return false;
    }
    crashes.insert(place, crash);
    return true;
}

void keepLatest(std::vector<Crash>& crashes)
{
    while (crashes.size() > maximumCrashesOfRequest) {
        crashes.erase(std::min_element(crashes.begin(), crashes.end(), [](const Crash& a, const Crash& b) {
            return a.at != b.at ? a.at < b.at : a.id < b.id;
        }));
    }
}

TimePoint lastEvent(const CrashEvidence& evidence)
{
    TimePoint last = std::max(evidence.triedAt.value_or(TimePoint::min()), clearedAt(evidence).value_or(TimePoint::min()));
    for (const Crash& crash : evidence.crashes)
        last = std::max(last, crash.at);
    return last;
}

} // namespace

std::optional<TimePoint> clearedAt(const CrashEvidence& evidence)
{
    if (!evidence.succeededAt || !evidence.releasedAt)
        return evidence.succeededAt ? evidence.succeededAt : evidence.releasedAt;
    return std::max(*evidence.succeededAt, *evidence.releasedAt);
}

bool CrashEvidenceTable::merge(const CrashEvidence& piece, TimePoint now)
{
    const auto found = m_requests.find(piece.digest);
    const bool isNew = found == m_requests.end();
    CrashEvidence merged;
    if (isNew) {
        merged.digest = piece.digest;
        merged.service = piece.service;
    } else
        merged = found->second;
    bool hasChanged = takeLater(merged.succeededAt, piece.succeededAt);
    hasChanged = takeLater(merged.releasedAt, piece.releasedAt) || hasChanged;
    hasChanged = takeLater(merged.triedAt, piece.triedAt) || hasChanged;
    const std::vector<Crash> before = merged.crashes;
    for (const Crash& crash : piece.crashes)
        addCrash(merged.crashes, crash);
    if (const auto cleared = clearedAt(merged)) {
        merged.crashes.erase(std::remove_if(merged.crashes.begin(), merged.crashes.end(), [&](const Crash& crash) { return crash.at <= *cleared; }), merged.crashes.end());
    }
    keepLatest(merged.crashes);
    hasChanged = hasChanged || !std::equal(before.begin(), before.end(), merged.crashes.begin(), merged.crashes.end(), [](const Crash& a, const Crash& b) { return a.id == b.id; });
    if (isExpired(merged, now) || (isNew && !hasChanged))
        return false;
    m_requests[piece.digest] = std::move(merged);
    if (m_requests.size() > maximumRequests)
        dropWeakest();
    return hasChanged;
}

void CrashEvidenceTable::expire(TimePoint now)
{
    for (auto entry = m_requests.begin(); entry != m_requests.end();)
        entry = isExpired(entry->second, now) ? m_requests.erase(entry) : std::next(entry);
}

const CrashEvidence* CrashEvidenceTable::find(const RequestDigest& digest) const
{
    const auto found = m_requests.find(digest);
    return found == m_requests.end() ? nullptr : &found->second;
}

bool CrashEvidenceTable::isExpired(const CrashEvidence& evidence, TimePoint now)
{
    return now - lastEvent(evidence) > (evidence.crashes.size() > 1 ? repeatedCrashRetention : singleCrashRetention);
}

void CrashEvidenceTable::dropWeakest()
{
    m_requests.erase(std::min_element(m_requests.begin(), m_requests.end(), [](const auto& a, const auto& b) {
        const std::size_t crashesOfA = a.second.crashes.size();
        const std::size_t crashesOfB = b.second.crashes.size();
        return crashesOfA != crashesOfB ? crashesOfA < crashesOfB : lastEvent(a.second) < lastEvent(b.second);
    }));
}

} // namespace Knapweedquay
