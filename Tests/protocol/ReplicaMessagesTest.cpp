#include "protocol/ReplicaMessages.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <random>

using namespace Knapweedquay;

namespace {

ReplicaMessageBody randomBody(std::mt19937_64& random)
{
    const std::vector<LogEntry> entries { { LogIndex(8), Term(2), LogEntryKind::Command, "edit" }, { LogIndex(9), Term(3), LogEntryKind::Barrier, "" } };
    const MemberList members { { ReplicaId(random()), "127.0.0.1:9", true, noReplica() }, { ReplicaId(2), "127.0.0.1:8", false, ReplicaId(1) } };
    switch (random() % 10) {
    case 0:
        return VoteRequest { Term(random()), true, LogIndex(random()), Term(3) };
    case 1:
        return VoteResponse { Term(random()), false, true };
    case 2:
        return AppendRequest { Term(random()), LogIndex(7), Term(2), LogIndex(6), QuorumRound(random()), QuorumRound(4), random(), entries };
    case 3:
        return AppendResponse { Term(random()), true, LogIndex(9), QuorumRound(5), random() };
    case 4:
        return SnapshotChunk { Term(random()), LogIndex(9), Term(3), QuorumRound(5), 10, 77, 4, members, "bytes" };
    case 5:
        return SnapshotResponse { Term(random()), LogIndex(9), QuorumRound(5), 9, random() };
    case 6:
        return JoinRequest {};
    case 7:
        return LeaveRequest {};
    case 8:
        return LeaveResponse { static_cast<LeaveProgress>(random() % 3) };
    default:
        return JoinResponse { ResultCode::NotLeader, ClusterId(random()) };
    }
}

RC_GTEST_PROP(ReplicaMessagesTest, AnyMessage_EncodedAndDecoded_RoundTripsAndRefusesTruncation, (std::uint64_t seed))
{
    std::mt19937_64 random(seed);
    const ReplicaMessage message { ClusterId(random()), ReplicaId(random()), ReplicaId(random()), randomBody(random), "127.0.0.1:7" };
    const std::string bytes = encodeReplicaMessage(message);
    const auto decoded = decodeReplicaMessage(bytes);
    RC_ASSERT(decoded.has_value());
    RC_ASSERT(decoded.value().body.index() == message.body.index());
    RC_ASSERT(encodeReplicaMessage(decoded.value()) == bytes);
    RC_ASSERT(decodeReplicaMessage(bytes.substr(0, random() % bytes.size())).has_error());
    std::string corrupted = bytes;
    corrupted[random() % corrupted.size()] = static_cast<char>(random());
    // A corrupted byte may still decode to a valid message; the decoder only must not crash.
    static_cast<void>(decodeReplicaMessage(corrupted));
}

TEST(ReplicaMessagesTest, EntriesNotConsecutive_Decoded_AreRefused)
{
    AppendRequest request;
    request.previousIndex = LogIndex(3);
    request.entries = { { LogIndex(5), Term(1), LogEntryKind::Command, "x" } };
    const auto decoded = decodeReplicaMessage(encodeReplicaMessage({ ClusterId(1), ReplicaId(1), ReplicaId(2), request, "a" }));
    EXPECT_TRUE(decoded.has_error());
}

TEST(ReplicaMessagesTest, ChunkBeyondTotalSize_Decoded_IsRefused)
{
    SnapshotChunk chunk;
    chunk.totalBytes = 3;
    chunk.offset = 2;
    chunk.bytes = "too long";
    EXPECT_TRUE(decodeReplicaMessage(encodeReplicaMessage({ ClusterId(1), ReplicaId(1), ReplicaId(2), chunk, "a" })).has_error());
}

} // namespace
