// Compares the policies of EndpointChooser in virtual time: one service, nine endpoints, reports that are 2 to 20 ms
// old.
// Usage: knapweedquayPolicyBench [seed] [calls per case] [sending nodes]

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
constexpr double load = 0.7;
constexpr Duration localDelay { 100 };
constexpr Duration remoteDelay { 1000 };
constexpr Duration failFastTime { 200 };
constexpr Duration callTimeout { 2000000 };
constexpr double slowFactor = 10;
constexpr double coldCalls = 200;
constexpr std::size_t probeBytes = 120;
constexpr int changedEndpoint = 0;

enum class Case {
    Steady,
    Straggler,
    FailFast,
    ColdStart,
};

struct Run {
    Case faultCase;
    ChoiceSettings settings;
    std::uint64_t seed;
    int calls;
    int origins;
};

/// Runs events in the order of their times.
class Timeline {
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

class Bench {
public:
    explicit Bench(const Run& run)
        : m_run(run)
        , m_random(run.seed)
    {
        m_document.priorities.resize(1);
        for (int endpoint = 0; endpoint < endpointCount; ++endpoint)
            m_queues.push_back(std::make_unique<AdmissionQueue>(m_document, slots));
        for (int origin = 0; origin < m_run.origins; ++origin) {
            m_choosers.push_back(std::make_unique<EndpointChooser>(m_document, dataCentre(origin), run.settings));
            m_budgets.emplace_back(m_document.measurement);
            m_planners.emplace_back();
            for (int endpoint = 0; endpoint < endpointCount; ++endpoint) {
                if (run.faultCase != Case::ColdStart || endpoint != changedEndpoint)
                    announce(origin, endpoint, m_time.now() - Duration(100000000));
            }
        }
    }

    void run()
    {
        arrive();
        m_time.runAll();
        std::sort(m_latencies.begin(), m_latencies.end());
        const double counted = m_counted;
        std::uint64_t probes = 0;
        for (const auto& budget : m_budgets)
            probes += budget.spend().probes;
        std::printf("%8.2f %8.2f %8.2f %9.3f%% %9.3f%% %8.3f\n", quantile(0.5), quantile(0.99), quantile(0.999),
            100 * m_failed / counted, 100 * m_refused / counted, static_cast<double>(probes) / m_run.calls);
    }

private:
    static DataCentre dataCentre(int index) { return DataCentre("dc-" + std::to_string(index % dataCentreCount)); }
    static EndpointId id(int endpoint) { return { NodeId("node-" + std::to_string(endpoint)), Incarnation(1) }; }
    static int indexOf(const EndpointId& endpoint) { return endpoint.node.value().back() - '0'; }
    static Duration delay(int origin, int endpoint) { return origin % dataCentreCount == endpoint % dataCentreCount ? localDelay : remoteDelay; }

    void announce(int origin, int endpoint, TimePoint at)
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

    Duration exponential(double mean) { return Duration(1 + static_cast<Duration::rep>(std::exponential_distribution<double>(1 / mean)(m_random))); }
    int below(int bound) { return std::uniform_int_distribution<int>(0, bound - 1)(m_random); }
    Duration reportDelay() { return Duration(1000 * (2 + below(19))); }

    void arrive()
    {
        if (m_arrived == m_run.calls / 4 && m_run.faultCase != Case::Steady) {
            m_changed = true;
            for (int origin = 0; m_run.faultCase == Case::ColdStart && origin < m_run.origins; ++origin)
                announce(origin, changedEndpoint, m_time.now());
        }
        if (m_arrived++ >= m_run.calls)
            return;
        send(below(m_run.origins));
        m_time.after(exponential(meanServiceMicroseconds / (load * endpointCount * slots)), [this] { arrive(); });
    }

    void send(int origin)
    {
        auto& chooser = *m_choosers[static_cast<std::size_t>(origin)];
        const auto chosen = chooser.choose({}, PriorityIndex(0), m_time.now(), m_random);
        const CallTicket ticket(m_nextTicket++);
        chooser.callSent(*chosen, ticket, PriorityIndex(0), m_time.now());
        const int endpoint = indexOf(*chosen);
        const auto sentAt = m_time.now();
        const bool counts = m_arrived > m_run.calls / 4;
        m_counted += counts;
        m_origins[ticket] = { origin, sentAt, counts };
        m_time.after(delay(origin, endpoint), [this, ticket, endpoint] { reach(ticket, endpoint); });
        probe(origin);
    }

    void reach(CallTicket ticket, int endpoint)
    {
        auto& queue = *m_queues[static_cast<std::size_t>(endpoint)];
        const auto decision = queue.offer(ticket, PriorityIndex(0), m_time.now() + callTimeout, m_time.now());
        if (decision.kind == AdmissionKind::Started)
            run(ticket, endpoint);
        if (decision.kind == AdmissionKind::Refused)
            answer(ticket, endpoint, CallEnd::Refused);
        startWaiting(endpoint);
    }

    void startWaiting(int endpoint)
    {
        const auto calls = m_queues[static_cast<std::size_t>(endpoint)]->takeStartable(m_time.now());
        for (const auto ticket : calls.started)
            run(ticket, endpoint);
        for (const auto& call : calls.givenUp)
            answer(call.ticket, endpoint, CallEnd::Refused);
    }

    void run(CallTicket ticket, int endpoint)
    {
        const bool isChanged = m_changed && endpoint == changedEndpoint;
        const bool fails = isChanged && m_run.faultCase == Case::FailFast;
        double mean = meanServiceMicroseconds;
        if (isChanged && m_run.faultCase == Case::Straggler)
            mean *= slowFactor;
        if (isChanged && m_run.faultCase == Case::ColdStart)
            mean *= 1 + (slowFactor - 1) * std::max(0.0, 1 - m_coldCallsRun++ / coldCalls);
        m_time.after(fails ? failFastTime : exponential(mean), [this, ticket, endpoint, fails] {
            m_queues[static_cast<std::size_t>(endpoint)]->finished(ticket, fails ? BackendOutcome::Failed : BackendOutcome::Succeeded, m_time.now());
            answer(ticket, endpoint, fails ? CallEnd::Failed : CallEnd::Answered);
            startWaiting(endpoint);
        });
    }

    void answer(CallTicket ticket, int endpoint, CallEnd end)
    {
        const auto report = m_queues[static_cast<std::size_t>(endpoint)]->report();
        const auto call = m_origins[ticket];
        m_origins.erase(ticket);
        m_time.after(delay(call.origin, endpoint), [this, ticket, call, end] {
            m_choosers[static_cast<std::size_t>(call.origin)]->callFinished(ticket, end, m_time.now());
            if (!call.counts)
                return;
            m_failed += end == CallEnd::Failed;
            m_refused += end == CallEnd::Refused;
            if (end == CallEnd::Answered)
                m_latencies.push_back(m_time.now() - call.sentAt);
        });
        deliver(call.origin, endpoint, report);
    }

    void deliver(int origin, int endpoint, const LoadReport& report)
    {
        m_time.after(reportDelay(), [this, origin, endpoint, report] {
            m_choosers[static_cast<std::size_t>(origin)]->applyReport(id(endpoint), report, m_time.now());
        });
    }

    void probe(int origin)
    {
        const auto index = static_cast<std::size_t>(origin);
        m_budgets[index].callSent();
        if (m_run.settings.policy != ChoicePolicy::Predicted || !m_budgets[index].hasEarnedProbe())
            return;
        const auto next = m_planners[index].next(m_choosers[index]->status(m_time.now()), m_time.now());
        if (!next || !m_budgets[index].tryProbe(probeBytes, m_time.now()))
            return;
        m_planners[index].probeSent(*next, m_time.now());
        const int endpoint = indexOf(*next);
        m_time.after(delay(origin, endpoint), [this, origin, endpoint] {
            deliver(origin, endpoint, m_queues[static_cast<std::size_t>(endpoint)]->report());
            m_planners[static_cast<std::size_t>(origin)].probeEnded(id(endpoint));
        });
    }

    struct SentCall {
        int origin = 0;
        TimePoint sentAt;
        bool counts = false;
    };

    Run m_run;
    ServiceDocument m_document;
    std::mt19937_64 m_random;
    Timeline m_time;
    std::vector<std::unique_ptr<AdmissionQueue>> m_queues;
    std::vector<std::unique_ptr<EndpointChooser>> m_choosers;
    std::vector<MeasurementBudget> m_budgets;
    std::vector<ProbePlanner> m_planners;
    std::unordered_map<CallTicket, SentCall> m_origins;
    std::vector<Duration> m_latencies;
    int m_arrived = 0;
    double m_counted = 0;
    double m_failed = 0;
    double m_refused = 0;
    double m_coldCallsRun = 0;
    std::uint64_t m_nextTicket = 1;
    bool m_changed = false;
};

struct NamedSettings {
    const char* name;
    ChoiceSettings settings;
};

struct NamedCase {
    const char* name;
    Case faultCase;
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

constexpr NamedCase cases[] = {
    { "steady 70%", Case::Steady },
    { "straggler x10", Case::Straggler },
    { "fail-fast", Case::FailFast },
    { "cold start", Case::ColdStart },
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
    for (const auto& [caseName, faultCase] : cases) {
        for (const auto& [policyName, settings] : policies) {
            std::printf("%-15s %-24s ", caseName, policyName);
            Bench({ faultCase, settings, seed, calls, origins }).run();
        }
    }
    return 0;
}
