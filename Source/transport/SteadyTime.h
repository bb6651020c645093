#pragma once

#include "protocol/Time.h"
#include "protocol/WallTime.h"

#include <asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <memory>

namespace Knapweedquay {

/// The moment now on the monotonic clock of this process.
TimePoint steadyNow();
/// The same in microseconds, as messages carry it.
std::uint64_t steadyMicroseconds();

/// Processor time that the calling thread has used.
Duration threadProcessorTime();

/// Wall-clock time, for people to read and for expiries that outlive a process.
WallTime wallNow();

/// Runs a hook once at a moment; setting it again replaces the earlier moment, and its end cancels it.
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
    /// Lets an expiry that is queued already find out that it was cancelled or replaced.
    std::shared_ptr<std::uint64_t> m_generation;
    std::function<void()> m_hook;
};

} // namespace Knapweedquay
