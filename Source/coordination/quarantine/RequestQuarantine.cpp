#include "coordination/quarantine/RequestQuarantine.h"

#include <algorithm>
#include <set>
#include <utility>

namespace Knapweedquay {

namespace {

/// A request with enough crashes to be held.
struct Candidate {
    const CrashEvidence* evidence = nullptr;
    std::size_t crashes = 0;
};

bool hasSucceededBefore(const CrashEvidence& evidence, TimePoint firstCrash)
{
    const auto cleared = clearedAt(evidence);
    return cleared && firstCrash - *cleared <= RequestQuarantine::successWindow;
}

/// Crashes that are more than the window apart; closer ones count once.
std::size_t countEvents(const std::vector<TimePoint>& sortedTimes)
{
    std::size_t count = 0;
    TimePoint last;
    for (const TimePoint time : sortedTimes) {
        if (count > 0 && time - last <= RequestQuarantine::sameEventWindow)
            continue;
        ++count;
        last = time;
    }
    return count;
}

/// True if the crashes that no other request explains are enough to hold the request.
bool isToBeHeld(const CrashEvidence& evidence, const std::set<CrashId>& explained)
{
    std::vector<TimePoint> times;
    for (const Crash& crash : evidence.crashes) {
        if (explained.count(crash.id) == 0)
            times.push_back(crash.at);
    }
    std::sort(times.begin(), times.end());
    if (times.empty())
        return false;
    if (hasSucceededBefore(evidence, times.front()))
        return countEvents(times) >= RequestQuarantine::crashesToHoldAfterSuccess;
    return times.size() >= RequestQuarantine::crashesToHold;
}

Duration holdAfter(std::size_t crashes)
{
    Duration hold = RequestQuarantine::firstHold;
    for (std::size_t further = RequestQuarantine::crashesToHold; further < crashes && hold < RequestQuarantine::longestHold; ++further)
        hold *= RequestQuarantine::holdGrowth;
    return std::min(hold, RequestQuarantine::longestHold);
}

/// Evidence about the same request that says nothing yet.
CrashEvidence emptyPieceOf(const CrashEvidence& known)
{
    CrashEvidence piece;
    piece.digest = known.digest;
    piece.service = known.service;
    return piece;
}

TimePoint lastCrash(const CrashEvidence& evidence)
{
    TimePoint last;
    for (const Crash& crash : evidence.crashes)
        last = std::max(last, crash.at);
    return last;
}

} // namespace

std::vector<CrashEvidence> RequestQuarantine::crashed(CrashId crash, const ServiceName& service, const std::vector<RequestDigest>& requests, TimePoint now)
{
    std::vector<CrashEvidence> pieces;
    for (const RequestDigest& digest : requests) {
        CrashEvidence piece;
        piece.digest = digest;
        piece.service = service;
        piece.crashes.push_back({ crash, now });
        piece.succeededAt = m_successes.lastSuccess(digest);
        if (m_evidence.merge(piece, now))
            pieces.push_back(std::move(piece));
    }
    evaluate();
    return pieces;
}

std::vector<CrashEvidence> RequestQuarantine::succeeded(const RequestDigest& digest, TimePoint now)
{
    m_successes.record(digest, now);
    const CrashEvidence* known = m_evidence.find(digest);
    if (!known || known->crashes.empty())
        return {};
    CrashEvidence piece = emptyPieceOf(*known);
    piece.succeededAt = now;
    return addOwn(piece, now);
}

std::vector<CrashEvidence> RequestQuarantine::receive(const CrashEvidence& piece, TimePoint now)
{
    if (!m_evidence.merge(piece, now))
        return {};
    evaluate();
    const CrashEvidence* known = m_evidence.find(piece.digest);
    const auto success = m_successes.lastSuccess(piece.digest);
    if (!known || known->crashes.empty() || !success)
        return {};
    const auto first = std::min_element(known->crashes.begin(), known->crashes.end(), [](const Crash& a, const Crash& b) { return a.at < b.at; });
    if (*success <= first->at && hasSucceededBefore(*known, first->at))
        return {};
    CrashEvidence own = emptyPieceOf(*known);
    own.succeededAt = success;
    return addOwn(own, now);
}

std::vector<CrashEvidence> RequestQuarantine::release(const RequestDigest& digest, TimePoint now)
{
    const CrashEvidence* known = m_evidence.find(digest);
    if (!known)
        return {};
    CrashEvidence piece = emptyPieceOf(*known);
    piece.releasedAt = now;
    return addOwn(piece, now);
}

std::vector<CrashEvidence> RequestQuarantine::startTrial(const RequestDigest& digest, TimePoint now)
{
    const CrashEvidence* known = m_evidence.find(digest);
    if (!known)
        return {};
    CrashEvidence piece = emptyPieceOf(*known);
    piece.triedAt = now;
    return addOwn(piece, now);
}

std::vector<CrashEvidence> RequestQuarantine::addOwn(const CrashEvidence& piece, TimePoint now)
{
    if (!m_evidence.merge(piece, now))
        return {};
    evaluate();
    return { piece };
}

void RequestQuarantine::evaluate()
{
    std::vector<Candidate> candidates;
    for (const auto& [digest, evidence] : m_evidence.requests()) {
        if (evidence.crashes.size() >= crashesToHold)
            candidates.push_back({ &evidence, evidence.crashes.size() });
    }
    std::stable_sort(candidates.begin(), candidates.end(), [](const Candidate& a, const Candidate& b) { return a.crashes > b.crashes; });
    std::map<RequestDigest, std::size_t> held;
    std::set<CrashId> explained;
    std::set<CrashId> explainedByEqual;
    std::size_t crashes = 0;
    for (const Candidate& candidate : candidates) {
        // Of two requests with as many crashes, neither explains those of the other.
        if (std::exchange(crashes, candidate.crashes) != candidate.crashes)
            explained.insert(explainedByEqual.begin(), explainedByEqual.end());
        if (!isToBeHeld(*candidate.evidence, explained))
            continue;
        held.emplace(candidate.evidence->digest, candidate.crashes);
        for (const Crash& crash : candidate.evidence->crashes)
            explainedByEqual.insert(crash.id);
    }
    for (const auto& [digest, count] : held) {
        if (m_held.count(digest) == 0)
            m_changes.push_back({ digest, m_evidence.find(digest)->service, true, count });
    }
    for (const auto& [digest, count] : m_held) {
        const CrashEvidence* known = m_evidence.find(digest);
        if (held.count(digest) == 0)
            m_changes.push_back({ digest, known ? known->service : ServiceName(), false, count });
    }
    m_held = std::move(held);
}

QuarantineVerdict RequestQuarantine::verdict(const RequestDigest& digest, TimePoint now) const
{
    const CrashEvidence* known = m_evidence.find(digest);
    if (!known || known->crashes.empty())
        return {};
    const std::size_t crashes = known->crashes.size();
    if (m_held.count(digest) == 0)
        return { hasSucceededBefore(*known, lastCrash(*known)) ? QuarantineState::Clear : QuarantineState::Suspected, TimePoint(), crashes };
    const TimePoint until = std::max(lastCrash(*known), known->triedAt.value_or(TimePoint())) + holdAfter(crashes);
    return { now < until ? QuarantineState::Held : QuarantineState::TrialDue, until, crashes };
}

std::vector<RequestDigest> RequestQuarantine::held() const
{
    std::vector<RequestDigest> digests;
    for (const auto& entry : m_held)
        digests.push_back(entry.first);
    return digests;
}

std::vector<QuarantineChange> RequestQuarantine::takeChanges()
{
    return std::exchange(m_changes, {});
}

void RequestQuarantine::expire(TimePoint now)
{
    m_evidence.expire(now);
    evaluate();
}

} // namespace Knapweedquay
