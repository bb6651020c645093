#include "state/ClaimTable.h"

#include "protocol/Cbor.h"

#include <algorithm>

namespace Knapweedquay {

namespace {

using Json = nlohmann::json;

} // namespace

ClaimResult ClaimTable::apply(const ClaimRequest& request)
{
    advanceTime(request.time);
    const auto found = m_claims.find(request.key);
    if (found != m_claims.end()) {
        const Claim& claim = found->second;
        if (claim.fingerprint != request.fingerprint)
            return { ResultCode::KeyReusedForOtherRequest, claim.attempt, claim.node };
        if (claim.attempt == request.attempt)
            return { ResultCode::Ok, claim.attempt, claim.node };
        return { claim.completed ? ResultCode::AlreadyRan : ResultCode::AlreadyRunning, claim.attempt, claim.node };
    }
    const bool isExpired = request.expiry <= m_time;
    if (isExpired || m_claims.size() >= maximumClaims)
        return { ResultCode::ClaimUnavailable, request.attempt, request.node };
    insert(request.key, { request.fingerprint, request.attempt, request.node, request.expiry, false });
    return { ResultCode::Ok, request.attempt, request.node };
}

ClaimResult ClaimTable::apply(const ClaimUpdate& update)
{
    advanceTime(update.time);
    const auto found = m_claims.find(update.key);
    // A missing claim was already released or has expired, so there is nothing to change.
    if (found == m_claims.end())
        return { ResultCode::Ok, update.attempt, update.node };
    Claim& claim = found->second;
    if (claim.attempt != update.attempt || claim.node != update.node)
        return { claim.completed ? ResultCode::AlreadyRan : ResultCode::AlreadyRunning, claim.attempt, claim.node };
    if (update.change == ClaimChange::Complete) {
        claim.completed = true;
        return { ResultCode::Ok, update.attempt, update.node };
    }
    if (claim.completed)
        return { ResultCode::AlreadyRan, claim.attempt, claim.node };
    erase(update.key);
    return { ResultCode::Ok, update.attempt, update.node };
}

ClaimResult ClaimTable::apply(const ClaimQuery& query) const
{
    const auto found = m_claims.find(query.key);
    if (found == m_claims.end())
        return {};
    const Claim& claim = found->second;
    return { claim.completed ? ResultCode::AlreadyRan : ResultCode::AlreadyRunning, claim.attempt, claim.node };
}

void ClaimTable::advanceTime(WallTime time)
{
    m_time = std::max(m_time, time);
    while (!m_byExpiry.empty() && m_byExpiry.begin()->first <= m_time)
        erase(ClaimKey(m_byExpiry.begin()->second));
}

void ClaimTable::insert(const ClaimKey& key, Claim claim)
{
    m_byExpiry.insert({ claim.expiry, key });
    m_claims.emplace(key, std::move(claim));
}

void ClaimTable::erase(const ClaimKey& key)
{
    const auto found = m_claims.find(key);
    m_byExpiry.erase({ found->second.expiry, key });
    m_claims.erase(found);
}

Json ClaimTable::save() const
{
    Json claims = Json::array();
    for (const auto& [key, claim] : m_claims)
        claims.push_back(Json::array({ key.service.value(), key.key.value(), claim.fingerprint, claim.attempt.node.value(),
            claim.attempt.incarnation.value(), claim.attempt.sequence, claim.node.value(), claim.expiry.value(), claim.completed }));
    return Json::array({ m_time.value(), std::move(claims) });
}

Result<ClaimTable> ClaimTable::load(const Json& fields)
{
    FieldReader reader(fields);
    ClaimTable loaded;
    loaded.m_time = WallTime(reader.unsignedInteger());
    for (const Json& claimFields : reader.array()) {
        FieldReader claimReader(claimFields);
        ClaimKey key;
        Claim claim;
        key.service = ServiceName(claimReader.text());
        key.key = IdempotencyKey(claimReader.text());
        claim.fingerprint = claimReader.unsignedInteger();
        claim.attempt.node = NodeId(claimReader.text());
        claim.attempt.incarnation = Incarnation(claimReader.unsignedInteger());
        claim.attempt.sequence = claimReader.unsignedInteger();
        claim.node = NodeId(claimReader.text());
        claim.expiry = WallTime(claimReader.unsignedInteger());
        claim.completed = claimReader.boolean();
        BOOST_OUTCOME_TRYV(claimReader.finish());
        loaded.insert(key, std::move(claim));
    }
    BOOST_OUTCOME_TRYV(reader.finish());
    return loaded;
}

} // namespace Knapweedquay
