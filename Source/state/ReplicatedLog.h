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

/// Settings of one replica of a replicated log.
struct ReplicatedLogSettings {
    ReplicaId self;
    ClusterId cluster;
    /// A follower without contact to a leader starts an election after a random time of one to two election timeouts. A
    /// leader steps down when its latest confirmed round was sent more than one election timeout ago.
    Duration electionTimeout { 400000 };
    Duration heartbeatInterval { 50000 };
    /// Interval of a new leader's first rounds, after which followers can prove their freshness.
    Duration firstHeartbeatInterval { 10000 };
    /// Maximum payload bytes of the entries in one append request; a larger single entry is sent alone.
    std::size_t maximumAppendBytes = 1048576;
    /// Size of the chunks in which a snapshot is sent.
    std::size_t snapshotChunkBytes = 131072;
    /// Maximum payload bytes of uncommitted entries; further proposals are refused with Overloaded.
    std::size_t maximumUncommittedBytes = 16777216;
    /// Target number of voters. Further replicas stay learners until a voter is lost. 0 makes every replica a voter.
    std::size_t targetVoters = 0;
    /// Time without acknowledgements after which a voter is replaced by a learner that has caught up.
    Duration replaceAfter { 5000000 };
    /// Seed for the random election timeouts.
    std::uint64_t seed = 1;
};

/// Contents of the storage when a replica starts.
struct StoredLog {
    HardState hardState;
    Snapshot snapshot;
    std::vector<LogEntry> entries;
};

/// Role of a replica in an election term.
enum class ReplicaRole : std::uint8_t {
    Follower,
    /// Asks for pre-votes, without increasing its term.
    PreCandidate,
    Candidate,
    Leader,
};

/// Status of a member as known to the leader.
struct MemberStatus {
    Member member;
    /// Last index up to which the log of the member is known to be synced.
    LogIndex syncedIndex;
    /// Time since the sending of the latest round that the member has acknowledged; empty when there is none.
    std::optional<Duration> lastHeard;
};

/// One replica of a replicated log, whose entries are committed once a majority has synced them (Raft, ATC '14).
///
/// The class performs no input or output itself: the owner passes in events (tick, receive, propose, synced) and
/// performs the actions returned by takeActions(). Messages that acknowledge a vote or an entry are sent only after it
/// is synced here. The differences from the paper are:
/// - A replica with an empty disk gets a new id and starts as a learner, so that no id votes after losing its log.
/// - Elections start with a pre-vote, and votes are refused while there is a live leader (dissertation 4.2.3, 9.6).
/// - A leader whose latest confirmed round was sent longer than one election timeout ago steps down before it handles
///   any event, so a leader that was frozen or partitioned takes no further action as leader.
class ReplicatedLog {
public:
    ReplicatedLog(ReplicatedLogSettings, StoredLog, TimePoint now);

    /// Returns the initial log for the first replica of a new store, which is its only member and voter.
    static StoredLog bootstrap(ReplicaId, const std::string& address);
    /// Returns the initial log for a store that several replicas create together. Each of these founders starts with
    /// it.
    static StoredLog bootstrapFounders(const MemberList& founders);

    void tick(TimePoint);
    void receive(const ReplicaMessage&, TimePoint);
    /// Appends a command and returns its index. Errors: NotLeader, Overloaded, MessageTooLarge.
    Result<LogIndex> propose(std::string payload, TimePoint);
    /// Adds a learner. Once it has caught up, the leader removes the member `replaces` and promotes the learner to a
    /// voter, unless the store already has the target number of voters.
    /// Adding an existing member has no effect. Errors: NotLeader, MembershipChangeRefused, UnknownReplica.
    Result<void> addLearner(ReplicaId, const std::string& address, ReplicaId replaces, TimePoint);
    /// Removes a member. Errors: NotLeader, MembershipChangeRefused, UnknownReplica.
    Result<void> removeMember(ReplicaId, TimePoint);
    /// Handles that a member is being stopped. A voter's place goes to a learner that has caught up, if there is one: the learner
    /// is promoted before the voter is removed, so that the store tolerates as many losses at each moment. Only valid on the
    /// leader, which may itself be the member. Must be repeated, since a member that is heard without it has started again.
    LeaveProgress requestLeave(ReplicaId, TimePoint);
    /// Must be called when the storage has synced all writes up to the given one.
    void synced(WriteSequence, TimePoint);
    /// Starts storing a snapshot and trims the log. The state must include all entries returned by takeActions() so
    /// far.
    void compact(std::string state);

    /// Returns the actions that the owner must perform, in this order and before the next call. They send the entries
    /// that were appended since the previous call.
    std::vector<LogAction> takeActions(TimePoint);

    ReplicaRole role() const { return m_role; }
    bool isLeader() const { return m_role == ReplicaRole::Leader; }
    /// The known leader; noReplica() when no leader is known.
    ReplicaId leader() const { return m_leader; }
    ReplicaId self() const { return m_settings.self; }
    ClusterId cluster() const { return m_settings.cluster; }
    Term term() const { return m_hardState.term; }
    LogIndex commitIndex() const { return m_commitIndex; }
    /// Index of the last entry that takeActions() has returned for applying.
    LogIndex appliedIndex() const { return m_takenIndex; }
    /// True if the state has all committed entries. Followers may have applied more than a leader whose own disk is slow.
    bool hasAppliedCommitted() const { return m_takenIndex >= m_commitIndex; }
    const LogBuffer& log() const { return m_log; }
    const MemberList& members() const { return m_log.members(); }
    /// Age of the applied state; empty when it is unproven.
    std::optional<Freshness> freshness(TimePoint) const;
    /// True when this leader knows that a replica is not a member and that no membership change is pending.
    bool isKnownNonMember(ReplicaId, TimePoint) const;
    /// True when this leader can accept a proposal: its lease is valid and it has committed an entry of its term.
    bool canAccept(TimePoint) const;
    /// True when, as far as this leader knows, the permanent loss of any one further voter neither loses an edit nor
    /// makes the store unavailable.
    bool survivesAnotherLoss(TimePoint) const;
    /// Status of all members; empty on replicas other than the leader.
    std::vector<MemberStatus> memberStatus(TimePoint) const;

private:
    /// Replication state of another member, kept by the leader.
    struct Peer {
        /// Last index that is known to match the log of the peer.
        LogIndex matchIndex;
        /// Index of the next entry to send.
        LogIndex nextIndex;
        /// Offset of the next snapshot chunk to send.
        std::uint64_t snapshotOffset = 0;
        /// Time at which unacknowledged entries or a snapshot chunk were sent; empty when there are none in flight.
        std::optional<TimePoint> sentAt;
        /// Clock value in the latest response of the peer.
        std::uint64_t clock = 0;
        /// Value of `clock` when the current round started, which is echoed to the peer.
        std::uint64_t roundClock = 0;
    };
    /// Message that must not be sent before a write is synced.
    struct DelayedMessage {
        WriteSequence sequence;
        SendMessage action;
    };

    // Time and roles.
    void advanceTime(TimePoint);
    bool isLeaseValid(TimePoint) const;
    bool hasRecentLeader(TimePoint) const;
    void resetElectionDeadline();
    /// Sets the time after which an election without a result is repeated. A pre-vote changes nothing at the others, and may just
    /// have met links that were not open yet, so that it is repeated soon.
    void setRepeatDeadline(bool preVote);
    void becomeFollower(Term, ReplicaId leader);
    void startElection(bool preVote);
    void countVotes();
    void becomeLeader();
    void setHardState(HardState);

    // Message handlers, with the id of the sender.
    void handle(ReplicaId, const VoteRequest&);
    void handle(ReplicaId, const VoteResponse&);
    void handle(ReplicaId, const AppendRequest&);
    void handle(ReplicaId, const AppendResponse&);
    void handle(ReplicaId, const SnapshotChunk&);
    void handle(ReplicaId, const SnapshotResponse&);
    // Joining is handled by the owner of the log, which has the addresses.
    void handle(ReplicaId, const JoinRequest&) { }
    void handle(ReplicaId, const JoinResponse&) { }
    void handle(ReplicaId, const LeaveRequest&);
    // The owner of the log handles the replies, since it decides when the process ends.
    void handle(ReplicaId, const LeaveResponse&) { }
    bool acceptLeader(ReplicaId, Term);
    bool isLogUpToDate(const VoteRequest&) const;
    void appendFromLeader(const AppendRequest&);
    Peer* acknowledgedPeer(ReplicaId, Term, QuorumRound, std::uint64_t clock);
    void sendAppendResponse(ReplicaId, bool accepted, LogIndex, QuorumRound);
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
    void removeVoter(const Member&);
    const Member* findLostVoter() const;
    const Member* findLeavingVoter() const;
    bool isLeaving(ReplicaId) const;
    Result<void> proposeMembers(const MemberList&);
    bool isCaughtUp(ReplicaId) const;
    bool isReachable(ReplicaId, TimePoint) const;

    // Commitment.
    void commitTo(LogIndex);
    void applyCommitted();
    void releaseDelayedMessages();

    ReplicatedLogSettings m_settings;
    std::mt19937_64 m_random;
    LogBuffer m_log;
    HardState m_hardState;
    WriteTracker m_writes;
    LogIndex m_commitIndex;
    LogIndex m_appliedIndex;
    /// Last entry that takeActions() has returned for applying.
    LogIndex m_takenIndex;
    /// Last entry that the owner has certainly applied, because it has called takeActions() again.
    LogIndex m_performedIndex;
    TimePoint m_now;

    ReplicaRole m_role = ReplicaRole::Follower;
    ReplicaId m_leader;
    TimePoint m_leaderHeardAt;
    TimePoint m_electionDeadline;
    TimePoint m_votesRequestedAt;
    std::set<ReplicaId> m_votes;
    /// Write with this replica's own vote, which is counted once the write is synced.
    WriteSequence m_ownVoteWrite;
    FollowerFreshness m_followerFreshness;
    SnapshotReceiver m_snapshotReceiver;

    std::map<ReplicaId, Peer> m_peers;
    QuorumRounds m_rounds;
    TimePoint m_leadingSince;
    /// When each member that is being stopped has last asked to leave; kept by the leader.
    std::map<ReplicaId, TimePoint> m_leaving;
    TimePoint m_nextHeartbeat;
    /// Index of the barrier entry that this leader appended at the start of its term.
    LogIndex m_barrierIndex;
    /// Payload bytes of the entries after the commit index.
    std::size_t m_uncommittedBytes = 0;
    /// Commit index at the start of the current round. A learner with these entries has caught up.
    LogIndex m_commitAtLastRound;
    /// Cached checksum of the snapshot that ends at `m_snapshotChecksumIndex`.
    std::uint32_t m_snapshotChecksum = 0;
    LogIndex m_snapshotChecksumIndex;

    std::vector<LogAction> m_actions;
    std::deque<DelayedMessage> m_delayedMessages;
};

} // namespace Knapweedquay
