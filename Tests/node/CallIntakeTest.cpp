#include "node/CallIntake.h"
#include "state/RoutingParser.h"
#include "transport/HttpParser.h"

#include <gtest/gtest.h>

using namespace Knapweedquay;

namespace {

constexpr const char* routing = R"(version = 4
[[services]]
name = "dispatch"
[[routes]]
host = "a.example"
path = "/keyed/"
rank = 5
[[routes.targets]]
service = "dispatch"
[[routes]]
host = "a.example"
path = "/open/"
allow_anonymous = true
rank = 5
[[routes.targets]]
service = "dispatch"
)";

constexpr const char* workspaces = R"(
[[workspaces]]
name = "archive"
keys = ["k1", "k2"]
rank = 2
)";

CallIntake intakeWith(CallInterface interface)
{
    return { CallHeaders(), ServiceName("dispatch"), CallResolver(interface, 0) };
}

/// Reads requests as callers send them, byte for byte.
class CallIntakeTest : public testing::Test {
protected:
    void setRouting(const std::string& text)
    {
        m_intake.setRouting(std::make_shared<const RoutingTable>(parseRoutingToml(text).value()));
    }

    Result<ParsedCall> read(const std::string& path, const std::string& headers, const std::string& end = "\r\n")
    {
        HttpParser parser(HttpParser::Kind::Requests, {});
        std::size_t consumed = 0;
        if (parser.feed("GET " + path + " HTTP/1.1\r\nHost: a.example\r\n" + headers + end, consumed) != HttpParser::Progress::Complete)
            return Error { ResultCode::MalformedRequest, "" };
        return m_intake.read(parser.takeRequest(), Duration(0), m_running);
    }

    /// Expects that no header that names a caller or a workspace, in whatever form, goes on.
    static void expectNoCallerHeader(const ParsedCall& call)
    {
        for (const HttpHeader& header : call.request.headers) {
            EXPECT_EQ(std::string::npos, header.value.find("k1")) << header.name;
            EXPECT_EQ(std::string::npos, header.value.find("rogue")) << header.name;
        }
    }

    RunningRequests m_running;
    CallIntake m_intake = intakeWith(CallInterface::RoutesOnly);
};

const std::vector<std::string> rogueHeaders {
    "Knapweedquay-Workspace: rogue\r\n",
    "knapweedquay-WORKSPACE: rogue\r\nKnapweedquay-Workspace: rogue\r\n",
    "Knapweedquay_Workspace: rogue\r\n",
    "Knapweedquay-Workspace:\r\n rogue\r\n",
    "Knapweedquay-Workspace : rogue\r\n",
    "Connection: Knapweedquay-Workspace\r\nKnapweedquay-Workspace: rogue\r\n",
};

} // namespace

TEST_F(CallIntakeTest, NoWorkspaces_AnyHeaders_AreForwardedAsReceived)
{
    setRouting(routing);
    const auto call = read("/keyed/x", "Authorization: Bearer k1\r\nAuthorization: Basic k1\r\nKnapweedquay-Workspace: rogue\r\n");
    ASSERT_TRUE(call.has_value());
    EXPECT_FALSE(call.value().callerProof());
    EXPECT_EQ(5u, call.value().request.headers.size()) << "these three, Host and the caller's service";
}

// The product's own headers decided on repeats, levels and keys of calls in deployments that give them no meaning.
TEST_F(CallIntakeTest, HeadersOfOwnInterface_WhereRoutesDecide_AreForwardedAndDecideNothing)
{
    setRouting(routing);
    const auto plain = read("/keyed/x", "");
    ASSERT_TRUE(plain.has_value());
    for (const InterfaceHeader& header : interfaceHeaders()) {
        for (const char* value : { "0", "1", "99", "booking", "not a number", "" }) {
            const auto call = read("/keyed/x", std::string(header.name) + ": " + value + "\r\n");
            ASSERT_TRUE(call.has_value()) << header.name << value;
            EXPECT_EQ(plain.value().isRepeat, call.value().isRepeat) << header.name << value;
            EXPECT_EQ(plain.value().depth, call.value().depth) << header.name << value;
            EXPECT_EQ(plain.value().key, call.value().key) << header.name << value;
            EXPECT_EQ(plain.value().priority, call.value().priority) << header.name << value;
            EXPECT_EQ(plain.value().deadline, call.value().deadline) << header.name << value;
            EXPECT_EQ(plain.value().request.headers.size() + 1, call.value().request.headers.size());
            const std::string* forwarded = findHeader(call.value().request.headers, header.name);
            ASSERT_NE(nullptr, forwarded) << header.name;
            EXPECT_EQ(value, *forwarded) << header.name;
        }
    }
}

TEST_F(CallIntakeTest, HeadersOfOwnInterface_WhereItIsOffered_AreReadOnRoutesAndTargets)
{
    m_intake = intakeWith(CallInterface::RoutesAndTargets);
    setRouting(routing);
    for (const char* path : { "/keyed/x", "/call/dispatch/x" }) {
        const auto call = read(path, "Knapweedquay-Attempt: 1\r\nKnapweedquay-Depth: 7\r\nIdempotency-Key: k\r\nKnapweedquay-Priority: booking\r\nKnapweedquay-Outcome: x\r\n");
        ASSERT_TRUE(call.has_value()) << path;
        EXPECT_TRUE(call.value().isRepeat);
        EXPECT_EQ(7u, call.value().depth);
        EXPECT_EQ(IdempotencyKey("k"), call.value().key);
        EXPECT_EQ("booking", call.value().priority.value_or(""));
        for (const InterfaceHeader& header : interfaceHeaders())
            EXPECT_EQ(nullptr, findHeader(call.value().request.headers, header.name)) << header.name;
        EXPECT_EQ(ResultCode::TooManyLevels, read(path, "Knapweedquay-Depth: 99\r\n").error().code);
        EXPECT_EQ(ResultCode::InvalidHeader, read(path, "Knapweedquay-Attempt: x\r\n").error().code);
        EXPECT_EQ(ResultCode::InvalidIdempotencyKey, read(path, "Idempotency-Key:\r\n").error().code);
    }
}

TEST_F(CallIntakeTest, KeyedRoute_RogueHeaders_NeitherKeyNorTheirWorkspaceGoesOn)
{
    setRouting(std::string(routing) + workspaces);
    for (const std::string& rogue : rogueHeaders) {
        for (const std::string& headers : { rogue + "authorization: Bearer k1\r\n", "AUTHORIZATION: bearer k1\r\n" + rogue }) {
            const auto call = read("/keyed/x", headers);
            if (call.has_error()) {
                EXPECT_EQ(ResultCode::MalformedRequest, call.error().code) << headers;
                continue;
            }
            EXPECT_EQ(WorkspaceName("archive"), call.value().workspace);
            EXPECT_EQ(digestOfKey("k1"), call.value().callerKey);
            EXPECT_EQ(PriorityIndex(runPriorityIndex + 1), call.value().workspacePriority);
            EXPECT_EQ(std::optional<std::uint64_t>(4), call.value().checkedByVersion);
            expectNoCallerHeader(call.value());
        }
        EXPECT_TRUE(read("/keyed/x", rogue).has_error()) << rogue;
    }
    EXPECT_EQ(ResultCode::UnknownKey, read("/keyed/x", "Authorization: Bearer k1\r\nAuthorization: Bearer k2\r\n").error().code);
}

TEST_F(CallIntakeTest, OpenRoute_RogueHeaders_NeitherKeyNorTheirWorkspaceGoesOn)
{
    setRouting(std::string(routing) + workspaces);
    for (const std::string& rogue : rogueHeaders) {
        const auto call = read("/open/x", rogue + "Authorization: Bearer k1 of no workspace\r\nAuthorization: Bearer k1\r\n");
        if (call.has_error()) {
            EXPECT_EQ(ResultCode::MalformedRequest, call.error().code) << rogue;
            continue;
        }
        EXPECT_EQ(WorkspaceName(), call.value().workspace);
        expectNoCallerHeader(call.value());
    }
}

TEST_F(CallIntakeTest, Trailers_WithKeyAndWorkspace_AreNotRead)
{
    setRouting(std::string(routing) + workspaces);
    const std::string chunked = "Transfer-Encoding: chunked\r\nTrailer: Authorization\r\n";
    const std::string trailers = "\r\n1\r\nx\r\n0\r\nAuthorization: Bearer k1\r\nKnapweedquay-Workspace: rogue\r\n\r\n";
    EXPECT_EQ(ResultCode::UnknownKey, read("/keyed/x", chunked, trailers).error().code);
    const auto call = read("/open/x", chunked, trailers);
    ASSERT_TRUE(call.has_value());
    expectNoCallerHeader(call.value());
}

TEST_F(CallIntakeTest, CallOfRunningRequest_WithoutKey_BelongsToNoWorkspace)
{
    setRouting(std::string(routing) + workspaces);
    const std::string headers = "Knapweedquay-Request-Id: a1.b\r\nKnapweedquay-Workspace: rogue\r\n";
    EXPECT_EQ(ResultCode::UnknownKey, read("/keyed/x", headers).error().code);
    m_running.started("a1", {});
    const auto call = read("/keyed/x", headers);
    ASSERT_TRUE(call.has_value());
    EXPECT_TRUE(call.value().callerProof());
    EXPECT_EQ(WorkspaceName(), call.value().workspace);
    expectNoCallerHeader(call.value());
}

TEST_F(CallIntakeTest, RequestThatNamesItsService_WithWorkspaces_NeedsKey)
{
    m_intake = intakeWith(CallInterface::RoutesAndTargets);
    setRouting(std::string(routing) + workspaces);
    EXPECT_EQ(ResultCode::UnknownKey, read("/call/dispatch/x", "").error().code);
    const auto call = read("/call/dispatch/x", "Authorization: Bearer k2\r\n");
    ASSERT_TRUE(call.has_value());
    EXPECT_EQ(WorkspaceName("archive"), call.value().workspace);
}

// Where routes alone lead to services, a key opened every service to a request that named it.
TEST_F(CallIntakeTest, RequestThatNamesItsService_WhereRoutesDecide_IsRefusedWithAndWithoutKey)
{
    setRouting(std::string(routing) + workspaces);
    for (const char* headers : { "", "Authorization: Bearer k2\r\n" }) {
        const auto call = read("/call/dispatch/x", headers);
        ASSERT_TRUE(call.has_error()) << headers;
        EXPECT_EQ(ResultCode::UnknownRoute, call.error().code);
    }
}
