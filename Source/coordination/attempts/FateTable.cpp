#include "coordination/attempts/FateTable.h"

#include <algorithm>
#include <utility>

namespace Knapweedquay {

FateTable::FateTable(Incarnation self, FateTableLimits limits)
    : m_self(self)
    , m_limits(limits)
    , m_answers(limits.maximumAnswerBytes)
{
}

FateTable::~FateTable()
{
    m_finished.clear();
}

FateActions FateTable::receive(const AttemptRequest& request, TimePoint now)
{
    if (request.target != m_self)
        return { SendUnknown { request.connection, request.attempt } };
    if (Attempt* attempt = find(request.attempt)) {
        attempt->connection = std::max(attempt->connection, request.connection);
        return { report(*attempt) };
    }
    switch (classify(request.attempt, !request.isResend, now)) {
    case Admissibility::PossiblyRun:
        return { SendUnknown { request.connection, request.attempt } };
    case Admissibility::CertainlyNotRun:
        return { SendRefusal { request.connection, request.attempt, { ResultCode::CancelledBeforeStart } } };
    case Admissibility::New:
        break;
    }
    if (!makeRoomForAttempt()) {
        close(request.attempt, false);
        return { SendRefusal { request.connection, request.attempt, { ResultCode::Overloaded } } };
    }
    add(request.attempt, request.connection).isIdempotent = request.isIdempotent;
    return { AdmitAttempt { request.attempt } };
}

FateActions FateTable::cancel(const AttemptId& id, Incarnation target, ConnectionId connection, TimePoint now)
{
    if (target != m_self)
        return { SendCancelResult { connection, id, CancelResult::Unknown } };
    if (Attempt* attempt = find(id)) {
        attempt->connection = std::max(attempt->connection, connection);
        return cancelKnown(*attempt, now);
    }
    switch (classify(id, false, now)) {
    case Admissibility::PossiblyRun:
        return { SendCancelResult { connection, id, CancelResult::Unknown } };
    case Admissibility::CertainlyNotRun:
        return { SendCancelResult { connection, id, CancelResult::NotRun } };
    case Admissibility::New:
        break;
    }
    if (makeRoomForAttempt()) {
        Attempt& tombstone = add(id, connection);
        tombstone.refusal = { ResultCode::CancelledBeforeStart };
        finish(tombstone, Fate::NotRun, now);
    } else
        close(id, false);
    return { SendCancelResult { connection, id, CancelResult::NotRun } };
}

FateActions FateTable::cancelKnown(Attempt& attempt, TimePoint now)
{
    switch (attempt.fate) {
    case Fate::Queued:
        attempt.refusal = { ResultCode::CancelledBeforeStart };
        finish(attempt, Fate::NotRun, now);
        return { RemoveFromQueue { attempt.id }, SendCancelResult { attempt.connection, attempt.id, CancelResult::NotRun } };
    case Fate::Running:
        if (attempt.isIdempotent)
            return { AbortRunning { attempt.id }, SendCancelResult { attempt.connection, attempt.id, CancelResult::Running } };
        return { SendCancelResult { attempt.connection, attempt.id, CancelResult::Running } };
    case Fate::NotRun:
        return { SendCancelResult { attempt.connection, attempt.id, CancelResult::NotRun } };
    case Fate::Answered:
    case Fate::Unknown:
        break;
    }
    return { report(attempt) };
}

bool FateTable::tryStart(const AttemptId& id)
{
    Attempt* attempt = find(id);
    if (!attempt || attempt->fate != Fate::Queued)
        return false;
    attempt->fate = Fate::Running;
    return true;
}

FateActions FateTable::refuse(const AttemptId& id, const Refusal& refusal, TimePoint now)
{
    Attempt* attempt = find(id);
    if (!attempt || isFinal(attempt->fate))
        return {};
    attempt->refusal = refusal;
    finish(*attempt, Fate::NotRun, now);
    return { report(*attempt) };
}

FateActions FateTable::answer(const AttemptId& id, AnswerPointer answer, TimePoint now)
{
    Attempt* attempt = find(id);
    if (!attempt || attempt->fate != Fate::Running)
        return {};
    finish(*attempt, Fate::Answered, now);
    const SendAnswer send { attempt->connection, id, answer };
    m_answers.store(attempt->answer, std::move(answer));
    return { send };
}

FateActions FateTable::recordUnknownOutcome(const AttemptId& id, ResultCode code, TimePoint now)
{
    Attempt* attempt = find(id);
    if (!attempt || attempt->fate != Fate::Running)
        return {};
    attempt->unknownCode = code;
    finish(*attempt, Fate::Unknown, now);
    return { report(*attempt) };
}

void FateTable::expire(TimePoint now)
{
    while (!m_finished.empty() && m_finished.front().finishedAt + m_limits.retentionTime <= now)
        forget(m_finished.front());
    for (auto origin = m_origins.begin(); origin != m_origins.end();) {
        const bool isIdle = !origin->second.attemptCount && origin->second.lastSeen + m_limits.originRetentionTime <= now;
        m_hasForgottenOrigin |= isIdle;
        origin = isIdle ? m_origins.erase(origin) : std::next(origin);
    }
}

FateTable::Admissibility FateTable::classify(const AttemptId& id, bool isFirstSend, TimePoint now)
{
    Origin* origin = findOrAddOrigin(id, isFirstSend);
    if (!origin)
        return Admissibility::PossiblyRun;
    origin->lastSeen = std::max(origin->lastSeen, now);
    if (id.sequence <= origin->possiblyRunUpTo)
        return Admissibility::PossiblyRun;
    return id.sequence <= origin->closedUpTo ? Admissibility::CertainlyNotRun : Admissibility::New;
}

// Returns null when nothing can be proved about attempts of this incarnation of the origin.
FateTable::Origin* FateTable::findOrAddOrigin(const AttemptId& id, bool isFirstSend)
{
    const auto found = m_origins.find(id.node);
    if (found != m_origins.end()) {
        Origin& origin = found->second;
        if (id.incarnation < origin.incarnation)
            return nullptr;
        if (id.incarnation > origin.incarnation) {
            origin.incarnation = id.incarnation;
            origin.closedUpTo = 0;
            origin.possiblyRunUpTo = 0;
        }
        return &origin;
    }
    if (m_origins.size() >= m_limits.maximumOrigins)
        return nullptr;
    // This origin may be one that was removed. A resent attempt may then have run, and so may all attempts with lower
    // sequence numbers than one that is sent for the first time.
    if (m_hasForgottenOrigin && !isFirstSend)
        return nullptr;
    Origin& origin = m_origins[id.node];
    origin.incarnation = id.incarnation;
    if (m_hasForgottenOrigin && id.sequence > 0)
        origin.closedUpTo = origin.possiblyRunUpTo = id.sequence - 1;
    return &origin;
}

bool FateTable::makeRoomForAttempt()
{
    if (m_attempts.size() < m_limits.maximumAttempts)
        return true;
    if (m_finished.empty())
        return false;
    forget(m_finished.front());
    return true;
}

FateTable::Attempt* FateTable::find(const AttemptId& id)
{
    const auto found = m_attempts.find(id);
    return found == m_attempts.end() ? nullptr : &found->second;
}

FateTable::Attempt& FateTable::add(const AttemptId& id, ConnectionId connection)
{
    Attempt& attempt = m_attempts[id];
    attempt.id = id;
    attempt.connection = connection;
    ++m_origins.at(id.node).attemptCount;
    return attempt;
}

bool FateTable::isFinal(Fate fate)
{
    return fate != Fate::Queued && fate != Fate::Running;
}

void FateTable::finish(Attempt& attempt, Fate fate, TimePoint now)
{
    attempt.fate = fate;
    attempt.finishedAt = now;
    m_finished.push_back(attempt);
}

void FateTable::forget(Attempt& attempt)
{
    close(attempt.id, attempt.fate != Fate::NotRun);
    m_answers.drop(attempt.answer);
    m_finished.erase(m_finished.iterator_to(attempt));
    --m_origins.at(attempt.id.node).attemptCount;
    m_attempts.erase(AttemptId(attempt.id));
}

void FateTable::close(const AttemptId& id, bool mayHaveRun)
{
    Origin& origin = m_origins.at(id.node);
    // The newer incarnation of the origin already excludes all attempts of earlier ones.
    if (id.incarnation != origin.incarnation)
        return;
    origin.closedUpTo = std::max(origin.closedUpTo, id.sequence);
    if (mayHaveRun)
        origin.possiblyRunUpTo = std::max(origin.possiblyRunUpTo, id.sequence);
}

FateAction FateTable::report(const Attempt& attempt)
{
    switch (attempt.fate) {
    case Fate::Queued:
    case Fate::Running:
        return SendInProgress { attempt.connection, attempt.id };
    case Fate::NotRun:
        return SendRefusal { attempt.connection, attempt.id, attempt.refusal };
    case Fate::Answered:
        if (attempt.answer.response)
            return SendAnswer { attempt.connection, attempt.id, attempt.answer.response };
        return SendUnknown { attempt.connection, attempt.id, ResultCode::AlreadyRan };
    case Fate::Unknown:
        break;
    }
    return SendUnknown { attempt.connection, attempt.id, attempt.unknownCode };
}

} // namespace Knapweedquay
