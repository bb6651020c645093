// Floods one endpoint in virtual time and shows what each priority keeps. Usage: knapweedquayAdmissionBench [seed]
// Beside AdmissionQueue stand two baselines: one first-in-first-out queue, and priorities without minimum shares.

#include "coordination/admission/AdmissionQueue.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <random>

using namespace Knapweedquay;

namespace {

constexpr std::uint32_t slots = 12;
constexpr std::size_t priorityCount = 3;
constexpr Duration runTime { 20000000 };
constexpr Duration warmUp { 2000000 };
constexpr std::array<Duration, priorityCount> targets { Duration(50000), Duration(200000), Duration(1000000) };
constexpr std::array<double, priorityCount> minimumShares { 0.2, 0.1, 0.05 };
constexpr std::array<const char*, priorityCount> names { "urgent", "normal", "archive" };

enum class Baseline {
    Ours,
    FirstInFirstOut,
    StrictPriority,
};

/// Offered load of each priority as a share of the endpoint's capacity, and its mean service time.
struct Scenario {
    const char* name;
    std::array<double, priorityCount> load;
    std::array<double, priorityCount> serviceMicroseconds;
};

struct Counts {
    double offered = 0;
    double started = 0;
    double withinTarget = 0;
    double slotTime = 0;
    std::vector<Duration> latencies;
};

ServiceDocument makeDocument(Baseline baseline)
{
    ServiceDocument document;
    for (std::size_t index = 0; index < priorityCount; ++index) {
        Priority priority;
        priority.target = targets[index];
        priority.maximumQueueTime = 2 * targets[index];
        priority.minimumShare = baseline == Baseline::Ours ? minimumShares[index] : 0;
        document.priorities.push_back(priority);
    }
    if (baseline == Baseline::FirstInFirstOut)
        document.priorities = { document.priorities.back() };
    return document;
}

class Bench {
public:
    Bench(const Scenario& scenario, Baseline baseline, std::uint64_t seed)
        : m_scenario(scenario)
        , m_queue(makeDocument(baseline), slots)
        , m_random(seed)
    {
    }

    const std::array<Counts, priorityCount>& run()
    {
        const TimePoint start = m_now;
        for (std::size_t priority = 0; priority < priorityCount; ++priority)
            m_events.emplace(m_now + untilNext(priority), Event { true, priority, CallTicket() });
        while (m_now < start + runTime) {
            const auto [at, event] = *m_events.begin();
            m_events.erase(m_events.begin());
            m_now = at;
            m_measures = m_now >= start + warmUp;
            if (event.isArrival)
                arrive(event.priority);
            else
                end(event.ticket);
            for (const auto ticket : m_queue.takeStartable(m_now).started)
                begin(ticket);
        }
        return m_counts;
    }

private:
    struct Event {
        bool isArrival;
        std::size_t priority;
        CallTicket ticket;
    };
    struct Call {
        std::size_t priority;
        TimePoint offeredAt;
        bool measured;
    };

    Duration exponential(double mean) { return Duration(1 + static_cast<Duration::rep>(std::exponential_distribution<double>(1 / mean)(m_random))); }
    Duration untilNext(std::size_t priority) { return exponential(m_scenario.serviceMicroseconds[priority] / (m_scenario.load[priority] * slots)); }

    void arrive(std::size_t priority)
    {
        m_events.emplace(m_now + untilNext(priority), Event { true, priority, CallTicket() });
        const CallTicket ticket(m_nextTicket++);
        m_calls[ticket] = { priority, m_now, m_measures };
        m_counts[priority].offered += m_measures;
        const auto decision = m_queue.offer(ticket, PriorityIndex(static_cast<std::uint32_t>(priority)), m_now + 3 * targets[priority], m_now);
        if (decision.kind == AdmissionKind::Started)
            begin(ticket);
    }

    void begin(CallTicket ticket)
    {
        const auto priority = m_calls[ticket].priority;
        const auto time = exponential(m_scenario.serviceMicroseconds[priority]);
        m_events.emplace(m_now + time, Event { false, priority, ticket });
        if (!m_measures)
            return;
        m_counts[priority].started += 1;
        m_counts[priority].slotTime += static_cast<double>(time.count());
    }

    void end(CallTicket ticket)
    {
        m_queue.finished(ticket, BackendOutcome::Succeeded, m_now);
        const auto& call = m_calls[ticket];
        const auto latency = m_now - call.offeredAt;
        if (!call.measured)
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
    bool m_measures = false;
};

constexpr Scenario scenarios[] = {
    { "steady 70%", { 0.2, 0.3, 0.2 }, { 5000, 5000, 5000 } },
    { "archive x4", { 0.2, 0.3, 4 }, { 5000, 5000, 5000 } },
    { "urgent x4", { 4, 0.3, 0.2 }, { 5000, 5000, 5000 } },
    { "long archive x4", { 0.2, 0.3, 4 }, { 5000, 5000, 50000 } },
};

constexpr std::pair<const char*, Baseline> baselines[] = {
    { "ours", Baseline::Ours },
    { "fifo", Baseline::FirstInFirstOut },
    { "strict", Baseline::StrictPriority },
};

void printRow(const Scenario& scenario, const char* policy, std::size_t priority, Counts counts)
{
    auto& latencies = counts.latencies;
    std::sort(latencies.begin(), latencies.end());
    const auto tail = latencies.empty() ? Duration(0) : latencies[latencies.size() * 99 / 100];
    const double available = static_cast<double>((runTime - warmUp).count()) * slots;
    std::printf("%-16s %-7s %-8s %9.2f%% %9.2f%% %9.2f%% %9.2f\n", scenario.name, policy, names[priority],
        100 * counts.started / counts.offered, 100 * counts.withinTarget / counts.offered, 100 * counts.slotTime / available, toMilliseconds(tail));
}

} // namespace

int main(int argc, char** argv)
{
    constexpr std::uint64_t defaultSeed = 20261203;
    constexpr int decimal = 10;
    const std::uint64_t seed = argc > 1 ? std::strtoull(argv[1], nullptr, decimal) : defaultSeed;
    std::printf("%-16s %-7s %-8s %10s %10s %10s %9s\n", "case", "policy", "priority", "run", "in target", "slot time", "p99 ms");
    for (const auto& scenario : scenarios) {
        for (const auto& [name, baseline] : baselines) {
            const auto counts = Bench(scenario, baseline, seed).run();
            for (std::size_t priority = 0; priority < priorityCount; ++priority)
                printRow(scenario, name, priority, counts[priority]);
        }
    }
    return 0;
}
