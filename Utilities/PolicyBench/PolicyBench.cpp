// Compares the policies of EndpointChooser in virtual time: one service, nine endpoints, and load reports that arrive
// 2 to 20 ms late.
// Usage: knapweedquayPolicyBench [seed] [calls per case] [origins]

#include "coordination/admission/AdmissionQueue.h"
#include "coordination/placing/EndpointChooser.h"
#include "coordination/placing/MeasurementBudget.h"
#include "coordination/placing/ProbePlanner.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <memory>
#include <queue>

using namespace Knapweedquay;

namespace {

constexpr int endpointCount = 9;
constexpr int dataCentreCount = 3;
constexpr std::uint32_t slots = 12;
constexpr double meanServiceMicroseconds = 5000;
/// Offered load as a share of the capacity of all endpoints.
constexpr double load = 0.7;
/// One-way network delay within a data centre, and between data centres.
constexpr Duration localDelay { 100 };
constexpr Duration remoteDelay { 1000 };
/// Time until a failing endpoint answers with an error.
constexpr Duration failFastTime { 200 };
constexpr Duration callTimeout { 2000000 };
/// Factor on the service time of a straggler, and of the first call after a cold start.
constexpr double slowFactor = 10;
/// Calls over which the service time after a cold start falls to the normal one.
constexpr double coldCalls = 200;
/// Size of a probe and its answer, as counted by the measurement budget.
constexpr std::size_t probeBytes = 120;
/// Requests per second that a limited backend server takes.
constexpr double limitedRate = 160;
/// Index of the endpoint into which the fault is injected.
constexpr int faultyEndpoint = 0;

/// What happens to one endpoint after a quarter of the calls.
enum class Fault {
    Steady,
    Straggler,
    FailFast,
    ColdStart,
    /// The backend server limits its requests to a tenth of what it got.
    Limited,
};

/// Parameters of one simulation.
struct SimulationOptions {
    Fault fault;
    ChoiceSettings settings;
    std::uint64_t seed;
    /// Number of calls in the simulation, over all origins.
    int calls;
    /// Number of nodes that send calls.
    int origins;
};

/// Event queue in virtual time; events of the same time run in the order of their creation.
class EventQueue {
public:
    TimePoint now() const { return m_now; }
    void after(Duration delay, std::function<void()> action) { m_events.push({ m_now + delay, m_sequence++, std::move(action) }); }
    void runAll()
    {
        while (!m_events.empty()) {
            const auto event = m_events.top();
            m_events.pop();
            m_now = event.at;
            event.action();
        }
    }

private:
    /// An action at a time; the comparison is reversed, so that the priority queue returns the earliest event first.
    struct Event {
        TimePoint at;
        std::uint64_t sequence;
        std::function<void()> action;
        bool operator<(const Event& other) const { return std::tie(at, sequence) > std::tie(other.at, other.sequence); }
    };
    TimePoint m_now { Duration(1000000000) };
    std::uint64_t m_sequence = 0;
    std::priority_queue<Event> m_events;
};

/// Simulates the origins, the network and the endpoints of one service.
class PolicySimulation {
public:
    explicit PolicySimulation(const SimulationOptions& options)
        : m_options(options)
        , m_random(options.seed)
    {
        m_document.priorities.resize(1);
        for (int endpoint = 0; endpoint < endpointCount; ++endpoint)
            m_queues.push_back(std::make_unique<AdmissionQueue>(m_document, slots));
        for (int origin = 0; origin < m_options.origins; ++origin) {
            m_choosers.push_back(std::make_unique<EndpointChooser>(m_document, dataCentre(origin), options.settings));
            m_budgets.emplace_back(m_document.measurement);
            m_planners.emplace_back();
            for (int endpoint = 0; endpoint < endpointCount; ++endpoint) {
                if (options.fault != Fault::ColdStart || endpoint != faultyEndpoint)
                    addEndpoint(origin, endpoint, m_eventQueue.now() - Duration(100000000));
            }
        }
    }

    void run()
    {
        generateCall();
        m_eventQueue.runAll();
        std::sort(m_latencies.begin(), m_latencies.end());
        const double counted = m_counted;
        std::uint64_t probes = 0;
        for (const auto& budget : m_budgets)
            probes += budget.spend().probes;
        std::printf("%8.2f %8.2f %8.2f %9.3f%% %9.3f%% %8.3f\n", quantile(0.5), quantile(0.99), quantile(0.999),
            100 * m_failed / counted, 100 * m_refused / counted, static_cast<double>(probes) / m_options.calls);
    }

private:
    static DataCentre dataCentre(int index) { return DataCentre("dc-" + std::to_string(index % dataCentreCount)); }
    static EndpointId id(int endpoint) { return { NodeId("node-" + std::to_string(endpoint)), Incarnation(1) }; }
    static int indexOf(const EndpointId& endpoint) { return endpoint.node.value().back() - '0'; }
    static Duration delay(int origin, int endpoint) { return origin % dataCentreCount == endpoint % dataCentreCount ? localDelay : remoteDelay; }

    void addEndpoint(int origin, int endpoint, TimePoint at)
    {
        auto& chooser = *m_choosers[static_cast<std::size_t>(origin)];
        chooser.update(id(endpoint), { dataCentre(endpoint), slots, at, false });
        chooser.addRoundTripSample(id(endpoint), 2 * delay(origin, endpoint));
    }

    double quantile(double share) const
    {
        if (m_latencies.empty())
            return 0;
        return toMilliseconds(m_latencies[static_cast<std::size_t>(share * static_cast<double>(m_latencies.size() - 1))]);
    }

    Duration drawExponential(double mean) { return Duration(1 + static_cast<Duration::rep>(std::exponential_distribution<double>(1 / mean)(m_random))); }
    int drawBelow(int bound) { return std::uniform_int_distribution<int>(0, bound - 1)(m_random); }
    Duration drawReportDelay() { return Duration(1000 * (2 + drawBelow(19))); }

    void generateCall()
    {
        if (m_generatedCalls == m_options.calls / 4 && m_options.fault != Fault::Steady) {
            m_hasFaultBegun = true;
            if (m_options.fault == Fault::Limited)
                m_queues[faultyEndpoint]->setRequestRate(RequestRate(limitedRate), m_eventQueue.now());
            for (int origin = 0; m_options.fault == Fault::ColdStart && origin < m_options.origins; ++origin)
                addEndpoint(origin, faultyEndpoint, m_eventQueue.now());
        }
        if (m_generatedCalls++ >= m_options.calls)
            return;
        send(drawBelow(m_options.origins));
        m_eventQueue.after(drawExponential(meanServiceMicroseconds / (load * endpointCount * slots)), [this] { generateCall(); });
    }

    void send(int origin)
    {
        auto& chooser = *m_choosers[static_cast<std::size_t>(origin)];
        const auto chosen = chooser.choose({}, PriorityIndex(0), m_eventQueue.now(), m_random);
        const CallTicket ticket(m_nextTicket++);
        chooser.callSent(*chosen, ticket, PriorityIndex(0), m_eventQueue.now());
        const int endpoint = indexOf(*chosen);
        const auto sentAt = m_eventQueue.now();
        const bool isCounted = m_generatedCalls > m_options.calls / 4;
        m_counted += isCounted;
        m_sentCalls[ticket] = { origin, sentAt, isCounted };
        m_eventQueue.after(delay(origin, endpoint), [this, ticket, endpoint] { receiveCall(ticket, endpoint); });
        sendProbe(origin);
    }

    void receiveCall(CallTicket ticket, int endpoint)
    {
        auto& queue = *m_queues[static_cast<std::size_t>(endpoint)];
        const auto decision = queue.offer(ticket, PriorityIndex(0), m_eventQueue.now() + callTimeout, m_eventQueue.now());
        if (decision.kind == AdmissionKind::Started)
            run(ticket, endpoint);
        if (decision.kind == AdmissionKind::Refused)
            sendAnswer(ticket, endpoint, CallEnd::Refused);
        startQueued(endpoint);
    }

    void startQueued(int endpoint)
    {
        const auto calls = m_queues[static_cast<std::size_t>(endpoint)]->takeStartable(m_eventQueue.now());
        for (const auto ticket : calls.started)
            run(ticket, endpoint);
        for (const auto& call : calls.givenUp)
            sendAnswer(call.ticket, endpoint, CallEnd::Refused);
        const auto timer = m_queues[static_cast<std::size_t>(endpoint)]->nextTimer();
        if (m_options.fault == Fault::Limited && timer && *timer > m_eventQueue.now())
            m_eventQueue.after(*timer - m_eventQueue.now(), [this, endpoint] { startQueued(endpoint); });
    }

    void run(CallTicket ticket, int endpoint)
    {
        const bool isFaulty = m_hasFaultBegun && endpoint == faultyEndpoint;
        const bool fails = isFaulty && m_options.fault == Fault::FailFast;
        double mean = meanServiceMicroseconds;
        if (isFaulty && m_options.fault == Fault::Straggler)
            mean *= slowFactor;
        if (isFaulty && m_options.fault == Fault::ColdStart)
            mean *= 1 + (slowFactor - 1) * std::max(0.0, 1 - m_coldCallsRun++ / coldCalls);
        m_eventQueue.after(fails ? failFastTime : drawExponential(mean), [this, ticket, endpoint, fails] {
            m_queues[static_cast<std::size_t>(endpoint)]->finished(ticket, fails ? BackendOutcome::Failed : BackendOutcome::Succeeded, m_eventQueue.now());
            sendAnswer(ticket, endpoint, fails ? CallEnd::Failed : CallEnd::Answered);
            startQueued(endpoint);
        });
    }

    void sendAnswer(CallTicket ticket, int endpoint, CallEnd end)
    {
        const auto report = m_queues[static_cast<std::size_t>(endpoint)]->report();
        const auto call = m_sentCalls[ticket];
        m_sentCalls.erase(ticket);
        m_eventQueue.after(delay(call.origin, endpoint), [this, ticket, call, end] {
            m_choosers[static_cast<std::size_t>(call.origin)]->callFinished(ticket, end, m_eventQueue.now());
            if (!call.isCounted)
                return;
            m_failed += end == CallEnd::Failed;
            m_refused += end == CallEnd::Refused;
            if (end == CallEnd::Answered)
                m_latencies.push_back(m_eventQueue.now() - call.sentAt);
        });
        sendReport(call.origin, endpoint, report);
    }

    void sendReport(int origin, int endpoint, const LoadReport& report)
    {
        m_eventQueue.after(drawReportDelay(), [this, origin, endpoint, report] {
            m_choosers[static_cast<std::size_t>(origin)]->applyReport(id(endpoint), report, m_eventQueue.now());
        });
    }

    void sendProbe(int origin)
    {
        const auto index = static_cast<std::size_t>(origin);
        m_budgets[index].callSent();
        if (m_options.settings.policy != ChoicePolicy::Predicted || !m_budgets[index].hasEarnedProbe())
            return;
        const auto next = m_planners[index].next(m_choosers[index]->probeCandidates(m_eventQueue.now()), m_eventQueue.now());
        if (!next || !m_budgets[index].tryProbe(probeBytes, m_eventQueue.now()))
            return;
        m_planners[index].probeSent(*next, m_eventQueue.now());
        const int endpoint = indexOf(*next);
        m_eventQueue.after(delay(origin, endpoint), [this, origin, endpoint] {
            sendReport(origin, endpoint, m_queues[static_cast<std::size_t>(endpoint)]->report());
            m_planners[static_cast<std::size_t>(origin)].probeEnded(id(endpoint));
        });
    }

    /// A call without an answer.
    struct SentCall {
        int origin = 0;
        TimePoint sentAt;
        /// False for the first quarter of the calls, after which the fault begins.
        bool isCounted = false;
    };

    SimulationOptions m_options;
    ServiceDocument m_document;
    std::mt19937_64 m_random;
    EventQueue m_eventQueue;
    std::vector<std::unique_ptr<AdmissionQueue>> m_queues;
    std::vector<std::unique_ptr<EndpointChooser>> m_choosers;
    std::vector<MeasurementBudget> m_budgets;
    std::vector<ProbePlanner> m_planners;
    std::unordered_map<CallTicket, SentCall> m_sentCalls;
    std::vector<Duration> m_latencies;
    int m_generatedCalls = 0;
    double m_counted = 0;
    double m_failed = 0;
    double m_refused = 0;
    double m_coldCallsRun = 0;
    std::uint64_t m_nextTicket = 1;
    bool m_hasFaultBegun = false;
};

/// A policy with its name in the table.
struct NamedSettings {
    const char* name;
    ChoiceSettings settings;
};

/// A fault with its name in the table.
struct NamedFault {
    const char* name;
    Fault fault;
};

constexpr NamedSettings policies[] = {
    { "random", { ChoicePolicy::Random, 1 } },
    { "round robin", { ChoicePolicy::RoundRobin, 1 } },
    { "least reported load", { ChoicePolicy::LeastReportedLoad, 1 } },
    { "predicted, 2 candidates", { ChoicePolicy::Predicted, 2 } },
    { "predicted, 3 candidates", { ChoicePolicy::Predicted, 3 } },
    { "predicted, 4 candidates", { ChoicePolicy::Predicted, 4 } },
    { "predicted, 6 candidates", { ChoicePolicy::Predicted, 6 } },
    { "predicted, 9 candidates", { ChoicePolicy::Predicted, 9 } },
};

constexpr NamedFault cases[] = {
    { "steady 70%", Fault::Steady },
    { "straggler x10", Fault::Straggler },
    { "fail-fast", Fault::FailFast },
    { "cold start", Fault::ColdStart },
    { "limited", Fault::Limited },
};

} // namespace

int main(int argc, char** argv)
{
    constexpr std::uint64_t defaultSeed = 20261203;
    constexpr int defaultCalls = 100000;
    constexpr int defaultOrigins = 9;
    constexpr int decimal = 10;
    const std::uint64_t seed = argc > 1 ? std::strtoull(argv[1], nullptr, decimal) : defaultSeed;
    const int calls = argc > 2 ? static_cast<int>(std::strtol(argv[2], nullptr, decimal)) : defaultCalls;
    const int origins = argc > 3 ? static_cast<int>(std::strtol(argv[3], nullptr, decimal)) : defaultOrigins;
    std::printf("%-15s %-24s %8s %8s %8s %10s %10s %8s\n", "case", "policy", "p50 ms", "p99 ms", "p99.9 ms", "failed", "refused", "probes");
    for (const auto& [caseName, fault] : cases) {
        for (const auto& [policyName, settings] : policies) {
            std::printf("%-15s %-24s ", caseName, policyName);
            PolicySimulation({ fault, settings, seed, calls, origins }).run();
        }
    }
    return 0;
}
