#pragma once

#include "protocol/Ids.h"
#include "protocol/Result.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Knapweedquay {

/// Election term of the replicated log; each term has at most one leader.
using Term = StrongType<struct TermTag, std::uint64_t>;
/// Position in the replicated log; the first entry has index 1.
using LogIndex = StrongType<struct LogIndexTag, std::uint64_t>;
/// Number of a leader's heartbeat round within its term.
using QuorumRound = StrongType<struct QuorumRoundTag, std::uint64_t>;
/// Identity of one store, chosen at random when one replica creates it and derived from the founders' addresses when
/// several do. Messages from other stores are dropped.
using ClusterId = StrongType<struct ClusterIdTag, std::uint64_t>;

/// Id that means "no replica".
inline ReplicaId noReplica() { return ReplicaId(0); }

inline LogIndex nextIndex(LogIndex index) { return LogIndex(index.value() + 1); }
inline LogIndex previousIndex(LogIndex index) { return LogIndex(index.value() - 1); }

/// Content of a log entry. The numbers are part of the messages and of the stored log.
enum class LogEntryKind : std::uint8_t {
    /// First entry of a leader's term; it commits the entries before it (Raft, 5.4.2).
    Barrier = 0,
    /// A command for the replicated state.
    Command = 1,
    /// The complete list of members; it takes effect as soon as it is appended.
    Members = 2,
};

/// One entry of the replicated log.
struct LogEntry {
    LogIndex index;
    Term term;
    LogEntryKind kind = LogEntryKind::Command;
    /// Encoded command or member list; empty for a barrier.
    std::string payload;

    friend bool operator==(const LogEntry& a, const LogEntry& b)
    {
        return a.index == b.index && a.term == b.term && a.kind == b.kind && a.payload == b.payload;
    }
};

/// One replica of the store, as recorded in the log.
struct Member {
    ReplicaId id;
    std::string address;
    /// True for a voter. A learner (false) receives the log but does not count towards a majority.
    bool voter = false;
    /// Member whose disk was lost and which this learner replaces; noReplica() when there is none.
    ReplicaId replaces;

    friend bool operator==(const Member& a, const Member& b)
    {
        return a.id == b.id && a.address == b.address && a.voter == b.voter && a.replaces == b.replaces;
    }
};

using MemberList = std::vector<Member>;

constexpr std::size_t maximumMembers = 16;
constexpr std::size_t maximumAddressBytes = 256;
constexpr std::size_t maximumEntryBytes = 1048576;

std::string encodeMembers(const MemberList&);

/// Errors: MalformedMessage, MessageTooLarge.
Result<MemberList> decodeMembers(std::string_view);

} // namespace Knapweedquay
