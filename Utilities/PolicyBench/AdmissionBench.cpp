// Overloads one endpoint in virtual time and prints the throughput and latency of each priority.
// Usage: knapweedquayAdmissionBench [seed]
// Compares AdmissionQueue with two baselines: a first-in-first-out queue, and priorities without minimum shares. Under a limit
// of requests per second, it is compared with a queue that ignores the limit and with one that refuses what can't start.

#include "coordination/admission/AdmissionQueue.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <random>
#include <tuple>

using namespace Knapweedquay;

namespace {

constexpr std::uint32_t slots = 12;
constexpr std::size_t priorityCount = 3;
constexpr Duration runTime { 20000000 };
/// Time at the start of the run whose calls are not counted.
constexpr Duration warmUp { 2000000 };
constexpr std::array<Duration, priorityCount> targets { Duration(50000), Duration(200000), Duration(1000000) };
constexpr std::array<double, priorityCount> minimumShares { 0.2, 0.1, 0.05 };
constexpr std::array<const char*, priorityCount> names { "urgent", "normal", "archive" };

/// How calls are ordered and slots are shared.
enum class QueuePolicy {
    /// Priorities with minimum shares.
    MinimumShares,
    /// One queue for all calls.
    FirstInFirstOut,
    /// Priorities without minimum shares.
    StrictPriority,
    /// No queue: calls that cannot start at once are refused.
    RefuseOnly,
};

/// Offered load of each priority as a share of the endpoint's capacity, and its mean service time.
struct Scenario {
    const char* name;
    std::array<double, priorityCount> load;
    std::array<double, priorityCount> serviceMicroseconds;
    /// Limit of requests per second; 0 for none.
    double requestRate = 0;
    /// True if the queue is told when the answer of a call becomes late.
    bool hasTargets = false;
};

/// Calls of one priority after the warm-up.
struct Counts {
    double offered = 0;
    double started = 0;
    /// Calls that finished within their target latency.
    double withinTarget = 0;
    /// Service time of the started calls, in microseconds.
    double slotTime = 0;
    std::vector<Duration> latencies;
};

ServiceDocument makeDocument(QueuePolicy policy)
{
    ServiceDocument document;
    for (std::size_t index = 0; index < priorityCount; ++index) {
        Priority priority;
        priority.target = targets[index];
        priority.maximumQueueTime = policy == QueuePolicy::RefuseOnly ? Duration(0) : 2 * targets[index];
        priority.minimumShare = policy == QueuePolicy::StrictPriority ? 0 : minimumShares[index];
        document.priorities.push_back(priority);
    }
    if (policy == QueuePolicy::FirstInFirstOut)
        document.priorities = { document.priorities.back() };
    return document;
}

/// Simulates one endpoint with Poisson arrivals and exponential service times.
class AdmissionSimulation {
public:
    AdmissionSimulation(const Scenario& scenario, QueuePolicy policy, std::uint64_t seed)
        : m_scenario(scenario)
        , m_queue(makeDocument(policy), slots)
        , m_random(seed)
    {
        if (scenario.requestRate > 0)
            m_queue.setRequestRate(RequestRate(scenario.requestRate), m_now);
    }

    const std::array<Counts, priorityCount>& run()
    {
        const TimePoint start = m_now;
        for (std::size_t priority = 0; priority < priorityCount; ++priority)
            m_events.emplace(m_now + drawInterarrivalTime(priority), Event { true, priority, CallTicket() });
        while (m_now < start + runTime) {
            const auto timer = m_queue.nextTimer();
            if (timer && *timer < m_events.begin()->first) {
                m_now = *timer;
                startQueued();
                continue;
            }
            const auto [at, event] = *m_events.begin();
            m_events.erase(m_events.begin());
            m_now = at;
            m_isMeasuring = m_now >= start + warmUp;
            if (event.isArrival)
                offerCall(event.priority);
            else
                finishCall(event.ticket);
            startQueued();
        }
        return m_counts;
    }

private:
    /// The arrival of a new call of a priority, or the end of a running call.
    struct Event {
        bool isArrival;
        std::size_t priority;
        /// The call that ends; unused for an arrival.
        CallTicket ticket;
    };
    /// A call that was offered to the endpoint.
    struct Call {
        std::size_t priority;
        TimePoint offeredAt;
        /// False when the call was offered during the warm-up.
        bool isMeasured;
    };

    Duration drawExponential(double mean) { return Duration(1 + static_cast<Duration::rep>(std::exponential_distribution<double>(1 / mean)(m_random))); }
    Duration drawInterarrivalTime(std::size_t priority) { return drawExponential(m_scenario.serviceMicroseconds[priority] / (m_scenario.load[priority] * slots)); }

    void startQueued()
    {
        for (const auto ticket : m_queue.takeStartable(m_now).started)
            startCall(ticket);
    }

    void offerCall(std::size_t priority)
    {
        m_events.emplace(m_now + drawInterarrivalTime(priority), Event { true, priority, CallTicket() });
        const CallTicket ticket(m_nextTicket++);
        m_calls[ticket] = { priority, m_now, m_isMeasuring };
        m_counts[priority].offered += m_isMeasuring;
        const auto decision = m_queue.offer(ticket, PriorityIndex(static_cast<std::uint32_t>(priority)), m_now + 3 * targets[priority], m_now, m_scenario.hasTargets ? m_now + targets[priority] : TimePoint::max());
        if (decision.kind == AdmissionKind::Started)
            startCall(ticket);
    }

    void startCall(CallTicket ticket)
    {
        const auto priority = m_calls[ticket].priority;
        const auto time = drawExponential(m_scenario.serviceMicroseconds[priority]);
        m_events.emplace(m_now + time, Event { false, priority, ticket });
        if (!m_isMeasuring)
            return;
        m_counts[priority].started += 1;
        m_counts[priority].slotTime += static_cast<double>(time.count());
    }

    void finishCall(CallTicket ticket)
    {
        m_queue.finished(ticket, BackendOutcome::Succeeded, m_now);
        const auto& call = m_calls[ticket];
        const auto latency = m_now - call.offeredAt;
        if (!call.isMeasured)
            return;
        m_counts[call.priority].withinTarget += latency <= targets[call.priority];
        m_counts[call.priority].latencies.push_back(latency);
    }

    Scenario m_scenario;
    AdmissionQueue m_queue;
    std::mt19937_64 m_random;
    TimePoint m_now { Duration(1000000000) };
    std::multimap<TimePoint, Event> m_events;
    std::unordered_map<CallTicket, Call> m_calls;
    std::array<Counts, priorityCount> m_counts;
    std::uint64_t m_nextTicket = 1;
    bool m_isMeasuring = false;
};

constexpr Scenario scenarios[] = {
    { "steady 70%", { 0.2, 0.3, 0.2 }, { 5000, 5000, 5000 } },
    { "archive x4", { 0.2, 0.3, 4 }, { 5000, 5000, 5000 } },
    { "urgent x4", { 4, 0.3, 0.2 }, { 5000, 5000, 5000 } },
    { "long archive x4", { 0.2, 0.3, 4 }, { 5000, 5000, 50000 } },
};

/// A limit of 100 requests per second, on which this multiple of calls is offered.
constexpr Scenario limitedScenario(const char* name, double multiple, double rate)
{
    constexpr double limit = 100;
    constexpr double serviceMicroseconds = 5000;
    const double load = multiple * limit * serviceMicroseconds / (slots * 1e6);
    return { name, { 0.2 * load, 0.3 * load, 0.5 * load }, { serviceMicroseconds, serviceMicroseconds, serviceMicroseconds }, rate * limit, true };
}

constexpr std::pair<const char*, double> limitedCases[] = { { "limit x0.5", 0.5 }, { "limit x1", 1 }, { "limit x2", 2 }, { "limit x4", 4 } };

constexpr std::pair<const char*, QueuePolicy> policies[] = {
    { "ours", QueuePolicy::MinimumShares },
    { "fifo", QueuePolicy::FirstInFirstOut },
    { "strict", QueuePolicy::StrictPriority },
};

void printRow(const Scenario& scenario, const char* policy, std::size_t priority, Counts counts)
{
    auto& latencies = counts.latencies;
    std::sort(latencies.begin(), latencies.end());
    const auto p99 = latencies.empty() ? Duration(0) : latencies[latencies.size() * 99 / 100];
    const double available = static_cast<double>((runTime - warmUp).count()) * slots;
    std::printf("%-16s %-7s %-8s %9.2f%% %9.2f%% %9.2f%% %9.2f\n", scenario.name, policy, names[priority],
        100 * counts.started / counts.offered, 100 * counts.withinTarget / counts.offered, 100 * counts.slotTime / available, toMilliseconds(p99));
}

} // namespace

int main(int argc, char** argv)
{
    constexpr std::uint64_t defaultSeed = 20261203;
    constexpr int decimal = 10;
    const std::uint64_t seed = argc > 1 ? std::strtoull(argv[1], nullptr, decimal) : defaultSeed;
    std::printf("%-16s %-7s %-8s %10s %10s %10s %9s\n", "case", "policy", "priority", "run", "in target", "slot time", "p99 ms");
    for (const auto& scenario : scenarios) {
        for (const auto& [name, policy] : policies) {
            const auto counts = AdmissionSimulation(scenario, policy, seed).run();
            for (std::size_t priority = 0; priority < priorityCount; ++priority)
                printRow(scenario, name, priority, counts[priority]);
        }
    }
    for (const auto& [name, multiple] : limitedCases) {
        for (const auto& [policy, queue, rate] : { std::tuple("ours", QueuePolicy::MinimumShares, 1.0), std::tuple("refuse", QueuePolicy::RefuseOnly, 1.0), std::tuple("ignore", QueuePolicy::MinimumShares, 0.0) }) {
            const Scenario scenario = limitedScenario(name, multiple, rate);
            const auto counts = AdmissionSimulation(scenario, queue, seed).run();
            double started = 0;
            for (std::size_t priority = 0; priority < priorityCount; ++priority) {
                printRow(scenario, policy, priority, counts[priority]);
                started += counts[priority].started;
            }
            std::printf("%-16s %-7s %.1f starts per second\n", name, policy, started / std::chrono::duration<double>(runTime - warmUp).count());
        }
    }
    return 0;
}
