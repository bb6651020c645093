#pragma once

#include "protocol/Ids.h"
#include "protocol/Result.h"
#include "protocol/WallTime.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <utility>

namespace Knapweedquay {

/// Identifies an idempotency key of a caller. Equal key texts of different services are different keys.
struct ClaimKey {
    ServiceName service;
    IdempotencyKey key;

    friend bool operator<(const ClaimKey& a, const ClaimKey& b) { return std::tie(a.service, a.key) < std::tie(b.service, b.key); }
    friend bool operator==(const ClaimKey& a, const ClaimKey& b) { return a.service == b.service && a.key == b.key; }
};

/// Request for the exclusive right to run the request of an idempotency key.
struct ClaimRequest {
    ClaimKey key;
    /// Hash of the request, used to detect a key that is reused for another request.
    std::uint64_t fingerprint = 0;
    AttemptId attempt;
    /// Node that will run the request. Only this node may complete or release the claim.
    NodeId node;
    /// Time at which the claim expires.
    WallTime expiry;
    /// Wall time of the leader when it proposed the request.
    WallTime time;
};

/// Change that the holder of a claim requests.
enum class ClaimChange : std::uint8_t {
    /// The attempt certainly did not run, so the claim is removed and the key can be claimed again.
    Release = 0,
    /// The attempt ran. The claim is kept until it expires.
    Complete = 1,
};

/// Request of the holding attempt to complete or release its claim.
struct ClaimUpdate {
    ClaimKey key;
    AttemptId attempt;
    NodeId node;
    ClaimChange change = ClaimChange::Release;
    /// Wall time of the leader when it proposed the update.
    WallTime time;
};

/// Question whether a key is claimed, which changes nothing. It goes through the log, so that its result covers all that was
/// committed before.
struct ClaimQuery {
    ClaimKey key;
};

/// Result of a claim request, update or query. The code is Ok when the attempt holds the claim, or nobody does for a query;
/// otherwise it is AlreadyRunning, AlreadyRan, KeyReusedForOtherRequest or ClaimUnavailable.
struct ClaimResult {
    ResultCode code = ResultCode::Ok;
    /// Attempt that holds the claim, or the requesting attempt when the claim was granted, removed or unavailable.
    AttemptId holder;
    /// Node of that attempt, which runs the request.
    NodeId node;
};

/// Records which attempt may run the request of each idempotency key (IETF draft Idempotency-Key header).
///
/// The table is a deterministic state machine that applies commands from the replicated log. It takes the time from the
/// commands of the leader, and its time never decreases. The first claim of a key is granted; a repeated request of the
/// same attempt gets the same result.
class ClaimTable {
public:
    /// Claims held at one time; further requests get ClaimUnavailable.
    static constexpr std::size_t maximumClaims = 65536;

    ClaimResult apply(const ClaimRequest&);
    ClaimResult apply(const ClaimUpdate&);
    ClaimResult apply(const ClaimQuery&) const;

    std::size_t size() const { return m_claims.size(); }

    nlohmann::json save() const;
    static Result<ClaimTable> load(const nlohmann::json&);

private:
    /// A granted claim that has not expired.
    struct Claim {
        std::uint64_t fingerprint = 0;
        AttemptId attempt;
        NodeId node;
        WallTime expiry;
        /// True when the attempt ran; false while its outcome is not reported.
        bool completed = false;
    };

    /// Moves the time of the table forward and removes expired claims.
    void advanceTime(WallTime);
    void insert(const ClaimKey&, Claim);
    void erase(const ClaimKey&);

    std::map<ClaimKey, Claim> m_claims;
    std::set<std::pair<WallTime, ClaimKey>> m_byExpiry;
    WallTime m_time;
};

} // namespace Knapweedquay
