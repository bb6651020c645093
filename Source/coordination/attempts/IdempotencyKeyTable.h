#pragma once

#include "coordination/attempts/AnswerCache.h"
#include "coordination/attempts/CallEvents.h"
#include "protocol/Ids.h"
#include "protocol/Time.h"

#include <boost/intrusive/list.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

namespace Knapweedquay {

/// Hash of the method, path and body of a request; requests with equal fingerprints are the same request.
using RequestFingerprint = StrongType<struct RequestFingerprintTag, std::uint64_t>;
/// Identifies one keyed call at its origin; taken from the same sequence as attempt ids and never reused.
using ClaimOwner = AttemptId;

/// A call whose request has an Idempotency-Key header (IETF draft-ietf-httpapi-idempotency-key-header).
struct KeyedRequest {
    ServiceName service;
    IdempotencyKey key;
    RequestFingerprint fingerprint;
};

/// Request the claim on the key from the control store; answered by claimGranted, claimDenied or claimUnavailable.
struct RequestClaim {
    ClaimOwner owner;
    KeyedRequest request;
};
/// Release the claim on the key. A store that has not received the owner's claim yet stores a tombstone for the owner,
/// so that a late claim fails.
struct ReleaseClaim {
    ClaimOwner owner;
    KeyedRequest request;
};
/// Start the call now.
struct RunKeyedCall {
    ClaimOwner owner;
};
/// A call with this key was answered before: send the same answer to this caller.
struct ReplayAnswer {
    ClaimOwner owner;
    AnswerPointer answer;
};
/// Reject this request without running it. A 3xx code reports that an earlier request with the same key ran or may run.
struct RejectKeyedCall {
    ClaimOwner owner;
    ResultCode code = ResultCode::ClaimUnavailable;
};

/// An action that a function of IdempotencyKeyTable requests.
using KeyAction = std::variant<RequestClaim, ReleaseClaim, RunKeyedCall, ReplayAnswer, RejectKeyedCall>;
using KeyActions = std::vector<KeyAction>;

/// Memory and retention limits of an idempotency key table.
struct IdempotencyKeyTableLimits {
    /// Time for which a key is kept after its call finished.
    Duration retentionTime { 600000000 };
    /// Keys in the table at once, including those whose call has not finished.
    std::size_t maximumKeys = 16384;
    /// Bytes of answers stored for replay; the oldest answers are evicted first.
    std::size_t maximumAnswerBytes = defaultCachedAnswerBytes;
};

/// Allows at most one call per idempotency key to run from this node, and replays its answer.
///
/// Used by the node that receives the call, before OutgoingCall. Across nodes and restarts the claim in the control
/// store decides; this table is the fast path for a caller that resends to the same node. It may therefore evict
/// entries: the store still denies a key that was used.
class IdempotencyKeyTable {
public:
    explicit IdempotencyKeyTable(IdempotencyKeyTableLimits = {});
    IdempotencyKeyTable(const IdempotencyKeyTable&) = delete;
    IdempotencyKeyTable& operator=(const IdempotencyKeyTable&) = delete;
    ~IdempotencyKeyTable();

    /// Handles a keyed request that was received; owner is a new id that identifies it.
    KeyActions request(const KeyedRequest&, const ClaimOwner&);
    KeyActions claimGranted(const ClaimOwner&);
    /// Handles a denied claim. code: AlreadyRunning, AlreadyRan or KeyReusedForOtherRequest.
    KeyActions claimDenied(const ClaimOwner&, ResultCode code);
    /// Handles a claim without a quorum in time. The claim may still be committed later, so it is released as well.
    KeyActions claimUnavailable(const ClaimOwner&);
    /// Records the outcome of the owner's call. Also called, with NotRun, when the caller disconnected before the call
    /// was started.
    KeyActions finish(const ClaimOwner&, const CallOutcome&, TimePoint now);

    /// Removes keys whose calls finished longer ago than the retention time.
    void expire(TimePoint now);
    std::size_t size() const { return m_entries.size(); }

private:
    /// Progress of a keyed call: its claim is requested, it runs, it was answered, or it may have run unanswered.
    enum class State : std::uint8_t { Claiming,
        Running,
        Answered,
        Unknown };

    using Key = std::pair<ServiceName, IdempotencyKey>;

    /// A key and the call that holds it.
    struct Entry {
        KeyedRequest request;
        ClaimOwner owner;
        State state = State::Claiming;
        /// Answer for replay; may be evicted while the key is kept.
        CachedAnswer answer;
        /// Time of the outcome; set in the states Answered and Unknown.
        TimePoint finishedAt;
        boost::intrusive::list_member_hook<> finishedHook;
    };

    using FinishedList = boost::intrusive::list<Entry, boost::intrusive::member_hook<Entry, boost::intrusive::list_member_hook<>, &Entry::finishedHook>>;

    static KeyAction respondToDuplicate(const Entry&, const KeyedRequest&, const ClaimOwner&);
    Entry* find(const ClaimOwner&);
    bool makeRoom();
    void erase(Entry&);

    IdempotencyKeyTableLimits m_limits;
    AnswerCache m_answers;
    std::map<Key, Entry> m_entries;
    std::unordered_map<ClaimOwner, Entry*> m_byOwner;
    /// Entries whose calls finished, oldest outcome first.
    FinishedList m_finished;
};

} // namespace Knapweedquay
