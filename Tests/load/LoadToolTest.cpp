#include "Load/EchoAnswer.h"
#include "Load/Forwarder.h"
#include "Load/HttpServer.h"
#include "Load/LoadGenerator.h"
#include "Load/StandInBackend.h"

#include <gtest/gtest.h>

#include <cstdio>
#include <fstream>
#include <unistd.h>

namespace Knapweedquay::Load {

namespace {

/// The load generator must detect each violated guarantee; otherwise a run that reports none proves nothing.
class LoadToolTest : public ::testing::Test {
protected:
    LoadToolTest()
        : m_recordFile(::testing::TempDir() + "knapweedquay-record-" + std::to_string(::getpid()))
    {
    }

    ~LoadToolTest() override { std::remove(m_recordFile.c_str()); }

    /// Sends calls to a server that answers by a handler, and returns the result of the load generator.
    CallClassResult measure(const std::string& calls, const HttpConnection::RequestHandler& handler)
    {
        HttpServer server(m_context, 0, handler);
        return measureAt(server.port(), calls, false);
    }

    CallClassResult measureAt(std::uint16_t port, const std::string& calls, bool isDirect)
    {
        LoadOptions options;
        options.addresses = { "127.0.0.1:" + std::to_string(port), "127.0.0.1:" + std::to_string(port) };
        options.classes = { parseCallClass("name=calls,path=/p,rate=200,deadline=1," + calls) };
        options.duration = std::chrono::milliseconds(100);
        options.isDirect = isDirect;
        options.recordFiles = { m_recordFile };
        LoadGenerator generator(m_context, options);
        generator.run();
        generator.checkRecords();
        return generator.results().front();
    }

    void recordRun(const HttpMessage& request)
    {
        std::ofstream(m_recordFile, std::ios::app) << request.query("id") << "\n";
    }

    static HttpMessage rightAnswer(const HttpMessage& request)
    {
        HttpMessage answer = textAnswer(200, echoAnswer(request.query("id"), request.body, std::stoul(request.query("size"))));
        answer.headers["knapweedquay-outcome"] = "answered";
        return answer;
    }

    static HttpMessage refusal(const std::string& outcome)
    {
        HttpMessage answer = textAnswer(503, R"({"code":200})");
        answer.headers["knapweedquay-outcome"] = outcome;
        return answer;
    }

    asio::io_context m_context;
    std::string m_recordFile;
};

} // namespace

TEST_F(LoadToolTest, Answers_RightAndRecordedOnce_CountAsAnswered)
{
    const auto result = measure("method=POST", [&](const HttpMessage& request, const auto& connection) {
        recordRun(request);
        connection->send(serializeAnswer(rightAnswer(request)));
    });
    EXPECT_GT(result.sent, 0u);
    EXPECT_EQ(result.answered, result.sent);
    EXPECT_EQ(result.wrong + result.errors + result.doubleRuns + result.answeredWithoutRun, 0u);
}

TEST_F(LoadToolTest, Answers_OfAnotherCall_CountAsWrong)
{
    HttpMessage previous = rightAnswer(plainRequest("GET", "/p?id=other&size=200"));
    const auto result = measure("method=GET", [&](const HttpMessage& request, const auto& connection) {
        connection->send(serializeAnswer(previous));
        previous = rightAnswer(request);
    });
    EXPECT_GT(result.sent, 0u);
    EXPECT_EQ(result.wrong, result.sent);
}

TEST_F(LoadToolTest, Posts_RecordedTwice_CountAsDoubleRuns)
{
    const auto result = measure("method=POST", [&](const HttpMessage& request, const auto& connection) {
        recordRun(request);
        recordRun(request);
        connection->send(serializeAnswer(rightAnswer(request)));
    });
    EXPECT_GT(result.sent, 0u);
    EXPECT_EQ(result.doubleRuns, result.sent);
}

TEST_F(LoadToolTest, KeyedPosts_ResentAndRunByBothNodes_CountAsDoubleRuns)
{
    const auto result = measure("method=POST,keyed=1,resend=1", [&](const HttpMessage& request, const auto& connection) {
        EXPECT_EQ(request.header("idempotency-key"), request.query("id"));
        recordRun(request);
        connection->send(serializeAnswer(rightAnswer(request)));
    });
    EXPECT_GT(result.sent, 0u);
    EXPECT_EQ(result.doubleRuns, result.sent);
}

TEST_F(LoadToolTest, Refusals_OfCallsThatRan_CountAsFalseNotRun)
{
    const auto result = measure("method=GET", [&](const HttpMessage& request, const auto& connection) {
        recordRun(request);
        connection->send(serializeAnswer(refusal("not-run")));
    });
    EXPECT_GT(result.sent, 0u);
    EXPECT_EQ(result.notRun, result.sent);
    EXPECT_EQ(result.falseNotRun, result.sent);
    EXPECT_EQ(result.codes.at("200"), result.sent);
}

TEST_F(LoadToolTest, Outcomes_UnknownOrMissing_CountAsUnknown)
{
    bool isEven = false;
    const auto result = measure("method=GET", [&](const HttpMessage&, const auto& connection) {
        isEven = !isEven;
        connection->send(serializeAnswer(refusal(isEven ? "unknown" : "")));
    });
    EXPECT_GT(result.sent, 0u);
    EXPECT_EQ(result.unknown, result.sent);
}

TEST_F(LoadToolTest, Backend_WithShortBodies_GivesErrorsAndNoAnswers)
{
    BackendOptions options;
    options.serviceTimes = { "/=constant:1" };
    options.recordFile = m_recordFile;
    StandInBackend backend(m_context, options);
    HttpClient client(m_context);
    client.send("127.0.0.1:" + std::to_string(backend.controlPort()), plainRequest("POST", "/modes", R"({"shortBody":true})"), std::chrono::seconds(1), [](ExchangeFailure, const HttpMessage& answer) { EXPECT_EQ(answer.status, 200u); });
    const auto result = measureAt(backend.port(), "method=GET", true);
    EXPECT_GT(result.sent, 0u);
    EXPECT_EQ(result.errors, result.sent);
}

TEST_F(LoadToolTest, Forwarder_Silenced_StopsOldConnectionsOnly)
{
    HttpServer server(m_context, 0, [](const HttpMessage& request, const auto& connection) { connection->send(serializeAnswer(rightAnswer(request))); });
    Forwarder forwarder(m_context, 0, { asio::ip::address_v4::loopback(), server.port() });
    const std::string address = "127.0.0.1:" + std::to_string(forwarder.port());
    HttpClient client(m_context);
    std::vector<ExchangeFailure> failures;
    const auto send = [&] {
        client.send(address, plainRequest("GET", "/p?id=1&size=1"), std::chrono::milliseconds(200), [&](ExchangeFailure failure, const HttpMessage&) { failures.push_back(failure); });
        m_context.restart();
        m_context.run_for(std::chrono::milliseconds(300));
    };
    send();
    forwarder.silenceOpenConnections();
    send();
    send();
    EXPECT_EQ(failures, (std::vector<ExchangeFailure> { ExchangeFailure::None, ExchangeFailure::TimedOut, ExchangeFailure::None }));
}

TEST_F(LoadToolTest, Histogram_OfKnownValues_GivesQuantilesWithinABucket)
{
    LatencyHistogram histogram;
    for (int value = 1; value <= 1000; ++value)
        histogram.add(value);
    EXPECT_NEAR(histogram.quantile(0.5), 500, 10);
    EXPECT_NEAR(histogram.quantile(0.99), 990, 10);
    EXPECT_NEAR(histogram.quantile(1), 1000, 0.01);
}

} // namespace Knapweedquay::Load
