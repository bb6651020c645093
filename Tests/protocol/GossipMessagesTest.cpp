#include "protocol/GossipMessages.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <chrono>
#include <functional>

using namespace Knapweedquay;

namespace {

const TimePoint now { std::chrono::hours(5) };

MemberRecord completeRecord()
{
    MemberRecord record;
    record.node = NodeId("node-1");
    record.version = { Incarnation(1700000000123), 7 };
    record.health = MemberHealth::Suspect;
    record.suspectedBy = NodeId("node-9");
    record.dataCentre = DataCentre("amman-marka");
    record.peerAddress = { "127.0.0.1", 7300 };
    record.gossipAddress = { "::1", 7400 };
    record.endpoint = { ServiceName("dispatch"), { "10.0.0.1", 8080 }, 12, EndpointLifecycle::Draining, now - std::chrono::seconds(9) };
    return record;
}

GossipMessage messageWith(GossipBody body)
{
    GossipMessage message;
    message.deployment = 77;
    message.sender = NodeId("node-2");
    message.senderVersion = { Incarnation(5), 6 };
    message.documentsHash = 99;
    message.body = std::move(body);
    message.records = { completeRecord() };
    message.documents = { { ServiceName("dispatch"), DocumentVersion(41) } };
    return message;
}

CrashEvidence completeEvidence()
{
    CrashEvidence evidence;
    evidence.digest.bytes = { 1, 2, 255 };
    evidence.service = ServiceName("dispatch");
    evidence.crashes = { { CrashId(UINT64_MAX), now - std::chrono::seconds(3) }, { CrashId(2), now } };
    evidence.succeededAt = now - std::chrono::milliseconds(1);
    evidence.triedAt = now - std::chrono::hours(2);
    return evidence;
}

std::vector<GossipBody> allBodies()
{
    GossipDigest digest;
    digest.buckets[63] = 0xfedcba98;
    return { GossipPing { 1, NodeId("a") }, GossipAck { 2, NodeId("a") }, GossipIndirectPing { 3, NodeId("a"), { "10.0.0.2", 1 } }, GossipNack { 4 },
        GossipRumors {}, digest, GossipSummary { { 63 }, { { 1, 2 } } }, GossipRequest { { 3, 4 } }, GossipDocuments { true },
        GossipCrashEvidence { { completeEvidence(), CrashEvidence() } } };
}

TEST(GossipMessagesTest, EachBody_EncodedAndDecoded_KeepsFields)
{
    for (const GossipBody& body : allBodies()) {
        const std::string bytes = encodeGossipMessage(messageWith(body), now);
        // The receiver's clock has another origin; ages must be independent of it.
        const TimePoint receiverNow = now + std::chrono::hours(70);
        const auto decoded = decodeGossipMessage(bytes, receiverNow);
        ASSERT_TRUE(decoded.has_value()) << body.index() << decoded.error().detail;
        const GossipMessage& message = decoded.value();
        EXPECT_EQ(body.index(), message.body.index());
        EXPECT_EQ(99u, message.documentsHash);
        ASSERT_EQ(1u, message.records.size());
        EXPECT_EQ(receiverNow - std::chrono::seconds(9), message.records[0].endpoint.announcedAt);
        EXPECT_EQ(SocketAddress({ "::1", 7400 }), message.records[0].gossipAddress);
        EXPECT_EQ(NodeId("node-9"), message.records[0].suspectedBy);
        // Encoding again returns the same bytes, so no field was lost.
        EXPECT_EQ(bytes, encodeGossipMessage(message, receiverNow));
    }
}

TEST(GossipMessagesTest, CrashEvidence_EncodedAndDecoded_KeepsAges)
{
    const TimePoint receiverNow = now + std::chrono::hours(70);
    const auto decoded = decodeGossipMessage(encodeGossipMessage(messageWith(GossipCrashEvidence { { completeEvidence() } }), now), receiverNow);
    ASSERT_TRUE(decoded.has_value());
    const CrashEvidence sent = completeEvidence();
    const CrashEvidence received = std::get<GossipCrashEvidence>(decoded.value().body).evidence.at(0);
    EXPECT_EQ(sent.digest, received.digest);
    EXPECT_EQ(sent.service, received.service);
    ASSERT_EQ(2U, received.crashes.size());
    EXPECT_EQ(sent.crashes[0].id, received.crashes[0].id);
    EXPECT_EQ(receiverNow - std::chrono::seconds(3), received.crashes[0].at);
    EXPECT_EQ(receiverNow - std::chrono::milliseconds(1), received.succeededAt);
    EXPECT_EQ(receiverNow - std::chrono::hours(2), received.triedAt);
    EXPECT_FALSE(received.releasedAt);
}

TEST(GossipMessagesTest, RecordsThatFitBySize_Encoded_StayInOneDatagram)
{
    GossipMessage message = messageWith(GossipRumors {});
    message.records.clear();
    std::size_t predicted = encodeGossipMessage(message, now).size();
    while (predicted + encodedSize(completeRecord(), now) <= maximumGossipBytes) {
        predicted += encodedSize(completeRecord(), now);
        message.records.push_back(completeRecord());
    }
    const std::string bytes = encodeGossipMessage(message, now);
    EXPECT_LE(bytes.size(), predicted);
    EXPECT_GE(message.records.size(), 8u);
    EXPECT_TRUE(decodeGossipMessage(bytes, now).has_value());
}

TEST(GossipMessagesTest, EachFieldOutOfBounds_Decoded_IsRefused)
{
    const auto isRefused = [](const std::function<void(GossipMessage&)>& corrupt) {
        GossipMessage message = messageWith(GossipRumors {});
        corrupt(message);
        return decodeGossipMessage(encodeGossipMessage(message, now), now).has_error();
    };
    const std::string longName(maximumGossipNameBytes + 1, 'n');
    EXPECT_FALSE(isRefused([](GossipMessage&) {}));
    EXPECT_TRUE(isRefused([](GossipMessage& message) { message.records[0].health = static_cast<MemberHealth>(3); }));
    EXPECT_TRUE(isRefused([](GossipMessage& message) { message.records[0].endpoint.lifecycle = static_cast<EndpointLifecycle>(4); }));
    EXPECT_TRUE(isRefused([](GossipMessage& message) { message.records[0].node = NodeId(); }));
    EXPECT_TRUE(isRefused([&](GossipMessage& message) { message.records[0].dataCentre = DataCentre(longName); }));
    EXPECT_TRUE(isRefused([&](GossipMessage& message) { message.sender = NodeId(longName); }));
    EXPECT_TRUE(isRefused([&](GossipMessage& message) { message.documents[0].service = ServiceName(longName); }));
    EXPECT_TRUE(isRefused([](GossipMessage& message) { message.body = GossipSummary { { digestBuckets }, {} }; }));
    EXPECT_TRUE(isRefused([](GossipMessage& message) { message.records.resize(20, completeRecord()); }));
}

RC_GTEST_PROP(GossipMessagesTest, DamagedMessage_Decoded_IsRefusedOrWithinBounds, ())
{
    std::string bytes = encodeGossipMessage(messageWith(*rc::gen::elementOf(allBodies())), now);
    const auto corruptedBytes = *rc::gen::inRange(1, 5);
    for (int count = 0; count < corruptedBytes; ++count)
        bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] = *rc::gen::arbitrary<char>();
    bytes.resize(*rc::gen::inRange<std::size_t>(bytes.size() / 2, bytes.size() + 1));
    const auto decoded = decodeGossipMessage(bytes, now);
    if (decoded.has_error())
        return;
    for (const MemberRecord& record : decoded.value().records) {
        RC_ASSERT(record.node.value().size() <= maximumGossipNameBytes);
        RC_ASSERT(record.health <= MemberHealth::Dead);
        RC_ASSERT(record.endpoint.lifecycle <= EndpointLifecycle::Left);
    }
    if (const auto* summary = std::get_if<GossipSummary>(&decoded.value().body)) {
        for (const std::uint32_t bucket : summary->buckets)
            RC_ASSERT(bucket < digestBuckets);
    }
}

TEST(SocketAddressTest, Addresses_ParsedAndPacked_RoundTripOrAreRefused)
{
    for (const char* text : { "127.0.0.1:7000", "[::1]:65535", "10.1.2.3:0" }) {
        const auto address = parseSocketAddress(text);
        ASSERT_TRUE(address.has_value()) << text;
        EXPECT_EQ(text, toText(address.value()));
        EXPECT_EQ(address.value(), unpackAddress(packAddress(address.value())).value());
    }
    for (const char* text : { "", "127.0.0.1", "localhost:80", "127.0.0.1:65536", "127.0.0.1:8x", "127.0.0.1:" })
        EXPECT_TRUE(parseSocketAddress(text).has_error()) << text;
    EXPECT_TRUE(unpackAddress("12345").has_error());
}

} // namespace
