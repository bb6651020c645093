#include "transport/StopDeadline.h"

#include "protocol/ResultCode.h"
#include "transport/DaemonMain.h"
#include "transport/Logger.h"

#include <cstdlib>
#include <string>
#include <thread>

namespace Knapweedquay {

namespace {

/// Time for the log line, which may itself wait for a blocked thread.
constexpr std::chrono::milliseconds logTime { 50 };

void logForcedEnd(Duration time)
{
    log(LogEvent::StartFailed, { { "code", std::to_string(static_cast<int>(ResultCode::TimedOut)) }, { "detail", "the process did not stop within " + std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count()) + " ms and is ended" } });
}

} // namespace

void endProcessAfter(Duration time)
{
    std::thread([time] {
        std::this_thread::sleep_for(time);
        std::thread(logForcedEnd, time).detach();
        std::this_thread::sleep_for(logTime);
        std::_Exit(exitFailed);
    }).detach();
}

} // namespace Knapweedquay
