#include "node/EndpointRunner.h"

#include "transport/HttpServer.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

using namespace Knapweedquay;
using namespace std::chrono_literals;

namespace {

constexpr Duration waitTimeout = 5s;

HttpServer::Settings localServer()
{
    HttpServer::Settings settings;
    settings.address = "127.0.0.1";
    return settings;
}

EndpointRunner::Settings runnerSettings(const CallHeaders& headers)
{
    EndpointRunner::Settings settings;
    settings.headers = headers;
    return settings;
}

/// An endpoint runner beside a backend server of one slot, which holds each request until the test answers it.
class EndpointRunnerTest : public ::testing::Test {
protected:
    explicit EndpointRunnerTest(const CallHeaders& headers = {})
        : m_settings(runnerSettings(headers))
        , m_server(m_context, localServer(), [this](const HttpExchangePtr& exchange) { m_requests.push_back(exchange); })
    {
        EXPECT_TRUE(m_server.start().has_value());
    }

    /// Describes a run of a backend server at the one address of this machine.
    LocalBackend backend(const std::string& service, const std::string& instance) const
    {
        return { ServiceName(service), "127.0.0.1:" + std::to_string(m_server.port()), 1, instance, 0 };
    }

    void setBackend(const LocalBackend& backend)
    {
        m_runner.setBackend(backend);
        ServiceDocument document;
        document.service = backend.service;
        document.priorities.resize(1);
        document.priorities.front().target = 4s;
        document.priorities.front().maximumQueueTime = 8s;
        m_runner.setDocument(document);
    }

    void send(std::uint64_t sequence, const std::string& service, Duration remaining = 8s, Duration target = 4s)
    {
        CallRequestMessage message;
        message.attempt = { NodeId("origin"), Incarnation(1), sequence };
        message.targetIncarnation = m_self.incarnation;
        message.service = ServiceName(service);
        message.remaining = remaining;
        message.targetRemaining = target;
        message.request = { "POST", "/" + std::to_string(sequence), { { CallHeaders().requestId, std::to_string(sequence) } }, Body("booking") };
        m_runner.receive(message, ConnectionId(1));
    }

    void limit(std::uint64_t sequence, Duration answerWithin, Incarnation target)
    {
        m_runner.limit({ { NodeId("origin"), Incarnation(1), sequence }, target, answerWithin, 0 });
    }

    template <typename Condition>
    bool runUntil(Condition condition)
    {
        const TimePoint end = steadyNow() + waitTimeout;
        while (!condition() && steadyNow() < end)
            m_context.run_one_for(std::chrono::milliseconds(10));
        return condition();
    }

    template <typename Message>
    std::vector<Message> replies() const
    {
        std::vector<Message> found;
        for (const PeerMessage& reply : m_replies)
            if (const auto* message = std::get_if<Message>(&reply))
                found.push_back(*message);
        return found;
    }

    HttpExchangePtr find(const std::string& target) const
    {
        const auto found = std::find_if(m_requests.begin(), m_requests.end(), [&target](const HttpExchangePtr& exchange) { return exchange->request().target == target; });
        return found == m_requests.end() ? nullptr : *found;
    }

    bool hasReceived(const std::string& target) const { return find(target) != nullptr; }

    void answer(const std::string& target) { find(target)->respond(HttpResponse()); }

    asio::io_context m_context;
    const EndpointRunner::Settings m_settings;
    const NodeIdentity m_self { NodeId("node"), Incarnation(7), DataCentre("a") };
    std::vector<HttpExchangePtr> m_requests;
    std::vector<PeerMessage> m_replies;
    HttpServer m_server;
    NodeMetrics m_metrics;
    HttpClient m_client { m_context };
    NodeQuarantine m_quarantine { m_self, m_metrics };
    NodeKeys m_keys { std::nullopt };
    EndpointRunner m_runner { m_context, m_self, m_settings, m_client, [this](ConnectionId, const PeerMessage& reply) { m_replies.push_back(reply); }, m_quarantine, m_keys, m_metrics };
};

CallHeaders headersWithRepeatedId()
{
    CallHeaders headers;
    headers.isRequestIdAlwaysRepeated = true;
    return headers;
}

/// Backend servers repeat the identifier of each request in their responses.
class RepeatedIdTest : public EndpointRunnerTest {
protected:
    RepeatedIdTest()
        : EndpointRunnerTest(headersWithRepeatedId())
    {
    }

    /// Answers a request with this status and header, and returns whether its origin gets that as the answer.
    bool isPassedOn(std::uint16_t status, HttpHeaders headers)
    {
        setBackend(backend("dispatch", "i-1"));
        send(1, "dispatch", 1500ms);
        if (!runUntil([this] { return hasReceived("/1"); })) {
            ADD_FAILURE() << "the request was not sent";
            return false;
        }
        find("/1")->respond({ status, std::move(headers), {} });
        EXPECT_TRUE(runUntil([this] { return !replies<CallAnswerMessage>().empty() || !replies<CallUnknownMessage>().empty() || !replies<CallRefusalMessage>().empty(); }));
        return !replies<CallAnswerMessage>().empty();
    }
};

} // namespace

// Callers got the additional bytes of a faulty endpoint, in the form of a response without an identifier, as a success.
TEST_F(RepeatedIdTest, SuccessWithoutId_IsNotPassedOn)
{
    EXPECT_FALSE(isPassedOn(200, {}));
    EXPECT_EQ(1u, replies<CallUnknownMessage>().size());
}

// In the form of a status that promises that the request did not run, they made bookings that ran look as if they had not.
TEST_F(RepeatedIdTest, TimeoutStatusWithoutId_IsNotPassedOn)
{
    EXPECT_FALSE(isPassedOn(408, {}));
    EXPECT_EQ(1u, replies<CallUnknownMessage>().size());
}

TEST_F(RepeatedIdTest, ResponseWithId_IsPassedOn)
{
    EXPECT_TRUE(isPassedOn(200, { { CallHeaders().requestId, "1" } }));
}

// Refusals carry no identifier.
TEST_F(RepeatedIdTest, RefusalWithoutId_IsARefusal)
{
    EXPECT_FALSE(isPassedOn(503, { { CallHeaders().notRun, "1" } }));
    EXPECT_EQ(1u, replies<CallRefusalMessage>().size());
}

// Additional bytes of a faulty endpoint in the form of a refusal made the next booking on their connection run at another endpoint, too.
TEST_F(RepeatedIdTest, RefusalWithoutId_OnAReusedConnection_IsNoProof)
{
    setBackend(backend("dispatch", "i-1"));
    send(1, "dispatch");
    ASSERT_TRUE(runUntil([this] { return hasReceived("/1"); }));
    find("/1")->respond({ 200, { { CallHeaders().requestId, "1" } }, {} });
    ASSERT_TRUE(runUntil([this] { return replies<CallAnswerMessage>().size() == 1; }));
    send(2, "dispatch", 8s, 200ms);
    ASSERT_TRUE(runUntil([this] { return hasReceived("/2"); }));
    find("/2")->respond({ 503, { { CallHeaders().notRun, "1" } }, {} });
    ASSERT_TRUE(runUntil([this] { return !replies<CallUnknownMessage>().empty() || !replies<CallRefusalMessage>().empty(); }));
    EXPECT_TRUE(replies<CallRefusalMessage>().empty());
    // The next one gets a connection of its own, on which a refusal is certain.
    send(3, "dispatch");
    ASSERT_TRUE(runUntil([this] { return hasReceived("/3"); }));
    find("/3")->respond({ 503, { { CallHeaders().notRun, "1" } }, {} });
    EXPECT_TRUE(runUntil([this] { return replies<CallRefusalMessage>().size() == 1; }));
}

// Bookings that waited for an endpoint that had fallen silent ran at one of another service, which took its address.
TEST_F(EndpointRunnerTest, QueuedAttempt_AddressGoesToAnotherService_IsRefusedUnrun)
{
    setBackend(backend("dispatch", "i-1"));
    send(1, "dispatch");
    send(2, "dispatch");
    ASSERT_TRUE(runUntil([this] { return hasReceived("/1"); }));
    setBackend(backend("inventory", "i-2"));
    EXPECT_TRUE(runUntil([this] { return !replies<CallRefusalMessage>().empty(); })) << "the queued attempt goes back to its origin at once";
    answer("/1");
    ASSERT_TRUE(runUntil([this] { return !replies<CallAnswerMessage>().empty(); }));
    send(3, "inventory");
    ASSERT_TRUE(runUntil([this] { return hasReceived("/3"); }));
    EXPECT_FALSE(hasReceived("/2"));
    ASSERT_EQ(1u, replies<CallRefusalMessage>().size());
    EXPECT_EQ(2u, replies<CallRefusalMessage>().front().attempt.sequence);
}

// The same, with the end of the first endpoint noticed before the second announced itself.
TEST_F(EndpointRunnerTest, QueuedAttempt_EndpointGone_IsRefusedUnrun)
{
    setBackend(backend("dispatch", "i-1"));
    send(1, "dispatch");
    send(2, "dispatch");
    ASSERT_TRUE(runUntil([this] { return hasReceived("/1"); }));
    m_runner.removeBackend();
    EXPECT_TRUE(runUntil([this] { return !replies<CallRefusalMessage>().empty(); }));
    setBackend(backend("inventory", "i-2"));
    send(3, "dispatch");
    answer("/1");
    ASSERT_TRUE(runUntil([this] { return !replies<CallAnswerMessage>().empty(); }));
    EXPECT_EQ(2u, replies<CallRefusalMessage>().size());
    EXPECT_FALSE(hasReceived("/2") || hasReceived("/3"));
}

// What was queued for one run may run at the next one of its service.
TEST_F(EndpointRunnerTest, QueuedAttempt_NextRunOfItsService_RunsThere)
{
    setBackend(backend("dispatch", "i-1"));
    send(1, "dispatch");
    send(2, "dispatch");
    ASSERT_TRUE(runUntil([this] { return hasReceived("/1"); }));
    setBackend(backend("dispatch", "i-2"));
    answer("/1");
    EXPECT_TRUE(runUntil([this] { return hasReceived("/2"); }));
    EXPECT_TRUE(replies<CallRefusalMessage>().empty());
}

// What waited for a slot when its origin had ended ran without anybody to answer to.
TEST_F(EndpointRunnerTest, LimitedAttempt_WaitsUntilItsOriginEnds_IsRefusedUnrun)
{
    setBackend(backend("dispatch", "i-1"));
    for (const std::uint64_t sequence : { 1, 2, 3 })
        send(sequence, "dispatch");
    ASSERT_TRUE(runUntil([this] { return hasReceived("/1"); }));
    limit(1, 50ms, m_self.incarnation);
    limit(2, 50ms, m_self.incarnation);
    limit(3, 50ms, Incarnation(1));
    ASSERT_TRUE(runUntil([this] { return !replies<CallRefusalMessage>().empty(); }));
    EXPECT_EQ(2u, replies<CallRefusalMessage>().front().attempt.sequence);
    answer("/1");
    EXPECT_TRUE(runUntil([this] { return hasReceived("/3"); })) << "the limit was for an attempt at an earlier run of this node";
    EXPECT_FALSE(hasReceived("/2"));
    EXPECT_EQ(1u, replies<CallAnswerMessage>().size()) << "what runs goes on";
}

// Until the documents of the new service are known, nothing is admitted by those of the former one.
TEST_F(EndpointRunnerTest, Attempt_DocumentOfAnotherService_IsRefused)
{
    setBackend(backend("dispatch", "i-1"));
    m_runner.removeBackend();
    m_runner.setBackend(backend("inventory", "i-2"));
    send(1, "inventory");
    ASSERT_EQ(1u, replies<CallRefusalMessage>().size());
    EXPECT_EQ(ResultCode::StaleConfiguration, replies<CallRefusalMessage>().front().code);
}
