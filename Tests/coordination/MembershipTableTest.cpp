#include "coordination/membership/AntiEntropy.h"
#include "coordination/membership/MembershipTable.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <chrono>
#include <optional>

using namespace Knapweedquay;

namespace {

constexpr Duration refutationTime = std::chrono::seconds(3);
constexpr std::size_t nodeCount = 6;

MemberRecord record(std::size_t node, std::uint64_t incarnation, std::uint64_t state, MemberHealth health, EndpointLifecycle lifecycle = EndpointLifecycle::Ready)
{
    MemberRecord result;
    result.node = NodeId("node-" + std::to_string(node));
    result.version = { Incarnation(incarnation), state };
    result.health = health;
    result.endpoint.lifecycle = lifecycle;
    return result;
}

/// Keeps everything it ever took in and works each answer out anew.
class NaiveTable {
public:
    MergeResult merge(const MemberRecord& incoming, TimePoint now)
    {
        const auto held = find(incoming.node);
        if (!held && !incoming.isPresent())
            return MergeResult::Unchanged;
        MemberRecord accepted = incoming;
        if (held && held->record.isPresent() && incoming.health == MemberHealth::Dead && !incoming.hasLeft()) {
            const bool isOldSuspicion = held->record.health == MemberHealth::Suspect && now - held->at >= refutationTime;
            accepted.health = isOldSuspicion ? MemberHealth::Dead : MemberHealth::Suspect;
        }
        if (held) {
            const auto heldRank = rank(held->record);
            const auto acceptedRank = rank(accepted);
            if (acceptedRank < heldRank)
                return MergeResult::Outdated;
            if (acceptedRank == heldRank)
                return MergeResult::Unchanged;
        }
        m_history.push_back({ accepted, now });
        return MergeResult::Changed;
    }

    void declareDead(const NodeId& node, TimePoint now)
    {
        auto held = find(node);
        if (!held || held->record.health != MemberHealth::Suspect)
            return;
        held->record.health = MemberHealth::Dead;
        m_history.push_back({ held->record, now });
    }

    void forgetAbsentSince(TimePoint moment)
    {
        for (const NodeId& node : nodes()) {
            const auto held = find(node);
            if (!held->record.isPresent() && held->at < moment)
                m_history.erase(std::remove_if(m_history.begin(), m_history.end(), [&](const Taken& taken) { return taken.record.node == node; }), m_history.end());
        }
    }

    std::vector<MemberRecord> records() const
    {
        std::vector<MemberRecord> result;
        for (const NodeId& node : nodes())
            result.push_back(find(node)->record);
        return result;
    }

private:
    struct Taken {
        MemberRecord record;
        TimePoint at;
    };

    static std::tuple<std::uint64_t, std::uint64_t, MemberHealth> rank(const MemberRecord& record)
    {
        return { record.version.incarnation.value(), record.version.state, record.health };
    }

    std::optional<Taken> find(const NodeId& node) const
    {
        std::optional<Taken> best;
        for (const Taken& taken : m_history) {
            if (taken.record.node == node && (!best || rank(best->record) < rank(taken.record)))
                best = taken;
        }
        return best;
    }

    std::vector<NodeId> nodes() const
    {
        std::vector<NodeId> result;
        for (const Taken& taken : m_history)
            result.push_back(taken.record.node);
        std::sort(result.begin(), result.end());
        result.erase(std::unique(result.begin(), result.end()), result.end());
        return result;
    }

    std::vector<Taken> m_history;
};

std::string describe(const std::vector<MemberRecord>& records)
{
    std::string text;
    for (const MemberRecord& record : records)
        text += record.node.value() + " " + std::to_string(record.version.incarnation.value()) + "." + std::to_string(record.version.state) + " "
            + std::to_string(static_cast<int>(record.health)) + " " + std::to_string(static_cast<int>(record.endpoint.lifecycle)) + "\n";
    return text;
}

std::array<RecordHash, digestBuckets> digestFromScratch(const std::vector<MemberRecord>& records)
{
    std::array<RecordHash, digestBuckets> digest {};
    for (const MemberRecord& record : records) {
        if (record.isPresent())
            digest[MembershipTable::bucketOf(MembershipTable::hashOf(record.node))] ^= MembershipTable::contentHash(record);
    }
    return digest;
}

MemberRecord arbitraryRecord()
{
    const auto node = *rc::gen::inRange<std::size_t>(0, nodeCount);
    const auto health = *rc::gen::element(MemberHealth::Alive, MemberHealth::Suspect, MemberHealth::Dead);
    const auto lifecycle = *rc::gen::weightedElement<EndpointLifecycle>({ { 5, EndpointLifecycle::Ready }, { 1, EndpointLifecycle::Left } });
    return record(node, *rc::gen::inRange(1, 4), *rc::gen::inRange(1, 4), health, lifecycle);
}

RC_GTEST_PROP(MembershipTableTest, AnyHistory_Merged_EqualsNaiveTable, ())
{
    MembershipTable table(nodeCount, refutationTime);
    NaiveTable naive;
    TimePoint now;
    const auto steps = *rc::gen::inRange(1, 60);
    for (int step = 0; step < steps; ++step) {
        now += std::chrono::milliseconds(*rc::gen::inRange(0, 2500));
        const auto choice = *rc::gen::inRange(0, 10);
        if (choice == 0) {
            const NodeId node = arbitraryRecord().node;
            table.declareDead(node, now);
            naive.declareDead(node, now);
        } else if (choice == 1) {
            table.removeAbsentBefore(now - std::chrono::seconds(10));
            naive.forgetAbsentSince(now - std::chrono::seconds(10));
        } else {
            const MemberRecord incoming = arbitraryRecord();
            RC_ASSERT(table.merge(incoming, now) == naive.merge(incoming, now));
        }
        RC_ASSERT(describe(table.records()) == describe(naive.records()));
        RC_ASSERT(table.digest() == digestFromScratch(naive.records()));
    }
    for (const MemberRecord& held : naive.records())
        RC_ASSERT(table.findByHash(MembershipTable::hashOf(held.node)).size() == 1u);
}

// What two members do when their digests differ: compare, send, request.
void repair(MembershipTable& asking, MembershipTable& answering, TimePoint now)
{
    const auto summary = summarizeDifferences(answering, { asking.digest() }, 5);
    if (!summary)
        return;
    const Differences differences = findDifferences(asking, *summary);
    for (const MemberRecord& sent : differences.toSend)
        answering.merge(sent, now);
    for (const RecordHash node : differences.toRequest.nodes) {
        for (const MemberRecord* requested : answering.findByHash(node))
            asking.merge(*requested, now);
    }
}

RC_GTEST_PROP(MembershipTableTest, TwoTables_Repaired_HaveEqualDigests, ())
{
    // No deaths: those are settled by suspicion, not by repair.
    MembershipTable first(100, refutationTime);
    MembershipTable second(100, refutationTime);
    const auto count = *rc::gen::inRange(0, 80);
    for (int i = 0; i < count; ++i) {
        MemberRecord incoming = record(*rc::gen::inRange<std::size_t>(0, 40), 1, *rc::gen::inRange(1, 4), *rc::gen::element(MemberHealth::Alive, MemberHealth::Suspect));
        (*rc::gen::arbitrary<bool>() ? first : second).merge(incoming, TimePoint());
    }
    repair(first, second, TimePoint());
    RC_ASSERT(first.digest() == second.digest());
    RC_ASSERT(describe(first.records()) == describe(second.records()));
}

TEST(MembershipTableTest, FullTable_NewMember_ReplacesOldestAbsentOnly)
{
    MembershipTable table(2, refutationTime);
    const TimePoint start;
    table.merge(record(1, 1, 1, MemberHealth::Suspect), start);
    table.merge(record(2, 1, 1, MemberHealth::Alive), start);
    EXPECT_EQ(MergeResult::Unchanged, table.merge(record(3, 1, 1, MemberHealth::Alive), start));
    table.declareDead(NodeId("node-1"), start);
    EXPECT_EQ(MergeResult::Changed, table.merge(record(3, 1, 1, MemberHealth::Alive), start));
    EXPECT_EQ(nullptr, table.find(NodeId("node-1")));
    EXPECT_EQ(2u, table.presentCount());
}

TEST(MembershipTableTest, LargeDifference_Summarized_FitsDatagram)
{
    MembershipTable table(2000, refutationTime);
    for (std::size_t node = 0; node < 1500; ++node)
        table.merge(record(node, 1, 1, MemberHealth::Alive), TimePoint());
    const auto summary = summarizeDifferences(table, GossipDigest {}, 63);
    ASSERT_TRUE(summary.has_value());
    GossipMessage message;
    message.sender = NodeId(std::string(maximumGossipNameBytes, 'n'));
    message.body = *summary;
    EXPECT_LE(encodeGossipMessage(message, TimePoint()).size(), maximumGossipBytes);
}

} // namespace
