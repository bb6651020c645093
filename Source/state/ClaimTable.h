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

/// Identity of a caller's idempotency key: keys of different services are different.
struct ClaimKey {
    ServiceName service;
    IdempotencyKey key;

    friend bool operator<(const ClaimKey& a, const ClaimKey& b) { return std::tie(a.service, a.key) < std::tie(b.service, b.key); }
    friend bool operator==(const ClaimKey& a, const ClaimKey& b) { return a.service == b.service && a.key == b.key; }
};

/// Asks for the only right to run the request of an idempotency key.
struct ClaimRequest {
    ClaimKey key;
    /// Hash of the request; one key must not be used for two requests.
    std::uint64_t fingerprint = 0;
    AttemptId attempt;
    /// Node that will run the request, and that alone may release the claim.
    NodeId node;
    WallTime expiry;
    /// The leader's time when it proposed this.
    WallTime time;
};

enum class ClaimChange : std::uint8_t {
    /// The attempt certainly did not run, so the key is free again.
    Release = 0,
    /// The attempt ran; the claim stays until its expiry.
    Complete = 1,
};

struct ClaimUpdate {
    ClaimKey key;
    AttemptId attempt;
    NodeId node;
    ClaimChange change = ClaimChange::Release;
    WallTime time;
};

/// Answer to a claim: Ok when the attempt holds it, else AlreadyRunning, AlreadyRan,
/// KeyReusedForOtherRequest or ClaimUnavailable, with the attempt that holds it.
struct ClaimResult {
    ResultCode code = ResultCode::Ok;
    AttemptId holder;
    NodeId node;
};

/// Which attempt may run the request of each idempotency key (IETF draft Idempotency-Key header).
///
/// Applied from the log like the documents; time comes from the leader's proposals and never goes back.
/// The first claim wins; the same attempt asking again gets the same answer.
class ClaimTable {
public:
    static constexpr std::size_t maximumClaims = 65536;

    ClaimResult apply(const ClaimRequest&);
    ClaimResult apply(const ClaimUpdate&);

    std::size_t size() const { return m_claims.size(); }

    nlohmann::json save() const;
    static Result<ClaimTable> load(const nlohmann::json&);

private:
    struct Claim {
        std::uint64_t fingerprint = 0;
        AttemptId attempt;
        NodeId node;
        WallTime expiry;
        bool completed = false;
    };

    void advance(WallTime);
    void insert(const ClaimKey&, Claim);
    void erase(const ClaimKey&);

    std::map<ClaimKey, Claim> m_claims;
    std::set<std::pair<WallTime, ClaimKey>> m_byExpiry;
    WallTime m_time;
};

} // namespace Knapweedquay
