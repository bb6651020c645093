#include "coordination/quarantine/RequestQuarantine.h"

#include <gtest/gtest.h>

using namespace Knapweedquay;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint start { Duration(100000000) };
const ServiceName dispatch("dispatch");

RequestDigest request(char name)
{
    DigestBuilder builder;
    builder.add(std::string(1, name));
    return builder.finish();
}

class RequestQuarantineTest : public ::testing::Test {
protected:
    /// Another server crashes while it runs the named requests.
    void crash(const std::string& names, Duration at)
    {
        std::vector<RequestDigest> requests;
        for (const char name : names)
            requests.push_back(request(name));
        m_quarantine.crashed(CrashId(++m_crashes), dispatch, requests, start + at);
    }

    QuarantineState state(char name, Duration at) const { return m_quarantine.verdict(request(name), start + at).state; }

    RequestQuarantine m_quarantine;
    std::uint64_t m_crashes = 0;
};

} // namespace

TEST_F(RequestQuarantineTest, Request_RunningInTwoCrashes_IsHeld)
{
    crash("pa", milliseconds(0));
    EXPECT_EQ(QuarantineState::Suspected, state('p', milliseconds(1)));
    crash("pb", milliseconds(100));
    EXPECT_EQ(QuarantineState::Held, state('p', milliseconds(101)));
    EXPECT_EQ(QuarantineState::Suspected, state('a', milliseconds(101)));
    EXPECT_EQ(QuarantineState::Clear, state('c', milliseconds(101)));
}

TEST_F(RequestQuarantineTest, Request_BesideAnotherWithMoreCrashes_IsNotHeld)
{
    crash("pa", seconds(0));
    crash("pa", seconds(1));
    // Either may be the cause.
    EXPECT_EQ(QuarantineState::Held, state('a', seconds(1)));
    crash("p", seconds(2));
    EXPECT_EQ(QuarantineState::Suspected, state('a', seconds(2)));
    EXPECT_EQ(QuarantineState::Held, state('p', seconds(2)));
}

TEST_F(RequestQuarantineTest, PopularRequest_InARackThatFails_IsNotHeld)
{
    m_quarantine.succeeded(request('h'), start);
    for (int server = 0; server < 20; ++server)
        crash("h", seconds(1) + milliseconds(server));
    EXPECT_EQ(QuarantineState::Clear, state('h', seconds(2)));
    m_quarantine.succeeded(request('h'), start + seconds(2));
    crash("h", seconds(3));
    EXPECT_EQ(QuarantineState::Clear, state('h', seconds(3)));
}

TEST_F(RequestQuarantineTest, Request_ThatBeginsToCrashServers_IsHeldAfterThreeCrashes)
{
    m_quarantine.succeeded(request('h'), start);
    crash("h", seconds(1));
    crash("h", seconds(3));
    EXPECT_EQ(QuarantineState::Clear, state('h', seconds(3)));
    crash("h", seconds(5));
    EXPECT_EQ(QuarantineState::Held, state('h', seconds(5)));
}

TEST_F(RequestQuarantineTest, HeldRequest_AfterItsTime_IsTriedOnce)
{
    crash("p", seconds(0));
    crash("p", seconds(1));
    EXPECT_EQ(QuarantineState::Held, state('p', seconds(60)));
    EXPECT_EQ(QuarantineState::TrialDue, state('p', seconds(61)));
    EXPECT_FALSE(m_quarantine.startTrial(request('p'), start + seconds(61)).empty());
    EXPECT_EQ(QuarantineState::Held, state('p', seconds(62)));
    // The third crash makes the hold four times as long.
    crash("p", seconds(62));
    EXPECT_EQ(QuarantineState::Held, state('p', seconds(62 + 239)));
    EXPECT_EQ(QuarantineState::TrialDue, state('p', seconds(62 + 240)));
    m_quarantine.succeeded(request('p'), start + seconds(62 + 241));
    EXPECT_EQ(QuarantineState::Clear, state('p', seconds(62 + 241)));
}

TEST_F(RequestQuarantineTest, HeldRequest_ReleasedByAnOperator_Runs)
{
    crash("p", seconds(0));
    crash("p", seconds(1));
    EXPECT_TRUE(m_quarantine.release(request('x'), start + seconds(2)).empty());
    const auto pieces = m_quarantine.release(request('p'), start + seconds(2));
    ASSERT_EQ(1U, pieces.size());
    EXPECT_EQ(QuarantineState::Clear, state('p', seconds(2)));
    ASSERT_EQ(2U, m_quarantine.takeChanges().size());
}

TEST_F(RequestQuarantineTest, Evidence_InAnyOrderAndRepeated_LeadsToTheSameVerdict)
{
    RequestQuarantine witness;
    std::vector<CrashEvidence> pieces;
    for (int number = 1; number <= 3; ++number) {
        for (const CrashEvidence& piece : witness.crashed(CrashId(number), dispatch, { request('p') }, start + seconds(number)))
            pieces.push_back(piece);
    }
    pieces.push_back(pieces.front());
    for (auto piece = pieces.rbegin(); piece != pieces.rend(); ++piece)
        m_quarantine.receive(*piece, start + seconds(4));
    const QuarantineVerdict verdict = m_quarantine.verdict(request('p'), start + seconds(4));
    EXPECT_EQ(QuarantineState::Held, verdict.state);
    EXPECT_EQ(3U, verdict.crashes);
    EXPECT_EQ(witness.verdict(request('p'), start + seconds(4)).heldUntil, verdict.heldUntil);
}

TEST_F(RequestQuarantineTest, Requests_BeyondTheLimit_DropThoseWithTheFewestCrashes)
{
    crash("p", seconds(0));
    crash("p", seconds(1));
    for (std::size_t number = 0; number < 2 * CrashEvidenceTable::maximumRequests; ++number) {
        DigestBuilder builder;
        builder.add(std::to_string(number));
        m_quarantine.crashed(CrashId(1000 + number), dispatch, { builder.finish() }, start + seconds(2));
    }
    EXPECT_EQ(CrashEvidenceTable::maximumRequests, m_quarantine.evidence().size());
    EXPECT_EQ(QuarantineState::Held, state('p', seconds(3)));
}
