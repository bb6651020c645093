#pragma once

#include "coordination/stopping/GracefulStop.h"
#include "transport/HttpServer.h"
#include "transport/Logger.h"

#include <vector>

namespace Knapweedquay {

/// What the connections of a server hold; the other fields are left as they are by default.
PendingWork pendingWorkOf(const HttpServer::Load&);

/// Logs what a process holds at a step of its graceful stop. The details are fields of the process's own.
void logStopStep(const char* step, TimePoint orderedAt, const PendingWork&, std::vector<LogField> details);
/// Logs how a stop ended: by this step, or cut short for the given reason, and whether work was left.
void logStopEnd(GracefulStop::Step, const char* cutShortBy, TimePoint orderedAt, const PendingWork&, std::vector<LogField> details);

} // namespace Knapweedquay
