#include "transport/HttpClient.h"
#include "transport/HttpServer.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>

#include <gtest/gtest.h>

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace Knapweedquay;
using namespace std::chrono_literals;

namespace {

using Tcp = asio::ip::tcp;

constexpr std::chrono::seconds patience { 10 };

class HttpServerTest : public ::testing::Test {
protected:
    void start(HttpServer::Limits limits = {})
    {
        HttpServer::Settings settings;
        settings.limits = limits;
        m_server = std::make_unique<HttpServer>(m_context, settings, [this](const HttpExchangePtr& exchange) {
            exchange->setDisconnectHook([this] { ++m_gone; });
            m_requests.push_back(exchange);
        });
        ASSERT_FALSE(m_server->start().has_error());
        m_socket.connect({ asio::ip::make_address("127.0.0.1"), m_server->port() });
    }

    void send(const std::string& bytes) { asio::write(m_socket, asio::buffer(bytes)); }

    bool runUntil(const std::function<bool()>& condition)
    {
        m_context.restart();
        const auto end = std::chrono::steady_clock::now() + patience;
        while (!condition() && std::chrono::steady_clock::now() < end)
            m_context.run_one_for(std::chrono::milliseconds(50));
        return condition();
    }

    bool waitForRequests(std::size_t count)
    {
        return runUntil([this, count] { return m_requests.size() >= count; });
    }

    /// What the server sends until the text is there or the connection ends.
    std::string receive(const std::string& until = {})
    {
        std::string received;
        bool isOver = false;
        std::array<char, 4096> buffer {};
        std::function<void()> next = [&] {
            m_socket.async_read_some(asio::buffer(buffer), [&](const asio::error_code& error, std::size_t length) {
                received.append(buffer.data(), length);
                isOver = error || (!until.empty() && received.find(until) != std::string::npos);
                if (!isOver)
                    next();
            });
        };
        next();
        EXPECT_TRUE(runUntil([&isOver] { return isOver; })) << received;
        return received;
    }

    asio::io_context m_context;
    std::unique_ptr<HttpServer> m_server;
    std::vector<HttpExchangePtr> m_requests;
    int m_gone = 0;
    Tcp::socket m_socket { m_context };
};

/// A backend server that does what the test says with each connection's bytes.
class HttpClientTest : public ::testing::Test {
protected:
    using Script = std::function<void(Tcp::socket&, const std::string& request)>;

    HttpClientTest()
        : m_acceptor(m_context, { asio::ip::make_address("127.0.0.1"), 0 })
        , m_client(std::make_unique<HttpClient>(m_context))
    {
        accept();
    }

    void accept()
    {
        m_acceptor.async_accept([this](const asio::error_code& error, Tcp::socket socket) {
            if (error)
                return;
            ++m_accepted;
            m_sockets.push_back(std::make_unique<Tcp::socket>(std::move(socket)));
            read(*m_sockets.back());
            accept();
        });
    }

    void read(Tcp::socket& socket)
    {
        auto buffer = std::make_shared<std::array<char, 8192>>();
        socket.async_read_some(asio::buffer(*buffer), [this, &socket, buffer](const asio::error_code& error, std::size_t length) {
            if (error) {
                ++m_ended;
                return;
            }
            const std::string request(buffer->data(), length);
            m_received.push_back(request);
            if (!m_scripts.empty()) {
                const Script script = std::move(m_scripts.front());
                m_scripts.pop_front();
                script(socket, request);
            }
            if (socket.is_open())
                read(socket);
        });
    }

    static void reply(Tcp::socket& socket, const std::string& bytes) { asio::write(socket, asio::buffer(bytes)); }

    static std::string answer(const std::string& id, const std::string& body, const std::string& more = {})
    {
        return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\n" + more + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    HttpClient::RequestId send(const std::string& id, HttpClient::Options options = {})
    {
        options.timeout = std::min(options.timeout, Duration(5s));
        options.matchesRequest = [id](const HttpResponse& response) {
            const std::string* echoed = findHeader(response.headers, "X-Id");
            return !echoed || *echoed == id;
        };
        m_outcome.reset();
        return m_client->send("127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()), { "GET", "/x", { { "X-Id", id } }, {} }, options,
            [this](HttpClient::Outcome outcome) { m_outcome = std::move(outcome); });
    }

    bool finish()
    {
        m_context.restart();
        const auto end = std::chrono::steady_clock::now() + patience;
        while (!m_outcome && std::chrono::steady_clock::now() < end)
            m_context.run_one_for(std::chrono::milliseconds(50));
        return m_outcome.has_value();
    }

    asio::io_context m_context;
    Tcp::acceptor m_acceptor;
    std::deque<Script> m_scripts;
    std::vector<std::unique_ptr<Tcp::socket>> m_sockets;
    std::vector<std::string> m_received;
    int m_accepted = 0;
    int m_ended = 0;
    std::optional<HttpClient::Outcome> m_outcome;
    std::unique_ptr<HttpClient> m_client;
};

} // namespace

TEST_F(HttpServerTest, PipelinedRequests_AnsweredOutOfOrder_ComeBackInOrder)
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

TEST_F(HttpServerTest, ChunkedBody_InPieces_IsWhole)
{
    start();
    send("POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
    send("2\r\nde\r\n0\r\n\r\n");
    ASSERT_TRUE(waitForRequests(1));
    EXPECT_EQ("abcde", m_requests[0]->request().body);
}

TEST_F(HttpServerTest, CallerLeaves_RequestInProgress_IsTold)
{
    start();
    send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(waitForRequests(1));
    m_socket.close();
    EXPECT_TRUE(runUntil([this] { return m_gone == 1; }));
}

TEST_F(HttpServerTest, TwoLengths_Sent_AreRefusedAndNothingRuns)
{
    start();
    send("POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd");
    EXPECT_NE(std::string::npos, receive().find("\"code\":100"));
    EXPECT_TRUE(m_requests.empty());
}

TEST_F(HttpServerTest, LengthBesideChunks_Sent_IsRefusedAndNothingIsSmuggled)
{
    start();
    send("POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n");
    EXPECT_NE(std::string::npos, receive().find("\"code\":100"));
    EXPECT_TRUE(m_requests.empty());
}

TEST_F(HttpServerTest, HeadersAndBodies_BeyondTheirLimits_AreRefusedByNumber)
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

TEST_F(HttpServerTest, HeadersThatNeverEnd_TimeIsOver_AreRefusedAsTooSlow)
{
    HttpServer::Limits limits;
    limits.headerTimeout = 50ms;
    start(limits);
    send("GET /1 HTTP/1.1\r\nHost:");
    EXPECT_NE(std::string::npos, receive().find("HTTP/1.1 408"));
}

TEST_F(HttpServerTest, Stopping_RequestsPipelined_ClosesBehindTheLastAnswerOnly)
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

TEST_F(HttpServerTest, RequestBehindOneThatCloses_Sent_IsNotRead)
{
    start();
    send("GET /1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\nPOST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n");
    ASSERT_TRUE(waitForRequests(1));
    m_requests[0]->respond({ 200, {}, "first" });
    receive();
    EXPECT_EQ(1u, m_requests.size());
}

TEST_F(HttpClientTest, TwoRequests_OneAfterTheOther_ShareTheConnection)
{
    for (const char* id : { "a", "b" }) {
        m_scripts.emplace_back([id](Tcp::socket& socket, const std::string&) { reply(socket, answer(id, id)); });
        send(id);
        ASSERT_TRUE(finish());
        EXPECT_EQ(id, m_outcome->response.body);
    }
    EXPECT_EQ(1, m_accepted);
}

TEST_F(HttpClientTest, AnswerToAnotherRequest_ComesFirst_IsDroppedAndOwnOneAwaited)
{
    m_scripts.emplace_back([](Tcp::socket& socket, const std::string&) { reply(socket, answer("old", "late") + answer("a", "own")); });
    send("a");
    ASSERT_TRUE(finish());
    ASSERT_TRUE(m_outcome->succeeded);
    EXPECT_EQ("own", m_outcome->response.body);
    EXPECT_EQ(1u, m_client->counters().foreignResponses);
    // A connection that is out of step carries no further request.
    m_scripts.emplace_back([](Tcp::socket& socket, const std::string&) { reply(socket, answer("b", "next")); });
    send("b");
    ASSERT_TRUE(finish());
    EXPECT_EQ(2, m_accepted);
}

TEST_F(HttpClientTest, BytesBehindTheAnswer_ConnectionIsNotUsedAgain)
{
    m_scripts.emplace_back([](Tcp::socket& socket, const std::string&) { reply(socket, answer("a", "own") + "rubbish"); });
    send("a");
    ASSERT_TRUE(finish());
    EXPECT_EQ("own", m_outcome->response.body);
    m_scripts.emplace_back([](Tcp::socket& socket, const std::string&) { reply(socket, answer("b", "next")); });
    send("b");
    ASSERT_TRUE(finish());
    EXPECT_EQ("next", m_outcome->response.body);
    EXPECT_EQ(2, m_accepted);
}

TEST_F(HttpClientTest, BodyCutShort_IsNoAnswer)
{
    m_scripts.emplace_back([](Tcp::socket& socket, const std::string&) {
        reply(socket, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
        socket.close();
    });
    send("a");
    ASSERT_TRUE(finish());
    EXPECT_FALSE(m_outcome->succeeded);
    EXPECT_TRUE(m_outcome->failure.mayHaveRun);
}

TEST_F(HttpClientTest, AnswerThatEndsWithItsConnection_ClosedInOrder_IsWhole)
{
    m_scripts.emplace_back([](Tcp::socket& socket, const std::string&) {
        reply(socket, "HTTP/1.1 200 OK\r\n\r\nall of it");
        socket.close();
    });
    send("a");
    ASSERT_TRUE(finish());
    ASSERT_TRUE(m_outcome->succeeded);
    EXPECT_EQ("all of it", m_outcome->response.body);
}

TEST_F(HttpClientTest, AnswerThatEndsWithItsConnection_Reset_IsNotWhole)
{
    m_scripts.emplace_back([](Tcp::socket& socket, const std::string&) {
        reply(socket, "HTTP/1.1 200 OK\r\n\r\npart of it");
        socket.set_option(asio::socket_base::linger(true, 0));
        socket.close();
    });
    send("a");
    ASSERT_TRUE(finish());
    EXPECT_FALSE(m_outcome->succeeded);
}

TEST_F(HttpClientTest, NoListener_HasNotRun)
{
    m_acceptor.close();
    m_outcome.reset();
    m_client->send("127.0.0.1:1", { "GET", "/", {}, {} }, {}, [this](HttpClient::Outcome outcome) { m_outcome = std::move(outcome); });
    ASSERT_TRUE(finish());
    EXPECT_FALSE(m_outcome->failure.mayHaveRun);
}

TEST_F(HttpClientTest, MuteServer_TimeIsOver_MayHaveRun)
{
    HttpClient::Options options;
    options.timeout = 50ms;
    send("a", options);
    ASSERT_TRUE(finish());
    EXPECT_EQ(ResultCode::TimedOut, m_outcome->failure.error.code);
    EXPECT_TRUE(m_outcome->failure.mayHaveRun);
}

TEST_F(HttpClientTest, PooledConnectionForgotten_RepeatableRequest_IsSentOnceMoreAndOtherOnesNot)
{
    for (const bool mayRepeat : { true, false }) {
        m_scripts.clear();
        m_scripts.emplace_back([](Tcp::socket& socket, const std::string&) { reply(socket, answer("a", "first")); });
        HttpClient::Options options;
        send("a", options);
        ASSERT_TRUE(finish());
        m_scripts.emplace_back([](Tcp::socket& socket, const std::string&) {
            socket.set_option(asio::socket_base::linger(true, 0));
            socket.close();
        });
        m_scripts.emplace_back([](Tcp::socket& socket, const std::string&) { reply(socket, answer("b", "second")); });
        options.mayRepeat = mayRepeat;
        send("b", options);
        ASSERT_TRUE(finish());
        EXPECT_EQ(mayRepeat, m_outcome->succeeded);
    }
}

TEST_F(HttpClientTest, Cancelled_ServerSeesTheEnd)
{
    const HttpClient::RequestId id = send("a");
    m_context.restart();
    while (m_received.empty())
        m_context.run_one_for(std::chrono::milliseconds(50));
    m_client->cancel(id);
    const auto end = std::chrono::steady_clock::now() + patience;
    while (m_ended == 0 && std::chrono::steady_clock::now() < end)
        m_context.run_one_for(std::chrono::milliseconds(50));
    EXPECT_EQ(1, m_ended);
    EXPECT_FALSE(m_outcome);
}

TEST_F(HttpClientTest, ServerAnnouncesShortIdleTime_ConnectionIsNotUsedAgain)
{
    m_scripts.emplace_back([](Tcp::socket& socket, const std::string&) { reply(socket, answer("a", "x", "Keep-Alive: timeout=0\r\n")); });
    send("a");
    ASSERT_TRUE(finish());
    m_scripts.emplace_back([](Tcp::socket& socket, const std::string&) { reply(socket, answer("b", "y")); });
    send("b");
    ASSERT_TRUE(finish());
    EXPECT_EQ(2, m_accepted);
}
