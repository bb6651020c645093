#include "state/ReplicatedLog.h"

#include <algorithm>

// Elections: roles, pre-votes and votes (Raft, 5.2 and 5.4.1; dissertation 4.2.3 and 9.6).
namespace Knapweedquay {

void ReplicatedLog::becomeFollower(Term term, ReplicaId leader)
{
    const bool wasLeader = isLeader();
    if (term > m_hardState.term) {
        // Discards responses to the leader of an earlier term that wait for a sync.
        m_delayedMessages.clear();
        setHardState({ term, noReplica() });
    }
    m_role = ReplicaRole::Follower;
    m_leader = leader;
    m_votes.clear();
    m_peers.clear();
    m_leaving.clear();
    resetElectionDeadline();
    if (wasLeader)
        m_actions.push_back(LeadershipChanged { false, m_hardState.term });
}

void ReplicatedLog::startElection(bool preVote)
{
    m_role = preVote ? ReplicaRole::PreCandidate : ReplicaRole::Candidate;
    m_leader = noReplica();
    m_votes.clear();
    m_votesRequestedAt = m_now;
    setRepeatDeadline(preVote);
    const Term electionTerm(term().value() + 1);
    if (!preVote) {
        m_delayedMessages.clear();
        setHardState({ electionTerm, self() });
        m_ownVoteWrite = m_writes.lastSequence();
    }
    for (const Member& member : members())
        if (member.voter && member.id != self())
            send(member.id, VoteRequest { electionTerm, preVote, m_log.lastIndex(), m_log.lastTerm() });
    countVotes();
}

void ReplicatedLog::countVotes()
{
    std::size_t votes = m_votes.size();
    const bool isOwnVoteSynced = m_role == ReplicaRole::PreCandidate || m_writes.syncedSequence() >= m_ownVoteWrite;
    if (isOwnVoteSynced && isVoter(members(), self()))
        ++votes;
    if (votes < majorityOf(members()))
        return;
    if (m_role == ReplicaRole::PreCandidate)
        startElection(false);
    else
        becomeLeader();
}

void ReplicatedLog::becomeLeader()
{
    m_role = ReplicaRole::Leader;
    m_leader = self();
    m_leadingSince = m_now;
    m_votes.clear();
    m_rounds.reset(m_votesRequestedAt);
    m_actions.push_back(LeadershipChanged { true, term() });
    m_peers.clear();
    m_uncommittedBytes = 0;
    for (LogIndex index = nextIndex(m_commitIndex); m_log.contains(index); index = nextIndex(index))
        m_uncommittedBytes += m_log.at(index).payload.size();
    m_barrierIndex = appendAsLeader(LogEntryKind::Barrier, {});
    m_commitAtLastRound = m_barrierIndex;
    updatePeers();
    startRound();
}

bool ReplicatedLog::isLogUpToDate(const VoteRequest& request) const
{
    if (request.lastTerm != m_log.lastTerm())
        return request.lastTerm > m_log.lastTerm();
    return request.lastIndex >= m_log.lastIndex();
}

void ReplicatedLog::handle(ReplicaId from, const VoteRequest& request)
{
    if (request.preVote) {
        const bool granted = request.term > term() && !hasRecentLeader(m_now) && isLogUpToDate(request);
        send(from, VoteResponse { granted ? request.term : term(), true, granted });
        return;
    }
    if (request.term > term()) {
        // A removed or partitioned member must not disrupt a live leader.
        if (hasRecentLeader(m_now))
            return;
        becomeFollower(request.term, noReplica());
    }
    const bool isVoteFree = m_hardState.votedFor == noReplica() || m_hardState.votedFor == from;
    const bool granted = request.term == term() && m_role == ReplicaRole::Follower && isVoteFree && isLogUpToDate(request);
    if (granted) {
        setHardState({ term(), from });
        resetElectionDeadline();
    }
    sendWhenSynced(from, VoteResponse { term(), false, granted });
}

void ReplicatedLog::handle(ReplicaId from, const VoteResponse& response)
{
    if (!response.granted) {
        if (response.term > term())
            becomeFollower(response.term, noReplica());
        return;
    }
    const bool answersPreVote = response.preVote && m_role == ReplicaRole::PreCandidate && response.term.value() == term().value() + 1;
    const bool answersVote = !response.preVote && m_role == ReplicaRole::Candidate && response.term == term();
    if (!answersPreVote && !answersVote)
        return;
    if (!isVoter(members(), from))
        return;
    m_votes.insert(from);
    countVotes();
}

} // namespace Knapweedquay
