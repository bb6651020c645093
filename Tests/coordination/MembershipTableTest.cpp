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

/// Reference model of the table: keeps every accepted record and recomputes each result from all of them.
class ReferenceTable {
public:
    MergeResult merge(const MemberRecord& incoming, TimePoint now)
    {
        const auto current = find(incoming.node);
        if (!current && !incoming.isPresent())
            return MergeResult::Unchanged;
        MemberRecord accepted = incoming;
        if (current && current->record.isPresent() && incoming.health == MemberHealth::Dead && !incoming.hasLeft()) {
            const bool isSuspicionOldEnough = current->record.health == MemberHealth::Suspect && now - current->at >= refutationTime;
            accepted.health = isSuspicionOldEnough ? MemberHealth::Dead : MemberHealth::Suspect;
        }
        if (current) {
            const auto currentRank = rank(current->record);
            const auto acceptedRank = rank(accepted);
            if (acceptedRank < currentRank)
                return MergeResult::Outdated;
            if (acceptedRank == currentRank)
                return MergeResult::Unchanged;
        }
        m_history.push_back({ accepted, now });
        return MergeResult::Changed;
    }

    void declareDead(const NodeId& node, TimePoint now)
    {
        auto current = find(node);
        if (!current || current->record.health != MemberHealth::Suspect)
            return;
        current->record.health = MemberHealth::Dead;
        m_history.push_back({ current->record, now });
    }

    void removeAbsentBefore(TimePoint cutoff)
    {
        for (const NodeId& node : nodes()) {
            const auto current = find(node);
            if (!current->record.isPresent() && current->at < cutoff)
                m_history.erase(std::remove_if(m_history.begin(), m_history.end(), [&](const Stored& stored) { return stored.record.node == node; }), m_history.end());
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
    struct Stored {
        MemberRecord record;
        TimePoint at;
    };

    static std::tuple<std::uint64_t, std::uint64_t, MemberHealth> rank(const MemberRecord& record)
    {
        return { record.version.incarnation.value(), record.version.state, record.health };
    }

    std::optional<Stored> find(const NodeId& node) const
    {
        std::optional<Stored> best;
        for (const Stored& stored : m_history) {
            if (stored.record.node == node && (!best || rank(best->record) < rank(stored.record)))
                best = stored;
        }
        return best;
    }

    std::vector<NodeId> nodes() const
    {
        std::vector<NodeId> result;
        for (const Stored& stored : m_history)
            result.push_back(stored.record.node);
        std::sort(result.begin(), result.end());
        result.erase(std::unique(result.begin(), result.end()), result.end());
        return result;
    }

    std::vector<Stored> m_history;
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

RC_GTEST_PROP(MembershipTableTest, AnyHistory_Merged_EqualsReferenceTable, ())
{
    MembershipTable table(nodeCount, refutationTime);
    ReferenceTable reference;
    TimePoint now;
    const auto steps = *rc::gen::inRange(1, 60);
    for (int step = 0; step < steps; ++step) {
        now += std::chrono::milliseconds(*rc::gen::inRange(0, 2500));
        const auto choice = *rc::gen::inRange(0, 10);
        if (choice == 0) {
            const NodeId node = arbitraryRecord().node;
            table.declareDead(node, now);
            reference.declareDead(node, now);
        } else if (choice == 1) {
            table.removeAbsentBefore(now - std::chrono::seconds(10));
            reference.removeAbsentBefore(now - std::chrono::seconds(10));
        } else {
            const MemberRecord incoming = arbitraryRecord();
            RC_ASSERT(table.merge(incoming, now) == reference.merge(incoming, now));
        }
        RC_ASSERT(describe(table.records()) == describe(reference.records()));
        RC_ASSERT(table.digest() == digestFromScratch(reference.records()));
    }
    for (const MemberRecord& current : reference.records())
        RC_ASSERT(table.findByHash(MembershipTable::hashOf(current.node)).size() == 1u);
}

// Runs one anti-entropy exchange between two tables: compares the summary, then sends and requests records.
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
    // Without death reports, since a table accepts those only after a suspicion, not by anti-entropy alone.
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
