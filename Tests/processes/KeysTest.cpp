#include "processes/ProcessFixture.h"

#include "Load/HttpServer.h"
#include "Load/Waiting.h"

#include <asio/executor_work_guard.hpp>
#include <asio/post.hpp>

#include <atomic>
#include <csignal>
#include <fstream>
#include <future>
#include <sstream>
#include <thread>

namespace Knapweedquay::Load {

namespace {

using namespace std::chrono_literals;

/// Lease of 1.6 s.
constexpr const char* nodeSettings = "[workspaces]\nkey_revocation_ms = 2000\n[backend]\nannouncement_timeout_ms = 600000\n";

std::string routingText(int version, const std::string& keys)
{
    return "version = " + std::to_string(version) + R"(
[[services]]
name = "dispatch"
[[routes]]
host = "orders.example"
path = "/stock/"
idempotent = true
timeout_ms = 20000
target_ms = 100
[[routes.targets]]
service = "dispatch"
[[routes]]
host = "orders.example"
path = "/open/"
allow_anonymous = true
idempotent = true
timeout_ms = 20000
target_ms = 100
[[routes.targets]]
service = "dispatch"
[[workspaces]]
name = "archive"
keys = )"
        + keys + "\n";
}

/// A backend server that answers with the headers that it received.
class EchoBackend {
public:
    EchoBackend()
        : m_server(m_context, 0, [this](const HttpMessage& request, const std::shared_ptr<HttpConnection>& connection) {
            ++m_arrivals;
            std::string text;
            for (const auto& [name, value] : request.headers)
                text.append(name).append(": ").append(value).append("\n");
            connection->send(serializeAnswer(textAnswer(200, text)));
        })
        , m_thread([this] { m_context.run(); })
    {
    }
    ~EchoBackend()
    {
        m_context.stop();
        m_thread.join();
    }
    EchoBackend(const EchoBackend&) = delete;
    EchoBackend& operator=(const EchoBackend&) = delete;

    std::string address() const { return "127.0.0.1:" + std::to_string(m_server.port()); }
    std::uint64_t arrivals() const { return m_arrivals; }

private:
    asio::io_context m_context;
    std::atomic<std::uint64_t> m_arrivals { 0 };
    HttpServer m_server;
    std::thread m_thread;
};

/// Node "a" takes the requests; the only backend server is beside node "b".
class KeysTest : public ProcessTest {
protected:
    void startWithKeys(const std::string& keys)
    {
        plans = { plans[0], plans[1] };
        for (NodePlan& plan : plans) {
            plan.hasBackend = false;
            plan.furtherSettings = nodeSettings;
        }
        start();
        ASSERT_TRUE(m_deployment->applyRouting(routingText(1, keys), 5s)) << m_deployment->describe();
        const std::string announcement = R"({"service":"dispatch","address":")" + m_backend.address() + R"(","slots":4})";
        ASSERT_EQ(200u, exchangeOnce(m_deployment->addresses("b").admin, plainRequest("POST", "/announce", announcement), 2s).status);
        ASSERT_TRUE(waitUntil([&] { return request("/open/x", "").status == 200; }, 10s));
    }

    HttpMessage request(const std::string& path, const std::string& authorization)
    {
        HttpMessage message = plainRequest("GET", path);
        message.headers["host"] = "orders.example";
        message.headers["knapweedquay-WORKSPACE"] = "rogue";
        if (!authorization.empty())
            message.headers["AUTHORIZATION"] = authorization;
        return exchangeOnce(callAddress("a"), message, 20s);
    }

    void signalControls(int signal)
    {
        for (std::size_t index = 0; index < m_deployment->controlCount(); ++index)
            m_deployment->control(index).signal(signal);
    }

    /// True if the output of a process has the text.
    bool hasWritten(const std::string& process, const std::string& text) const
    {
        std::ifstream file(m_deployment->folder() + "/" + process + ".out");
        std::stringstream output;
        output << file.rdbuf();
        return output.str().find(text) != std::string::npos;
    }

    EchoBackend m_backend;
};

} // namespace

TEST_F(KeysTest, KeysAddedAndWithdrawn_Requests_RunOnlyWithAKeyInForce)
{
    startWithKeys(R"(["secret-1"])");
    const HttpMessage answer = request("/stock/x", "Bearer secret-1");
    EXPECT_EQ(200u, answer.status);
    EXPECT_NE(std::string::npos, answer.body.find("knapweedquay-workspace: archive")) << answer.body;
    for (const std::string& text : { answer.body, request("/open/x", "Bearer of no workspace").body }) {
        EXPECT_EQ(std::string::npos, text.find("secret")) << text;
        EXPECT_EQ(std::string::npos, text.find("authorization")) << text;
        EXPECT_EQ(std::string::npos, text.find("rogue")) << text;
    }
    const std::uint64_t arrivals = m_backend.arrivals();
    const HttpMessage refusal = request("/stock/x", "");
    EXPECT_EQ(401u, refusal.status);
    EXPECT_EQ("Bearer", refusal.header("www-authenticate"));
    EXPECT_EQ(401u, request("/stock/x", "Bearer secret-2").status);
    EXPECT_EQ(arrivals, m_backend.arrivals());

    ASSERT_TRUE(m_deployment->applyRouting(routingText(2, R"(["secret-2"])"), 5s, 1)) << m_deployment->describe();
    EXPECT_TRUE(waitUntil([&] { return request("/stock/x", "Bearer secret-1").status == 401; }, 5s));
    EXPECT_EQ(200u, request("/stock/x", "Bearer secret-2").status);
    for (const char* process : { "a", "b", "control-0" })
        EXPECT_FALSE(hasWritten(process, "secret-")) << process;
    EXPECT_EQ(std::string::npos, m_deployment->nodeMetrics("a").find("secret-"));
}

TEST_F(KeysTest, NoProofForLongerThanTheLease_KeyedRequests_AreNotRunAndOthersAre)
{
    startWithKeys(R"(["secret-1"])");
    EXPECT_EQ(200u, request("/stock/x", "Bearer secret-1").status);
    signalControls(SIGSTOP);
    EXPECT_TRUE(waitUntil([&] { return request("/stock/x", "Bearer secret-1").status == 503; }, 5s));
    EXPECT_EQ(503u, request("/stock/x", "Bearer secret-2").status) << "a newer configuration may know it";
    EXPECT_EQ(200u, request("/open/x", "").status);
    // The node beside the backend server may be the first whose lease ends.
    EXPECT_TRUE(waitUntil([&] { return request("/stock/x", "Bearer secret-1").status == 503 && hasWritten("a", " 700 "); }, 5s));
    signalControls(SIGCONT);
    EXPECT_TRUE(waitUntil([&] { return request("/stock/x", "Bearer secret-1").status == 200; }, 10s));
    EXPECT_TRUE(waitUntil([&] { return hasWritten("a", " 701 "); }, 5s));
}

TEST_F(KeysTest, EndpointsNodeWakesWithARequestInHand_WithoutNewProof_DoesNotRunIt)
{
    startWithKeys(R"(["secret-1"])");
    EXPECT_EQ(200u, request("/stock/x", "Bearer secret-1").status);
    const std::uint64_t arrivals = m_backend.arrivals();
    m_deployment->node("b").signal(SIGSTOP);
    auto waiting = std::async(std::launch::async, [&] { return request("/stock/x", "Bearer secret-1"); });
    std::this_thread::sleep_for(500ms);
    signalControls(SIGSTOP);
    std::this_thread::sleep_for(2s);
    m_deployment->node("b").signal(SIGCONT);
    EXPECT_EQ(503u, waiting.get().status);
    EXPECT_EQ(arrivals, m_backend.arrivals());
    signalControls(SIGCONT);
}

} // namespace Knapweedquay::Load
