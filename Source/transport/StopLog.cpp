#include "transport/StopLog.h"

#include "transport/SteadyTime.h"

#include <chrono>
#include <string>
#include <utility>

namespace Knapweedquay {

namespace {

const char* reasonOf(GracefulStop::Step end, const char* cutShortBy)
{
    if (end == GracefulStop::Step::EndIdle)
        return "idle";
    return end == GracefulStop::Step::EndLate ? "time" : cutShortBy;
}

void logWork(LogEvent event, const char* step, TimePoint orderedAt, const PendingWork& work, std::vector<LogField> details)
{
    const auto since = std::chrono::duration_cast<std::chrono::milliseconds>(steadyNow() - orderedAt);
    std::vector<LogField> fields { { "step", step }, { "since_ms", std::to_string(since.count()) }, { "connections", std::to_string(work.connections) },
        { "unused", std::to_string(work.unusedConnections) }, { "partial", std::to_string(work.partialRequests) },
        { "unsent_caller_bytes", std::to_string(work.unsentCallerBytes) }, { "lingering", std::to_string(work.lingeringConnections) } };
    for (LogField& detail : details)
        fields.push_back(std::move(detail));
    log(event, fields);
}

} // namespace

PendingWork pendingWorkOf(const HttpServer::Load& load)
{
    PendingWork work;
    work.connections = load.connections;
    work.unusedConnections = load.unusedConnections;
    work.partialRequests = load.partialRequests;
    work.unsentCallerBytes = load.unsentBytes;
    work.lingeringConnections = load.lingeringConnections;
    return work;
}

void logStopStep(const char* step, TimePoint orderedAt, const PendingWork& work, std::vector<LogField> details)
{
    logWork(LogEvent::StopProgress, step, orderedAt, work, std::move(details));
}

void logStopEnd(GracefulStop::Step end, const char* cutShortBy, TimePoint orderedAt, const PendingWork& work, std::vector<LogField> details)
{
    details.push_back({ "reason", reasonOf(end, cutShortBy) });
    logWork(work.isAnswered() ? LogEvent::StopProgress : LogEvent::StopIncomplete, "end", orderedAt, work, std::move(details));
}

} // namespace Knapweedquay
