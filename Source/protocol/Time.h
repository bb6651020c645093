#pragma once

#include <chrono>
#include <cstdint>

namespace Knapweedquay {

/// Length of time in the decision core, in microseconds.
using Duration = std::chrono::microseconds;

/// Clock of the decision core. It has no now(): the time is passed as an argument, so that tests run in virtual time.
struct CoreClock {
    using rep = std::int64_t;
    using period = std::micro;
    using duration = Duration;
    using time_point = std::chrono::time_point<CoreClock>;
    static constexpr bool is_steady = true;
};

/// A time on the monotonic clock of one process; times of different processes cannot be compared.
using TimePoint = CoreClock::time_point;

inline double toMilliseconds(Duration duration)
{
    constexpr double microsecondsPerMillisecond = 1000;
    return static_cast<double>(duration.count()) / microsecondsPerMillisecond;
}

} // namespace Knapweedquay
