#pragma once

#include "protocol/LogEntry.h"
#include "protocol/Result.h"
#include "protocol/Time.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Knapweedquay {

/// Proof of how recent a replica's state is: it contains every edit that was accepted more than `age` ago.
///
/// The age is measured from the time at which the leader sent a heartbeat round that a majority confirmed afterwards
/// (read index, Raft dissertation 6.4). Each process that forwards the proof adds the time since it requested it.
/// A forwarded age therefore only grows, and a delayed message never makes a state look fresher.
struct Freshness {
    Term term;
    QuorumRound round;
    Duration age { 0 };
};

/// A candidate requests a vote.
struct VoteRequest {
    Term term;
    /// True for a pre-vote, which asks whether an election could succeed and changes no state (Raft dissertation 9.6).
    bool preVote = false;
    /// Index and term of the last entry in the candidate's log.
    LogIndex lastIndex;
    Term lastTerm;
};

/// Reply to a VoteRequest.
struct VoteResponse {
    Term term;
    /// True for the reply to a pre-vote.
    bool preVote = false;
    bool granted = false;
};

/// Log entries from the leader; a heartbeat when it has no entries.
struct AppendRequest {
    Term term;
    /// Index and term of the entry before the first one of this message.
    LogIndex previousIndex;
    Term previousTerm;
    LogIndex commitIndex;
    /// Heartbeat round to which this message belongs.
    QuorumRound round;
    /// Greatest round confirmed by a majority; 0 until the leader has committed an entry of its term.
    QuorumRound confirmedRound;
    /// The receiver's clock in its last reply before this round was sent; 0 when there is none.
    std::uint64_t echo = 0;
    std::vector<LogEntry> entries;
};

/// Reply to an AppendRequest. Sent only after everything that it acknowledges is synced to disk.
struct AppendResponse {
    Term term;
    bool accepted = false;
    /// Accepted: last index up to which the log equals the leader's and is synced. Otherwise: index from which the
    /// leader retries.
    LogIndex index;
    QuorumRound round;
    /// The sender's clock at the time of the reply; meaningful only to the sender. The leader returns it as the echo.
    std::uint64_t clock = 0;
};

/// One part of a snapshot, for a replica that needs entries which the leader has trimmed from its log.
struct SnapshotChunk {
    Term term;
    /// Index and term of the last entry contained in the snapshot.
    LogIndex lastIndex;
    Term lastTerm;
    /// Heartbeat round to which this message belongs.
    QuorumRound round;
    /// Size of the complete snapshot.
    std::uint64_t totalBytes = 0;
    /// Checksum of the complete snapshot.
    std::uint32_t checksum = 0;
    /// Position of this part in the snapshot.
    std::uint64_t offset = 0;
    /// Members as of the last entry contained in the snapshot.
    MemberList members;
    std::string bytes;
};

/// Reply to a SnapshotChunk while the snapshot is incomplete.
struct SnapshotResponse {
    Term term;
    LogIndex lastIndex;
    QuorumRound round;
    /// Position of the part that the sender needs next.
    std::uint64_t nextOffset = 0;
    /// As in AppendResponse.
    std::uint64_t clock = 0;
};

/// A replica without log entries asks to become a learner. It does not know the store or the receiver's id yet, so the
/// message contains 0 for both. A replica that forwards the request sets the receiver to the leader.
struct JoinRequest { };

/// Reply to a JoinRequest; also sent to a replica that is no longer a member.
struct JoinResponse {
    /// Ok: the requesting replica is now a learner, or was a member already. UnknownReplica: the replying replica has
    /// no store either, or the receiver is no longer a member. Any other code: the request was refused.
    ResultCode code = ResultCode::Ok;
    /// The store of the replying replica; 0 when it has none.
    ClusterId cluster;
};

/// A replica that is being stopped asks the leader for a learner to take its place. Repeated until the reply says that it may end.
struct LeaveRequest { };

/// What becomes of the place of a replica that asked to leave. The numbers are part of the messages.
enum class LeaveProgress : std::uint8_t {
    /// No learner can take its place, or it has no vote; it stays a member and may end.
    Unneeded = 0,
    /// A learner is taking its place; until it has, the end of the replica would cost the store a voter.
    Pending = 1,
    /// It is no longer a member, by a committed list.
    Removed = 2,
};

/// Reply to a LeaveRequest.
struct LeaveResponse {
    LeaveProgress progress = LeaveProgress::Unneeded;
};

using ReplicaMessageBody
    = std::variant<VoteRequest, VoteResponse, AppendRequest, AppendResponse, SnapshotChunk, SnapshotResponse, JoinRequest, JoinResponse, LeaveRequest, LeaveResponse>;

/// A message between two replicas. The receiver drops a message that is addressed to another id or store.
struct ReplicaMessage {
    ClusterId cluster;
    ReplicaId from;
    ReplicaId to;
    ReplicaMessageBody body;
    /// Address of the sender, which the receiver's member list may not contain yet.
    std::string fromAddress;
};

constexpr std::size_t maximumEntriesPerAppend = 1024;
constexpr std::size_t maximumSnapshotChunkBytes = 262144;
constexpr std::uint64_t maximumSnapshotBytes = 268435456;
constexpr std::size_t maximumReplicaMessageBytes = 4194304;

std::string encodeReplicaMessage(const ReplicaMessage&);

/// Errors: MalformedMessage, MessageTooLarge.
Result<ReplicaMessage> decodeReplicaMessage(std::string_view);

} // namespace Knapweedquay
