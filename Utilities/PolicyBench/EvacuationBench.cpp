// Empties one of three data centres and takes it back, in virtual time, and prints for each phase how many calls are answered
// within their target.
// Usage: knapweedquayEvacuationBench [seed]
// Compares nodes that know the order with nodes that learn of it from refusals and load reports alone.

#include "coordination/admission/AdmissionQueue.h"
#include "coordination/placing/EmptiedDataCentres.h"
#include "coordination/placing/EndpointChooser.h"
#include "coordination/placing/MeasurementBudget.h"
#include "coordination/placing/ProbePlanner.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <tuple>
#include <unordered_map>
#include <vector>

using namespace Knapweedquay;

namespace {

constexpr std::size_t nodeCount = 27;
constexpr std::size_t dataCentreCount = 3;
constexpr std::uint32_t slots = 6;
constexpr double meanServiceMicroseconds = 180000;
constexpr Duration target { 500000 };
constexpr Duration deadline { 3000000 };
constexpr Duration localDelay { 100 };
constexpr Duration remoteDelay { 500 };
constexpr std::uint32_t maximumAttempts = 3;
constexpr Duration second { 1000000 };
/// Orders reach each node after a random time up to this one.
constexpr Duration spreadTime { 1000000 };
constexpr Duration startAt = 20 * second;
constexpr Duration finishAt = 50 * second;
constexpr Duration endAt = 80 * second;
/// Time after an order that is shown as a phase of its own.
constexpr Duration transition = 5 * second;
/// Calls over which the service time of a cold backend server falls to the normal one, and the factor at first.
constexpr double coldCalls = 60;
constexpr double coldFactor = 4;
constexpr std::size_t probeBytes = 120;

struct Case {
    const char* name;
    /// Offered load as a share of the room of all data centres.
    double load;
    bool returnsCold;
    /// False: nodes learn of the order only from refusals and load reports.
    bool isKnown;
};

constexpr std::array<const char*, 5> phaseNames { "before", "first 5 s", "emptied", "5 s back", "after" };

struct Phase {
    double calls = 0;
    double withinTarget = 0;
    double refused = 0;
    double attempts = 0;
    std::vector<Duration> latencies;
};

/// Origins, network and endpoints of one service; each node is an origin and has an endpoint.
class EvacuationSimulation {
public:
    EvacuationSimulation(const Case& options, std::uint64_t seed)
        : m_options(options)
        , m_random(seed)
    {
        m_document.priorities.resize(1);
        m_document.priorities[0].target = target;
        for (std::size_t node = 0; node < nodeCount; ++node) {
            m_queues.push_back(std::make_unique<AdmissionQueue>(m_document, slots));
            m_choosers.push_back(std::make_unique<EndpointChooser>(m_document, dataCentre(node)));
            m_budgets.emplace_back(m_document.measurement);
            for (std::size_t endpoint = 0; endpoint < nodeCount; ++endpoint)
                m_choosers[node]->update(id(endpoint), { dataCentre(endpoint), slots, m_start - 100 * second, false });
        }
        m_emptied.resize(nodeCount);
        m_coldCallsLeft.resize(nodeCount);
        m_planners.resize(nodeCount);
        m_arrivals.resize(nodeCount);
    }

    void run()
    {
        order(startAt, { { dataCentre(0) } });
        order(finishAt, {});
        generateCall();
        while (!m_events.empty()) {
            const Event event = m_events.top();
            m_events.pop();
            m_now = event.at;
            event.action();
        }
        for (std::size_t index = 0; index < phaseNames.size(); ++index) {
            Phase& phase = m_phases[index];
            std::sort(phase.latencies.begin(), phase.latencies.end());
            const Duration p99 = phase.latencies.empty() ? Duration(0) : phase.latencies[phase.latencies.size() * 99 / 100];
            std::printf("%-24s %-10s %7.0f %9.2f%% %9.2f%% %9.0f %9.3f\n", m_options.name, phaseNames[index], phase.calls, 100 * phase.withinTarget / phase.calls, 100 * phase.refused / phase.calls, toMilliseconds(p99), phase.attempts / phase.calls);
        }
        std::printf("%-24s requests at emptied endpoints later than 5 s: %d; most requests that one got in a second: %zu before, %zu in the 5 s after its return\n",
            m_options.name, m_lateRequests, mostInSecond(startAt - transition, startAt), mostInSecond(finishAt, finishAt + transition));
    }

private:
    struct Event {
        TimePoint at;
        std::uint64_t sequence;
        std::function<void()> action;
        bool operator<(const Event& other) const { return std::tie(at, sequence) > std::tie(other.at, other.sequence); }
    };

    struct Call {
        std::size_t origin = 0;
        TimePoint arrivedAt;
        std::vector<EndpointId> excluded;
        Phase* phase = nullptr;
    };

    static DataCentre dataCentre(std::size_t node) { return DataCentre("dc-" + std::to_string(node % dataCentreCount)); }
    static EndpointId id(std::size_t node) { return { NodeId(std::to_string(node)), Incarnation(1) }; }
    static Duration delay(std::size_t a, std::size_t b) { return a % dataCentreCount == b % dataCentreCount ? localDelay : remoteDelay; }

    Duration elapsed() const { return m_now - m_start; }
    void after(Duration time, std::function<void()> action) { m_events.push({ m_now + time, m_sequence++, std::move(action) }); }
    Duration drawExponential(double mean) { return Duration(1 + static_cast<Duration::rep>(std::exponential_distribution<double>(1 / mean)(m_random))); }

    Phase& phase()
    {
        const std::array<Duration, 4> ends { startAt, startAt + transition, finishAt, finishAt + transition };
        return m_phases[static_cast<std::size_t>(std::upper_bound(ends.begin(), ends.end(), elapsed()) - ends.begin())];
    }

    /// Lets an order arrive at each node.
    void order(Duration at, const EvacuationDocument& document)
    {
        for (std::size_t node = 0; node < nodeCount; ++node) {
            const Duration spread(std::uniform_int_distribution<Duration::rep>(0, spreadTime.count())(m_random));
            after(at + spread, [this, node, document] { apply(node, document); });
        }
    }

    void apply(std::size_t node, const EvacuationDocument& document)
    {
        for (const DataCentre& changed : m_emptied[node].apply(document, m_now)) {
            for (std::size_t endpoint = 0; m_options.isKnown && endpoint < nodeCount; ++endpoint) {
                if (dataCentre(endpoint) != changed)
                    continue;
                if (m_emptied[node].contains(changed))
                    m_choosers[node]->remove(id(endpoint));
                else
                    m_choosers[node]->update(id(endpoint), { changed, slots, m_emptied[node].availableSince(changed, m_start - 100 * second), false });
            }
            if (dataCentre(node) != changed)
                continue;
            if (m_emptied[node].contains(changed))
                m_queues[node]->drain(m_now, Duration(0), ResultCode::DataCentreEvacuated);
            else {
                m_queues[node]->resume();
                m_coldCallsLeft[node] = m_options.returnsCold ? coldCalls : 0;
            }
            startQueued(node);
        }
    }

    void generateCall()
    {
        if (elapsed() >= endAt)
            return;
        const std::size_t origin = std::uniform_int_distribution<std::size_t>(0, nodeCount - 1)(m_random);
        const auto call = std::make_shared<Call>(Call { origin, m_now, {}, &phase() });
        ++call->phase->calls;
        send(call);
        after(drawExponential(meanServiceMicroseconds / (m_options.load * nodeCount * slots)), [this] { generateCall(); });
    }

    void send(const std::shared_ptr<Call>& call)
    {
        EndpointChooser& chooser = *m_choosers[call->origin];
        const auto chosen = call->excluded.size() < maximumAttempts ? chooser.choose(call->excluded, PriorityIndex(0), m_now, m_random) : std::nullopt;
        if (!chosen) {
            ++call->phase->refused;
            return;
        }
        ++call->phase->attempts;
        const CallTicket ticket(++m_lastTicket);
        chooser.callSent(*chosen, ticket, PriorityIndex(0), m_now);
        call->excluded.push_back(*chosen);
        const auto endpoint = static_cast<std::size_t>(std::stoul(chosen->node.value()));
        m_calls[ticket] = call;
        after(delay(call->origin, endpoint), [this, ticket, endpoint] { receive(ticket, endpoint); });
        probe(call->origin);
    }

    void receive(CallTicket ticket, std::size_t endpoint)
    {
        const Call& call = *m_calls[ticket];
        const AdmissionDecision decision = m_queues[endpoint]->offer(ticket, PriorityIndex(0), call.arrivedAt + deadline, m_now, call.arrivedAt + target);
        if (decision.kind == AdmissionKind::Started)
            start(ticket, endpoint);
        if (decision.kind == AdmissionKind::Refused)
            answer(ticket, endpoint, CallEnd::Refused);
        startQueued(endpoint);
    }

    void startQueued(std::size_t endpoint)
    {
        const StartableCalls calls = m_queues[endpoint]->takeStartable(m_now);
        for (const CallTicket ticket : calls.started)
            start(ticket, endpoint);
        for (const GivenUpCall& call : calls.givenUp)
            answer(call.ticket, endpoint, CallEnd::Refused);
        const auto timer = m_queues[endpoint]->nextTimer();
        if (timer && *timer > m_now)
            after(*timer - m_now, [this, endpoint] { startQueued(endpoint); });
    }

    void start(CallTicket ticket, std::size_t endpoint)
    {
        m_arrivals[endpoint].push_back(elapsed());
        const bool isEmptied = elapsed() > startAt + transition && elapsed() < finishAt;
        m_lateRequests += isEmptied && dataCentre(endpoint) == dataCentre(0) ? 1 : 0;
        double& left = m_coldCallsLeft[endpoint];
        const double factor = 1 + (coldFactor - 1) * left / coldCalls;
        left = std::max(0.0, left - 1);
        after(drawExponential(factor * meanServiceMicroseconds), [this, ticket, endpoint] {
            m_queues[endpoint]->finished(ticket, BackendOutcome::Succeeded, m_now);
            answer(ticket, endpoint, CallEnd::Answered);
            startQueued(endpoint);
        });
    }

    void answer(CallTicket ticket, std::size_t endpoint, CallEnd end)
    {
        const auto call = m_calls[ticket];
        m_calls.erase(ticket);
        after(delay(call->origin, endpoint), [this, ticket, call, endpoint, end, report = m_queues[endpoint]->report()] {
            m_choosers[call->origin]->callFinished(ticket, end, m_now);
            m_choosers[call->origin]->applyReport(id(endpoint), report, m_now);
            if (end == CallEnd::Refused)
                return send(call);
            const Duration latency = m_now - call->arrivedAt;
            call->phase->withinTarget += latency <= target ? 1 : 0;
            call->phase->latencies.push_back(latency);
        });
    }

    void probe(std::size_t origin)
    {
        MeasurementBudget& budget = m_budgets[origin];
        budget.callSent();
        if (!budget.hasEarnedProbe())
            return;
        const auto next = m_planners[origin].next(m_choosers[origin]->probeCandidates(m_now), m_now);
        if (!next || !budget.tryProbe(probeBytes, m_now))
            return;
        m_planners[origin].probeSent(*next, m_now);
        const auto endpoint = static_cast<std::size_t>(std::stoul(next->node.value()));
        after(2 * delay(origin, endpoint), [this, origin, endpoint] {
            m_planners[origin].probeEnded(id(endpoint));
            m_choosers[origin]->applyReport(id(endpoint), m_queues[endpoint]->report(), m_now);
        });
    }

    /// Most requests that an endpoint of the emptied data centre got in any second of an interval.
    std::size_t mostInSecond(Duration from, Duration to) const
    {
        std::size_t most = 0;
        for (std::size_t endpoint = 0; endpoint < nodeCount; endpoint += dataCentreCount) {
            const std::vector<Duration>& times = m_arrivals[endpoint];
            for (auto first = std::lower_bound(times.begin(), times.end(), from); first != times.end() && *first < to; ++first)
                most = std::max(most, static_cast<std::size_t>(std::lower_bound(first, times.end(), *first + second) - first));
        }
        return most;
    }

    Case m_options;
    std::mt19937_64 m_random;
    ServiceDocument m_document;
    TimePoint m_start { 1000 * second };
    TimePoint m_now = m_start;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_lastTicket = 0;
    std::priority_queue<Event> m_events;
    std::vector<std::unique_ptr<AdmissionQueue>> m_queues;
    std::vector<std::unique_ptr<EndpointChooser>> m_choosers;
    std::vector<MeasurementBudget> m_budgets;
    std::vector<ProbePlanner> m_planners;
    std::vector<EmptiedDataCentres> m_emptied;
    /// Calls that the backend servers run until they are warm.
    std::vector<double> m_coldCallsLeft;
    /// Times at which calls started at the backend servers.
    std::vector<std::vector<Duration>> m_arrivals;
    std::unordered_map<CallTicket, std::shared_ptr<Call>> m_calls;
    std::array<Phase, phaseNames.size()> m_phases;
    int m_lateRequests = 0;
};

constexpr Case cases[] = {
    { "load 50%, warm", 0.5, false, true },
    { "load 50%, warm, unknown", 0.5, false, false },
    { "load 50%, cold", 0.5, true, true },
    { "load 60%, warm", 0.6, false, true },
    { "load 60%, warm, unknown", 0.6, false, false },
    { "load 60%, cold", 0.6, true, true },
    { "load 75%, warm", 0.75, false, true },
    { "load 75%, warm, unknown", 0.75, false, false },
    { "load 75%, cold", 0.75, true, true },
};

} // namespace

int main(int argc, char** argv)
{
    constexpr std::uint64_t defaultSeed = 20261204;
    constexpr int decimal = 10;
    const std::uint64_t seed = argc > 1 ? std::strtoull(argv[1], nullptr, decimal) : defaultSeed;
    std::printf("%-24s %-10s %7s %10s %10s %9s %9s\n", "case", "phase", "calls", "in target", "refused", "p99 ms", "attempts");
    for (const Case& options : cases)
        EvacuationSimulation(options, seed).run();
    return 0;
}
