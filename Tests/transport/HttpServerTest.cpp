#include "transport/HttpServer.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>

#include <gtest/gtest.h>

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <vector>

using namespace Knapweedquay;
using namespace std::chrono_literals;

namespace {

using Tcp = asio::ip::tcp;

constexpr std::chrono::seconds waitTimeout { 10 };

/// An HTTP server on a free port, and a socket connected to it.
class HttpServerTest : public ::testing::Test {
protected:
    void start(HttpServer::Limits limits = {})
    {
        HttpServer::Settings settings;
        settings.limits = limits;
        start(settings);
    }

    void start(const HttpServer::Settings& settings)
    {
        m_server = std::make_unique<HttpServer>(m_context, settings, [this](const HttpExchangePtr& exchange) {
            exchange->setDisconnectHook([this] { ++m_disconnects; });
            m_requests.push_back(exchange);
        });
        ASSERT_FALSE(m_server->start().has_error());
        m_socket.connect({ asio::ip::make_address("127.0.0.1"), m_server->port() });
    }

    /// Replaces the connection by one whose receive buffer holds little, so that responses stay on their way.
    void reconnectWithSmallBuffer()
    {
        m_socket.close();
        m_socket.open(Tcp::v4());
        m_socket.set_option(asio::socket_base::receive_buffer_size(4096));
        m_socket.connect({ asio::ip::make_address("127.0.0.1"), m_server->port() });
    }

    void send(const std::string& bytes) { asio::write(m_socket, asio::buffer(bytes)); }

    /// Opens connections whose first request is sent before the server handles them.
    std::vector<Tcp::socket> connectWithRequests()
    {
        std::vector<Tcp::socket> sockets;
        for (int caller = 0; caller < 20; ++caller) {
            sockets.emplace_back(m_context);
            sockets.back().connect({ asio::ip::make_address("127.0.0.1"), m_server->port() });
            asio::write(sockets.back(), asio::buffer(std::string("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx")));
        }
        return sockets;
    }

    /// Answers all requests, and expects the response on each of the connections.
    void expectAnswered(std::vector<Tcp::socket>& sockets)
    {
        for (const HttpExchangePtr& exchange : m_requests)
            exchange->respond({ 200, {}, "whole" });
        for (Tcp::socket& socket : sockets) {
            m_socket = std::move(socket);
            EXPECT_NE(std::string::npos, receive().find("whole"));
        }
    }

    /// Runs the event loop until the condition holds; false on a timeout.
    bool runUntil(const std::function<bool()>& condition)
    {
        m_context.restart();
        const auto end = std::chrono::steady_clock::now() + waitTimeout;
        while (!condition() && std::chrono::steady_clock::now() < end)
            m_context.run_one_for(std::chrono::milliseconds(50));
        return condition();
    }

    bool waitForRequests(std::size_t count)
    {
        return runUntil([this, count] { return m_requests.size() >= count; });
    }

    /// Returns the bytes received from the server until they contain the text or the connection ends.
    std::string receive(const std::string& until = {})
    {
        std::string received;
        bool isDone = false;
        std::array<char, 4096> buffer {};
        std::function<void()> next = [&] {
            m_socket.async_read_some(asio::buffer(buffer), [&](const asio::error_code& error, std::size_t length) {
                received.append(buffer.data(), length);
                isDone = error || (!until.empty() && received.find(until) != std::string::npos);
                if (!isDone)
                    next();
            });
        };
        next();
        EXPECT_TRUE(runUntil([&isDone] { return isDone; })) << received;
        return received;
    }

    asio::io_context m_context;
    std::unique_ptr<HttpServer> m_server;
    std::vector<HttpExchangePtr> m_requests;
    int m_disconnects = 0;
    Tcp::socket m_socket { m_context };
};

} // namespace

TEST_F(HttpServerTest, PipelinedRequests_AnsweredOutOfOrder_AreSentInOrder)
{
    start();
    send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2?q=a%20b HTTP/1.1\r\nHost: h\r\n\r\nPOST /3 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nok");
    ASSERT_TRUE(waitForRequests(3));
    EXPECT_EQ("/2?q=a%20b", m_requests[1]->request().target);
    EXPECT_EQ("ok", m_requests[2]->request().body);
    m_requests[2]->respond({ 200, {}, "third" });
    m_requests[1]->respond({ 200, {}, "second" });
    m_requests[0]->respond({ 200, {}, "first" });
    const std::string received = receive("third");
    EXPECT_LT(received.find("first"), received.find("second"));
    EXPECT_LT(received.find("second"), received.find("third"));
}

// A request behind one that outlasted the process was passed on, and its response ended with the process.
TEST_F(HttpServerTest, PipelinedRequests_BehindOneThatHoldsThem_AreNotPassedOnAndTheCallerKnows)
{
    start();
    m_server->closeAfterResponses();
    send("GET /slow HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(waitForRequests(1));
    m_requests[0]->holdFollowing();
    send("GET /quick HTTP/1.1\r\nHost: h\r\n\r\n");
    m_context.run_for(50ms);
    EXPECT_EQ(1U, m_requests.size());
    m_requests[0]->respond({ 200, {}, "slow" });
    EXPECT_NE(std::string::npos, receive().find("Connection: close"));
    EXPECT_EQ(1U, m_requests.size());
}

TEST_F(HttpServerTest, PipelinedRequests_OneThatHoldsThemIsAnswered_ArePassedOn)
{
    start();
    send("GET /slow HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(waitForRequests(1));
    m_requests[0]->holdFollowing();
    send("GET /quick HTTP/1.1\r\nHost: h\r\n\r\n");
    m_context.run_for(50ms);
    m_requests[0]->respond({ 200, {}, "slow" });
    ASSERT_TRUE(waitForRequests(2));
    m_requests[1]->respond({ 200, {}, "quick" });
    EXPECT_NE(std::string::npos, receive("quick").find("slow"));
}

TEST_F(HttpServerTest, RequestThatHoldsOthers_CallerDisconnects_IsTold)
{
    start();
    send("GET /slow HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(waitForRequests(1));
    m_requests[0]->holdFollowing();
    m_socket.close();
    EXPECT_TRUE(runUntil([this] { return m_disconnects == 1; }));
}

TEST_F(HttpServerTest, PipelinedRequests_LaterResponseIsReady_EarlierRequestsHoldItBack)
{
    start();
    send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\nGET /3 HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(waitForRequests(3));
    EXPECT_FALSE(m_requests[0]->holdsBackResponse());
    m_requests[1]->respond({ 200, {}, "second" });
    EXPECT_TRUE(m_requests[0]->holdsBackResponse());
    EXPECT_FALSE(m_requests[2]->holdsBackResponse());
    m_requests[0]->respond({ 504, {}, "first" });
    EXPECT_NE(std::string::npos, receive("second").find("first"));
    m_socket.close();
    ASSERT_TRUE(runUntil([this] { return m_disconnects == 1; }));
    EXPECT_FALSE(m_requests[2]->holdsBackResponse());
}

TEST_F(HttpServerTest, ChunkedBody_ReceivedInPieces_IsReassembled)
{
    start();
    send("POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
    send("2\r\nde\r\n0\r\n\r\n");
    ASSERT_TRUE(waitForRequests(1));
    EXPECT_EQ("abcde", m_requests[0]->request().body);
}

TEST_F(HttpServerTest, RequestInProgress_CallerDisconnects_RunsDisconnectHook)
{
    start();
    send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(waitForRequests(1));
    m_socket.close();
    EXPECT_TRUE(runUntil([this] { return m_disconnects == 1; }));
}

TEST_F(HttpServerTest, Request_WithTwoContentLengths_IsRefusedAndNotRun)
{
    start();
    send("POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd");
    EXPECT_NE(std::string::npos, receive().find("\"code\":100"));
    EXPECT_TRUE(m_requests.empty());
}

TEST_F(HttpServerTest, Request_WithContentLengthAndChunks_IsRefusedAndSmugglesNothing)
{
    start();
    send("POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n");
    EXPECT_NE(std::string::npos, receive().find("\"code\":100"));
    EXPECT_TRUE(m_requests.empty());
}

TEST_F(HttpServerTest, MoreHeadersThanALinkPassesOn_AreRefused)
{
    HttpServer::Limits limits;
    limits.headerBytes = 1024 * 1024;
    start(limits);
    std::string headers;
    for (std::size_t index = 0; index < maximumHeaders; ++index)
        headers += "A: b\r\n";
    send("GET /1 HTTP/1.1\r\nHost: h\r\n" + headers + "\r\n");
    EXPECT_NE(std::string::npos, receive().find("HTTP/1.1 431"));
    EXPECT_TRUE(m_requests.empty());
}

// A header that only this node may set was passed on from callers who wrote a blank before its colon.
TEST_F(HttpServerTest, HeaderName_WithABlank_IsRefusedAndNotRun)
{
    for (const char* header : { "Knapweedquay-Priority : x", "Knapweedquay-Priority\t: x", "X Y: x" }) {
        m_socket = Tcp::socket(m_context);
        start();
        send(std::string("GET /1 HTTP/1.1\r\nHost: h\r\n") + header + "\r\n\r\n");
        EXPECT_NE(std::string::npos, receive().find("HTTP/1.1 400")) << header;
        EXPECT_TRUE(m_requests.empty()) << header;
    }
}

TEST_F(HttpServerTest, HeadersAndBodies_BeyondTheirLimits_AreRefusedByStatus)
{
    HttpServer::Limits limits;
    limits.headerBytes = 100;
    limits.bodyBytes = 10;
    start(limits);
    send("GET /1 HTTP/1.1\r\nHost: h\r\nX: " + std::string(200, 'x') + "\r\n\r\n");
    EXPECT_NE(std::string::npos, receive().find("HTTP/1.1 431"));
    m_socket = Tcp::socket(m_context);
    m_socket.connect({ asio::ip::make_address("127.0.0.1"), m_server->port() });
    send("POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\n");
    EXPECT_NE(std::string::npos, receive().find("HTTP/1.1 413"));
    EXPECT_TRUE(m_requests.empty());
}

TEST_F(HttpServerTest, IncompleteHeaders_HeaderTimeoutExpires_AreRefusedAsTooSlow)
{
    HttpServer::Limits limits;
    limits.headerTimeout = 50ms;
    start(limits);
    send("GET /1 HTTP/1.1\r\nHost:");
    EXPECT_NE(std::string::npos, receive().find("HTTP/1.1 408"));
}

// A planned stop reset connections that the system had established but the server had not accepted yet.
TEST_F(HttpServerTest, Stop_ConnectionsJustEstablishedWithRequests_AreAnswered)
{
    start();
    std::vector<Tcp::socket> sockets = connectWithRequests();
    m_server->stop();
    ASSERT_TRUE(waitForRequests(sockets.size()));
    expectAnswered(sockets);
}

// A connection that the system had accepted for the process was dropped when the stop came before its handler.
TEST_F(HttpServerTest, Stop_ConnectionAcceptedButNotHandled_IsAnswered)
{
    start();
    std::vector<Tcp::socket> sockets = connectWithRequests();
    m_context.run_one();
    m_server->stop();
    ASSERT_TRUE(waitForRequests(sockets.size()));
    expectAnswered(sockets);
}

// A request that waited unread on an idle connection was cut off by the stop.
TEST_F(HttpServerTest, Stop_NextRequestHasArrivedOnAnIdleConnection_IsAnswered)
{
    const std::string request = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
    start();
    send(request);
    ASSERT_TRUE(waitForRequests(1));
    m_requests[0]->respond({ 200, {}, "first" });
    receive("first");
    send(request);
    m_server->stop();
    ASSERT_TRUE(waitForRequests(2));
    m_requests[1]->respond({ 200, {}, "second" });
    EXPECT_NE(std::string::npos, receive().find("second"));
}

// The rest of a request may still be on its way.
TEST_F(HttpServerTest, Stop_RequestHasArrivedInPart_IsAnswered)
{
    start();
    send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbo");
    m_context.run_for(50ms);
    m_server->stop();
    send("dy");
    ASSERT_TRUE(waitForRequests(1));
    m_requests[0]->respond({ 200, {}, "whole" });
    EXPECT_NE(std::string::npos, receive().find("whole"));
}

TEST_F(HttpServerTest, Stop_PipelinedRequestsInProgress_ClosesAfterLastResponseOnly)
{
    start();
    send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(waitForRequests(2));
    m_server->stop();
    m_requests[0]->respond({ 200, {}, "first" });
    m_requests[1]->respond({ 200, {}, "second" });
    const std::string received = receive();
    EXPECT_EQ(received.find("Connection: close"), received.rfind("Connection: close"));
    EXPECT_GT(received.find("Connection: close"), received.find("first"));
    EXPECT_NE(std::string::npos, received.find("second"));
}

// The connection was closed a second after the last write, and the next byte of the caller reset it.
TEST_F(HttpServerTest, LastResponse_CallerReadsLateAndSendsMore_ArrivesWhole)
{
    const std::string body(400000, 'x');
    start();
    reconnectWithSmallBuffer();
    send("GET /1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    ASSERT_TRUE(waitForRequests(1));
    m_requests[0]->respond({ 200, {}, body });
    m_context.run_for(1800ms);
    send("GET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
    m_context.run_for(50ms);
    EXPECT_NE(std::string::npos, receive().find(body));
}

// The idle time ran from the response's start, and its end closed the connection while the response was on its way.
TEST_F(HttpServerTest, IdleTime_EndsWhileAResponseIsOnItsWay_ItArrivesWhole)
{
    const std::string body(400000, 'x');
    HttpServer::Limits limits;
    limits.idleTimeout = Duration(300000);
    start(limits);
    reconnectWithSmallBuffer();
    send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(waitForRequests(1));
    m_requests[0]->respond({ 200, {}, body });
    m_context.run_for(900ms);
    send("GET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
    m_context.run_for(50ms);
    EXPECT_NE(std::string::npos, receive(body).find(body));
}

TEST_F(HttpServerTest, Stop_LastResponseIsOnItsWayOnAnIdleConnection_ArrivesWhole)
{
    const std::string body(400000, 'x');
    start();
    reconnectWithSmallBuffer();
    send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(waitForRequests(1));
    m_requests[0]->respond({ 200, {}, body });
    m_context.run_for(200ms);
    m_server->stop();
    send("GET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
    m_context.run_for(50ms);
    EXPECT_NE(std::string::npos, receive().find(body));
}

// Bodies that had arrived in part were not counted, so that a few uploads took the process beyond its memory.
TEST_F(HttpServerTest, Bodies_InPartBeyondTheBound_AreRefused)
{
    HttpServer::Settings settings;
    settings.bodies = std::make_shared<BodyBudget>(BodyBudget::Limits { 1000000, 1000000 });
    start(settings);
    const std::string chunk = "93ff8\r\n" + std::string(0x93ff8, 'x') + "\r\n";
    Tcp::socket other(m_context);
    other.connect({ asio::ip::make_address("127.0.0.1"), m_server->port() });
    asio::write(other, asio::buffer("POST /1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk));
    m_context.run_for(100ms);
    send("POST /2 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk);
    EXPECT_NE(std::string::npos, receive().find("HTTP/1.1 503"));
    asio::write(other, asio::buffer(std::string("0\r\n\r\n")));
    ASSERT_TRUE(waitForRequests(1));
    EXPECT_EQ(m_requests.front()->request().body.size(), 0x93ff8u);
}

// A request that stalled behind a running one was refused again at each check.
TEST_F(HttpServerTest, Request_StallsBehindARunningOne_IsRefusedOnce)
{
    HttpServer::Limits limits;
    limits.headerTimeout = Duration(100000);
    start(limits);
    send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHo");
    ASSERT_TRUE(waitForRequests(1));
    m_context.run_for(1200ms);
    m_requests[0]->respond({ 200, {}, "first" });
    const std::string received = receive();
    EXPECT_NE(std::string::npos, received.find("HTTP/1.1 408"));
    EXPECT_EQ(received.find("HTTP/1.1 408"), received.rfind("HTTP/1.1 408"));
}

// A body that no room would ever do for was refused with a time to come back, again and again.
TEST_F(HttpServerTest, Body_AnnouncedBeyondAllRoom_IsRefusedForGood)
{
    HttpServer::Settings settings;
    settings.bodies = std::make_shared<BodyBudget>(BodyBudget::Limits { 1000000, 1000000 });
    start(settings);
    send("POST /1 HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 1000001\r\n\r\nx");
    const std::string received = receive();
    EXPECT_EQ(0u, received.find("HTTP/1.1 413"));
    EXPECT_EQ(std::string::npos, received.find("Retry-After"));
    EXPECT_TRUE(m_requests.empty());
}

TEST_F(HttpServerTest, Body_AnnouncedBeyondTheRoomLeft_IsRefusedAtOnce)
{
    HttpServer::Settings settings;
    settings.bodies = std::make_shared<BodyBudget>(BodyBudget::Limits { 1000000, 1000000 });
    start(settings);
    Tcp::socket other(m_context);
    other.connect({ asio::ip::make_address("127.0.0.1"), m_server->port() });
    asio::write(other, asio::buffer(std::string("POST /0 HTTP/1.1\r\nHost: h\r\nContent-Length: 900000\r\n\r\nx")));
    m_context.run_for(50ms);
    send("POST /1 HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 100001\r\n\r\nx");
    const std::string received = receive();
    EXPECT_EQ(0u, received.find("HTTP/1.1 503"));
    EXPECT_NE(std::string::npos, received.find("Retry-After"));
    EXPECT_TRUE(m_requests.empty());
}

// Responses to pipelined requests piled up without bound while their caller did not read.
TEST_F(HttpServerTest, PipelinedRequests_ResponsesAreNotRead_NoFurtherOnesArePassedOn)
{
    constexpr std::size_t inProgress = 16;
    constexpr std::size_t sent = 20;
    start();
    std::string requests;
    for (std::size_t index = 0; index < sent; ++index)
        requests += "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
    send(requests);
    ASSERT_TRUE(waitForRequests(inProgress));
    for (std::size_t index = 0; index < inProgress; ++index)
        m_requests[index]->respond({ 200, {}, std::string(4000000, 'x') });
    m_context.run_for(100ms);
    EXPECT_EQ(m_requests.size(), inProgress);
    // They are once the caller reads.
    std::array<char, 65536> buffer {};
    std::function<void()> readOn = [&] {
        m_socket.async_read_some(asio::buffer(buffer), [&](const asio::error_code& error, std::size_t) {
            if (!error)
                readOn();
        });
    };
    readOn();
    EXPECT_TRUE(waitForRequests(sent));
    m_socket.close();
    m_context.run_for(20ms);
}

TEST_F(HttpServerTest, Request_AfterOneWithConnectionClose_IsNotRead)
{
    start();
    send("GET /1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\nPOST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n");
    ASSERT_TRUE(waitForRequests(1));
    m_requests[0]->respond({ 200, {}, "first" });
    receive();
    EXPECT_EQ(1u, m_requests.size());
}
