#include "processes/ProcessFixture.h"

#include "Load/Waiting.h"
#include "protocol/CallHeaders.h"
#include "transport/HttpServer.h"

#include <nlohmann/json.hpp>

#include <mutex>
#include <stdexcept>
#include <string>
#include <thread>

namespace Knapweedquay::Load {

namespace {

using namespace std::chrono_literals;

constexpr const char* routingDocument = R"(version = 1
[[services]]
name = "dispatch"
[[services]]
name = "orders"
[[services]]
name = "inventory"
[[routes]]
name = "stock"
host = "stock.example"
path = "/stock/"
idempotent = true
target_ms = 1000
[[routes.targets]]
service = "dispatch"
)";

/// A backend server in the process of the test, which records the services that its callers name.
class RecordingBackend {
public:
    RecordingBackend()
        : m_server(m_context, {}, [this](const HttpExchangePtr& exchange) { answer(exchange); })
    {
        if (m_server.start().has_error())
            throw std::runtime_error("no port for a backend server");
        m_thread = std::thread([this] { m_context.run(); });
    }

    ~RecordingBackend()
    {
        m_context.stop();
        m_thread.join();
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(m_server.port()); }

    /// The service in the last request; empty before the first.
    std::string lastService() const
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_lastService;
    }

private:
    void answer(const HttpExchangePtr& exchange)
    {
        const std::string* service = findHeader(exchange->request().headers, CallHeaders().callerService);
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_lastService = service ? *service : "none";
        }
        exchange->respond({ 200, {}, "ok" });
    }

    asio::io_context m_context;
    HttpServer m_server;
    std::thread m_thread;
    mutable std::mutex m_mutex;
    std::string m_lastService;
};

/// Requests that begin at node "a", whose settings name the service "orders", and run at the backend server of "b".
class CallerServiceTest : public ProcessTest {
protected:
    void SetUp() override
    {
        ProcessTest::SetUp();
        plans.resize(2);
        for (NodePlan& plan : plans)
            plan.hasBackend = false;
        plans.front().furtherSettings = "[backend]\nservice = \"orders\"\n";
    }

    void announce(const std::string& node, const std::string& service, const std::string& address)
    {
        const nlohmann::json body = { { "service", service }, { "address", address }, { "slots", 4 } };
        EXPECT_EQ(200u, exchangeOnce(m_deployment->addresses(node).admin, plainRequest("POST", "/announce", body.dump()), 1s).status);
    }

    /// Sends requests until one names this service.
    bool isNamed(const std::string& service)
    {
        return waitUntil(
            [&] {
                announce("b", "dispatch", m_backend.address());
                HttpMessage request = plainRequest("GET", "/stock/one");
                request.headers["host"] = "stock.example";
                return exchangeOnce(callAddress("a"), request, 2s).status == 200 && m_backend.lastService() == service;
            },
            5s);
    }

    RecordingBackend m_backend;
};

} // namespace

// Requests named the former service of their machine for as long as its node ran.
TEST_F(CallerServiceTest, BackendServerOfAnotherService_Announced_IsNamed)
{
    start();
    ASSERT_TRUE(m_deployment->applyRouting(routingDocument, 5s));
    ASSERT_TRUE(isNamed("orders"));
    // Nothing is routed to these services, so nothing has to listen there.
    announce("a", "orders", "127.0.0.1:9");
    announce("a", "unheard-of", "127.0.0.1:9");
    EXPECT_TRUE(isNamed("orders")) << "a service that the configuration doesn't have";
    announce("a", "inventory", "127.0.0.1:9");
    EXPECT_TRUE(isNamed("inventory"));
}

} // namespace Knapweedquay::Load
