#pragma once

#include "coordination/quarantine/CrashEvidenceTable.h"
#include "coordination/quarantine/SuccessHistory.h"

#include <cstdint>
#include <map>
#include <vector>

namespace Knapweedquay {

/// What may be done with a request that was running in crashes.
enum class QuarantineState : std::uint8_t {
    /// Nothing speaks against the request.
    Clear,
    /// The request was running in a crash, but may not be its cause: it is sent to one endpoint at a time.
    Suspected,
    /// The request is refused everywhere.
    Held,
    /// The request was refused for long enough that one run may show whether it still crashes backend servers.
    TrialDue,
};

/// The state of a request, and until when it lasts if the request is held.
struct QuarantineVerdict {
    QuarantineState state = QuarantineState::Clear;
    TimePoint heldUntil;
    std::size_t crashes = 0;
};

/// A request that was put into quarantine or released from it.
struct QuarantineChange {
    RequestDigest digest;
    ServiceName service;
    bool isHeld = false;
    std::size_t crashes = 0;
};

/// Keeps requests that crash the backend servers that run them away from these.
///
/// A crash ends all requests that its backend server was running, most of which are harmless. The rule: a request is held if it was
/// running in two crashes and is not known to have succeeded since the first; in three crashes at different times if it had
/// succeeded shortly before. A crash that a held request with more crashes explains does not count against others (greedy
/// set cover). So a popular request, which is running in nearly every crash, is cleared by its successes elsewhere.
///
/// The verdict follows from the evidence alone, which all nodes exchange; so all come to the same one, and crashes at different
/// nodes add up. It ends when the request succeeds, when an operator releases it, or when another request explains its
/// crashes. After a time that grows with the crashes, one run of a held request is admitted at one node.
class RequestQuarantine {
public:
    /// Crashes for which a request is held, if it is not known to have succeeded shortly before, and otherwise.
    static constexpr std::size_t crashesToHold = 2;
    static constexpr std::size_t crashesToHoldAfterSuccess = 3;
    /// Time before the first crash in which a success counts.
    static constexpr Duration successWindow = std::chrono::seconds(30);
    /// Crashes within this time count once against a request that had succeeded shortly before: a rack that fails hits many servers
    /// that run a popular request.
    static constexpr Duration sameEventWindow = std::chrono::seconds(1);
    /// Time from the last crash to the first trial; each further crash multiplies it, up to the longest.
    static constexpr Duration firstHold = std::chrono::seconds(60);
    static constexpr Duration longestHold = std::chrono::hours(1);
    static constexpr int holdGrowth = 4;

    /// Handles that requests of a service were running at the backend server of this node when it crashed. Returns the evidence to
    /// be spread.
    std::vector<CrashEvidence> crashed(CrashId, const ServiceName&, const std::vector<RequestDigest>&, TimePoint now);
    /// Handles that the backend server of this node ran a request without a crash. Returns the evidence to be spread.
    std::vector<CrashEvidence> succeeded(const RequestDigest&, TimePoint now);
    /// Handles evidence of another node. Returns the evidence that this node adds, to be spread.
    std::vector<CrashEvidence> receive(const CrashEvidence&, TimePoint now);
    /// Releases a request by an operator's order. Returns the evidence to be spread; empty if the request is not known.
    std::vector<CrashEvidence> release(const RequestDigest&, TimePoint now);
    /// Handles that a trial is admitted at this node; until its result no other is. Returns the evidence to be spread.
    std::vector<CrashEvidence> startTrial(const RequestDigest&, TimePoint now);

    QuarantineVerdict verdict(const RequestDigest&, TimePoint now) const;
    /// Requests that are held, and those whose trial is due.
    std::vector<RequestDigest> held() const;
    std::size_t heldCount() const { return m_held.size(); }
    const CrashEvidenceTable& evidence() const { return m_evidence; }
    /// Returns the changes since the previous call.
    std::vector<QuarantineChange> takeChanges();
    void expire(TimePoint now);

private:
    std::vector<CrashEvidence> addOwn(const CrashEvidence&, TimePoint now);
    /// Decides anew which requests are held.
    void evaluate();

    CrashEvidenceTable m_evidence;
    SuccessHistory m_successes;
    /// Held requests with the number of their crashes.
    std::map<RequestDigest, std::size_t> m_held;
    std::vector<QuarantineChange> m_changes;
};

} // namespace Knapweedquay
