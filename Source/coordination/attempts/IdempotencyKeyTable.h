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

/// Hash over what makes two requests the same one: method, path, and body.
using RequestFingerprint = StrongType<struct RequestFingerprintTag, std::uint64_t>;
/// Identity of one keyed call at its origin; from the same sequence as attempt ids, never used twice.
using ClaimOwner = AttemptId;

/// A call whose caller gave an Idempotency-Key (IETF draft-ietf-httpapi-idempotency-key-header).
struct KeyedRequest {
    ServiceName service;
    IdempotencyKey key;
    RequestFingerprint fingerprint;
};

/// Ask the control store for the key; reply by claimGranted, claimDenied or claimUnavailable.
struct RequestClaim {
    ClaimOwner owner;
    KeyedRequest request;
};
/// Give the key back. A store that has not seen the owner yet keeps a tombstone for it, so that a late claim fails.
struct ReleaseClaim {
    ClaimOwner owner;
    KeyedRequest request;
};
/// Start the call now.
struct RunKeyedCall {
    ClaimOwner owner;
};
/// The call with this key was answered before: give this caller the same answer.
struct ReplayAnswer {
    ClaimOwner owner;
    AnswerBytes answer;
};
/// This request is not run. A code of the group 3xx says that an earlier request with its key ran or may run.
struct RejectKeyedCall {
    ClaimOwner owner;
    ResultCode code = ResultCode::ClaimUnavailable;
};

using KeyAction = std::variant<RequestClaim, ReleaseClaim, RunKeyedCall, ReplayAnswer, RejectKeyedCall>;
using KeyActions = std::vector<KeyAction>;

struct IdempotencyKeyTableLimits {
    /// Time for which a key is kept after its call ended.
    Duration keepTime { 600000000 };
    std::size_t maximumKeys = 16384;
    std::size_t maximumAnswerBytes = 8388608;
};

/// Lets at most one call of each idempotency key run from this node, and replays its answer.
///
/// Stands at the node that takes calls, before OutgoingCall. Across nodes and restarts the claim in the
/// control store decides; this table is the fast path for a caller that resends to the same node. So
/// it may forget: the store still denies a key that was used.
class IdempotencyKeyTable {
public:
    explicit IdempotencyKeyTable(IdempotencyKeyTableLimits = {});
    IdempotencyKeyTable(const IdempotencyKeyTable&) = delete;
    IdempotencyKeyTable& operator=(const IdempotencyKeyTable&) = delete;
    ~IdempotencyKeyTable();

    /// A keyed request came in; owner is a fresh id for it.
    KeyActions request(const KeyedRequest&, const ClaimOwner&);
    KeyActions claimGranted(const ClaimOwner&);
    /// code: AlreadyRunning, AlreadyRan or KeyReusedForOtherRequest.
    KeyActions claimDenied(const ClaimOwner&, ResultCode code);
    /// No quorum in time. The claim may still be committed later, so it is released as well.
    KeyActions claimUnavailable(const ClaimOwner&);
    /// The call of this owner ended, or its caller gave up before it was started (as NotRun).
    KeyActions finish(const ClaimOwner&, const CallOutcome&, TimePoint now);

    void expire(TimePoint now);
    std::size_t size() const { return m_entries.size(); }

private:
    enum class State : std::uint8_t { Claiming,
        Running,
        Answered,
        Unknown };

    using Key = std::pair<ServiceName, IdempotencyKey>;

    struct Entry {
        KeyedRequest request;
        ClaimOwner owner;
        State state = State::Claiming;
        CachedAnswer answer;
        TimePoint finishedAt;
        boost::intrusive::list_member_hook<> finishedHook;
    };

    using FinishedList = boost::intrusive::list<Entry, boost::intrusive::member_hook<Entry, boost::intrusive::list_member_hook<>, &Entry::finishedHook>>;

    static KeyAction repeat(const Entry&, const KeyedRequest&, const ClaimOwner&);
    Entry* find(const ClaimOwner&);
    bool makeRoom();
    void erase(Entry&);

    IdempotencyKeyTableLimits m_limits;
    AnswerCache m_answers;
    std::map<Key, Entry> m_entries;
    std::unordered_map<ClaimOwner, Entry*> m_byOwner;
    /// Oldest outcome first.
    FinishedList m_finished;
};

} // namespace Knapweedquay
