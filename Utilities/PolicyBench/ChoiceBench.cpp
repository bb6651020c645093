// Measures the processor time of the decisions for one call at the origin and at the endpoint's node.

#include "coordination/admission/AdmissionQueue.h"
#include "coordination/placing/EndpointChooser.h"
#include "coordination/placing/ProbePlanner.h"

#include <benchmark/benchmark.h>

using namespace Knapweedquay;

namespace {

constexpr std::uint32_t slots = 12;
constexpr Duration callTime { 5000 };
constexpr std::size_t callsInFlight = 8;

EndpointId id(std::int64_t endpoint) { return { NodeId("node-of-the-fleet-" + std::to_string(endpoint)), Incarnation(1) }; }

LoadReport makeReport(std::uint64_t completed)
{
    LoadReport report;
    report.running = static_cast<std::uint32_t>(completed % slots);
    report.concurrencyLimit = slots;
    report.queued = { 0, 0, 0 };
    report.serviceTime = callTime;
    report.completedCalls = completed;
    return report;
}

/// A chooser with a given number of endpoints that joined a minute ago.
struct EndpointFixture {
    explicit EndpointFixture(std::int64_t endpoints)
    {
        document.priorities.resize(3);
        chooser.setDocument(document);
        for (std::int64_t endpoint = 0; endpoint < endpoints; ++endpoint)
            chooser.update(id(endpoint), { DataCentre("dc-" + std::to_string(endpoint % 3)), slots, now - std::chrono::minutes(1), false });
    }

    TimePoint now { std::chrono::hours(1) };
    ServiceDocument document;
    EndpointChooser chooser { document, DataCentre("dc-0") };
    EndpointChooser::RandomEngine random { 1 };
};

/// Choice, sending, end and load report of one call, with eight calls in flight.
void chooseAndFinish(benchmark::State& state)
{
    EndpointFixture fixture(state.range(0));
    std::vector<EndpointId> sent;
    std::uint64_t call = 0;
    for (auto _ : state) {
        fixture.now += Duration(500);
        const auto chosen = fixture.chooser.choose({}, PriorityIndex(1), fixture.now, fixture.random);
        fixture.chooser.callSent(*chosen, CallTicket(call), PriorityIndex(1), fixture.now);
        sent.push_back(*chosen);
        if (call >= callsInFlight) {
            fixture.chooser.callFinished(CallTicket(call - callsInFlight), CallEnd::Answered, fixture.now);
            fixture.chooser.applyReport(sent[call - callsInFlight], makeReport(call), fixture.now);
        }
        ++call;
    }
}

/// Choice of the next endpoint to probe.
void planProbe(benchmark::State& state)
{
    EndpointFixture fixture(state.range(0));
    const ProbePlanner planner;
    for (auto _ : state)
        benchmark::DoNotOptimize(planner.next(fixture.chooser.probeCandidates(fixture.now), fixture.now));
}

/// Offer, start, end and load report of one call at an endpoint with a given number of queued calls.
void admitAndFinish(benchmark::State& state)
{
    ServiceDocument document;
    document.priorities.resize(3);
    for (auto& priority : document.priorities) {
        priority.target = std::chrono::hours(1);
        priority.maximumQueueTime = std::chrono::hours(1);
    }
    AdmissionQueue queue(document, slots);
    TimePoint now { std::chrono::hours(1) };
    std::uint64_t call = 0;
    const auto offer = [&] {
        queue.offer(CallTicket(call), PriorityIndex(static_cast<std::uint32_t>(call % 3)), now + std::chrono::hours(1), now);
        ++call;
    };
    while (call < slots + static_cast<std::uint64_t>(state.range(0)))
        offer();
    std::vector<CallTicket> running;
    for (std::uint64_t ticket = 0; ticket < slots; ++ticket)
        running.emplace_back(ticket);
    std::size_t next = 0;
    for (auto _ : state) {
        now += Duration(400);
        offer();
        queue.finished(running[next], BackendOutcome::Succeeded, now);
        const auto calls = queue.takeStartable(now);
        if (!calls.started.empty())
            running[next] = calls.started.front();
        next = (next + 1) % slots;
        benchmark::DoNotOptimize(queue.report());
    }
}

BENCHMARK(chooseAndFinish)->Arg(9)->Arg(25)->Arg(100);
BENCHMARK(planProbe)->Arg(9)->Arg(25)->Arg(100);
BENCHMARK(admitAndFinish)->Arg(1)->Arg(100)->Arg(1000);

} // namespace
