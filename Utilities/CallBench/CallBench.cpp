#include "coordination/attempts/FateTable.h"
#include "coordination/attempts/OutgoingCall.h"

#include <benchmark/benchmark.h>

#include <malloc.h>

#include <memory>
#include <string>

// Measures what the bookkeeping of one call costs: processor time at the origin and at the endpoint's node, and memory
// per stored fate.

using namespace Knapweedquay;

namespace {

const NodeId origin("node-of-a-caller-0001");
const NodeId endpointNode("node-of-an-endpoint-0001");

/// Decisions of the origin for one call that is answered at its first attempt.
void originDecidesOneCall(benchmark::State& state)
{
    RetryBudget retries(0.1);
    RetryBudget hedges(0.1);
    std::uint64_t sequence = 0;
    TimePoint now {};
    const auto answer = std::make_shared<const HttpResponse>(HttpResponse { 200, {}, "answer" });
    for (auto unused : state) {
        (void)unused;
        now += Duration(10);
        CallParameters parameters;
        parameters.deadline = now + Duration(1000000);
        OutgoingCall call(parameters, { retries, hedges }, [&] { return AttemptId { origin, Incarnation(1), ++sequence }; });
        benchmark::DoNotOptimize(call.handle(CallStarted {}, now));
        benchmark::DoNotOptimize(call.handle(EndpointChosen { endpointNode, Incarnation(1) }, now));
        const AttemptId id { origin, Incarnation(1), sequence };
        benchmark::DoNotOptimize(call.handle(AttemptAccepted { id }, now));
        benchmark::DoNotOptimize(call.handle(AttemptAnswered { id, answer }, now));
    }
}
BENCHMARK(originDecidesOneCall);

void runOneAttempt(FateTable& table, std::uint64_t sequence, const AnswerPointer& answer, TimePoint now)
{
    const AttemptId id { origin, Incarnation(1), sequence };
    benchmark::DoNotOptimize(table.receive({ id, Incarnation(1), false, ConnectionId(1) }, now));
    benchmark::DoNotOptimize(table.tryStart(id));
    benchmark::DoNotOptimize(table.answer(id, answer, now));
}

// Each attempt also evicts an older fate, because the table is full.
void fullTableKeepsOneFate(benchmark::State& state)
{
    FateTable table(Incarnation(1));
    std::uint64_t sequence = 0;
    const auto answer = std::make_shared<const HttpResponse>(HttpResponse { 200, {}, "answer" });
    for (std::size_t count = 0; count < FateTableLimits().maximumAttempts; ++count)
        runOneAttempt(table, ++sequence, answer, {});
    for (auto unused : state) {
        (void)unused;
        runOneAttempt(table, ++sequence, answer, {});
    }
}
BENCHMARK(fullTableKeepsOneFate);

/// Bytes of the heap that are in use, by the statistics of the allocator.
std::size_t allocatedBytes()
{
    return mallinfo2().uordblks;
}

void bytesPerFate(benchmark::State& state)
{
    const auto fates = static_cast<std::uint64_t>(state.range(0));
    const auto answer = std::make_shared<const HttpResponse>(HttpResponse { 200, {}, "answer" });
    for (auto unused : state) {
        (void)unused;
        const std::size_t before = allocatedBytes();
        FateTable table(Incarnation(1));
        for (std::uint64_t sequence = 1; sequence <= fates; ++sequence)
            runOneAttempt(table, sequence, answer, {});
        state.counters["bytes_per_fate"] = static_cast<double>(allocatedBytes() - before) / static_cast<double>(fates);
    }
}
BENCHMARK(bytesPerFate)->Arg(1000)->Arg(4000)->Arg(16000)->Unit(benchmark::kMillisecond);

} // namespace
