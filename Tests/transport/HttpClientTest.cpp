#include "transport/HttpClient.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

#include <gtest/gtest.h>

#include <array>
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

constexpr std::chrono::seconds waitTimeout { 10 };
constexpr std::uint16_t refusalStatus = 503;
constexpr const char* unnamedRefusal = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";

/// An HTTP client, and a backend server that handles each read with the next handler of the test.
class HttpClientTest : public ::testing::Test {
protected:
    using RequestHandler = std::function<void(Tcp::socket&, const std::string& request)>;

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
            ++m_acceptedConnections;
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
                ++m_closedConnections;
                return;
            }
            const std::string request(buffer->data(), length);
            m_received.push_back(request);
            if (!m_handlers.empty()) {
                const RequestHandler handler = std::move(m_handlers.front());
                m_handlers.pop_front();
                handler(socket, request);
            }
            if (socket.is_open() && !m_readsOnce)
                read(socket);
        });
    }

    static void reply(Tcp::socket& socket, const std::string& bytes) { asio::write(socket, asio::buffer(bytes)); }

    static std::string response(const std::string& id, const std::string& body, const std::string& extraHeaders = {})
    {
        return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\n" + extraHeaders + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    HttpClient::RequestId send(const std::string& id, HttpClient::Options options = {})
    {
        options.timeout = std::min(options.timeout, Duration(5s));
        options.matchesRequest = [id](const HttpResponse& response, bool isReused) {
            const std::string* echoed = findHeader(response.headers, "X-Id");
            if (!echoed && isReused && response.status == refusalStatus)
                return HttpClient::Match::Doubtful;
            return !echoed || *echoed == id ? HttpClient::Match::Yes : HttpClient::Match::No;
        };
        m_outcome.reset();
        return m_client->send("127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()), { "GET", "/x", { { "X-Id", id } }, {} }, options,
            [this](HttpClient::Outcome outcome) { m_outcome = std::move(outcome); });
    }

    static HttpClient::Options ownConnection()
    {
        HttpClient::Options options;
        options.maximumIdle = Duration::zero();
        return options;
    }

    void sendBody(std::string body)
    {
        HttpClient::Options options;
        options.timeout = 5s;
        m_outcome.reset();
        m_client->send("127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()), { "POST", "/x", {}, Body(std::move(body)) }, options,
            [this](HttpClient::Outcome outcome) { m_outcome = std::move(outcome); });
    }

    /// Runs the event loop until the request has an outcome; false on a timeout.
    bool waitForOutcome()
    {
        m_context.restart();
        const auto end = std::chrono::steady_clock::now() + waitTimeout;
        while (!m_outcome && std::chrono::steady_clock::now() < end)
            m_context.run_one_for(std::chrono::milliseconds(50));
        return m_outcome.has_value();
    }

    /// Expects that the request after a response with these headers uses a new connection.
    void expectNotReusedAfter(const std::string& headers)
    {
        m_handlers.emplace_back([headers](Tcp::socket& socket, const std::string&) { reply(socket, response("a", "x", headers)); });
        send("a");
        ASSERT_TRUE(waitForOutcome());
        m_handlers.emplace_back([](Tcp::socket& socket, const std::string&) { reply(socket, response("b", "y")); });
        send("b");
        ASSERT_TRUE(waitForOutcome());
        EXPECT_EQ(2, m_acceptedConnections);
    }

    /// Exchanges one request, so that the next one finds a connection in the pool.
    void useConnection()
    {
        m_handlers.emplace_back([](Tcp::socket& socket, const std::string&) { reply(socket, response("first", "first")); });
        send("first");
        ASSERT_TRUE(waitForOutcome());
    }

    asio::io_context m_context;
    Tcp::acceptor m_acceptor;
    std::deque<RequestHandler> m_handlers;
    std::vector<std::unique_ptr<Tcp::socket>> m_sockets;
    std::vector<std::string> m_received;
    /// True if the server reads only the first part of each request.
    bool m_readsOnce = false;
    int m_acceptedConnections = 0;
    int m_closedConnections = 0;
    std::optional<HttpClient::Outcome> m_outcome;
    std::unique_ptr<HttpClient> m_client;
};

} // namespace

TEST_F(HttpClientTest, TwoRequests_SentInSequence_ShareTheConnection)
{
    for (const char* id : { "a", "b" }) {
        m_handlers.emplace_back([id](Tcp::socket& socket, const std::string&) { reply(socket, response(id, id)); });
        send(id);
        ASSERT_TRUE(waitForOutcome());
        EXPECT_EQ(id, m_outcome->response.body);
    }
    EXPECT_EQ(1, m_acceptedConnections);
}

TEST_F(HttpClientTest, ResponseToAnotherRequest_ArrivesFirst_IsDiscardedAndOwnOneAwaited)
{
    m_handlers.emplace_back([](Tcp::socket& socket, const std::string&) { reply(socket, response("old", "late") + response("a", "own")); });
    send("a");
    ASSERT_TRUE(waitForOutcome());
    ASSERT_TRUE(m_outcome->succeeded);
    EXPECT_EQ("own", m_outcome->response.body);
    EXPECT_EQ(1u, m_client->counters().unmatchedResponses);
    // A connection that received an unmatched response must not be reused.
    m_handlers.emplace_back([](Tcp::socket& socket, const std::string&) { reply(socket, response("b", "next")); });
    send("b");
    ASSERT_TRUE(waitForOutcome());
    EXPECT_EQ(2, m_acceptedConnections);
}

// Additional bytes in the form of a refusal were taken for the answer to the next request of their connection.
TEST_F(HttpClientTest, DoubtfulResponse_OwnOneFollows_IsDiscarded)
{
    useConnection();
    m_handlers.emplace_back([](Tcp::socket& socket, const std::string&) { reply(socket, unnamedRefusal + response("a", "own")); });
    send("a");
    ASSERT_TRUE(waitForOutcome());
    EXPECT_EQ("own", m_outcome->response.body);
    EXPECT_EQ(1, m_acceptedConnections);
}

TEST_F(HttpClientTest, DoubtfulResponse_NothingFollows_FailsAsPossiblyRunSoon)
{
    useConnection();
    m_handlers.emplace_back([](Tcp::socket& socket, const std::string&) { reply(socket, unnamedRefusal); });
    const auto startedAt = std::chrono::steady_clock::now();
    send("a");
    ASSERT_TRUE(waitForOutcome());
    EXPECT_FALSE(m_outcome->succeeded);
    EXPECT_TRUE(m_outcome->failure.mayHaveRun);
    EXPECT_LT(std::chrono::steady_clock::now() - startedAt, 2s) << "the request has a timeout of 5 s";
    useConnection();
    EXPECT_EQ(2, m_acceptedConnections);
}

TEST_F(HttpClientTest, UnnamedRefusal_OnANewConnection_IsTheResponse)
{
    m_handlers.emplace_back([](Tcp::socket& socket, const std::string&) { reply(socket, unnamedRefusal); });
    send("a");
    ASSERT_TRUE(waitForOutcome());
    EXPECT_TRUE(m_outcome->succeeded);
    EXPECT_EQ(refusalStatus, m_outcome->response.status);
}

TEST_F(HttpClientTest, Connection_WithBytesAfterResponse_IsNotReused)
{
    m_handlers.emplace_back([](Tcp::socket& socket, const std::string&) { reply(socket, response("a", "own") + "rubbish"); });
    send("a");
    ASSERT_TRUE(waitForOutcome());
    EXPECT_EQ("own", m_outcome->response.body);
    m_handlers.emplace_back([](Tcp::socket& socket, const std::string&) { reply(socket, response("b", "next")); });
    send("b");
    ASSERT_TRUE(waitForOutcome());
    EXPECT_EQ("next", m_outcome->response.body);
    EXPECT_EQ(2, m_acceptedConnections);
}

TEST_F(HttpClientTest, Response_WithTruncatedBody_FailsAsPossiblyRun)
{
    m_handlers.emplace_back([](Tcp::socket& socket, const std::string&) {
        reply(socket, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
        socket.close();
    });
    send("a");
    ASSERT_TRUE(waitForOutcome());
    EXPECT_FALSE(m_outcome->succeeded);
    EXPECT_TRUE(m_outcome->failure.mayHaveRun);
}

// An endpoint that stopped in the head of its answer and closed was taken for one that answered 200 with an empty body.
// A response "not modified" with the length of the document was waited for until the deadline, and answered 504.
TEST_F(HttpClientTest, ResponseWithoutABody_AnnouncesALength_IsComplete)
{
    for (const char* status : { "304 Not Modified", "204 No Content" }) {
        m_handlers.emplace_back([status](Tcp::socket& socket, const std::string&) { reply(socket, std::string("HTTP/1.1 ") + status + "\r\nContent-Length: 5000\r\nETag: \"1\"\r\n\r\n"); });
        m_outcome.reset();
        send("a");
        ASSERT_TRUE(waitForOutcome());
        EXPECT_TRUE(m_outcome->succeeded) << m_outcome->failure.error.detail;
        EXPECT_TRUE(m_outcome->response.body.empty());
    }
    EXPECT_EQ(1U, m_client->counters().connectionsOpened) << "the connection is kept";
}

TEST_F(HttpClientTest, HeaderOfAResponse_HasABlankBeforeItsColon_LosesTheBlank)
{
    m_handlers.emplace_back([](Tcp::socket& socket, const std::string&) { reply(socket, "HTTP/1.1 200 OK\r\nX-Id : a\r\nContent-Length: 0\r\n\r\n"); });
    send("a");
    ASSERT_TRUE(waitForOutcome());
    ASSERT_TRUE(m_outcome->succeeded) << m_outcome->failure.error.detail;
    EXPECT_TRUE(findHeader(m_outcome->response.headers, "X-Id"));
}

TEST_F(HttpClientTest, Response_EndsWithinItsHead_FailsAsPossiblyRun)
{
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n\r\n";
    for (std::size_t length = 1; length < head.size(); ++length) {
        m_handlers.emplace_back([bytes = head.substr(0, length)](Tcp::socket& socket, const std::string&) {
            reply(socket, bytes);
            socket.close();
        });
        send("a");
        ASSERT_TRUE(waitForOutcome());
        EXPECT_FALSE(m_outcome->succeeded) << length;
        EXPECT_TRUE(m_outcome->failure.mayHaveRun) << length;
    }
}

TEST_F(HttpClientTest, InterimResponseOrTrailer_EndsInTheMiddle_FailsAsPossiblyRun)
{
    for (const char* bytes : { "HTTP/1.1 103 Early Hints\r\nLi", "HTTP/1.1 103 Early Hints\r\n\r\n", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nConte",
             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n",
             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX-Trailer: a" }) {
        m_handlers.emplace_back([bytes](Tcp::socket& socket, const std::string&) {
            reply(socket, bytes);
            socket.close();
        });
        send("a");
        ASSERT_TRUE(waitForOutcome());
        EXPECT_FALSE(m_outcome->succeeded) << bytes;
        EXPECT_TRUE(m_outcome->failure.mayHaveRun) << bytes;
    }
}

TEST_F(HttpClientTest, ResponseThatEndsItsConnection_NextRequest_UsesANewOne)
{
    HttpClient::Options options;
    options.endsConnection = [](const HttpResponse& response) { return response.body == "last"; };
    m_handlers.emplace_back([](Tcp::socket& socket, const std::string&) { reply(socket, response("a", "last")); });
    send("a", options);
    ASSERT_TRUE(waitForOutcome());
    EXPECT_EQ("last", m_outcome->response.body);
    for (const char* id : { "b", "c" }) {
        m_handlers.emplace_back([id](Tcp::socket& socket, const std::string&) { reply(socket, response(id, id)); });
        send(id, options);
        ASSERT_TRUE(waitForOutcome());
    }
    EXPECT_EQ(2, m_acceptedConnections);
}

TEST_F(HttpClientTest, RequestsOfTwoPools_ShareNoConnection)
{
    HttpClient::Options options;
    for (const char* pool : { "", "health", "", "health" }) {
        options.pool = pool;
        m_handlers.emplace_back([](Tcp::socket& socket, const std::string&) { reply(socket, response("a", "x")); });
        send("a", options);
        ASSERT_TRUE(waitForOutcome());
    }
    EXPECT_EQ(2, m_acceptedConnections);
    m_client->closeIdleConnections("127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()));
    m_handlers.emplace_back([](Tcp::socket& socket, const std::string&) { reply(socket, response("a", "x")); });
    send("a", options);
    ASSERT_TRUE(waitForOutcome());
    EXPECT_EQ(3, m_acceptedConnections);
}

TEST_F(HttpClientTest, ResponseWithoutLength_ConnectionClosedInOrder_IsComplete)
{
    m_handlers.emplace_back([](Tcp::socket& socket, const std::string&) {
        reply(socket, "HTTP/1.1 200 OK\r\n\r\nall of it");
        socket.close();
    });
    send("a");
    ASSERT_TRUE(waitForOutcome());
    ASSERT_TRUE(m_outcome->succeeded);
    EXPECT_EQ("all of it", m_outcome->response.body);
}

TEST_F(HttpClientTest, ResponseWithoutLength_ConnectionReset_Fails)
{
    m_handlers.emplace_back([](Tcp::socket& socket, const std::string&) {
        reply(socket, "HTTP/1.1 200 OK\r\n\r\npart of it");
        socket.set_option(asio::socket_base::linger(true, 0));
        socket.close();
    });
    send("a");
    ASSERT_TRUE(waitForOutcome());
    EXPECT_FALSE(m_outcome->succeeded);
}

// The client of a long upload got the first part of a 200 without a length as a complete one: the writer had taken the error of the reset.
TEST_F(HttpClientTest, ResponseWithoutLength_ResetUnderTheUpload_Fails)
{
    constexpr std::size_t uploadBytes = 24 * 1024 * 1024;
    asio::steady_timer reset(m_context);
    m_handlers.emplace_back([&reset](Tcp::socket& socket, const std::string&) {
        reply(socket, "HTTP/1.1 200 OK\r\n\r\npart of it");
        reset.expires_after(150ms);
        reset.async_wait([&socket](const asio::error_code&) {
            socket.set_option(asio::socket_base::linger(true, 0));
            socket.close();
        });
    });
    m_readsOnce = true;
    sendBody(std::string(uploadBytes, 'x'));
    ASSERT_TRUE(waitForOutcome());
    EXPECT_FALSE(m_outcome->succeeded);
    EXPECT_TRUE(m_outcome->failure.mayHaveRun);
}

// Servers in trouble sent bytes that only resemble a response, and clients got them as one.
TEST_F(HttpClientTest, BytesThatAreNoResponse_Received_FailAsPossiblyRun)
{
    const std::string end = "\r\nContent-Length: 2\r\n\r\nok";
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    const std::vector<std::string> cases {
        "HTTP/1.1 000 OK" + end,
        "HTTP/1.1 099 OK" + end,
        "HTTP/1.1 600 OK" + end,
        "HTTP/1.1 999 OK" + end,
        "HTTP/1.1 20 OK" + end,
        "HTTP/1.1 2000 OK" + end,
        "HTTP/1.1 0200 OK" + end,
        "HTTP/1.1 2x0 OK" + end,
        "HTTP/1.1  200 OK" + end,
        "HTTP/1.1\t200 OK" + end,
        "HTTP/1.1 200" + end,
        "HTTP/1.1 200 O\x01K" + end,
        " HTTP/1.1 200 OK" + end,
        "HTTQ/1.1 200 OK" + end,
        "http/1.1 200 OK" + end,
        "HTTP/2.0 200 OK" + end,
        "HTTP/1.2 200 OK" + end,
        "HTTP/11 200 OK" + end,
        "\r\n\r\n",
        "HTTP/1.1 200 OK\nContent-Length: 2\r\n\r\nok",
        head + "X Y: a" + end,
        head + "X\x01Y: a" + end,
        head + "X\x7FY: a" + end,
        head + "X(Y): a" + end,
        head + ": a" + end,
        head + "X" + end,
        head + " X: a" + end,
        head + "X: a\r\n b" + end,
        head + "X: a\x01" + end,
        head + std::string("X: a\0b", 6) + end,
        head + "X: a\rb" + end,
        head + "X: a\x7F" + end,
        head + "X: a\nY: b" + end,
        head + "Content-Length: 2\r\nContent-Length: 2\r\n\r\nok",
        head + "Content-Length: 2, 2\r\n\r\nok",
        head + "Content-Length: +2\r\n\r\nok",
        head + "Content-Length: 2 2\r\n\r\nok",
        head + "Content-Length: -2\r\n\r\nok",
        head + "Content-Length:\r\n\r\nok",
        head + "Content-Length: 0x2\r\n\r\nok",
        head + "Content-Length: 99999999999999999999\r\n\r\nok",
        head + "Content-Length : 2\r\n\r\nok",
        head + "Content-Length\t: 2\r\n\r\nok",
        head + "Content Length: 2\r\n\r\nok",
        head + "Content-Length: 2;\r\n\r\nok",
        head + "Transfer-Encoding: chunked\r\nContent-Length: 2" + end,
        head + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        head + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
        head + "Transfer-Encoding: identity" + end,
        head + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        head + "Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n",
        "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        chunked + "2\r\nokay\r\n0\r\n\r\n",
        chunked + "2\r\nok0\r\n\r\n",
        chunked + "2\r\nokab0\r\n\r\n",
        chunked + "2\nok\r\n0\r\n\r\n",
        chunked + "x\r\nok\r\n0\r\n\r\n",
        chunked + "\r\n0\r\n\r\n",
        chunked + "-2\r\nok\r\n0\r\n\r\n",
        chunked + "2 x\r\nok\r\n0\r\n\r\n",
        chunked + "10000000000000002\r\nok\r\n0\r\n\r\n",
        chunked + "2\r\nok\r\n0\r\nX Y: a\r\n\r\n",
        chunked + "2\r\nok\r\n0\r\n",
        "HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n\r\n",
        "HTTP/1.1 100 Continue\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    };
    for (const std::string& bytes : cases) {
        m_handlers.emplace_back([&bytes](Tcp::socket& socket, const std::string&) {
            reply(socket, bytes);
            socket.close();
        });
        send("a", ownConnection());
        ASSERT_TRUE(waitForOutcome());
        EXPECT_FALSE(m_outcome->succeeded) << bytes;
        EXPECT_TRUE(m_outcome->failure.mayHaveRun) << bytes;
    }
}

TEST_F(HttpClientTest, UnusualResponses_Received_AreComplete)
{
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const std::vector<std::string> cases {
        "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok",
        "HTTP/1.1 200 \r\nContent-Length: 2\r\n\r\nok",
        "HTTP/1.1 200 \xC3\xBC  b\r\nContent-Length: 2\r\n\r\nok",
        "HTTP/1.1 599 X\r\ncontent-length:2\r\n\r\nok",
        head + "X:\r\nContent-Length: \t2 \r\n\r\nok",
        head + "X!#$%&'*+-.^_`|~9: \xFF\tb\r\nContent-Length: 002\r\n\r\nok",
        head + "X : a\r\nContent-Length: 2\r\n\r\nok",
        head + "\r\nok",
        head + "transfer-encoding: CHUNKED\r\n\r\n002;a=b;c=\"d\"\r\nok\r\n0\r\nX: a\r\n\r\n",
        head + "Transfer-Encoding: chunked\r\n\r\n1\r\no\r\n1\r\nk\r\n000\r\n\r\n",
        "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + head + "Content-Length: 2\r\n\r\nok",
    };
    for (const std::string& bytes : cases) {
        m_handlers.emplace_back([&bytes](Tcp::socket& socket, const std::string&) {
            for (const char byte : bytes)
                reply(socket, std::string(1, byte));
            socket.close();
        });
        send("a", ownConnection());
        ASSERT_TRUE(waitForOutcome());
        EXPECT_TRUE(m_outcome->succeeded) << bytes << m_outcome->failure.error.detail;
        EXPECT_EQ("ok", m_outcome->response.body) << bytes;
    }
}

TEST_F(HttpClientTest, Request_WithoutListener_FailsAsNotRun)
{
    m_acceptor.close();
    m_outcome.reset();
    m_client->send("127.0.0.1:1", { "GET", "/", {}, {} }, {}, [this](HttpClient::Outcome outcome) { m_outcome = std::move(outcome); });
    ASSERT_TRUE(waitForOutcome());
    EXPECT_FALSE(m_outcome->failure.mayHaveRun);
}

TEST_F(HttpClientTest, NewConnection_SenderAllowsRequestNoLonger_FailsAsNotRun)
{
    HttpClient::Options options;
    options.maySend = [] { return false; };
    send("a", options);
    ASSERT_TRUE(waitForOutcome());
    EXPECT_FALSE(m_outcome->succeeded);
    EXPECT_FALSE(m_outcome->failure.mayHaveRun);
    EXPECT_EQ(ResultCode::CancelledBeforeStart, m_outcome->failure.error.code);
}

TEST_F(HttpClientTest, UnresponsiveServer_TimeoutExpires_FailsAsPossiblyRun)
{
    HttpClient::Options options;
    options.timeout = 50ms;
    send("a", options);
    ASSERT_TRUE(waitForOutcome());
    EXPECT_EQ(ResultCode::TimedOut, m_outcome->failure.error.code);
    EXPECT_TRUE(m_outcome->failure.mayHaveRun);
}

TEST_F(HttpClientTest, PooledConnection_ResetByServer_ResendsRepeatableRequestsOnly)
{
    for (const bool mayRepeat : { true, false }) {
        m_handlers.clear();
        m_handlers.emplace_back([](Tcp::socket& socket, const std::string&) { reply(socket, response("a", "first")); });
        HttpClient::Options options;
        send("a", options);
        ASSERT_TRUE(waitForOutcome());
        m_handlers.emplace_back([](Tcp::socket& socket, const std::string&) {
            socket.set_option(asio::socket_base::linger(true, 0));
            socket.close();
        });
        m_handlers.emplace_back([](Tcp::socket& socket, const std::string&) { reply(socket, response("b", "second")); });
        int resent = 0;
        if (mayRepeat) {
            options.allowsResend = [&resent] {
                ++resent;
                return true;
            };
        }
        send("b", options);
        ASSERT_TRUE(waitForOutcome());
        EXPECT_EQ(mayRepeat, m_outcome->succeeded);
        EXPECT_EQ(mayRepeat ? 1 : 0, resent);
    }
}

TEST_F(HttpClientTest, PooledConnection_EndsWithItsServer_FailsAsPossiblyRun)
{
    m_handlers.emplace_back([](Tcp::socket& socket, const std::string&) { reply(socket, response("a", "first")); });
    send("a");
    ASSERT_TRUE(waitForOutcome());
    m_handlers.emplace_back([this](Tcp::socket& socket, const std::string&) {
        m_acceptor.close();
        socket.set_option(asio::socket_base::linger(true, 0));
        socket.close();
    });
    HttpClient::Options options;
    options.allowsResend = [] { return true; };
    send("b", options);
    ASSERT_TRUE(waitForOutcome());
    EXPECT_TRUE(m_outcome->wasResent);
    EXPECT_TRUE(m_outcome->failure.isRefused);
    EXPECT_TRUE(m_outcome->failure.mayHaveRun);
    EXPECT_EQ(ResultCode::AnswerIncomplete, m_outcome->failure.error.code);
}

TEST_F(HttpClientTest, PooledConnection_EndsLongAfterTheRequest_IsNotResent)
{
    m_handlers.emplace_back([](Tcp::socket& socket, const std::string&) { reply(socket, response("a", "first")); });
    send("a");
    ASSERT_TRUE(waitForOutcome());
    // A crashed server ends its connections while it runs the request.
    asio::steady_timer crash(m_context, 200ms);
    m_handlers.emplace_back([&crash](Tcp::socket& socket, const std::string&) {
        crash.async_wait([&socket](const asio::error_code&) {
            socket.set_option(asio::socket_base::linger(true, 0));
            socket.close();
        });
    });
    m_handlers.emplace_back([](Tcp::socket& socket, const std::string&) { reply(socket, response("b", "second")); });
    HttpClient::Options options;
    int asked = 0;
    options.allowsResend = [&asked] {
        ++asked;
        return true;
    };
    send("b", options);
    ASSERT_TRUE(waitForOutcome());
    EXPECT_FALSE(m_outcome->succeeded);
    EXPECT_TRUE(m_outcome->failure.mayHaveRun);
    EXPECT_EQ(0, asked);
}

// One answer without end took the process beyond its memory, and all other requests with it.
TEST_F(HttpClientTest, Responses_InPartBeyondTheBound_OnlyTheLargestFails)
{
    m_client = std::make_unique<HttpClient>(m_context, std::make_shared<BodyBudget>(BodyBudget::Limits { 300000, 300000 }));
    m_handlers.emplace_back([](Tcp::socket& socket, const std::string&) { reply(socket, "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 100000\r\n\r\n" + std::string(50000, 'x')); });
    send("a");
    m_context.run_for(100ms);
    ASSERT_EQ(m_sockets.size(), 1u);
    m_handlers.emplace_back([](Tcp::socket& socket, const std::string&) { reply(socket, "HTTP/1.1 200 OK\r\nX-Id: b\r\n\r\n" + std::string(400000, 'x')); });
    send("b");
    ASSERT_TRUE(waitForOutcome());
    EXPECT_FALSE(m_outcome->succeeded);
    EXPECT_TRUE(m_outcome->failure.isTooLarge);
    m_outcome.reset();
    reply(*m_sockets.front(), std::string(50000, 'x'));
    ASSERT_TRUE(waitForOutcome());
    EXPECT_TRUE(m_outcome->succeeded);
    EXPECT_EQ(m_outcome->response.body.size(), 100000u);
}

/// Bytes without end that a server sends in place of an answer.
struct EndlessBytes {
    const char* name;
    std::string start;
    std::string repeated;
};

std::ostream& operator<<(std::ostream& stream, const EndlessBytes& bytes)
{
    return stream << bytes.name;
}

class EndlessBytesTest : public HttpClientTest, public ::testing::WithParamInterface<EndlessBytes> {
protected:
    /// Writes the repeated part until the client closes the connection.
    void writeOn(Tcp::socket& socket)
    {
        while (m_chunk.size() < 64 * 1024)
            m_chunk += GetParam().repeated;
        asio::async_write(socket, asio::buffer(m_chunk), [this, &socket](const asio::error_code& error, std::size_t bytes) {
            m_written += bytes;
            m_isClosed = bool(error);
            if (!error)
                writeOn(socket);
        });
    }

    std::string m_chunk;
    std::size_t m_written = 0;
    bool m_isClosed = false;
};

TEST_P(EndlessBytesTest, Request_FailsAndClosesTheConnection_WithinItsLimits)
{
    constexpr std::size_t limit = 64 * 1024;
    // What the sockets of both ends may hold besides.
    constexpr std::size_t socketBytes = 16 * 1024 * 1024;
    m_handlers.emplace_back([this](Tcp::socket& socket, const std::string&) {
        reply(socket, GetParam().start);
        writeOn(socket);
    });
    HttpClient::Options options;
    options.maximumBodyBytes = limit;
    const auto startedAt = std::chrono::steady_clock::now();
    send("a", options);
    ASSERT_TRUE(waitForOutcome());
    EXPECT_FALSE(m_outcome->succeeded);
    EXPECT_EQ(ResultCode::AnswerIncomplete, m_outcome->failure.error.code);
    EXPECT_TRUE(m_outcome->failure.mayHaveRun);
    EXPECT_LT(std::chrono::steady_clock::now() - startedAt, 2s);
    m_context.restart();
    m_context.run_for(200ms);
    EXPECT_TRUE(m_isClosed);
    EXPECT_LT(m_written, limit + socketBytes);
}

INSTANTIATE_TEST_SUITE_P(Servers, EndlessBytesTest,
    ::testing::Values(EndlessBytes { "noise_before_the_head", "", "x" }, EndlessBytes { "name_in_the_head", "HTTP/1.1 200 OK\r\n", "x" },
        EndlessBytes { "headers", "HTTP/1.1 200 OK\r\n", "X-A: b\r\n" }, EndlessBytes { "body_without_length", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", "x" },
        EndlessBytes { "body_of_a_huge_length", "HTTP/1.1 200 OK\r\nContent-Length: 9000000000000\r\n\r\n", "x" },
        EndlessBytes { "chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n" },
        EndlessBytes { "trailers", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-A: b\r\n" },
        EndlessBytes { "empty_lines", "", "\r\n" },
        EndlessBytes { "interim_responses", "", "HTTP/1.1 100 Continue\r\n\r\n" },
        EndlessBytes { "responses_to_others", "", "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 0\r\n\r\n" }));

TEST_F(HttpClientTest, Request_Cancelled_ClosesConnection)
{
    const HttpClient::RequestId id = send("a");
    m_context.restart();
    while (m_received.empty())
        m_context.run_one_for(std::chrono::milliseconds(50));
    m_client->cancel(id);
    const auto end = std::chrono::steady_clock::now() + waitTimeout;
    while (m_closedConnections == 0 && std::chrono::steady_clock::now() < end)
        m_context.run_one_for(std::chrono::milliseconds(50));
    EXPECT_EQ(1, m_closedConnections);
    EXPECT_FALSE(m_outcome);
}

TEST_F(HttpClientTest, Connection_ThatTheServerWillClose_IsNotReused)
{
    expectNotReusedAfter("Connection: close\r\n");
}

TEST_F(HttpClientTest, Connection_WithShortAdvertisedIdleTime_IsNotReused)
{
    expectNotReusedAfter("Keep-Alive: timeout=0\r\n");
}
