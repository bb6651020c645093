#include "processes/ProcessFixture.h"

#include "Load/Waiting.h"
#include "processes/EarlyConnection.h"
#include "transport/HttpParser.h"

#include <asio/read.hpp>
#include <asio/write.hpp>

#include <sys/resource.h>

#include <algorithm>
#include <memory>
#include <vector>

namespace Knapweedquay::Load {

namespace {

using namespace std::chrono_literals;

/// Sends raw bytes and returns the text of the answer; empty when none is received before the timeout.
std::string exchangeRaw(const std::string& address, const std::string& bytes, std::chrono::milliseconds timeout)
{
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    socket.connect(parseEndpoint(address));
    std::string received;
    HttpParser parser(HttpParser::Kind::Responses, {});
    std::array<char, 4096> buffer {};
    std::function<void()> read = [&] {
        socket.async_read_some(asio::buffer(buffer), [&](const asio::error_code& error, std::size_t size) {
            received.append(buffer.data(), size);
            std::size_t consumed = 0;
            if (!error && parser.feed({ buffer.data(), size }, consumed) == HttpParser::Progress::NeedsMore)
                read();
            else
                context.stop();
        });
    };
    read();
    asio::async_write(socket, asio::buffer(bytes), [](const asio::error_code&, std::size_t) {});
    context.run_for(timeout);
    return received;
}

/// True when the answer is a problem document with this result code.
bool isProblem(const std::string& answer, int code)
{
    return answer.find("application/problem+json") != std::string::npos && answer.find("\"code\":" + std::to_string(code)) != std::string::npos;
}

/// Sends invalid HTTP requests to a node.
class HttpInputTest : public ProcessTest {
protected:
    /// Expects that the node still answers a valid call after the invalid input.
    void expectStillServing()
    {
        const auto call = m_caller.send(callAddress("a"), "GET", "/stock", 2s);
        EXPECT_TRUE(m_caller.waitForAnswers(6s));
        EXPECT_TRUE(call->isAnsweredCorrectly()) << call->answer.status << call->answer.body;
    }
};

} // namespace

TEST_F(HttpInputTest, Headers_Invalid_GetProblemDocumentWithCode)
{
    start();
    const auto ask = [&](const std::string& target, const std::string& header, const std::string& value) {
        HttpMessage request = plainRequest("GET", target);
        request.headers[header] = value;
        return exchangeOnce(callAddress("a"), request, 5s);
    };
    const auto expectCode = [](const HttpMessage& answer, int code) {
        EXPECT_EQ(answer.header("knapweedquay-outcome"), "not-run") << answer.body;
        EXPECT_EQ(answer.header("content-type"), "application/problem+json");
        const auto problem = nlohmann::json::parse(answer.body, nullptr, false);
        ASSERT_TRUE(problem.is_object()) << answer.body;
        EXPECT_EQ(problem.value("code", 0), code) << answer.body;
        for (const char* member : { "type", "title", "status", "detail" })
            EXPECT_TRUE(problem.contains(member)) << member;
    };
    expectCode(ask("/call/nosuch/x", "accept", "*/*"), 103);
    expectCode(ask("/elsewhere", "accept", "*/*"), 109);
    for (const char* deadline : { "soon", "-5", "0", "1e3", "99999999999999999999" })
        expectCode(ask("/call/dispatch/stock", "knapweedquay-deadline-ms", deadline), 104);
    expectCode(ask("/call/dispatch/stock", "knapweedquay-priority", "nosuch"), 105);
    expectCode(ask("/call/dispatch/stock", "knapweedquay-depth", "1000"), 106);
    expectCode(ask("/call/dispatch/stock", "idempotency-key", std::string(300, 'k')), 107);
    expectStillServing();
}

TEST_F(HttpInputTest, Bytes_NotHttp_GetProblemDocumentWithCode)
{
    start();
    for (const char* bytes : { "\x16\x03\x01 no HTTP at all\r\n\r\n", "GET /call/dispatch/stock HTTP/1.1\r\nContent-Length: many\r\n\r\n", "POST /call/dispatch/bookings HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nabcde" }) {
        const std::string answer = exchangeRaw(callAddress("a"), bytes, 5s);
        EXPECT_TRUE(isProblem(answer, 100)) << answer;
    }
    expectStillServing();
}

TEST_F(HttpInputTest, Body_LargerThanDocumentLimit_IsRefused)
{
    start();
    const std::string body(100000, 'x');
    const HttpMessage answer = exchangeOnce(callAddress("a"), plainRequest("POST", "/call/dispatch/bookings?id=large", body), 5s);
    EXPECT_EQ(answer.header("knapweedquay-outcome"), "not-run") << answer.status << answer.body;
    EXPECT_EQ(nlohmann::json::parse(answer.body, nullptr, false).value("code", 0), 101) << answer.body;
    EXPECT_EQ(executionCount("large"), 0u);
    const std::string raw = exchangeRaw(callAddress("a"), "POST /call/dispatch/bookings HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999999\r\n\r\nabc", 5s);
    EXPECT_TRUE(isProblem(raw, 101)) << raw;
    expectStillServing();
}

TEST_F(HttpInputTest, Requests_NeverCompleted_DoNotBlockOthers)
{
    start();
    constexpr std::size_t slowSenders = 200;
    asio::io_context context;
    std::vector<asio::ip::tcp::socket> sockets;
    for (std::size_t index = 0; index < slowSenders; ++index) {
        sockets.emplace_back(context).connect(parseEndpoint(callAddress("a")));
        asio::write(sockets.back(), asio::buffer(std::string("POST /call/dispatch/bookings HTTP/1.1\r\nContent-Length: 100\r\n\r\nhalf")));
    }
    expectStillServing();
}

TEST_F(HttpInputTest, Body_ShorterThanContentLength_IsNotExecuted)
{
    start();
    {
        asio::io_context context;
        asio::ip::tcp::socket socket(context);
        socket.connect(parseEndpoint(callAddress("a")));
        asio::write(socket, asio::buffer(std::string("POST /call/dispatch/bookings?id=cut HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\nhalf")));
    }
    expectStillServing();
    EXPECT_EQ(executionCount("cut"), 0u);
}

// Idle connections took all descriptors of a node, so that it could open neither a link nor a connection to its backend server.
TEST_F(HttpInputTest, IdleConnectionsOfCallers_BeyondAllDescriptors_CallsAreStillAnswered)
{
    constexpr rlim_t descriptors = 400;
    for (NodePlan& plan : plans)
        plan.furtherSettings = "[descriptors]\nmaximum = " + std::to_string(descriptors) + "\n";
    start();
    const rlimit limit { descriptors, descriptors };
    ASSERT_EQ(0, prlimit(m_deployment->node("a").pid(), RLIMIT_NOFILE, &limit, nullptr));
    const auto early = std::make_unique<EarlyConnection>(callAddress("a"));
    std::vector<std::unique_ptr<EarlyConnection>> idle;
    while (idle.size() < descriptors)
        idle.push_back(std::make_unique<EarlyConnection>(callAddress("a")));
    m_caller.runFor(500ms);
    for (int call = 0; call < 3; ++call) {
        ASSERT_TRUE(early->send("GET /call/dispatch/stock?id=early&size=10 HTTP/1.1\r\nHost: a\r\n\r\n"));
        const auto responses = early->receive(1);
        ASSERT_EQ(1u, responses.size());
        EXPECT_EQ(200u, responses.front().status) << responses.front().body;
    }
    const auto answer = exchangeOnce(m_deployment->addresses("a").admin, plainRequest("GET", "/status"), 2s);
    EXPECT_EQ(200u, answer.status);
}

} // namespace Knapweedquay::Load
