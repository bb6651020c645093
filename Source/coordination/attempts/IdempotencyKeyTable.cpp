#include "coordination/attempts/IdempotencyKeyTable.h"

namespace Knapweedquay {

IdempotencyKeyTable::IdempotencyKeyTable(IdempotencyKeyTableLimits limits)
    : m_limits(limits)
    , m_answers(limits.maximumAnswerBytes)
{
}

IdempotencyKeyTable::~IdempotencyKeyTable()
{
    while (!m_finished.empty())
        erase(m_finished.front());
}

KeyActions IdempotencyKeyTable::request(const KeyedRequest& request, const ClaimOwner& owner)
{
    const Key key { request.service, request.key };
    const auto found = m_entries.find(key);
    if (found != m_entries.end())
        return { respondToDuplicate(found->second, request, owner) };
    if (!makeRoom())
        return { RejectKeyedCall { owner, ResultCode::Overloaded } };
    Entry& entry = m_entries[key];
    entry.request = request;
    entry.owner = owner;
    m_byOwner[owner] = &entry;
    return { RequestClaim { owner, request } };
}

KeyAction IdempotencyKeyTable::respondToDuplicate(const Entry& entry, const KeyedRequest& request, const ClaimOwner& owner)
{
    if (entry.request.fingerprint != request.fingerprint)
        return RejectKeyedCall { owner, ResultCode::KeyReusedForOtherRequest };
    if (entry.state == State::Unknown)
        return RejectKeyedCall { owner, ResultCode::OutcomeUnknown };
    if (entry.state != State::Answered)
        return RejectKeyedCall { owner, ResultCode::AlreadyRunning };
    if (!entry.answer.response)
        return RejectKeyedCall { owner, ResultCode::AlreadyRan };
    return ReplayAnswer { owner, entry.answer.response };
}

KeyActions IdempotencyKeyTable::claimGranted(const ClaimOwner& owner)
{
    Entry* entry = find(owner);
    // The caller disconnected while the claim was pending: finish() has released the claim.
    if (!entry || entry->state != State::Claiming)
        return {};
    entry->state = State::Running;
    return { RunKeyedCall { owner } };
}

KeyActions IdempotencyKeyTable::claimDenied(const ClaimOwner& owner, ResultCode code)
{
    Entry* entry = find(owner);
    if (!entry || entry->state != State::Claiming)
        return {};
    erase(*entry);
    return { RejectKeyedCall { owner, code } };
}

KeyActions IdempotencyKeyTable::claimUnavailable(const ClaimOwner& owner)
{
    Entry* entry = find(owner);
    if (!entry || entry->state != State::Claiming)
        return {};
    const ReleaseClaim release { owner, entry->request };
    erase(*entry);
    return { release, RejectKeyedCall { owner, ResultCode::ClaimUnavailable } };
}

KeyActions IdempotencyKeyTable::finish(const ClaimOwner& owner, const CallOutcome& outcome, TimePoint now)
{
    Entry* entry = find(owner);
    if (!entry || entry->finishedHook.is_linked())
        return {};
    if (outcome.kind == CallOutcome::Kind::NotRun) {
        const ReleaseClaim release { owner, entry->request };
        erase(*entry);
        return { release };
    }
    entry->state = outcome.kind == CallOutcome::Kind::Answered ? State::Answered : State::Unknown;
    m_answers.store(entry->answer, outcome.answer);
    entry->finishedAt = now;
    m_finished.push_back(*entry);
    return {};
}

void IdempotencyKeyTable::expire(TimePoint now)
{
    while (!m_finished.empty() && m_finished.front().finishedAt + m_limits.retentionTime <= now)
        erase(m_finished.front());
}

IdempotencyKeyTable::Entry* IdempotencyKeyTable::find(const ClaimOwner& owner)
{
    const auto found = m_byOwner.find(owner);
    return found == m_byOwner.end() ? nullptr : found->second;
}

bool IdempotencyKeyTable::makeRoom()
{
    if (m_entries.size() < m_limits.maximumKeys)
        return true;
    if (m_finished.empty())
        return false;
    erase(m_finished.front());
    return true;
}

void IdempotencyKeyTable::erase(Entry& entry)
{
    m_answers.drop(entry.answer);
    if (entry.finishedHook.is_linked())
        m_finished.erase(m_finished.iterator_to(entry));
    m_byOwner.erase(entry.owner);
    m_entries.erase(Key(entry.request.service, entry.request.key));
}

} // namespace Knapweedquay
