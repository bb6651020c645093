#include "state/ReplicatedLog.h"

#include <gtest/gtest.h>

using namespace Knapweedquay;
using namespace std::chrono_literals;

namespace {

const ClusterId cluster(9);
const ReplicaId leaderId(1);
const ReplicaId followerId(2);

/// Tests one replica of a log with three voters. The tests pass in each event and control when writes are synced.
class ReplicatedLogTest : public ::testing::Test {
protected:
    ReplicatedLogTest()
    {
        StoredLog stored;
        stored.hardState.term = Term(1);
        const MemberList members { { leaderId, "a", true, noReplica() }, { followerId, "b", true, noReplica() }, { ReplicaId(3), "c", true, noReplica() } };
        stored.entries.push_back({ LogIndex(1), Term(1), LogEntryKind::Members, encodeMembers(members) });
        ReplicatedLogSettings settings;
        settings.self = leaderId;
        settings.cluster = cluster;
        m_log = std::make_unique<ReplicatedLog>(settings, stored, m_now);
    }

    /// Takes and records all actions, and syncs the writes unless `isSyncing` is false.
    void processActions(bool isSyncing = true)
    {
        for (auto actions = m_log->takeActions(m_now); !actions.empty(); actions = m_log->takeActions(m_now)) {
            for (const LogAction& action : actions) {
                if (const auto* sent = std::get_if<SendMessage>(&action))
                    m_sent.push_back(sent->message);
                if (const auto* write = std::get_if<WriteLog>(&action))
                    m_lastWrite = write->sequence;
            }
            if (isSyncing)
                m_log->synced(m_lastWrite, m_now);
        }
    }

    void receive(ReplicaMessageBody body, ReplicaId from = followerId, ReplicaId to = leaderId, ClusterId store = cluster)
    {
        m_log->receive({ store, from, to, std::move(body), "b" }, m_now);
    }

    void becomeLeader()
    {
        m_now += 1s;
        m_log->tick(m_now);
        receive(VoteResponse { Term(2), true, true });
        processActions();
        receive(VoteResponse { Term(2), false, true });
        processActions();
        ASSERT_TRUE(m_log->isLeader());
        acknowledge(LogIndex(2));
        processActions();
        ASSERT_TRUE(m_log->canAccept(m_now));
    }

    void acknowledge(LogIndex index, QuorumRound round = QuorumRound(1))
    {
        receive(AppendResponse { Term(2), true, index, round, 0 });
    }

    /// Runs one heartbeat round that is acknowledged by the follower, and by another replica with its synced index.
    void runRound(ReplicaId other, LogIndex otherIndex)
    {
        m_now += 60ms;
        m_log->tick(m_now);
        processActions();
        const QuorumRound round = sent<AppendRequest>().back().round;
        acknowledge(m_log->log().lastIndex(), round);
        receive(AppendResponse { Term(2), true, otherIndex, round, 0 }, other);
        processActions();
    }

    template <typename Body>
    std::vector<Body> sent()
    {
        std::vector<Body> bodies;
        for (const ReplicaMessage& message : m_sent)
            if (const auto* body = std::get_if<Body>(&message.body))
                bodies.push_back(*body);
        m_sent.clear();
        return bodies;
    }

    TimePoint m_now { Duration(1000000) };
    std::unique_ptr<ReplicatedLog> m_log;
    std::vector<ReplicaMessage> m_sent;
    WriteSequence m_lastWrite;
};

TEST_F(ReplicatedLogTest, OwnEntryNotSynced_OneFollowerAcknowledges_IsNotCommitted)
{
    becomeLeader();
    ASSERT_TRUE(m_log->propose("edit", m_now).has_value());
    processActions(false);
    acknowledge(LogIndex(3));
    EXPECT_EQ(LogIndex(2), m_log->commitIndex());
    m_log->synced(m_lastWrite, m_now);
    EXPECT_EQ(LogIndex(3), m_log->commitIndex());
}

TEST_F(ReplicatedLogTest, OwnVoteNotSynced_OneVoteArrives_IsNotElected)
{
    m_now += 1s;
    m_log->tick(m_now);
    receive(VoteResponse { Term(2), true, true });
    processActions(false);
    receive(VoteResponse { Term(2), false, true });
    EXPECT_FALSE(m_log->isLeader());
    m_log->synced(m_lastWrite, m_now);
    EXPECT_TRUE(m_log->isLeader());
}

TEST_F(ReplicatedLogTest, VoteGranted_NotSynced_IsNotSent)
{
    receive(VoteRequest { Term(2), false, LogIndex(1), Term(1) });
    processActions(false);
    EXPECT_TRUE(sent<VoteResponse>().empty());
    m_log->synced(m_lastWrite, m_now);
    processActions();
    const auto votes = sent<VoteResponse>();
    ASSERT_EQ(1u, votes.size());
    EXPECT_TRUE(votes[0].granted);
}

// After a power cut, calls waited for 0.4 to 0.8 s until the first replica asked whether it may lead.
TEST_F(ReplicatedLogTest, ReplicaThatHasStarted_HearsNoLeader_AsksForPreVotesSoon)
{
    m_now += 300ms;
    m_log->tick(m_now);
    processActions();
    const std::vector<VoteRequest> requests = sent<VoteRequest>();
    ASSERT_EQ(2u, requests.size());
    EXPECT_TRUE(requests.front().preVote);
    EXPECT_EQ(Term(1), m_log->term());
}

// After a power cut the first pre-vote met links that were not open, and the next came half a second later or more.
TEST_F(ReplicatedLogTest, PreVoteWithoutResult_IsRepeatedSoon)
{
    m_now += 1s;
    m_log->tick(m_now);
    processActions();
    ASSERT_FALSE(sent<VoteRequest>().empty());
    for (int tick = 0; tick < 11; ++tick) {
        m_now += 20ms;
        m_log->tick(m_now);
        processActions();
    }
    const auto repeated = sent<VoteRequest>();
    ASSERT_FALSE(repeated.empty());
    EXPECT_TRUE(repeated.back().preVote);
    EXPECT_EQ(Term(1), m_log->term());
}

TEST_F(ReplicatedLogTest, NewLeader_FirstRounds_FollowEachOtherSoon)
{
    becomeLeader();
    sent<AppendRequest>();
    const auto tickSoon = [this] {
        m_now += 20ms;
        m_log->tick(m_now);
        processActions();
        return !sent<AppendRequest>().empty();
    };
    EXPECT_TRUE(tickSoon());
    EXPECT_TRUE(tickSoon());
    for (int round = 0; round < 8; ++round)
        runRound(ReplicaId(3), LogIndex(2));
    EXPECT_FALSE(tickSoon());
}

TEST_F(ReplicatedLogTest, RecentLeader_VoteRequested_IsRefusedAndTermStays)
{
    receive(AppendRequest { Term(2), LogIndex(1), Term(1), LogIndex(1), QuorumRound(1), QuorumRound(), 0, {} });
    m_now += 300ms;
    receive(VoteRequest { Term(9), false, LogIndex(5), Term(2) }, ReplicaId(3));
    receive(VoteRequest { Term(9), true, LogIndex(5), Term(2) }, ReplicaId(3));
    processActions();
    EXPECT_EQ(Term(2), m_log->term());
    for (const VoteResponse& vote : sent<VoteResponse>())
        EXPECT_FALSE(vote.granted);
}

TEST_F(ReplicatedLogTest, MessageForAnotherIdOrStore_Received_IsDropped)
{
    const VoteRequest request { Term(2), false, LogIndex(1), Term(1) };
    receive(request, followerId, ReplicaId(77));
    receive(request, followerId, leaderId, ClusterId(10));
    processActions();
    EXPECT_TRUE(m_sent.empty());
    EXPECT_EQ(Term(1), m_log->term());
}

TEST_F(ReplicatedLogTest, AcknowledgementOfOldRound_ArrivesLate_DoesNotExtendLease)
{
    becomeLeader();
    m_now += 390ms;
    // The response was delayed and confirms only the round that it acknowledges.
    acknowledge(LogIndex(2), QuorumRound(1));
    EXPECT_TRUE(m_log->canAccept(m_now));
    const auto freshness = m_log->freshness(m_now);
    ASSERT_TRUE(freshness.has_value());
    EXPECT_GE(freshness->age, 390ms);
    m_now += 20ms;
    EXPECT_EQ(ResultCode::NotLeader, m_log->propose("edit", m_now).error().code);
}

TEST_F(ReplicatedLogTest, EchoOfEarlierProcess_Received_GivesNoFreshness)
{
    for (std::uint64_t round = 1; round <= 3; ++round) {
        receive(AppendRequest { Term(2), LogIndex(1), Term(1), LogIndex(1), QuorumRound(round), QuorumRound(round - 1), 5000000, {} });
        processActions();
    }
    EXPECT_FALSE(m_log->freshness(m_now).has_value());
    const auto answers = sent<AppendResponse>();
    ASSERT_EQ(3u, answers.size());
    receive(AppendRequest { Term(2), LogIndex(1), Term(1), LogIndex(1), QuorumRound(4), QuorumRound(3), answers.back().clock, {} });
    m_now += 40ms;
    receive(AppendRequest { Term(2), LogIndex(1), Term(1), LogIndex(1), QuorumRound(5), QuorumRound(4), answers.back().clock, {} });
    processActions();
    ASSERT_TRUE(m_log->freshness(m_now).has_value());
    EXPECT_EQ(40ms, m_log->freshness(m_now)->age);
}

TEST_F(ReplicatedLogTest, MembershipChangeUncommitted_SecondRequested_IsRefused)
{
    becomeLeader();
    ASSERT_TRUE(m_log->addLearner(ReplicaId(4), "d", noReplica(), m_now).has_value());
    EXPECT_EQ(ResultCode::MembershipChangeRefused, m_log->addLearner(ReplicaId(5), "e", noReplica(), m_now).error().code);
    EXPECT_EQ(ResultCode::UnknownReplica, m_log->removeMember(ReplicaId(5), m_now).error().code);
    // Replica 3 has never responded, so removing replica 2 would leave no reachable majority.
    EXPECT_EQ(ResultCode::MembershipChangeRefused, m_log->removeMember(followerId, m_now).error().code);
}

TEST_F(ReplicatedLogTest, LearnerBehind_Acknowledges_BecomesVoterOnlyOnceCaughtUp)
{
    becomeLeader();
    ASSERT_TRUE(m_log->addLearner(ReplicaId(4), "d", noReplica(), m_now).has_value());
    for (int round = 0; round < 5; ++round)
        runRound(ReplicaId(4), LogIndex(1));
    EXPECT_FALSE(isVoter(m_log->members(), ReplicaId(4)));
    for (int round = 0; round < 3; ++round)
        runRound(ReplicaId(4), LogIndex(3));
    EXPECT_TRUE(isVoter(m_log->members(), ReplicaId(4)));
}

TEST_F(ReplicatedLogTest, VoterBehind_Acknowledges_DoesNotCountForAnotherLoss)
{
    becomeLeader();
    runRound(ReplicaId(3), LogIndex(1));
    EXPECT_FALSE(m_log->survivesAnotherLoss(m_now));
    runRound(ReplicaId(3), LogIndex(2));
    EXPECT_TRUE(m_log->survivesAnotherLoss(m_now));
    m_now += 399ms;
    m_log->tick(m_now);
    EXPECT_TRUE(m_log->survivesAnotherLoss(m_now));
    m_now += 2ms;
    EXPECT_FALSE(m_log->survivesAnotherLoss(m_now));
}

TEST_F(ReplicatedLogTest, TooMuchUncommitted_Proposed_IsRefusedAsOverloaded)
{
    becomeLeader();
    const std::string large(maximumEntryBytes, 'x');
    Result<LogIndex> last = LogIndex();
    for (int i = 0; i < 20 && last.has_value(); ++i)
        last = m_log->propose(large, m_now);
    ASSERT_TRUE(last.has_error());
    EXPECT_EQ(ResultCode::Overloaded, last.error().code);
    EXPECT_EQ(ResultCode::MessageTooLarge, m_log->propose(large + "x", m_now).error().code);
}

} // namespace
