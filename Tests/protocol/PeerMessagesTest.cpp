#include "protocol/PeerMessages.h"

#include "protocol/Cbor.h"

#include <gtest/gtest.h>

using namespace Knapweedquay;

namespace {

ProbeAnswerMessage answerWithRate(std::optional<RequestRate> rate)
{
    ProbeAnswerMessage message;
    message.service = ServiceName("dispatch");
    message.load.draining = true;
    message.load.requestRate = rate;
    return message;
}

CallRequestMessage requestOf(std::optional<CallerProof> caller)
{
    CallRequestMessage message;
    message.service = ServiceName("dispatch");
    message.request = { "GET", "/x", { { "Host", "a.example" } }, "body" };
    message.caller = std::move(caller);
    return message;
}

} // namespace

TEST(PeerMessagesTest, Request_WithCaller_KeepsIt)
{
    for (const CallerProof& caller : { CallerProof { 7, WorkspaceName("archive"), digestOfKey("k1") }, CallerProof { 9, {}, {} } }) {
        const auto decoded = decodePeerMessage(encode(requestOf(caller)));
        ASSERT_TRUE(decoded.has_value());
        const auto& read = std::get<CallRequestMessage>(decoded.value()).caller;
        ASSERT_TRUE(read);
        EXPECT_EQ(caller.routingVersion, read->routingVersion);
        EXPECT_EQ(caller.workspace, read->workspace);
        EXPECT_EQ(caller.key, read->key);
    }
}

// A request of more than 200 headers, which its node had accepted, closed the link to the endpoint's node, again with each resend.
TEST(PeerMessagesTest, AsManyHeadersAsANodeAccepts_AreRead)
{
    CallRequestMessage request = requestOf(std::nullopt);
    CallAnswerMessage answer;
    while (request.request.headers.size() < maximumHeaders + 10)
        request.request.headers.push_back({ "X", "1" });
    answer.response.headers = request.request.headers;
    const auto read = decodePeerMessage(encode(request));
    ASSERT_TRUE(read.has_value());
    EXPECT_EQ(request.request.headers.size(), std::get<CallRequestMessage>(read.value()).request.headers.size());
    EXPECT_TRUE(decodePeerMessage(encode(answer)).has_value());
    while (request.request.headers.size() <= 2 * maximumHeaders)
        request.request.headers.push_back({ "X", "1" });
    EXPECT_TRUE(decodePeerMessage(encode(request)).has_error());
}

// Nodes of earlier releases close the link on a request with further fields, so one without a caller has none.
TEST(PeerMessagesTest, Request_WithoutCaller_HasTheFieldsOfEarlierReleases)
{
    const auto fields = decodeCbor(encode(requestOf(std::nullopt)), maximumPeerMessageBytes);
    ASSERT_TRUE(fields.has_value());
    constexpr std::size_t typeAttemptAndOthers = 1 + 3 + 15;
    EXPECT_EQ(typeAttemptAndOthers, fields.value().size());
    const auto decoded = decodePeerMessage(encode(requestOf(std::nullopt)));
    ASSERT_TRUE(decoded.has_value());
    EXPECT_FALSE(std::get<CallRequestMessage>(decoded.value()).caller);
}

TEST(PeerMessagesTest, Limit_Decoded_IsEqual)
{
    const CallLimitMessage limit { { NodeId("a"), Incarnation(3), 7 }, Incarnation(9), Duration(250000), 1234 };
    const auto decoded = decodePeerMessage(encode(limit));
    ASSERT_TRUE(decoded.has_value());
    const auto& read = std::get<CallLimitMessage>(decoded.value());
    EXPECT_EQ(limit.attempt, read.attempt);
    EXPECT_EQ(limit.targetIncarnation, read.targetIncarnation);
    EXPECT_EQ(limit.answerWithin, read.answerWithin);
    EXPECT_EQ(limit.sentAt, read.sentAt);
}

TEST(PeerMessagesTest, Request_WithInvalidCaller_IsRefused)
{
    const auto fields = decodeCbor(encode(requestOf(std::nullopt)), maximumPeerMessageBytes).value();
    const std::string digest(RequestDigest().bytes.size(), 'x');
    const nlohmann::json text = cborBytes("archive");
    for (const nlohmann::json& caller : { nlohmann::json("archive"), nlohmann::json::array({ 7 }), nlohmann::json::array({ 7, text, cborBytes("short") }), nlohmann::json::array({ 7, cborBytes(""), cborBytes(digest) }), nlohmann::json::array({ -1, text, cborBytes(digest) }) }) {
        auto changed = fields;
        changed.push_back(caller);
        EXPECT_TRUE(decodePeerMessage(encodeCbor(changed)).has_error()) << caller;
    }
}

// Nodes of release 0.2 close the link on a load report with further fields.
TEST(PeerMessagesTest, LoadReportWithRate_EncodedForEarlierRelease_HasTheFieldsOfThatRelease)
{
    const auto decoded = decodeCbor(encode(answerWithRate(RequestRate(10.7))), maximumPeerMessageBytes);
    ASSERT_TRUE(decoded.has_value());
    constexpr std::size_t typeSequenceServiceAndLoad = 3 + 9;
    EXPECT_EQ(typeSequenceServiceAndLoad, decoded.value().size());
    EXPECT_TRUE(decoded.value().back().is_boolean());
    EXPECT_EQ(encode(answerWithRate(std::nullopt)), encode(answerWithRate(RequestRate(10.7))));
}

TEST(PeerMessagesTest, LoadReport_EncodedByEarlierOrThisRelease_IsRead)
{
    for (const LoadEncoding encoding : { LoadEncoding::Basic, LoadEncoding::Extended }) {
        const auto decoded = decodePeerMessage(encode(answerWithRate(RequestRate(10.7)), encoding));
        ASSERT_TRUE(decoded.has_value());
        const LoadReport& load = *loadOf(decoded.value());
        EXPECT_TRUE(load.draining);
        EXPECT_EQ(encoding == LoadEncoding::Extended ? std::optional(RequestRate(10.7)) : std::nullopt, load.requestRate);
    }
}

TEST(PeerMessagesTest, ExtendedLoadReport_WithFieldsOfALaterRelease_IsRead)
{
    auto fields = decodeCbor(encode(answerWithRate(RequestRate(8)), LoadEncoding::Extended), maximumPeerMessageBytes).value();
    fields.back().push_back("later");
    const auto decoded = decodePeerMessage(encodeCbor(fields));
    ASSERT_TRUE(decoded.has_value());
    EXPECT_EQ(RequestRate(8), loadOf(decoded.value())->requestRate);
    fields.back()[1] = "not a number";
    EXPECT_TRUE(decodePeerMessage(encodeCbor(fields)).has_error());
}

TEST(PeerMessagesTest, QuotaRequestAndGrant_Decoded_AreEqual)
{
    QuotaRequestMessage request { QuotaSlice(quotaSlices - 1), NodeId("a"), Incarnation(3), 1000, 7, { { WorkspaceName("harbour"), 4, 5, 6, { { 900, 1, 2 } } } } };
    const auto decodedRequest = decodePeerMessage(encode(PeerMessage(request)));
    ASSERT_TRUE(decodedRequest.has_value());
    EXPECT_EQ(encode(PeerMessage(request)), encode(decodedRequest.value()));
    EXPECT_EQ(900U, std::get<QuotaRequestMessage>(decodedRequest.value()).needs.at(0).reports.at(0).grant);
    const QuotaGrantMessage grant { QuotaSlice(1), NodeId("a"), Incarnation(3), 1000, 7, { { WorkspaceName("harbour"), 4, Duration(20000) } } };
    const auto decodedGrant = decodePeerMessage(encode(PeerMessage(grant)));
    ASSERT_TRUE(decodedGrant.has_value());
    EXPECT_EQ(encode(PeerMessage(grant)), encode(decodedGrant.value()));
    // A holder finds its slice by the number.
    request.slice = QuotaSlice(quotaSlices);
    EXPECT_TRUE(decodePeerMessage(encode(PeerMessage(request))).has_error());
}
