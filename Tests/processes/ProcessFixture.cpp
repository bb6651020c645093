#include "processes/ProcessFixture.h"

#include "Load/ExecutionRecord.h"
#include "Load/Waiting.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>

namespace Knapweedquay::Load {

namespace {

constexpr std::chrono::milliseconds startTimeout { 12000 };
constexpr std::chrono::milliseconds sendInterval { 5 };

constexpr const char* dispatchDocument = R"(service = "dispatch"
team = "operations"
[limits]
default_slots = 12
default_deadline_ms = 2000
maximum_deadline_ms = 10000
maximum_body_bytes = 65536
[[priorities]]
name = "booking"
target_ms = 200
worth = 10
minimum_share = 0.4
maximum_queue_ms = 2000
[[priorities]]
name = "stock"
target_ms = 100
worth = 5
minimum_share = 0.2
maximum_queue_ms = 1000
[[priorities]]
name = "catalogue"
target_ms = 1000
worth = 1
minimum_share = 0.1
maximum_queue_ms = 2000
[[routes]]
method = "POST"
path = "/bookings"
priority = "booking"
idempotent = false
[[routes]]
method = "GET"
path = "/stock"
priority = "stock"
idempotent = true
[[routes]]
method = "GET"
path = "/catalogue"
priority = "catalogue"
idempotent = true
)";

std::string makeFolder()
{
    std::string pattern = ::testing::TempDir() + "knapweedquay-XXXXXX";
    return mkdtemp(pattern.data()) ? pattern : std::string();
}

} // namespace

ProcessTest::ProcessTest()
    : m_folder(makeFolder())
{
    const std::vector<std::string> serviceTimes { "/=constant:5", "/bookings/slow=constant:300", "/catalogue/slow=constant:2000" };
    for (const char* name : { "a", "b", "c" }) {
        NodePlan plan;
        plan.name = name;
        plan.dataCentre = std::string("amman-") + name;
        plan.service = "dispatch";
        plan.serviceTimes = serviceTimes;
        plans.push_back(plan);
    }
}

ProcessTest::~ProcessTest()
{
    m_deployment.reset();
    if (!HasFailure())
        std::filesystem::remove_all(m_folder);
}

void ProcessTest::SetUp()
{
    ASSERT_FALSE(m_folder.empty());
    m_deployment = std::make_unique<Deployment>(Programs { KNAPWEEDQUAY_CONTROL, KNAPWEEDQUAY_NODE, KNAPWEEDQUAY_BACKEND, KNAPWEEDQUAY_FORWARDER }, m_folder);
}

void ProcessTest::start(std::size_t controls)
{
    m_deployment->startControls(controls);
    for (const NodePlan& plan : plans)
        m_deployment->startNode(plan);
    if (!m_deployment->apply(dispatchDocument, 0, startTimeout))
        throw std::runtime_error("no control replica accepted the service document; " + m_deployment->describe());
    if (!m_deployment->waitUntilReady(startTimeout))
        throw std::runtime_error("not every node is ready: " + m_deployment->nodeStatus("a").dump() + "; " + m_deployment->describe());
}

void ProcessTest::allowLargeBodies()
{
    const std::string limit = "maximum_body_bytes = 65536";
    std::string document = dispatchDocument;
    document.replace(document.find(limit), limit.size(), "maximum_body_bytes = 67108864");
    if (!m_deployment->apply(document, 1, startTimeout) || !m_deployment->waitUntilReady(startTimeout))
        throw std::runtime_error("the document with large bodies is not in force; " + m_deployment->describe());
    m_caller.runFor(std::chrono::seconds(1));
}

void ProcessTest::sendMany(std::size_t count, const std::string& node, const std::string& method, const std::string& path, std::chrono::milliseconds deadline)
{
    for (std::size_t sent = 0; sent < count; ++sent) {
        m_caller.send(callAddress(node), method, path, deadline);
        m_caller.runFor(sendInterval);
    }
}

std::uint64_t ProcessTest::executionCount(const std::string& id) const
{
    const auto runs = readExecutionRecords(m_deployment->recordFiles());
    const auto found = runs.find(id);
    return found == runs.end() ? 0 : found->second;
}

std::uint64_t ProcessTest::executedBy(const std::string& node)
{
    return m_deployment->backendStats(node).value("executed", std::uint64_t { 0 });
}

std::size_t ProcessTest::peakMemory(const std::string& node)
{
    std::ifstream status("/proc/" + std::to_string(m_deployment->node(node).pid()) + "/status");
    std::string line;
    while (std::getline(status, line)) {
        if (line.rfind("VmHWM:", 0) == 0)
            return std::stoul(line.substr(line.find_first_of("0123456789"))) / 1024;
    }
    return 0;
}

void ProcessTest::expectGuaranteesHold() const
{
    const auto runs = readExecutionRecords(m_deployment->recordFiles());
    for (const TestCallPointer& call : m_caller.calls()) {
        const auto found = runs.find(call->id);
        const std::uint64_t count = found == runs.end() ? 0 : found->second;
        if (call->request.method == "POST") {
            EXPECT_LE(count, 1u) << call->id << " was executed " << count << " times";
        }
        if (call->isReportedNotRun()) {
            EXPECT_EQ(count, 0u) << call->id << " was executed although it was reported as not run with code " << call->code();
        }
        if (call->outcome() == "answered" && call->answer.status == 200) {
            EXPECT_TRUE(call->isAnsweredCorrectly()) << call->id << " got " << call->answer.body.substr(0, 100);
        }
    }
}

} // namespace Knapweedquay::Load
