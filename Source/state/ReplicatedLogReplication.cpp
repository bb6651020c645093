#include "state/ReplicatedLog.h"

#include "state/Checksum.h"

#include <algorithm>

// Replication: heartbeat rounds, entries, snapshots and commitment (Raft, 5.3, 5.4.2 and 7).
namespace Knapweedquay {

namespace {

// Number of heartbeat intervals without a response after which entries or a snapshot chunk are sent again.
constexpr int resendIntervals = 3;
// Rounds of a new leader at the shorter interval.
constexpr std::uint64_t firstRounds = 5;

} // namespace

// Follower.

bool ReplicatedLog::acceptLeader(ReplicaId from, Term leaderTerm)
{
    if (leaderTerm < term())
        return false;
    if (leaderTerm > term() || m_role != ReplicaRole::Follower)
        becomeFollower(leaderTerm, from);
    m_leader = from;
    m_leaderHeardAt = m_now;
    resetElectionDeadline();
    return true;
}

void ReplicatedLog::handle(ReplicaId from, const AppendRequest& request)
{
    if (!acceptLeader(from, request.term)) {
        sendAppendResponse(from, false, LogIndex(), request.round);
        return;
    }
    const bool isBeforeSnapshot = request.previousIndex < m_log.snapshot().lastIndex;
    if (!isBeforeSnapshot && !m_log.matches(request.previousIndex, request.previousTerm)) {
        // Skips back over all entries of the conflicting term, but not below the committed entries.
        LogIndex conflictIndex = std::min(request.previousIndex, nextIndex(m_log.lastIndex()));
        const Term conflicting = m_log.termAt(conflictIndex);
        while (conflictIndex > nextIndex(m_commitIndex) && m_log.termAt(previousIndex(conflictIndex)) == conflicting)
            conflictIndex = previousIndex(conflictIndex);
        sendAppendResponse(from, false, conflictIndex, request.round);
        return;
    }
    appendFromLeader(request);
    const LogIndex matched(request.previousIndex.value() + request.entries.size());
    commitTo(std::min(request.commitIndex, matched));
    m_followerFreshness.recordRequest(request, m_now);
    sendAppendResponse(from, true, matched, request.round);
}

void ReplicatedLog::appendFromLeader(const AppendRequest& request)
{
    for (const LogEntry& entry : request.entries) {
        if (entry.index <= m_commitIndex || m_log.matches(entry.index, entry.term))
            continue;
        if (m_log.contains(entry.index)) {
            m_log.truncateFrom(entry.index);
            m_writes.truncateFrom(entry.index);
        }
        m_log.append(entry);
        m_writes.append(entry);
    }
}

void ReplicatedLog::sendAppendResponse(ReplicaId to, bool accepted, LogIndex index, QuorumRound round)
{
    sendWhenSynced(to, AppendResponse { term(), accepted, index, round, m_followerFreshness.clock(m_now) });
}

void ReplicatedLog::handle(ReplicaId from, const SnapshotChunk& chunk)
{
    if (!acceptLeader(from, chunk.term)) {
        sendAppendResponse(from, false, LogIndex(), chunk.round);
        return;
    }
    if (chunk.lastIndex <= m_commitIndex || m_log.matches(chunk.lastIndex, chunk.lastTerm)) {
        commitTo(chunk.lastIndex);
        sendAppendResponse(from, true, chunk.lastIndex, chunk.round);
        return;
    }
    std::optional<Snapshot> snapshot = m_snapshotReceiver.add(chunk);
    if (!snapshot) {
        sendWhenSynced(from, SnapshotResponse { term(), chunk.lastIndex, chunk.round, m_snapshotReceiver.nextOffset(), m_followerFreshness.clock(m_now) });
        return;
    }
    m_log.reset(*snapshot);
    m_writes.storeSnapshot(*snapshot, {});
    m_commitIndex = snapshot->lastIndex;
    m_appliedIndex = snapshot->lastIndex;
    m_actions.push_back(InstallState { std::move(*snapshot) });
    sendAppendResponse(from, true, chunk.lastIndex, chunk.round);
}

// Leader.

Result<LogIndex> ReplicatedLog::propose(std::string payload, TimePoint now)
{
    advanceTime(now);
    if (!isLeader())
        return Error { ResultCode::NotLeader, "this replica is not the leader" };
    if (payload.size() > maximumEntryBytes)
        return Error { ResultCode::MessageTooLarge, "command of " + std::to_string(payload.size()) + " bytes; at most " + std::to_string(maximumEntryBytes) };
    if (m_uncommittedBytes + payload.size() > m_settings.maximumUncommittedBytes)
        return Error { ResultCode::Overloaded, "too many edits wait for a majority" };
    return appendAsLeader(LogEntryKind::Command, std::move(payload));
}

LogIndex ReplicatedLog::appendAsLeader(LogEntryKind kind, std::string payload)
{
    const LogEntry entry { nextIndex(m_log.lastIndex()), term(), kind, std::move(payload) };
    m_uncommittedBytes += entry.payload.size();
    m_log.append(entry);
    m_writes.append(entry);
    return entry.index;
}

void ReplicatedLog::startRound()
{
    m_rounds.start(m_now);
    m_rounds.updateConfirmed(self(), members());
    m_commitAtLastRound = m_commitIndex;
    m_nextHeartbeat = m_now + (m_rounds.current().value() <= firstRounds ? m_settings.firstHeartbeatInterval : m_settings.heartbeatInterval);
    for (auto& [id, peer] : m_peers) {
        peer.roundClock = peer.clock;
        sendHeartbeat(id, peer);
    }
}

void ReplicatedLog::sendHeartbeat(ReplicaId id, Peer& peer)
{
    if (peer.sentAt && m_now - *peer.sentAt >= resendIntervals * m_settings.heartbeatInterval)
        peer.sentAt.reset();
    if (!peer.sentAt && peer.nextIndex <= m_log.lastIndex()) {
        sendNext(id, peer);
        return;
    }
    // Uses index 0, which matches in all logs, when the matching entry was trimmed here.
    const bool isMatchKnown = peer.matchIndex >= m_log.snapshot().lastIndex;
    send(id, appendRequest(peer, isMatchKnown ? peer.matchIndex : LogIndex()));
}

void ReplicatedLog::sendNext(ReplicaId id, Peer& peer)
{
    peer.sentAt = m_now;
    if (peer.nextIndex <= m_log.snapshot().lastIndex) {
        sendSnapshotChunk(id, peer);
        return;
    }
    AppendRequest request = appendRequest(peer, previousIndex(peer.nextIndex));
    request.entries = m_log.entriesFrom(peer.nextIndex, m_settings.maximumAppendBytes, maximumEntriesPerAppend);
    send(id, std::move(request));
}

AppendRequest ReplicatedLog::appendRequest(const Peer& peer, LogIndex previous) const
{
    AppendRequest request;
    request.term = term();
    request.previousIndex = previous;
    request.previousTerm = m_log.termAt(previous);
    request.commitIndex = m_commitIndex;
    request.round = m_rounds.current();
    if (m_commitIndex >= m_barrierIndex)
        request.confirmedRound = m_rounds.confirmed();
    request.echo = peer.roundClock;
    return request;
}

void ReplicatedLog::sendSnapshotChunk(ReplicaId id, Peer& peer)
{
    const Snapshot& snapshot = m_log.snapshot();
    if (m_snapshotChecksumIndex != snapshot.lastIndex) {
        m_snapshotChecksum = crc32c(*snapshot.state);
        m_snapshotChecksumIndex = snapshot.lastIndex;
    }
    SnapshotChunk chunk;
    chunk.term = term();
    chunk.lastIndex = snapshot.lastIndex;
    chunk.lastTerm = snapshot.lastTerm;
    chunk.round = m_rounds.current();
    chunk.totalBytes = snapshot.state->size();
    chunk.checksum = m_snapshotChecksum;
    chunk.offset = std::min<std::uint64_t>(peer.snapshotOffset, chunk.totalBytes);
    chunk.members = snapshot.members;
    chunk.bytes = snapshot.state->substr(chunk.offset, m_settings.snapshotChunkBytes);
    send(id, std::move(chunk));
}

ReplicatedLog::Peer* ReplicatedLog::acknowledgedPeer(ReplicaId from, Term answered, QuorumRound round, std::uint64_t clock)
{
    if (answered > term()) {
        becomeFollower(answered, noReplica());
        return nullptr;
    }
    const auto found = m_peers.find(from);
    if (!isLeader() || answered < term() || found == m_peers.end())
        return nullptr;
    // A delayed response may carry an earlier clock value, which only overestimates the age of the follower's state.
    found->second.clock = clock;
    m_rounds.acknowledge(from, round);
    m_rounds.updateConfirmed(self(), members());
    return &found->second;
}

void ReplicatedLog::handle(ReplicaId from, const AppendResponse& response)
{
    Peer* peer = acknowledgedPeer(from, response.term, response.round, response.clock);
    if (!peer)
        return;
    if (!response.accepted) {
        const LogIndex latest = std::min(peer->nextIndex, response.index);
        peer->nextIndex = std::max(nextIndex(peer->matchIndex), latest);
        peer->sentAt.reset();
        return;
    }
    if (response.index > m_log.lastIndex())
        return;
    peer->matchIndex = std::max(peer->matchIndex, response.index);
    if (peer->matchIndex >= peer->nextIndex) {
        peer->nextIndex = nextIndex(peer->matchIndex);
        peer->snapshotOffset = 0;
        peer->sentAt.reset();
    }
    updateCommit();
}

void ReplicatedLog::handle(ReplicaId from, const SnapshotResponse& response)
{
    Peer* peer = acknowledgedPeer(from, response.term, response.round, response.clock);
    if (!peer)
        return;
    const bool isCurrent = response.lastIndex == m_log.snapshot().lastIndex;
    peer->snapshotOffset = isCurrent ? response.nextOffset : 0;
    peer->sentAt.reset();
}

void ReplicatedLog::updateCommit()
{
    std::vector<LogIndex> synced;
    for (const Member& member : members()) {
        if (!member.voter)
            continue;
        const auto peer = m_peers.find(member.id);
        if (member.id == self())
            synced.push_back(m_writes.durableIndex());
        else
            synced.push_back(peer == m_peers.end() ? LogIndex() : peer->second.matchIndex);
    }
    if (synced.empty())
        return;
    std::sort(synced.begin(), synced.end(), std::greater<>());
    const LogIndex majorityIndex = synced[synced.size() / 2];
    // Entries of earlier terms are committed only together with an entry of the current term (Raft, 5.4.2).
    if (majorityIndex <= m_commitIndex || m_log.termAt(majorityIndex) != term())
        return;
    commitTo(majorityIndex);
    const bool isRemoved = m_log.membersIndex() <= m_commitIndex && !isVoter(members(), self());
    if (isRemoved)
        becomeFollower(term(), noReplica());
}

} // namespace Knapweedquay
