#include "state/ReplicatedLog.h"

#include <algorithm>

namespace Knapweedquay {

ReplicatedLog::ReplicatedLog(ReplicatedLogSettings settings, StoredLog stored, TimePoint now)
    : m_settings(settings)
    , m_random(settings.seed)
    , m_log(std::move(stored.snapshot), std::move(stored.entries))
    , m_hardState(stored.hardState)
    , m_writes(m_log.lastIndex())
    , m_commitIndex(m_log.snapshot().lastIndex)
    , m_appliedIndex(m_commitIndex)
    , m_takenIndex(m_commitIndex)
    , m_performedIndex(m_commitIndex)
    , m_now(now)
    , m_followerFreshness(m_random())
{
    m_followerFreshness.setAppliedIndex(m_appliedIndex);
    // After a power cut no replica leads. Where one does, the others refuse the pre-vote.
    std::uniform_int_distribution<std::int64_t> randomDelay(m_settings.electionTimeout.count() / 4, 3 * m_settings.electionTimeout.count() / 4);
    m_electionDeadline = m_now + Duration(randomDelay(m_random));
}

StoredLog ReplicatedLog::bootstrap(ReplicaId self, const std::string& address)
{
    return bootstrapFounders({ Member { self, address, true, noReplica() } });
}

StoredLog ReplicatedLog::bootstrapFounders(const MemberList& founders)
{
    StoredLog stored;
    stored.hardState.term = Term(1);
    stored.entries.push_back({ LogIndex(1), Term(1), LogEntryKind::Members, encodeMembers(founders) });
    return stored;
}

void ReplicatedLog::tick(TimePoint now)
{
    advanceTime(now);
    if (isLeader()) {
        if (m_now < m_nextHeartbeat)
            return;
        advanceLearners();
        startRound();
        return;
    }
    if (m_now >= m_electionDeadline && isVoter(members(), self()))
        startElection(true);
}

void ReplicatedLog::receive(const ReplicaMessage& message, TimePoint now)
{
    advanceTime(now);
    if (message.cluster != m_settings.cluster || message.to != self() || message.from == self())
        return;
    std::visit([this, &message](const auto& body) { handle(message.from, body); }, message.body);
}

void ReplicatedLog::synced(WriteSequence sequence, TimePoint now)
{
    advanceTime(now);
    m_writes.synced(sequence);
    if (m_role == ReplicaRole::Candidate)
        countVotes();
    if (isLeader())
        updateCommit();
    applyCommitted();
    releaseDelayedMessages();
}

void ReplicatedLog::compact(std::string state)
{
    if (m_takenIndex <= m_log.snapshot().lastIndex)
        return;
    Snapshot snapshot { m_takenIndex, m_log.termAt(m_takenIndex), m_log.membersAt(m_takenIndex), std::make_shared<const std::string>(std::move(state)) };
    m_log.compact(snapshot);
    m_writes.storeSnapshot(std::move(snapshot), m_log.allEntriesFrom(nextIndex(m_takenIndex)));
}

std::vector<LogAction> ReplicatedLog::takeActions(TimePoint now)
{
    advanceTime(now);
    m_performedIndex = m_takenIndex;
    m_followerFreshness.setAppliedIndex(m_performedIndex);
    if (isLeader())
        for (auto& [id, peer] : m_peers)
            if (!peer.sentAt && peer.nextIndex <= m_log.lastIndex())
                sendNext(id, peer);
    std::vector<LogAction> actions = std::move(m_actions);
    m_actions.clear();
    m_takenIndex = m_appliedIndex;
    // Messages that do not depend on the write precede it, so that followers write in parallel.
    if (auto write = m_writes.takeWrite(m_hardState))
        actions.push_back(std::move(*write));
    return actions;
}

std::optional<Freshness> ReplicatedLog::freshness(TimePoint now) const
{
    const bool isConfirmedLeader = isLeader() && m_rounds.confirmed().value() > 0 && m_performedIndex >= m_barrierIndex && m_performedIndex >= m_commitIndex;
    if (isConfirmedLeader)
        return Freshness { term(), m_rounds.confirmed(), std::max(now, m_now) - m_rounds.confirmedSentAt() };
    return m_followerFreshness.freshnessAt(std::max(now, m_now));
}

bool ReplicatedLog::canAccept(TimePoint now) const
{
    return isLeader() && isLeaseValid(now) && m_commitIndex >= m_barrierIndex;
}

void ReplicatedLog::advanceTime(TimePoint now)
{
    m_now = std::max(m_now, now);
    if (isLeader() && !isLeaseValid(m_now))
        becomeFollower(term(), noReplica());
}

bool ReplicatedLog::isLeaseValid(TimePoint now) const
{
    return now - m_rounds.confirmedSentAt() <= m_settings.electionTimeout;
}

bool ReplicatedLog::hasRecentLeader(TimePoint now) const
{
    if (isLeader())
        return true;
    return m_leader != noReplica() && now - m_leaderHeardAt < m_settings.electionTimeout;
}

void ReplicatedLog::resetElectionDeadline()
{
    std::uniform_int_distribution<std::int64_t> randomDelay(0, m_settings.electionTimeout.count());
    m_electionDeadline = m_now + m_settings.electionTimeout + Duration(randomDelay(m_random));
}

void ReplicatedLog::setRepeatDeadline(bool preVote)
{
    const Duration shortest = m_settings.electionTimeout / (preVote ? 4 : 2);
    const Duration spread = m_settings.electionTimeout / (preVote ? 4 : 1);
    std::uniform_int_distribution<std::int64_t> randomDelay(0, spread.count());
    m_electionDeadline = m_now + shortest + Duration(randomDelay(m_random));
}

void ReplicatedLog::setHardState(HardState hardState)
{
    if (hardState == m_hardState)
        return;
    m_hardState = hardState;
    m_writes.markHardStateChanged();
}

void ReplicatedLog::send(ReplicaId to, ReplicaMessageBody body)
{
    m_actions.push_back(SendMessage { { m_settings.cluster, self(), to, std::move(body), {} } });
}

void ReplicatedLog::sendWhenSynced(ReplicaId to, ReplicaMessageBody body)
{
    if (m_writes.isSynced()) {
        send(to, std::move(body));
        return;
    }
    m_delayedMessages.push_back({ m_writes.lastSequence(), SendMessage { { m_settings.cluster, self(), to, std::move(body), {} } } });
}

void ReplicatedLog::releaseDelayedMessages()
{
    while (!m_delayedMessages.empty() && m_delayedMessages.front().sequence <= m_writes.syncedSequence()) {
        m_actions.push_back(std::move(m_delayedMessages.front().action));
        m_delayedMessages.pop_front();
    }
}

void ReplicatedLog::commitTo(LogIndex index)
{
    const LogIndex limit = std::min(index, m_log.lastIndex());
    while (m_commitIndex < limit) {
        m_commitIndex = nextIndex(m_commitIndex);
        m_uncommittedBytes -= std::min(m_uncommittedBytes, m_log.at(m_commitIndex).payload.size());
    }
    applyCommitted();
}

void ReplicatedLog::applyCommitted()
{
    const LogIndex limit = std::min(m_commitIndex, m_writes.durableIndex());
    while (m_appliedIndex < limit) {
        m_appliedIndex = nextIndex(m_appliedIndex);
        m_actions.push_back(ApplyEntry { m_log.at(m_appliedIndex) });
    }
}

} // namespace Knapweedquay
