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

/// Proof of how recent a replica's state is: it holds every edit that was accepted more than `age` ago.
///
/// The age counts from the moment at which the leader sent a heartbeat round that a majority confirmed
/// afterwards (read index, Raft dissertation 6.4). Whoever carries it on adds the time since it asked
/// for it, so a carried age only grows and a delay on the way never makes a state look fresher.
struct Freshness {
    Term term;
    QuorumRound round;
    Duration age { 0 };
};

struct VoteRequest {
    Term term;
    /// A pre-vote asks whether a vote could succeed and changes nothing (Raft dissertation 9.6).
    bool preVote = false;
    LogIndex lastIndex;
    Term lastTerm;
};

struct VoteResponse {
    Term term;
    bool preVote = false;
    bool granted = false;
};

/// Entries of a leader, and its heartbeat when it has none.
struct AppendRequest {
    Term term;
    LogIndex previousIndex;
    Term previousTerm;
    LogIndex commitIndex;
    /// Round to which this message belongs.
    QuorumRound round;
    /// Greatest round that a majority has confirmed; 0 before the leader committed an entry of its term.
    QuorumRound confirmedRound;
    /// The receiver's clock in its last answer before this round was sent; 0 when none.
    std::uint64_t echo = 0;
    std::vector<LogEntry> entries;
};

/// Sent once everything that it says is synced.
struct AppendResponse {
    Term term;
    bool accepted = false;
    /// Accepted: last index known to equal the leader's, and synced. Refused: index from which to try again.
    LogIndex index;
    QuorumRound round;
    /// The sender's clock when it answered; means something to the sender only. The leader hands it back.
    std::uint64_t clock = 0;
};

/// One part of a snapshot, for a replica that needs entries which the leader has trimmed.
struct SnapshotChunk {
    Term term;
    LogIndex lastIndex;
    Term lastTerm;
    QuorumRound round;
    std::uint64_t totalBytes = 0;
    std::uint32_t checksum = 0;
    std::uint64_t offset = 0;
    MemberList members;
    std::string bytes;
};

struct SnapshotResponse {
    Term term;
    LogIndex lastIndex;
    QuorumRound round;
    std::uint64_t nextOffset = 0;
    std::uint64_t clock = 0;
};

/// A replica with an empty disk asks to become a learner. It knows neither the store nor the receiver's
/// id, so the message carries 0 for both.
struct JoinRequest { };

struct JoinResponse {
    /// Ok: the asking replica is a learner now. UnknownReplica: the answering one has no store either.
    ResultCode code = ResultCode::Ok;
    /// The store of the answering replica; 0 when it has none.
    ClusterId cluster;
};

using ReplicaMessageBody = std::variant<VoteRequest, VoteResponse, AppendRequest, AppendResponse, SnapshotChunk, SnapshotResponse, JoinRequest, JoinResponse>;

/// A message between two replicas. A receiver drops one that is addressed to another id or store.
struct ReplicaMessage {
    ClusterId cluster;
    ReplicaId from;
    ReplicaId to;
    ReplicaMessageBody body;
    /// Where the sender is reached; the receiver's member list may not name it yet.
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
