#pragma once

#include "protocol/ReplicaMessages.h"
#include "protocol/Result.h"
#include "protocol/Time.h"
#include "state/FollowerFreshness.h"
#include "state/LogBuffer.h"
#include "state/QuorumRounds.h"
#include "state/ReplicatedLogActions.h"
#include "state/SnapshotReceiver.h"
#include "state/WriteTracker.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace Knapweedquay {

struct ReplicatedLogSettings {
    ReplicaId self;
    ClusterId cluster;
    /// A follower that hears no leader for one to two of these asks for votes; a leader without a
    /// confirmed round for one of these steps down.
    Duration electionTimeout { 400000 };
    Duration heartbeatInterval { 50000 };
    std::size_t maximumAppendBytes = 1048576;
    std::size_t snapshotChunkBytes = 131072;
    /// Bytes of proposals that may wait for commitment; more are refused as Overloaded.
    std::size_t maximumUncommittedBytes = 16777216;
    /// Voters that the store is to have; more replicas wait as learners until one of the voters is lost. 0: all vote.
    std::size_t targetVoters = 0;
    /// A voter that has been silent for this long gives its place to a learner that has caught up.
    Duration replaceAfter { 5000000 };
    /// Seed of the election timeouts.
    std::uint64_t seed = 1;
};

/// What the storage holds when a replica starts.
struct StoredLog {
    HardState hardState;
    Snapshot snapshot;
    std::vector<LogEntry> entries;
};

enum class ReplicaRole : std::uint8_t {
    Follower,
    PreCandidate,
    Candidate,
    Leader,
};

/// What the leader knows of one replica.
struct MemberStatus {
    Member member;
    LogIndex syncedIndex;
    /// Time since the latest round that it acknowledged was sent; empty when it acknowledged none.
    std::optional<Duration> lastHeard;
};

/// One replica of a log that a majority must have synced before an entry counts (Raft, ATC '14).
///
/// Events go in (tick, receive, propose, synced), actions come out of takeActions(). Nothing that tells
/// another replica of a vote or an entry leaves before it is synced here. The differences from the paper:
/// - A new disk always has a new id and starts as a learner, so that no id ever votes with a lost log.
/// - Elections begin with a pre-vote, and votes are refused while a leader is heard (dissertation 4.2.3, 9.6).
/// - A leader whose latest confirmed round was sent longer than one election timeout ago steps down before
///   it handles any event, so one that was frozen or cut off does nothing as a leader.
class ReplicatedLog {
public:
    ReplicatedLog(ReplicatedLogSettings, StoredLog, TimePoint now);

    /// The stored log of the first replica of a new store: it alone is a member and may vote.
    static StoredLog bootstrap(ReplicaId, const std::string& address);
    /// The stored log of each founder of a store that several replicas found together; all start with the same one.
    static StoredLog found(const MemberList& founders);

    void tick(TimePoint);
    void receive(const ReplicaMessage&, TimePoint);
    /// Appends a command. Errors: NotLeader, Overloaded, MessageTooLarge.
    Result<LogIndex> propose(std::string payload, TimePoint);
    /// Adds a learner; the leader promotes it by itself once it has caught up. `replaces` is removed before that.
    /// Adding a member again does nothing. Errors: NotLeader, MembershipChangeRefused, UnknownReplica.
    Result<void> addLearner(ReplicaId, const std::string& address, ReplicaId replaces, TimePoint);
    /// Errors: NotLeader, MembershipChangeRefused, UnknownReplica.
    Result<void> removeMember(ReplicaId, TimePoint);
    /// The storage has synced every write up to this one.
    void synced(WriteSequence, TimePoint);
    /// Stores a snapshot of the state with all actions performed that were taken so far, and trims the log.
    void compact(std::string state);

    /// What is to be done, in this order and before the next call. Sends all entries that were appended since the last one.
    std::vector<LogAction> takeActions(TimePoint);

    ReplicaRole role() const { return m_role; }
    bool isLeader() const { return m_role == ReplicaRole::Leader; }
    /// The leader as far as known; noReplica() when none is.
    ReplicaId leader() const { return m_leader; }
    ReplicaId self() const { return m_settings.self; }
    ClusterId cluster() const { return m_settings.cluster; }
    Term term() const { return m_hardState.term; }
    LogIndex commitIndex() const { return m_commitIndex; }
    LogIndex appliedIndex() const { return m_takenIndex; }
    const LogBuffer& log() const { return m_log; }
    const MemberList& members() const { return m_log.members(); }
    /// Empty when nothing proves that the state is recent.
    std::optional<Freshness> freshness(TimePoint) const;
    /// True when the leader is certain that a replica is no member, and is not about to become one.
    bool isStranger(ReplicaId, TimePoint) const;
    /// True when the leader can accept an edit now: its lease holds and it has committed an entry of its term.
    bool canAccept(TimePoint) const;
    /// True when, by what the leader knows, the loss of any one more voter for good neither loses an edit nor stops the store.
    bool survivesAnotherLoss(TimePoint) const;
    /// Members as the leader sees them; empty on other replicas.
    std::vector<MemberStatus> memberStatus(TimePoint) const;

private:
    struct Peer {
        LogIndex matchIndex;
        LogIndex nextIndex;
        std::uint64_t snapshotOffset = 0;
        /// Entries or a chunk are under way, sent at this moment.
        std::optional<TimePoint> sentAt;
        /// Clock of the peer in its latest answer.
        std::uint64_t clock = 0;
        /// That clock as it was when the current round started.
        std::uint64_t roundClock = 0;
    };
    struct DelayedMessage {
        WriteSequence sequence;
        SendMessage action;
    };

    // Time and roles.
    void advance(TimePoint);
    bool isLeaseValid(TimePoint) const;
    bool hearsLeader(TimePoint) const;
    void resetElectionDeadline();
    void becomeFollower(Term, ReplicaId leader);
    void startElection(bool preVote);
    void countVotes();
    void becomeLeader();
    void setHardState(HardState);

    // Messages. Each handler has the sender's id.
    void handle(ReplicaId, const VoteRequest&);
    void handle(ReplicaId, const VoteResponse&);
    void handle(ReplicaId, const AppendRequest&);
    void handle(ReplicaId, const AppendResponse&);
    void handle(ReplicaId, const SnapshotChunk&);
    void handle(ReplicaId, const SnapshotResponse&);
    // Joining is handled by the owner of the log, which knows the addresses.
    void handle(ReplicaId, const JoinRequest&) { }
    void handle(ReplicaId, const JoinResponse&) { }
    bool acceptLeader(ReplicaId, Term);
    bool isLogUpToDate(const VoteRequest&) const;
    void appendFromLeader(const AppendRequest&);
    Peer* acknowledgedPeer(ReplicaId, Term, QuorumRound, std::uint64_t clock);
    void answerAppend(ReplicaId, bool accepted, LogIndex, QuorumRound);
    void send(ReplicaId, ReplicaMessageBody);
    void sendWhenSynced(ReplicaId, ReplicaMessageBody);

    // Leader.
    LogIndex appendAsLeader(LogEntryKind, std::string payload);
    void startRound();
    void sendHeartbeat(ReplicaId, Peer&);
    void sendNext(ReplicaId, Peer&);
    void sendSnapshotChunk(ReplicaId, Peer&);
    AppendRequest appendRequest(const Peer&, LogIndex previous) const;
    void updatePeers();
    void updateCommit();
    void advanceLearners();
    void advanceLearner(const Member&);
    const Member* lostVoter() const;
    Result<void> proposeMembers(const MemberList&);
    bool isCaughtUp(ReplicaId) const;
    bool isReachable(ReplicaId, TimePoint) const;

    // Commitment.
    void commitTo(LogIndex);
    void applyCommitted();
    void releaseDelayed();

    ReplicatedLogSettings m_settings;
    std::mt19937_64 m_random;
    LogBuffer m_log;
    HardState m_hardState;
    WriteTracker m_writes;
    LogIndex m_commitIndex;
    LogIndex m_appliedIndex;
    /// Last entry that the owner was given to apply, and the last that it has applied for certain.
    LogIndex m_takenIndex;
    LogIndex m_performedIndex;
    TimePoint m_now;

    ReplicaRole m_role = ReplicaRole::Follower;
    ReplicaId m_leader;
    TimePoint m_leaderHeardAt;
    TimePoint m_electionDeadline;
    TimePoint m_votesRequestedAt;
    std::set<ReplicaId> m_votes;
    /// Write that holds this replica's own vote; it counts once synced.
    WriteSequence m_ownVote;
    FollowerFreshness m_followerFreshness;
    SnapshotReceiver m_snapshotReceiver;

    std::map<ReplicaId, Peer> m_peers;
    QuorumRounds m_rounds;
    TimePoint m_leadingSince;
    TimePoint m_nextHeartbeat;
    LogIndex m_barrierIndex;
    /// Payload bytes of the leader's entries after the commit index.
    std::size_t m_uncommittedBytes = 0;
    LogIndex m_commitAtLastRound;
    std::uint32_t m_snapshotChecksum = 0;
    LogIndex m_snapshotChecksumIndex;

    std::vector<LogAction> m_actions;
    std::deque<DelayedMessage> m_delayed;
};

} // namespace Knapweedquay
