#pragma once

#include "protocol/Time.h"
#include "protocol/WallTime.h"

#include <asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <memory>

namespace Knapweedquay {

/// Current time of a monotonic clock that also counts while the machine is suspended.
TimePoint steadyNow();
/// The same in microseconds, as it is sent in messages.
std::uint64_t steadyMicroseconds();

/// CPU time that the calling thread has consumed.
Duration threadProcessorTime();

/// Wall-clock time, for display and for expiry times that must survive a restart of the process.
WallTime wallNow();

/// One-shot timer that runs its hook on the event loop. Setting it again replaces the earlier expiry; destruction
/// cancels it.
class Timer {
public:
    Timer(asio::io_context&, std::function<void()> hook);
    Timer(const Timer&) = delete;
    Timer& operator=(const Timer&) = delete;

    void setAt(TimePoint);
    void setAfter(Duration);
    void cancel();

private:
    asio::steady_timer m_timer;
    /// Incremented by each change, so that an expiry that is already queued detects that it was cancelled or replaced.
    std::shared_ptr<std::uint64_t> m_generation;
    std::function<void()> m_hook;
};

} // namespace Knapweedquay
